//! Reads the state of every engine of the zone, which routing uses. Engines are read concurrently,
//! so that one that does not answer does not delay the others.

use std::sync::Arc;

use futures_util::future::join_all;
use tansyhall_config::Backend;
use tansyhall_core::Duration;
use tansyhall_engine::protocol::EngineState;
use tansyhall_engine::EngineClient;

use crate::state::Node;

/// Timeout of reading an engine's state.
pub const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the state of every engine once per planning period, until the node stops.
pub async fn observe_engines(node: Arc<Node>) {
    let client = EngineClient::new(node.settings.limits.connect_timeout);
    loop {
        let in_force = node.in_force.load_full();
        let pools = in_force.configuration.pools.values();
        let pools = pools.filter(|pool| pool.zone == node.settings.zone && pool.model.is_some());
        let backends = pools.flat_map(|pool| &pool.backends);
        join_all(backends.map(|backend| observe_engine(&node, &client, backend))).await;
        actix_rt::time::sleep(node.settings.authority.plan_period).await;
    }
}

/// Reads one engine's state and records it, or records that the engine did not answer.
pub async fn observe_engine(
    node: &Node,
    client: &EngineClient,
    backend: &Backend,
) -> Option<EngineState> {
    let read = actix_rt::time::timeout(STATE_TIMEOUT, client.state(backend.address));
    let state = read.await.ok().and_then(Result::ok);
    record_state(node, backend, state.clone());
    state
}

/// Records an engine's state; `None` if it did not answer.
pub fn record_state(node: &Node, backend: &Backend, state: Option<EngineState>) {
    node.with_engines(|engines| {
        engines.entry(backend.name.clone()).or_default().state = state;
    });
}
