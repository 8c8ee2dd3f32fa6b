//! Reads the state of every engine of the zone, which routing goes by. Engines are read at the same
//! time, so that one which does not answer holds none of the others up.

use std::sync::Arc;

use futures_util::future::join_all;
use tansyhall_config::Backend;
use tansyhall_core::Duration;
use tansyhall_engine::protocol::EngineState;
use tansyhall_engine::EngineClient;

use crate::state::Node;

/// Longest wait for an engine's state.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads every engine once a period, until the node ends.
pub async fn observe_engines(node: Arc<Node>) {
    let client = EngineClient::new(node.settings.limits.connect_timeout);
    loop {
        let in_force = node.in_force.load_full();
        let pools = in_force.configuration.pools.values();
        let pools = pools.filter(|pool| pool.zone == node.settings.zone && pool.model.is_some());
        let backends = pools.flat_map(|pool| &pool.backends);
        join_all(backends.map(|backend| observe(&node, &client, backend))).await;
        actix_rt::time::sleep(node.settings.authority.plan_period).await;
    }
}

/// Reads one engine's state and notes it, or that it did not answer.
pub async fn observe(node: &Node, client: &EngineClient, backend: &Backend) -> Option<EngineState> {
    let read = actix_rt::time::timeout(STATE_TIMEOUT, client.state(backend.address));
    let state = read.await.ok().and_then(Result::ok);
    note(node, backend, state.clone());
    state
}

/// Notes what is known of an engine.
pub fn note(node: &Node, backend: &Backend, state: Option<EngineState>) {
    node.with_engines(|engines| {
        engines.entry(backend.name.clone()).or_default().state = state;
    });
}
