//! A request of this node in progress at an engine.

use std::sync::Arc;

use tansyhall_core::{EngineName, RequestId};
use tansyhall_engine::blocks::BlockHash;

use crate::state::Node;

/// Counts a request at an engine until this value is dropped. Each attempt has its own identifier,
/// so that the end of one attempt cannot be mistaken for that of the next.
pub struct InFlight {
    node: Arc<Node>,
    engine: EngineName,
    attempt: RequestId,
}

impl InFlight {
    /// Starts to count a request whose prompt has these blocks and of which `prefill_tokens` tokens
    /// are to be prefilled.
    pub fn begin(
        node: &Arc<Node>,
        engine: &EngineName,
        prefill_tokens: f64,
        blocks: &[BlockHash],
    ) -> Self {
        let attempt = RequestId(rand::random());
        let now = node.clock.now();
        node.dispatch
            .trackers
            .record_sent(engine, now, attempt, prefill_tokens, blocks);
        Self {
            node: Arc::clone(node),
            engine: engine.clone(),
            attempt,
        }
    }

    /// Records the arrival of the first token.
    pub fn record_first_token(&self) {
        let now = self.node.clock.now();
        let trackers = &self.node.dispatch.trackers;
        trackers.record_first_token(&self.engine, now, self.attempt);
    }

    /// Records that the engine did not accept the request.
    pub fn record_refused(self) {
        self.node
            .dispatch
            .trackers
            .record_refused(&self.engine, self.attempt);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let trackers = &self.node.dispatch.trackers;
        trackers.record_finished(&self.engine, now, self.attempt);
    }
}
