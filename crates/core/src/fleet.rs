//! Identifies the fleet of a node in messages between nodes.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::FleetName;

/// A digest of a fleet's name. Addresses are reassigned to other machines over time, so a message may reach a node of
/// another fleet than the intended one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetId(pub u64);

impl FleetId {
    /// The identifier of nodes whose fleet has no name, and of messages that contain no fleet.
    pub const UNNAMED: Self = Self(0);

    /// Returns the identifier of the fleet with this name.
    pub fn of_name(name: &FleetName) -> Self {
        Self(xxh3_64(name.as_ref()).max(1))
    }

    /// Whether a node with this identifier accepts messages from a node with the other identifier. Nodes without a
    /// fleet name are accepted by every fleet, so that a fleet can be named one node at a time.
    pub fn admits(self, other: Self) -> bool {
        self == other || self == Self::UNNAMED || other == Self::UNNAMED
    }
}
