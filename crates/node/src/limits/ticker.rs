//! Keeps the shares of this node up to date for as long as it runs.

use std::sync::Arc;
use std::time::Duration;

use tansyhall_shares::FleetView;

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

/// Shares do not travel between nodes yet, so a node owns its own shares and lends to nobody: its
/// part of each limit is the limit over the size of the fleet. Every node that is known counts for
/// that size, the dead included, so that it is not too small while one of them may still run.
fn view(node: &Node) -> FleetView {
    let peers = node.peers.snapshot();
    let elsewhere: u64 = peers
        .zones
        .iter()
        .map(|zone| u64::from(zone.live_members))
        .sum();
    let here = peers.members.len().max(1) as u64;
    FleetView {
        live: vec![node.settings.name.clone()],
        fleet_size: here + elsewhere,
    }
}
