//! Records of members, and the rule by which one record of a member supersedes another.

use std::net::SocketAddr;

use tansyhall_core::{Incarnation, NodeId, ZoneName};

/// The assumed state of a member. Of two records with the same incarnation, the one whose state
/// comes later in this order applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The member is shutting down or its machine is about to be withdrawn. It receives no new
    /// work.
    Leaving,
    /// The member did not refute the suspicion in time.
    Dead,
}

/// The addresses of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberAddresses {
    /// The address for other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for callers.
    pub callers: SocketAddr,
}

/// A statement about the state of one member, as members exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The name of the member.
    pub name: NodeId,
    /// The zone of the member.
    pub zone: ZoneName,
    /// The addresses of the member.
    pub addresses: MemberAddresses,
    /// The incarnation that the record applies to. A member gets a larger one at each start of its
    /// process and at each refutation.
    pub incarnation: Incarnation,
    /// The assumed state of the member.
    pub state: MemberState,
    /// The last known revision of the configuration that the member has in force.
    pub configuration_revision: u64,
}

impl MemberRecord {
    /// Returns whether this record replaces `other`, which must be a record of the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the member is not considered dead. A leaving member is reachable.
    pub fn is_reachable(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Returns whether new work may be sent to the member.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
