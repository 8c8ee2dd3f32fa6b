//! What the holder of a pool does: reads its engines, asks the planner, carries changes out.

use tansyhall_authority::{ChangeAction, ChangeEvent, RoleChange};
use tansyhall_config::{Backend, Pool};
use tansyhall_core::Duration;
use tansyhall_engine::protocol::FenceToken;
use tansyhall_engine::EngineClient;
use tansyhall_planner::{plan_bounds, EngineView, PlannedChange, RoleLimit};

use super::keeper::SharedAuthority;
use crate::state::Node;

/// Time between looks at an engine that is draining or changing.
const CHANGE_POLL: Duration = Duration::from_millis(50);

/// Reads the state of each engine of a pool.
pub async fn observe(node: &Node, client: &EngineClient, pool: &Pool) {
    for backend in &pool.backends {
        let state = client.state(backend.address).await.ok();
        node.with_engines(|engines| {
            engines.entry(backend.name.clone()).or_default().state = state;
        });
    }
}

/// Makes the next change that the pool's bounds call for, to its end.
pub async fn work(
    node: &Node,
    client: &EngineClient,
    authority: &SharedAuthority,
    pool: &Pool,
    token: FenceToken,
) {
    let Some(change) = plan(node, pool) else {
        return;
    };
    let Some(backend) = pool
        .backends
        .iter()
        .find(|backend| backend.name == change.engine)
    else {
        return;
    };
    log::info!(
        "engine {} is to play the role {}",
        change.engine,
        change.role.name()
    );
    carry_out(node, client, authority, backend, token, &change).await;
}

fn plan(node: &Node, pool: &Pool) -> Option<PlannedChange> {
    let limits: Vec<RoleLimit> = pool
        .roles
        .iter()
        .map(|bounds| RoleLimit {
            role: bounds.role,
            least: bounds.least,
            most: bounds.most.unwrap_or(u32::MAX),
        })
        .collect();
    let engines = node.with_engines(|engines| {
        let views = pool.backends.iter().filter_map(|backend| {
            let state = engines.get(&backend.name)?.state.as_ref()?;
            let requests = state.requests;
            Some(EngineView {
                name: backend.name.clone(),
                role: state.role,
                requests,
            })
        });
        views.collect::<Vec<_>>()
    });
    if engines.len() < pool.backends.len() {
        return None;
    }
    plan_bounds(&engines, &limits)
}

async fn carry_out(
    node: &Node,
    client: &EngineClient,
    authority: &SharedAuthority,
    backend: &Backend,
    token: FenceToken,
    planned: &PlannedChange,
) {
    let sequence = node.clock.now().0;
    let change = RoleChange::new(token, planned.role, sequence);
    let mut event = observe_one(node, client, backend).await;
    loop {
        match change.step(event) {
            ChangeAction::Done => {
                log::info!(
                    "engine {} plays the role {}",
                    backend.name,
                    planned.role.name()
                );
                return;
            }
            ChangeAction::Abandon => {
                log::warn!("the change of engine {} is abandoned", backend.name);
                return;
            }
            ChangeAction::ReadState => {
                actix_rt::time::sleep(CHANGE_POLL).await;
                event = observe_one(node, client, backend).await;
            }
            ChangeAction::Send(order) => {
                if !authority.borrow().clock.is_valid(node.clock.now()) {
                    log::warn!(
                        "the lease is not valid; no order is sent to {}",
                        backend.name
                    );
                    return;
                }
                event = match client.order(backend.address, &order).await {
                    Ok(reply) => {
                        node.metrics.orders.with_label_values(&["answered"]).inc();
                        ChangeEvent::Reply(reply)
                    }
                    Err(_) => {
                        node.metrics.orders.with_label_values(&["no-reply"]).inc();
                        ChangeEvent::NoReply
                    }
                };
            }
        }
        if !authority.borrow().clock.is_valid(node.clock.now()) {
            log::warn!(
                "the lease is not valid; the change of {} stops",
                backend.name
            );
            return;
        }
    }
}

async fn observe_one(node: &Node, client: &EngineClient, backend: &Backend) -> ChangeEvent {
    match client.state(backend.address).await {
        Ok(state) => {
            node.with_engines(|engines| {
                engines.entry(backend.name.clone()).or_default().state = Some(state.clone());
            });
            ChangeEvent::State(state)
        }
        Err(_) => ChangeEvent::NoReply,
    }
}
