//! Transport of messages about shares between nodes.

use tansyhall_core::NodeId;
use tansyhall_shares::Message;

/// Sends messages to other nodes by name. Messages may be lost, delayed or repeated. A receiver
/// passes them to [`super::TenantLimiter::receive`].
pub trait ShareTransport: Send + Sync {
    /// Sends a message without waiting for its arrival.
    fn send(&self, to: &NodeId, message: &Message);
}

/// Transport of a node that reaches no other. Every message is lost, so the node uses only its base
/// shares.
#[derive(Debug, Clone, Copy, Default)]
pub struct DisconnectedTransport;

impl ShareTransport for DisconnectedTransport {
    fn send(&self, _to: &NodeId, _message: &Message) {}
}
