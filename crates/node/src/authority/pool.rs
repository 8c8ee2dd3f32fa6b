//! The task of the holder of one pool: seals every reachable engine, reverts changes that an earlier
//! holder left incomplete, and carries out the planner's changes one at a time.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use tansyhall_authority::{EngineOrders, Epoch, Goal, Outcome};
use tansyhall_config::{Backend, Pool};
use tansyhall_core::{Duration, EngineName, PoolName, Timestamp};
use tansyhall_engine::EngineClient;
use tansyhall_planner::{plan_change_for_limits, EngineView, PlannedChange, RoleLimit};

use super::engine::{advance, Progress};
use super::loads::PoolRollout;
use super::shared::SharedAuthority;
use crate::state::Node;

/// Interval between rounds of a pool in which an engine is draining or changing.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the requests of a draining engine to end; after it the engine resumes service
/// and the change is given up.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Delay before a pool is planned again after a change was given up.
const REPLAN_DELAY: Duration = Duration::from_secs(30);

/// Runs the task of a pool that is held in one epoch, until the pool is lost.
pub async fn hold_pool(node: Arc<Node>, authority: SharedAuthority, pool: PoolName, epoch: Epoch) {
    let mut holder = PoolHolder::new(node, authority, pool, epoch);
    while holder.holds_pool() {
        let delay = holder.run_round().await;
        actix_rt::time::sleep(delay).await;
    }
}

struct PoolHolder {
    node: Arc<Node>,
    authority: SharedAuthority,
    client: EngineClient,
    pool: PoolName,
    epoch: Epoch,
    orders: HashMap<EngineName, EngineOrders>,
    rollout: PoolRollout,
    next_plan_at: Timestamp,
}

impl PoolHolder {
    fn new(node: Arc<Node>, authority: SharedAuthority, pool: PoolName, epoch: Epoch) -> Self {
        let client = EngineClient::new(node.settings.limits.connect_timeout);
        Self {
            node,
            authority,
            client,
            pool,
            epoch,
            orders: HashMap::new(),
            rollout: PoolRollout::default(),
            next_plan_at: Timestamp::default(),
        }
    }

    fn holds_pool(&self) -> bool {
        self.authority.held_epoch(&self.pool) == Some(self.epoch)
    }

    /// Advances every engine as far as possible, starts a planned change if all engines are settled,
    /// and returns the delay before the next round.
    async fn run_round(&mut self) -> Duration {
        let period = self.node.settings.authority.plan_period;
        let in_force = self.node.in_force.load_full();
        let Some(pool) = in_force.configuration.pools.get(&self.pool) else {
            return period;
        };
        if !self.authority.is_lease_valid() {
            self.node.metrics.orders_withheld.inc();
            return period;
        }
        let progress = self.advance_all(&pool.backends).await;
        if progress.contains(&Progress::LeaseInvalid) {
            self.node.metrics.orders_withheld.inc();
        }
        if progress.contains(&Progress::Settled(Outcome::GivenUp)) {
            self.give_up_change();
        }
        if let Some(engine) = self.rollout.stop_if_failed_again(&self.node, pool) {
            self.set_engine_goal(&engine, Goal::InService);
        }
        let is_settled = |progress: &Progress| matches!(progress, Progress::Settled(_));
        let all_settled = progress.iter().all(is_settled);
        if all_settled && self.node.clock.now() >= self.next_plan_at && self.start_next_change(pool)
        {
            return Duration::ZERO;
        }
        if progress.contains(&Progress::Busy) {
            return CHANGE_POLL_INTERVAL;
        }
        period
    }

    async fn advance_all(&mut self, backends: &[Backend]) -> Vec<Progress> {
        let epoch = self.epoch;
        for backend in backends {
            self.orders
                .entry(backend.name.clone())
                .or_insert_with(|| EngineOrders::new(epoch, DRAIN_TIMEOUT));
        }
        let (node, client, authority) = (&self.node, &self.client, &self.authority);
        let engines = self.orders.iter_mut().filter_map(|(name, orders)| {
            let backend = backends.iter().find(|backend| backend.name == *name)?;
            Some(advance(node, client, authority, backend, orders))
        });
        join_all(engines).await
    }

    fn give_up_change(&mut self) {
        log::warn!(
            "pool {}: giving up the change because requests of a draining engine did not end in time",
            self.pool
        );
        self.node.metrics.changes_given_up.inc();
        self.next_plan_at = self.node.clock.now() + REPLAN_DELAY;
        for orders in self.orders.values_mut() {
            orders.set_goal(Goal::InService);
        }
    }

    fn set_engine_goal(&mut self, engine: &EngineName, goal: Goal) -> bool {
        let orders = self.orders.get_mut(engine);
        orders.map(|orders| orders.set_goal(goal)).is_some()
    }

    /// Starts the next change that the pool needs, if any: loads first, then roles. Returns whether
    /// one was started.
    fn start_next_change(&mut self, pool: &Pool) -> bool {
        if let Some((engine, goal)) = self.rollout.start_next_load(&self.node, pool) {
            return self.set_engine_goal(&engine, goal);
        }
        let Some(change) = next_change(&self.node, pool) else {
            return false;
        };
        let role = change.role.name();
        log::info!("engine {} will change to role {role}", change.engine);
        self.set_engine_goal(&change.engine, Goal::Role(change.role))
    }
}

fn next_change(node: &Node, pool: &Pool) -> Option<PlannedChange> {
    let limits: Vec<RoleLimit> = pool
        .roles
        .iter()
        .map(|bounds| RoleLimit {
            role: bounds.role,
            min_engines: bounds.least,
            max_engines: bounds.most.unwrap_or(u32::MAX),
        })
        .collect();
    let engines = node.with_engines(|engines| {
        let views = pool.backends.iter().filter_map(|backend| {
            let state = engines.get(&backend.name)?.state.as_ref()?;
            Some(EngineView {
                name: backend.name.clone(),
                role: state.role,
                requests: state.requests,
            })
        });
        views.collect::<Vec<_>>()
    });
    if engines.len() < pool.backends.len() {
        return None;
    }
    plan_change_for_limits(&engines, &limits)
}
