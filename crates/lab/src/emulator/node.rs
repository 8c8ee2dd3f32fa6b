//! One emulated node: its beliefs about the engines it routes to.

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::{EngineEstimate, EngineTracker};

/// A node's trackers, one for each engine.
pub struct EmulatedNode {
    /// The trackers.
    pub engines: Vec<EngineTracker>,
}

impl EmulatedNode {
    /// A node that knows the engines' first roles.
    pub fn new(roles: &[Role], max_sequences: usize, sharing_nodes: usize) -> Self {
        let tracker = |role: &Role| EngineTracker::new(*role, max_sequences as f64, sharing_nodes);
        Self {
            engines: roles.iter().map(tracker).collect(),
        }
    }

    /// What the node believes at `now`.
    pub fn estimates(&self, now: Timestamp) -> Vec<EngineEstimate> {
        self.engines
            .iter()
            .map(|tracker| tracker.estimate(now))
            .collect()
    }
}
