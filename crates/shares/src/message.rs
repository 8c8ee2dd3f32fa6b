//! Messages between a node and the owner of a group. Their size is small and bounded. Loss, delay,
//! duplication and reordering of messages are harmless.

use prost::Message as _;

/// Maximum number of limits in one message, chosen so that a message fits into one datagram.
pub const MAX_KEYS_PER_MESSAGE: usize = 48;

/// An amount of one limit.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct KeyAmount {
    /// Key of the limit.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The amount, in thousandths of a unit.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
}

/// A node's request for shares to the owner of a group. It may also lend the owner the node's base
/// shares.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShareRequest {
    /// The group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Incarnation of the requesting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Time of sending, on the requester's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Digest of the division that defines the lent base shares; zero if the requester lends nothing.
    #[prost(fixed64, tag = "4")]
    pub lent_division: u64,
    /// Incarnation of the owner in the last answer that the requester received from it. The owner
    /// counts a loan from `owner_time`, which is earlier than the time from which the requester counts
    /// it.
    #[prost(uint64, tag = "5")]
    pub owner_incarnation: u64,
    /// Time on the owner's clock in that answer, in microseconds; see `owner_incarnation`.
    #[prost(uint64, tag = "6")]
    pub owner_time: u64,
    /// Amounts of limits that the requester could use.
    #[prost(message, repeated, tag = "7")]
    pub wants: Vec<KeyAmount>,
}

/// An owner's answer to a [`ShareRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// The group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// Incarnation of the requester, copied from the request.
    #[prost(uint64, tag = "2")]
    pub asker_incarnation: u64,
    /// `sent_at` of the request. The requester counts the grant from this time.
    #[prost(uint64, tag = "3")]
    pub asked_at: u64,
    /// Incarnation of the owner.
    #[prost(uint64, tag = "4")]
    pub owner_incarnation: u64,
    /// Time on the owner's clock, in microseconds.
    #[prost(uint64, tag = "5")]
    pub owner_time: u64,
    /// Granted amounts of limits.
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<KeyAmount>,
}

/// A message of the protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// From a node to an owner.
    Request(ShareRequest),
    /// From an owner to a node.
    Grant(Grant),
}

impl Message {
    /// Returns the encoded size in bytes, without the envelope of the transport.
    pub fn encoded_bytes(&self) -> usize {
        match self {
            Message::Request(request) => request.encoded_len(),
            Message::Grant(grant) => grant.encoded_len(),
        }
    }
}
