//! Keeps the shares of this node up to date for as long as it runs.

use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::NodeId;
use tansyhall_shares::View;

use super::transport::ShareTransport;
use crate::state::Node;

/// How often demand is looked at and due asks are sent.
const TICK: Duration = Duration::from_secs(1);

/// Ticks for as long as the node runs.
pub fn start(node: Arc<Node>, transport: Arc<dyn ShareTransport>) {
    actix_rt::spawn(async move {
        let mut ticks = actix_rt::time::interval(TICK);
        loop {
            ticks.tick().await;
            tick(&node, transport.as_ref());
        }
    });
}

fn tick(node: &Node, transport: &dyn ShareTransport) {
    let now = node.clock.now();
    node.limits.set_view(now, view(node));
    node.limits.divide(now, &node.in_force.load_full());
    node.limits.tick(now, transport);
}

/// Every node that is known counts for the size of the fleet.
fn view(node: &Node) -> View {
    let members = node.members.load();
    let others = members
        .iter()
        .map(|member| NodeId::from(member.node.as_str()));
    let others = others.filter(|name| *name != node.settings.name);
    let mut live: Vec<NodeId> = others.collect();
    live.push(node.settings.name.clone());
    let fleet_size = live.len() as u64;
    View { live, fleet_size }
}
