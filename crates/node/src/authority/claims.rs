//! Maintains the node's claims on the pools of its zone: compares them with the zone's claims once
//! per planning period and runs one task for each pool that the node holds.

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

/// Longest delay before a node claims a free pool; delays differ by node, which spreads the pools
/// over the nodes.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(1_000);

/// Follows the claims of the zone and claims free pools, until the node stops.
pub async fn maintain_claims(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    let mut records = ClaimRecords::new(store.clone(), &node.settings.zone);
    loop {
        let pools = pools_of_zone(&node);
        if pools.is_empty() || authority.lease().is_none() {
            actix_rt::time::sleep(node.settings.authority.plan_period).await;
            continue;
        }
        if let Err(error) = records
            .wait_for_change(node.settings.authority.plan_period)
            .await
        {
            log::debug!("the claims on the zone's pools may be out of date: {error}");
            node.metrics.platform_errors.inc();
            continue;
        }
        if update_claims(&node, &store, &authority, &pools, &mut records)
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

async fn update_claims(
    node: &Arc<Node>,
    store: &EtcdStore,
    authority: &SharedAuthority,
    pools: &[PoolName],
    records: &mut ClaimRecords,
) -> Result<(), StoreError> {
    let to_create = step_claims(node, authority, pools, records.records());
    if to_create.is_empty() {
        return Ok(());
    }
    let creations = to_create
        .iter()
        .map(|(pool, lease)| create_claim(node, store, pool, *lease));
    join_all(creations).await;
    // Whatever the store answered, the keys themselves show who holds the pools and in which epoch.
    records.read().await?;
    step_claims(node, authority, pools, records.records());
    Ok(())
}

/// Advances every claim by the records that were read, and returns the claims to create.
fn step_claims(
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
            let delay = || claim_delay(pool, &node.settings.name, MAX_CLAIM_DELAY);
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
            ClaimAction::Lost => log::warn!("lost authority over pool {pool}"),
            ClaimAction::Acquired(epoch) => start_holding(node, authority, pool, epoch),
        }
    }
    to_create
}

fn start_holding(node: &Arc<Node>, authority: &SharedAuthority, pool: PoolName, epoch: Epoch) {
    log::info!("acquired authority over pool {pool} in epoch {}", epoch.0);
    node.metrics.pools_acquired.inc();
    let task = pool::hold_pool(Arc::clone(node), authority.clone(), pool, epoch);
    actix_rt::spawn(task);
}

/// Returns the lowest epoch in which the engines of a pool obey a new claim, as far as this node has
/// read their states.
fn lowest_obeyed_epoch(node: &Node, pool: &PoolName) -> Epoch {
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

async fn create_claim(
    node: &Node,
    store: &EtcdStore,
    pool: &PoolName,
    lease: Lease,
) -> Result<(), StoreError> {
    let key = claim_key(&node.settings.zone, pool);
    let value = ClaimValue {
        node: node.settings.name.clone(),
        lease: lease.0,
        least_epoch: lowest_obeyed_epoch(node, pool).0,
    };
    let value = serde_json::to_vec(&value);
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
