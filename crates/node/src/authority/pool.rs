//! What the holder of one pool does, as a task of its own: seals every reachable engine, undoes
//! what an earlier holder left halfway, and carries the planner's changes out, one at a time.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use tansyhall_authority::{EngineOrders, Epoch, Goal, Outcome};
use tansyhall_config::{Backend, Pool};
use tansyhall_core::{Duration, EngineName, PoolName, Timestamp};
use tansyhall_engine::EngineClient;
use tansyhall_planner::{plan_change_for_limits, EngineView, PlannedChange, RoleLimit};

use super::engine::{advance, Progress};
use super::loads::Loads;
use super::shared::SharedAuthority;
use crate::state::Node;

/// Time between looks at a pool in which an engine is draining or changing.
const CHANGE_POLL: Duration = Duration::from_millis(50);
/// Longest wait for the requests of a draining engine; then it resumes and the change is given up.
const DRAIN_PATIENCE: Duration = Duration::from_secs(120);
/// Time after a change was given up before the pool is planned again.
const GIVEN_UP_PAUSE: Duration = Duration::from_secs(30);

/// Holds a pool in one epoch, until it is lost.
pub async fn hold(node: Arc<Node>, authority: SharedAuthority, pool: PoolName, epoch: Epoch) {
    let mut holder = PoolHolder::new(node, authority, pool, epoch);
    while holder.is_in_charge() {
        let pause = holder.round().await;
        actix_rt::time::sleep(pause).await;
    }
}

struct PoolHolder {
    node: Arc<Node>,
    authority: SharedAuthority,
    client: EngineClient,
    pool: PoolName,
    epoch: Epoch,
    orders: HashMap<EngineName, EngineOrders>,
    loads: Loads,
    plan_after: Timestamp,
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
            loads: Loads::default(),
            plan_after: Timestamp::default(),
        }
    }

    fn is_in_charge(&self) -> bool {
        self.authority.held(&self.pool) == Some(self.epoch)
    }

    /// Advances every engine as far as it goes, plans if all are settled, and returns the time to
    /// the next round.
    async fn round(&mut self) -> Duration {
        let period = self.node.settings.authority.plan_period;
        let in_force = self.node.in_force.load_full();
        let Some(pool) = in_force.configuration.pools.get(&self.pool) else {
            return period;
        };
        if !self.authority.is_valid() {
            self.node.metrics.orders_withheld.inc();
            return period;
        }
        let progress = self.advance_all(&pool.backends).await;
        if progress.contains(&Progress::LeaseInvalid) {
            self.node.metrics.orders_withheld.inc();
        }
        if progress.contains(&Progress::Settled(Outcome::GivenUp)) {
            self.give_up();
        }
        if let Some(engine) = self.loads.failed_for_good(&self.node, pool) {
            self.pursue(&engine, Goal::InService);
        }
        let settled = |progress: &Progress| matches!(progress, Progress::Settled(_));
        let settled = progress.iter().all(settled);
        if settled && self.node.clock.now() >= self.plan_after && self.plan(pool) {
            return Duration::ZERO;
        }
        if progress.contains(&Progress::Busy) {
            return CHANGE_POLL;
        }
        period
    }

    async fn advance_all(&mut self, backends: &[Backend]) -> Vec<Progress> {
        let epoch = self.epoch;
        for backend in backends {
            self.orders
                .entry(backend.name.clone())
                .or_insert_with(|| EngineOrders::new(epoch, DRAIN_PATIENCE));
        }
        let (node, client, authority) = (&self.node, &self.client, &self.authority);
        let engines = self.orders.iter_mut().filter_map(|(name, orders)| {
            let backend = backends.iter().find(|backend| backend.name == *name)?;
            Some(advance(node, client, authority, backend, orders))
        });
        join_all(engines).await
    }

    fn give_up(&mut self) {
        log::warn!(
            "pool {}: requests did not end in time; the change is given up",
            self.pool
        );
        self.node.metrics.changes_given_up.inc();
        self.plan_after = self.node.clock.now() + GIVEN_UP_PAUSE;
        for orders in self.orders.values_mut() {
            orders.set_goal(Goal::InService);
        }
    }

    fn pursue(&mut self, engine: &EngineName, goal: Goal) -> bool {
        let orders = self.orders.get_mut(engine);
        orders.map(|orders| orders.set_goal(goal)).is_some()
    }

    /// Begins the next change that the pool calls for, if any: loads first, then roles.
    fn plan(&mut self, pool: &Pool) -> bool {
        if let Some((engine, goal)) = self.loads.next(&self.node, pool) {
            return self.pursue(&engine, goal);
        }
        let Some(change) = next_change(&self.node, pool) else {
            return false;
        };
        let role = change.role.name();
        log::info!("engine {} is to play the role {role}", change.engine);
        self.pursue(&change.engine, Goal::Role(change.role))
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
