//! Keeps the node's one lease, and claims pools with it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, AsyncContext, Context, WrapFuture};
use tansyhall_authority::LeaseClock;
use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Duration, PoolName};
use tansyhall_engine::protocol::FenceToken;
use tansyhall_engine::EngineClient;
use tansyhall_platform::{
    Compare, EtcdStore, KeyValueStore, LeaseId, Operation, StoreError, Transaction,
};

use super::holder;
use crate::state::Node;

const AUTHORITY_PREFIX: &str = "/tansyhall/authority/";
/// Longest wait of a node before it claims a free pool; the wait spreads pools over nodes.
const CLAIM_SPREAD: Duration = Duration::from_millis(1_000);

/// The lease and what is held with it.
pub struct Authority {
    /// The lease's clock.
    pub clock: LeaseClock,
    lease: Option<LeaseId>,
    held: HashMap<PoolName, FenceToken>,
}

/// Shared between the keeper's tasks, all on one thread.
pub type SharedAuthority = Rc<RefCell<Authority>>;

/// The actor that keeps the lease.
pub struct AuthorityKeeper {
    node: Arc<Node>,
    store: EtcdStore,
}

impl AuthorityKeeper {
    /// A keeper for a node.
    pub fn new(node: Arc<Node>, store: EtcdStore) -> Self {
        Self { node, store }
    }
}

impl Actor for AuthorityKeeper {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let settings = &self.node.settings.authority;
        let authority = Rc::new(RefCell::new(Authority {
            clock: LeaseClock::new(settings.margin),
            lease: None,
            held: HashMap::new(),
        }));
        let renew = renew(
            Arc::clone(&self.node),
            self.store.clone(),
            Rc::clone(&authority),
        );
        let claim = claim(Arc::clone(&self.node), self.store.clone(), authority);
        context.spawn(renew.into_actor(self));
        context.spawn(claim.into_actor(self));
    }
}

async fn renew(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    loop {
        if let Err(error) = renew_once(&node, &store, &authority).await {
            node.metrics.platform_errors.inc();
            if error == StoreError::LeaseLapsed {
                log::warn!("the lease has lapsed");
                let mut authority = authority.borrow_mut();
                authority.clock.lapsed();
                authority.lease = None;
                authority.held.clear();
            }
        }
        actix_rt::time::sleep(node.settings.authority.renewal).await;
    }
}

async fn renew_once(
    node: &Node,
    store: &EtcdStore,
    authority: &SharedAuthority,
) -> Result<(), StoreError> {
    let sent = node.clock.now();
    let lease = authority.borrow().lease;
    let time_to_live = match lease {
        Some(lease) => store.keep_alive(lease).await?,
        None => {
            let time_to_live = node.settings.authority.lease;
            let lease = store.grant_lease(time_to_live).await?;
            authority.borrow_mut().lease = Some(lease);
            time_to_live
        }
    };
    authority.borrow_mut().clock.renewed(sent, time_to_live);
    Ok(())
}

async fn claim(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    let client = EngineClient::new(node.settings.limits.connect_timeout);
    loop {
        actix_rt::time::sleep(node.settings.authority.plan_period).await;
        let in_force = node.in_force.load_full();
        for pool in in_force.configuration.pools.values() {
            if pool.zone != node.settings.zone || pool.model.is_none() {
                continue;
            }
            let held = authority.borrow().held.get(&pool.name).copied();
            if held.is_none() {
                claim_pool(&node, &store, &authority, &pool.name).await;
            }
            holder::observe(&node, &client, pool).await;
            let held = authority.borrow().held.get(&pool.name).copied();
            if let Some(token) = held {
                holder::work(&node, &client, &authority, pool, token).await;
            }
        }
        let held = authority.borrow().held.len();
        node.metrics
            .pools_held
            .set(i64::try_from(held).unwrap_or(i64::MAX));
    }
}

async fn claim_pool(node: &Node, store: &EtcdStore, authority: &SharedAuthority, pool: &PoolName) {
    let Some(lease) = authority.borrow().lease else {
        return;
    };
    actix_rt::time::sleep(claim_delay(node, pool)).await;
    let key = format!("{AUTHORITY_PREFIX}{pool}");
    // The lease is part of the value, so that a restarted node never takes the key that its
    // earlier incarnation left for its own.
    let claim = format!("{} {}", node.settings.name, lease.0).into_bytes();
    let transaction = Transaction {
        compare: vec![Compare::Absent(key.clone())],
        operations: vec![Operation::Put {
            key: key.clone(),
            value: claim.clone(),
            lease: Some(lease),
        }],
    };
    // Whatever the answer, the key itself tells who holds the pool and with which token.
    let _ = store.transact(&transaction).await;
    let Ok(range) = store.range(&key).await else {
        return;
    };
    let ours = range
        .entries
        .iter()
        .find(|entry| entry.key == key && entry.value == claim);
    let Some(entry) = ours else {
        return;
    };
    let token = FenceToken(entry.created.0);
    log::info!("authority over pool {pool} with token {}", token.0);
    authority.borrow_mut().held.insert(pool.clone(), token);
}

fn claim_delay(node: &Node, pool: &PoolName) -> Duration {
    let weight = rendezvous_weight(pool.as_ref(), node.settings.name.as_ref());
    let part = weight as f64 / u64::MAX as f64;
    CLAIM_SPREAD.mul_f64(1.0 - part)
}
