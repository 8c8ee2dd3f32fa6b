//! Messages between a node and the owner of a group. Both are small and bounded, and may be lost,
//! delayed, repeated or reordered without harm.

use prost::Message as _;

/// Most limits in one message; with the rest of it they fit one datagram.
pub const MAX_KEYS: usize = 48;

/// An amount of one limit.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct KeyAmount {
    /// The limit's key.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The amount, in thousandths of a unit.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// A node asks a group's owner for shares, and lends it its own.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ask {
    /// The group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// The asking process's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// When it was sent, on the asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Digest of the division by which the asker lends its home shares; zero if it lends nothing.
    #[prost(fixed64, tag = "4")]
    pub lent_division: u64,
    /// The owner's incarnation and time as last heard by the asker. The owner counts a loan from
    /// there, which is before the asker counts it from.
    #[prost(uint64, tag = "5")]
    pub owner_incarnation: u64,
    /// See `owner_incarnation`; in microseconds.
    #[prost(uint64, tag = "6")]
    pub owner_time: u64,
    /// What the asker wants.
    #[prost(message, repeated, tag = "7")]
    pub wants: Vec<KeyAmount>,
}

/// An owner's answer to an ask.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// The group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// The asker's incarnation, from the ask.
    #[prost(uint64, tag = "2")]
    pub asker_incarnation: u64,
    /// The ask's time, from the ask: the grant is counted from there.
    #[prost(uint64, tag = "3")]
    pub asked_at: u64,
    /// The owner's incarnation.
    #[prost(uint64, tag = "4")]
    pub owner_incarnation: u64,
    /// The owner's time, in microseconds.
    #[prost(uint64, tag = "5")]
    pub owner_time: u64,
    /// What is granted.
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<KeyAmount>,
}

/// Any message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// From a node to an owner.
    Ask(Ask),
    /// From an owner to a node.
    Grant(Grant),
}

impl Message {
    /// Bytes on the wire, without the envelope of the transport.
    pub fn encoded_bytes(&self) -> usize {
        match self {
            Message::Ask(ask) => ask.encoded_len(),
            Message::Grant(grant) => grant.encoded_len(),
        }
    }
}
