//! An emulated node: its estimates of the engines that it routes to.

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{EngineEstimate, EngineTracker};

/// An emulated node.
pub struct EmulatedNode {
    /// Trackers, one per engine.
    pub engines: Vec<EngineTracker>,
}

impl EmulatedNode {
    /// Creates a node that knows the initial roles of the engines.
    pub fn new(roles: &[Role], max_sequences: usize, sharing_nodes: usize) -> Self {
        let tracker = |role: &Role| EngineTracker::new(*role, max_sequences as f64, sharing_nodes);
        Self {
            engines: roles.iter().map(tracker).collect(),
        }
    }

    /// Returns the node's estimates of the engines at `now`.
    pub fn estimates(&self, now: Timestamp) -> Vec<EngineEstimate> {
        self.engines
            .iter()
            .map(|tracker| tracker.estimate(now))
            .collect()
    }
}
