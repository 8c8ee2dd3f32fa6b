//! Keeps the node's claims on the pools of its zone: one look at what is known of the zone's claims
//! a period, and one task for each pool that is held.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use tansyhall_authority::claim::claim_delay;
use tansyhall_authority::{ClaimAction, ClaimEvent, ClaimRecord, Epoch, Lease, PoolClaim};
use tansyhall_core::{Duration, PoolName};
use tansyhall_store::{
    Compare, EtcdStore, KeyValueStore, LeaseId, Operation, StoreError, Transaction,
};

use super::claim_records::{claim_key, ClaimRecords, ClaimValue};
use super::pool;
use super::shared::SharedAuthority;
use crate::state::Node;

/// Longest wait of a node before it claims a free pool; the wait spreads pools over nodes.
const CLAIM_SPREAD: Duration = Duration::from_millis(1_000);

/// Follows the zone's claims and claims what is free, until the node ends.
pub async fn keep_claims(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    let mut records = ClaimRecords::new(store.clone(), &node.settings.zone);
    loop {
        let pools = pools_of_zone(&node);
        if pools.is_empty() || authority.lease().is_none() {
            actix_rt::time::sleep(node.settings.authority.plan_period).await;
            continue;
        }
        if let Err(error) = records.wait(node.settings.authority.plan_period).await {
            log::debug!("the claims are not known to be the newest: {error}");
            node.metrics.platform_errors.inc();
            continue;
        }
        if keep_once(&node, &store, &authority, &pools, &mut records)
            .await
            .is_err()
        {
            node.metrics.platform_errors.inc();
        }
    }
}

fn pools_of_zone(node: &Node) -> Vec<PoolName> {
    let in_force = node.in_force.load();
    let pools = in_force.configuration.pools.values();
    pools
        .filter(|pool| pool.zone == node.settings.zone && pool.model.is_some())
        .map(|pool| pool.name.clone())
        .collect()
}

async fn keep_once(
    node: &Arc<Node>,
    store: &EtcdStore,
    authority: &SharedAuthority,
    pools: &[PoolName],
    records: &mut ClaimRecords,
) -> Result<(), StoreError> {
    let to_create = observe(node, authority, pools, records.known());
    if to_create.is_empty() {
        return Ok(());
    }
    let creations = to_create
        .iter()
        .map(|(pool, lease)| create(node, store, pool, *lease));
    join_all(creations).await;
    // Whatever was answered, the keys themselves tell who holds the pools and in which epoch.
    records.read().await?;
    observe(node, authority, pools, records.known());
    Ok(())
}

/// Steps every claim with what was read, and returns those to create.
fn observe(
    node: &Arc<Node>,
    authority: &SharedAuthority,
    pools: &[PoolName],
    records: &HashMap<PoolName, ClaimRecord>,
) -> Vec<(PoolName, Lease)> {
    let now = node.clock.now();
    let lease = authority.lease();
    let actions: Vec<(PoolName, ClaimAction)> = authority.with_claims(|claims| {
        claims.retain(|pool, _| pools.contains(pool));
        let step = |pool: &PoolName| {
            let delay = || claim_delay(pool, &node.settings.name, CLAIM_SPREAD);
            let claim = claims
                .entry(pool.clone())
                .or_insert_with(|| PoolClaim::new(delay()));
            let record = records.get(pool).copied();
            let action = claim.step(now, ClaimEvent::Observed { record, lease });
            (pool.clone(), action)
        };
        pools.iter().map(step).collect()
    });
    let mut to_create = Vec::new();
    for (pool, action) in actions {
        match action {
            ClaimAction::Wait => {}
            ClaimAction::Create(lease) => to_create.push((pool, lease)),
            ClaimAction::Lost => log::warn!("authority over pool {pool} is lost"),
            ClaimAction::Acquired(epoch) => acquired(node, authority, pool, epoch),
        }
    }
    to_create
}

fn acquired(node: &Arc<Node>, authority: &SharedAuthority, pool: PoolName, epoch: Epoch) {
    log::info!("authority over pool {pool} in epoch {}", epoch.0);
    node.metrics.pools_acquired.inc();
    let task = pool::hold(Arc::clone(node), authority.clone(), pool, epoch);
    actix_rt::spawn(task);
}

/// The least epoch of a claim that the engines of a pool obey, as far as this node has read their states.
fn least_epoch(node: &Node, pool: &PoolName) -> Epoch {
    let in_force = node.in_force.load();
    let pool = in_force.configuration.pools.get(pool);
    let backends = pool.map_or(&[][..], |pool| &pool.backends);
    node.with_engines(|engines| {
        let states = backends.iter().filter_map(|backend| {
            let status = engines.get(&backend.name)?;
            status.state.as_ref()
        });
        Epoch::after(states.map(|state| state.fence_token))
    })
}

async fn create(
    node: &Node,
    store: &EtcdStore,
    pool: &PoolName,
    lease: Lease,
) -> Result<(), StoreError> {
    let key = claim_key(&node.settings.zone, pool);
    let claim = ClaimValue {
        node: node.settings.name.clone(),
        lease: lease.0,
        least_epoch: least_epoch(node, pool).0,
    };
    let value = serde_json::to_vec(&claim);
    let value = value.map_err(|error| StoreError::NotApplied(error.to_string()))?;
    let transaction = Transaction {
        compare: vec![Compare::Absent(key.clone())],
        operations: vec![Operation::Put {
            key,
            value,
            lease: Some(LeaseId(lease.0)),
        }],
    };
    store.transact(&transaction).await.map(|_| ())
}
