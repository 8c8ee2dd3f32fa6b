//! What is known about one member, and which of two records about it is the newer.

use std::net::SocketAddr;

use tansyhall_core::{Incarnation, NodeId, ZoneName};

/// What a member is believed to be; of two records with the same incarnation, the later state in
/// this order wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer a probe, and may still refute that.
    Suspect,
    /// It is stopping or its machine is about to be taken away: no new work for it.
    Leaving,
    /// It did not refute the suspicion in time.
    Dead,
}

/// Where a member is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberAddresses {
    /// By other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// By operators.
    pub admin: SocketAddr,
    /// By callers.
    pub callers: SocketAddr,
}

/// What is said about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub name: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it is reached.
    pub addresses: MemberAddresses,
    /// Which run of the process, and which refutation of that run, this is about.
    pub incarnation: Incarnation,
    /// What it is believed to be.
    pub state: MemberState,
    /// Revision of the configuration in force there, as last heard.
    pub configuration_revision: u64,
}

impl MemberRecord {
    /// Whether this record replaces `other`, which is about the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the member answers as far as is known, leaving or not.
    pub fn is_reachable(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether new work may be sent to it.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
