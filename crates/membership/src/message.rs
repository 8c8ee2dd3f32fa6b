//! Messages between members. Each message carries its sender, a request or an answer, and some
//! changes that the sender has recently learned of.

use std::net::SocketAddr;

use tansyhall_core::{Duration, FleetId, Incarnation, NodeId, ZoneName};

use crate::backends::BackendMark;
use crate::digest::ZoneDigest;
use crate::member::MemberRecord;

/// The revision of the configuration that a member has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigurationStatus {
    /// The revision, or zero for none.
    pub revision: u64,
    /// The time since the revision was last known to be the newest.
    pub confirmation_age: Duration,
}

/// The sender of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// The fleet of the sender.
    pub fleet: FleetId,
    /// The name of the sender.
    pub name: NodeId,
    /// The zone of the sender.
    pub zone: ZoneName,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The configuration that the sender has in force.
    pub configuration: ConfigurationStatus,
}

/// The request or answer in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Requests a [`Body::Ack`] with the same sequence number.
    Ping {
        /// The sequence number, chosen by the sender.
        sequence: u32,
    },
    /// Answers a ping that was sent directly or on behalf of another member.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
    },
    /// Requests that the receiver pings `target` and forwards the answer.
    PingRequest {
        /// The sequence number, chosen by the sender.
        sequence: u32,
        /// The address to ping.
        target: SocketAddr,
    },
    /// Requests the member table.
    Join,
    /// Requests the member table if it differs from the sender's.
    Sync {
        /// The hash of the sender's table.
        table_hash: u64,
    },
    /// The updates are a part of the member table.
    Table,
    /// The message contains neither a request nor an answer, only changes and digests.
    Notice,
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub sender: Sender,
    /// The request or answer.
    pub body: Body,
    /// Changes of members of the sender's zone.
    pub updates: Vec<MemberRecord>,
    /// Digests of zones.
    pub digests: Vec<ZoneDigest>,
    /// Changes of back ends of the sender's zone.
    pub backends: Vec<BackendMark>,
}
