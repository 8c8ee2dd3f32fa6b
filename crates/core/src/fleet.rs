//! Which fleet a node belongs to, as messages between nodes say it.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::FleetName;

/// A digest of a fleet's name. Addresses are given to other machines in time, so that a message may
/// reach a node of another fleet than the one it is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetId(pub u64);

impl FleetId {
    /// The identifier of a node whose fleet has no name, and of messages that name none.
    pub const UNNAMED: Self = Self(0);

    /// The identifier of the fleet with this name.
    pub fn of_name(name: &FleetName) -> Self {
        Self(xxh3_64(name.as_ref()).max(1))
    }

    /// Whether a node of this fleet takes messages of one with the other identifier. Nodes without a name
    /// are taken for any fleet's, so that a fleet can be named one node after the other.
    pub fn admits(self, other: Self) -> bool {
        self == other || self == Self::UNNAMED || other == Self::UNNAMED
    }
}
