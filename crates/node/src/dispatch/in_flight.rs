//! A request of this node in progress at an engine.

use std::sync::Arc;

use tansyhall_core::{EngineName, RequestId};
use tansyhall_engine::blocks::BlockHash;

use crate::state::Node;

/// Counts a request at an engine until it is dropped. Each attempt counts under an identifier of
/// its own, so that the end of one attempt is never taken for that of the next.
pub struct InFlight {
    node: Arc<Node>,
    engine: EngineName,
    attempt: RequestId,
}

impl InFlight {
    /// Counts a request with `prefill_tokens` to prefill of a prompt with these blocks.
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
            .sent(engine, now, attempt, prefill_tokens, blocks);
        Self {
            node: Arc::clone(node),
            engine: engine.clone(),
            attempt,
        }
    }

    /// The first token arrived.
    pub fn first_token(&self) {
        let now = self.node.clock.now();
        let trackers = &self.node.dispatch.trackers;
        trackers.first_token(&self.engine, now, self.attempt);
    }

    /// The engine did not take the request.
    pub fn refused(self) {
        self.node
            .dispatch
            .trackers
            .refused(&self.engine, self.attempt);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let trackers = &self.node.dispatch.trackers;
        trackers.finished(&self.engine, now, self.attempt);
    }
}
