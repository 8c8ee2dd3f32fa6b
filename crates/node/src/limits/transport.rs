//! How messages about shares reach other nodes.

use tansyhall_core::NodeId;
use tansyhall_shares::Message;

/// Sends messages to other nodes by name. Messages may be lost, delayed or repeated; a receiver
/// hands them to [`super::LimitKeeper::receive`].
pub trait ShareTransport: Send + Sync {
    /// Sends a message, without waiting for it to arrive.
    fn send(&self, to: &NodeId, message: &Message);
}

/// The transport of a node that reaches no other: every message is lost, so that the node keeps to
/// its home shares.
#[derive(Debug, Clone, Copy, Default)]
pub struct Alone;

impl ShareTransport for Alone {
    fn send(&self, _to: &NodeId, _message: &Message) {}
}
