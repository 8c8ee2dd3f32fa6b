//! Messages between members. Each carries who sent it, what it asks or answers, and some changes
//! that the sender has lately learned of.

use std::net::SocketAddr;

use tansyhall_core::{Duration, FleetId, Incarnation, NodeId, ZoneName};

use crate::backends::BackendMark;
use crate::digest::ZoneDigest;
use crate::member::MemberRecord;

/// The configuration that a member has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigurationMark {
    /// Its revision; zero for none.
    pub revision: u64,
    /// Time since it was last known to be the newest.
    pub confirmation_age: Duration,
}

/// Who sent a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Its fleet.
    pub fleet: FleetId,
    /// Its name.
    pub name: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The configuration that it has in force.
    pub configuration: ConfigurationMark,
}

/// What a message asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same sequence.
    Ping {
        /// Chosen by the sender.
        sequence: u32,
    },
    /// Answers a ping, sent directly or on someone's behalf.
    Ack {
        /// The ping's sequence.
        sequence: u32,
    },
    /// Asks the receiver to ping `target` and pass the answer on.
    PingRequest {
        /// Chosen by the sender.
        sequence: u32,
        /// Whom to ping.
        target: SocketAddr,
    },
    /// Asks for the member table.
    Join,
    /// Asks for the member table if it differs from the sender's.
    Sync {
        /// Hash of the sender's table.
        table_hash: u64,
    },
    /// A part of the member table, in the updates.
    Table,
    /// Nothing but the updates and digests.
    Notice,
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Who sent it.
    pub sender: Sender,
    /// What it asks or answers.
    pub body: Body,
    /// Changes of members of the sender's zone.
    pub updates: Vec<MemberRecord>,
    /// What is known about zones.
    pub digests: Vec<ZoneDigest>,
    /// Changes of back ends of the sender's zone.
    pub backends: Vec<BackendMark>,
}
