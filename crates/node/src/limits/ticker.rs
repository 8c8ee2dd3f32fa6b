//! Updates the shares of this node periodically.

use std::sync::Arc;
use std::time::Duration;

use tansyhall_shares::FleetView;

use super::transport::ShareTransport;
use crate::state::Node;

/// Interval at which demand is measured and due share requests are sent.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the updates, which continue for as long as the node runs.
pub fn start(node: Arc<Node>, transport: Arc<dyn ShareTransport>) {
    actix_rt::spawn(async move {
        let mut ticks = actix_rt::time::interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            tick(&node, transport.as_ref());
        }
    });
}

fn tick(node: &Node, transport: &dyn ShareTransport) {
    let now = node.clock.now();
    node.limits.set_view(now, fleet_view(node));
    node.limits.apply_limits(now, &node.in_force.load_full());
    node.limits.tick(now, transport);
}

/// Returns this node's view of the fleet. Shares are not exchanged between nodes yet, so a node is
/// the owner of its own shares and lends to no other: its part of each limit is the limit divided
/// by the size of the fleet. Every known node counts, including the dead ones, so that the size is
/// not too small while one of them may still run.
fn fleet_view(node: &Node) -> FleetView {
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
