//! Which fleet a node belongs to, as messages between nodes say it.

use crate::id::FleetName;
use xxhash_rust::xxh3::xxh3_64;

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

    /// Whether nodes with these identifiers may belong to one fleet. One without a name may belong
    /// to any, so that a fleet can be named one node after the other.
    pub fn may_be(self, other: Self) -> bool {
        self == other || self == Self::UNNAMED || other == Self::UNNAMED
    }
}
