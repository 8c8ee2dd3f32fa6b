//! Carries out the steps of one engine's orders.

use tansyhall_authority::{EngineOrders, OrderEvent, OrderStep, Outcome};
use tansyhall_config::Backend;
use tansyhall_engine::protocol::{Order, OrderAction, OrderReply};
use tansyhall_engine::EngineClient;

use super::observer;
use super::shared::SharedAuthority;
use crate::state::Node;

/// The state of an engine's orders after they have been advanced as far as possible for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// An order is in progress, or requests have yet to end.
    Busy,
    /// No order is left to send.
    Settled(Outcome),
    /// The engine does not answer.
    Unreachable,
    /// The node's lease is not valid now.
    LeaseInvalid,
    /// Another node holds the authority over the engine.
    Superseded,
}

/// Advances an engine's orders until they have to wait.
pub async fn advance(
    node: &Node,
    client: &EngineClient,
    authority: &SharedAuthority,
    backend: &Backend,
    orders: &mut EngineOrders,
) -> Progress {
    let Some(state) = observer::observe_engine(node, client, backend).await else {
        return Progress::Unreachable;
    };
    let mut event = OrderEvent::State(state);
    loop {
        let lease_validity = authority.lease_validity();
        event = match orders.step(node.clock.now(), &lease_validity, event) {
            OrderStep::Seal(token) => match client.seal(backend.address, token).await {
                Ok(state) => OrderEvent::Sealed(state),
                Err(_) => return Progress::Unreachable,
            },
            OrderStep::Send(order) => send_order(node, client, backend, &order).await,
            OrderStep::ReadState => return Progress::Busy,
            OrderStep::Settled(outcome) => return Progress::Settled(outcome),
            OrderStep::LeaseInvalid => return Progress::LeaseInvalid,
            OrderStep::Superseded => return Progress::Superseded,
        };
    }
}

async fn send_order(
    node: &Node,
    client: &EngineClient,
    backend: &Backend,
    order: &Order,
) -> OrderEvent {
    if order.action == OrderAction::Drain {
        stop_routing_to(node, backend);
    }
    let reply = client.order(backend.address, order).await;
    let label = reply.as_ref().map_or("no-reply", reply_label);
    node.metrics.orders.with_label_values(&[label]).inc();
    reply.map_or(OrderEvent::NoReply, OrderEvent::Reply)
}

/// Marks the engine as draining for routing before the engine receives the order to drain.
fn stop_routing_to(node: &Node, backend: &Backend) {
    node.with_engines(|engines| {
        let status = engines.entry(backend.name.clone()).or_default();
        if let Some(state) = status.state.as_mut() {
            state.draining = true;
        }
    });
}

fn reply_label(reply: &OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::StaleToken { .. } => "stale-token",
        OrderReply::Busy { .. } => "busy",
        OrderReply::WorkInProgress { .. } => "work-in-progress",
        OrderReply::WrongIncarnation { .. } => "wrong-incarnation",
    }
}
