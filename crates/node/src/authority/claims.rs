//! Keeps the node's claims on the pools of its zone: one read of every claim a period, and one
//! task for each pool that is held.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use tansyhall_authority::claim::claim_delay;
use tansyhall_authority::{ClaimAction, ClaimEvent, ClaimRecord, Epoch, Lease, PoolClaim};
use tansyhall_core::{Duration, NodeId, PoolName};
use tansyhall_platform::{
    Compare, EtcdStore, KeyValue, KeyValueStore, LeaseId, Operation, StoreError, Transaction,
};

use super::pool;
use super::shared::SharedAuthority;
use crate::state::Node;

/// Prefix of the keys that tell who holds each pool.
const AUTHORITY_PREFIX: &str = "/tansyhall/authority/";
/// Longest wait of a node before it claims a free pool; the wait spreads pools over nodes.
const CLAIM_SPREAD: Duration = Duration::from_millis(1_000);

/// The value of a pool's key.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    node: NodeId,
    lease: i64,
}

/// Reads every claim once a period and claims what is free, until the node ends.
pub async fn keep_claims(node: Arc<Node>, store: EtcdStore, authority: SharedAuthority) {
    loop {
        actix_rt::time::sleep(node.settings.authority.plan_period).await;
        let pools = pools_of_zone(&node);
        if pools.is_empty() || authority.lease().is_none() {
            continue;
        }
        if keep_once(&node, &store, &authority, &pools).await.is_err() {
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
) -> Result<(), StoreError> {
    let records = read_claims(store).await?;
    let to_create = observe(node, authority, pools, &records);
    if to_create.is_empty() {
        return Ok(());
    }
    let creations = to_create
        .iter()
        .map(|(pool, lease)| create(node, store, pool, *lease));
    join_all(creations).await;
    // Whatever was answered, the keys themselves tell who holds the pools and in which epoch.
    let records = read_claims(store).await?;
    observe(node, authority, pools, &records);
    Ok(())
}

async fn read_claims(store: &EtcdStore) -> Result<HashMap<PoolName, ClaimRecord>, StoreError> {
    let range = store.range(AUTHORITY_PREFIX).await?;
    Ok(range.entries.iter().filter_map(decode).collect())
}

/// A key with a value that does not parse counts as another's.
fn decode(entry: &KeyValue) -> Option<(PoolName, ClaimRecord)> {
    let pool = entry.key.strip_prefix(AUTHORITY_PREFIX)?;
    let lease = serde_json::from_slice::<ClaimValue>(&entry.value).map_or(0, |claim| claim.lease);
    let record = ClaimRecord {
        lease: Lease(lease),
        epoch: Epoch(entry.created.0),
    };
    Some((pool.into(), record))
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

async fn create(
    node: &Node,
    store: &EtcdStore,
    pool: &PoolName,
    lease: Lease,
) -> Result<(), StoreError> {
    let key = format!("{AUTHORITY_PREFIX}{pool}");
    let claim = ClaimValue {
        node: node.settings.name.clone(),
        lease: lease.0,
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
