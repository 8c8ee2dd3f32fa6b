//! The list of barred requests in the store. Gateways that start, or return after a network partition or a power
//! failure, know the list before they serve, because they read the configuration from the same mirror of the store.
//!
//! Each entry is a key with its own lease that is never renewed, so the entry expires. Any gateway may write an entry.
//! Gateways wait for a time that depends on their rank, so that usually only one of them writes it.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{quarantine, Fingerprint, Mirror, UnlistedRequest};
use tansyhall_store::{Compare, KeyValueStore, LeaseId, Operation, StoreError, Transaction};
use tokio::time::sleep;

use super::record_barred;
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Prefix of the keys that list barred requests.
pub const PREFIX: &str = "tansyhall/barred/";
/// Pause between two checks for changes to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Additional delay before a gateway writes an entry, for each rank. A gateway that follows the store requests changes
/// 100 ms after each answer, and then sends them to the others.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);
/// Maximum number of these delays that a gateway waits.
const MAX_DELAYS: u32 = 6;
/// How long to wait before a change is written again if it is not visible in the mirror of the store: it may have
/// failed, or it may not have reached the mirror yet.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Updates the quarantine with the barred requests that the mirror of the store lists.
pub fn read_store_list(shared: &Shared) {
    let listed = listed(&shared.mirror.lock());
    let now = shared.now();
    let barred = shared.quarantine.lock().set_listed(now, &listed);
    record_barred(shared, &barred, "store");
}

fn listed(mirror: &Mirror) -> BTreeSet<Fingerprint> {
    let keys = mirror
        .items_with_prefix(PREFIX)
        .map(|item| &item.key[PREFIX.len()..]);
    let fingerprints = keys.filter_map(|key| u64::from_str_radix(key, 16).ok());
    fingerprints.map(Fingerprint).collect()
}

/// Writes missing entries to the store's list and deletes stale ones; runs forever.
pub async fn maintain_store_list(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut attempted_at: HashMap<Fingerprint, Timestamp> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        attempted_at.retain(|_, at| now.since(*at) < RETRY_INTERVAL);
        for change in changes(&shared, now) {
            if attempted_at.contains_key(&change.fingerprint()) {
                continue;
            }
            attempted_at.insert(change.fingerprint(), now);
            let result = match &change {
                Change::List(unlisted) => list(&*store, unlisted).await,
                Change::Unlist(fingerprint) => unlist(&*store, *fingerprint).await,
            };
            if let Err(error) = result {
                log::warn!("failed to update the list of barred requests in the store: {error}");
            }
        }
    }
}

/// A change to the store's list.
enum Change {
    List(UnlistedRequest),
    Unlist(Fingerprint),
}

impl Change {
    fn fingerprint(&self) -> Fingerprint {
        match self {
            Change::List(unlisted) => unlisted.fingerprint,
            Change::Unlist(fingerprint) => *fingerprint,
        }
    }
}

/// Returns the changes that this gateway has to make now.
fn changes(shared: &Shared, now: Timestamp) -> Vec<Change> {
    let quarantine = shared.quarantine.lock();
    let mut changes: Vec<Change> = quarantine.stale_listings().map(Change::Unlist).collect();
    let missing: Vec<UnlistedRequest> = quarantine.unlisted().collect();
    drop(quarantine);
    let due = missing.into_iter();
    let due =
        due.filter(|request| now.since(request.since) >= write_delay(shared, request.fingerprint));
    changes.extend(due.map(Change::List));
    changes
}

/// Returns how long after a request was barred this gateway writes its entry.
fn write_delay(shared: &Shared, fingerprint: Fingerprint) -> Duration {
    let own_name = shared.settings.read().node.name.clone();
    let fleet = shared.fleet.read().clone();
    let key = fingerprint.0.to_le_bytes();
    let ranked = rendezvous_rank(&key, fleet.plan.listeners());
    let rank = ranked.iter().position(|name| **name == own_name);
    let delays = rank.map_or(MAX_DELAYS, |rank| (rank as u32).min(MAX_DELAYS));
    DELAY_PER_RANK * delays
}

async fn list(store: &dyn KeyValueStore, unlisted: &UnlistedRequest) -> Result<(), StoreError> {
    let lease = with_timeout(store.grant_lease(quarantine::SUSPECT_TTL)).await?;
    let transaction = listing_transaction(unlisted, lease);
    let outcome = with_timeout(store.transact(&transaction)).await?;
    if !outcome.succeeded {
        with_timeout(store.revoke_lease(lease)).await?;
    }
    Ok(())
}

fn listing_transaction(unlisted: &UnlistedRequest, lease: LeaseId) -> Transaction {
    let key = entry_key(unlisted.fingerprint);
    Transaction {
        compare: vec![Compare::Absent(key.clone())],
        operations: vec![Operation::Put {
            key,
            value: unlisted.ends.to_string().into_bytes(),
            lease: Some(lease),
        }],
    }
}

async fn unlist(store: &dyn KeyValueStore, fingerprint: Fingerprint) -> Result<(), StoreError> {
    let removal = Operation::Delete {
        key: entry_key(fingerprint),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![removal],
    };
    with_timeout(store.transact(&transaction)).await?;
    Ok(())
}

fn entry_key(fingerprint: Fingerprint) -> String {
    format!("{PREFIX}{fingerprint}")
}
