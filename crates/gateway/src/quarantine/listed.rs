//! The lists of barred requests and prompt parts in the store. Gateways that start, or return after a network partition or a power
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

use super::{record_barred, Subject};
use crate::state::Shared;
use crate::store_call::with_timeout;

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

impl Subject {
    /// Returns the prefix of the keys that list what is barred.
    pub fn key_prefix(self) -> &'static str {
        match self {
            Self::Request => "tansyhall/barred/",
            // Gateways of earlier versions take every key with the other prefix for a request.
            Self::PromptPart => "tansyhall/barred-parts/",
        }
    }

    fn set_listed(self, shared: &Shared, listed: &BTreeSet<Fingerprint>) -> Vec<Fingerprint> {
        let now = shared.now();
        match self {
            Self::Request => shared.quarantine.lock().set_listed(now, listed),
            Self::PromptPart => shared.part_quarantine.lock().set_listed(now, listed),
        }
    }

    fn stale_listings(self, shared: &Shared) -> Vec<Fingerprint> {
        match self {
            Self::Request => shared.quarantine.lock().stale_listings().collect(),
            Self::PromptPart => shared.part_quarantine.lock().stale_listings().collect(),
        }
    }

    fn unlisted(self, shared: &Shared) -> Vec<UnlistedRequest> {
        match self {
            Self::Request => shared.quarantine.lock().unlisted().collect(),
            Self::PromptPart => shared.part_quarantine.lock().unlisted().collect(),
        }
    }
}

/// Updates the quarantine with what the mirror of the store lists as barred.
pub fn read_store_list(shared: &Shared, subject: Subject) {
    let listed = listed(&shared.mirror.lock(), subject.key_prefix());
    let barred = subject.set_listed(shared, &listed);
    record_barred(shared, subject, &barred, "store");
}

fn listed(mirror: &Mirror, prefix: &str) -> BTreeSet<Fingerprint> {
    let keys = mirror
        .items_with_prefix(prefix)
        .map(|item| &item.key[prefix.len()..]);
    let fingerprints = keys.filter_map(|key| u64::from_str_radix(key, 16).ok());
    fingerprints.map(Fingerprint).collect()
}

/// Writes missing entries to the store's lists and deletes stale ones; runs forever.
pub async fn maintain_store_list(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut attempted_at: HashMap<String, Timestamp> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        attempted_at.retain(|_, at| now.since(*at) < RETRY_INTERVAL);
        for change in changes(&shared, now) {
            if attempted_at.contains_key(change.key()) {
                continue;
            }
            attempted_at.insert(change.key().to_owned(), now);
            let result = match change {
                Change::List { key, ends } => list(&*store, key, ends).await,
                Change::Unlist { key } => unlist(&*store, key).await,
            };
            if let Err(error) = result {
                log::warn!("failed to update a list of what is barred in the store: {error}");
            }
        }
    }
}

/// A change to one of the store's lists.
enum Change {
    List { key: String, ends: usize },
    Unlist { key: String },
}

impl Change {
    fn key(&self) -> &str {
        match self {
            Change::List { key, .. } | Change::Unlist { key } => key,
        }
    }
}

/// Returns the changes that this gateway has to make now.
fn changes(shared: &Shared, now: Timestamp) -> Vec<Change> {
    let subjects = Subject::ALL.into_iter();
    subjects
        .flat_map(|subject| changes_of(shared, now, subject))
        .collect()
}

fn changes_of(shared: &Shared, now: Timestamp, subject: Subject) -> Vec<Change> {
    let stale = subject.stale_listings(shared).into_iter();
    let mut changes: Vec<Change> = stale
        .map(|fingerprint| Change::Unlist {
            key: entry_key(subject, fingerprint),
        })
        .collect();
    let due = subject.unlisted(shared).into_iter();
    let due =
        due.filter(|barred| now.since(barred.since) >= write_delay(shared, barred.fingerprint));
    changes.extend(due.map(|barred| Change::List {
        key: entry_key(subject, barred.fingerprint),
        ends: barred.ends,
    }));
    changes
}

/// Returns how long after something was barred this gateway writes its entry.
fn write_delay(shared: &Shared, fingerprint: Fingerprint) -> Duration {
    let own_name = shared.settings.read().node.name.clone();
    let fleet = shared.fleet.read().clone();
    let key = fingerprint.0.to_le_bytes();
    let ranked = rendezvous_rank(&key, fleet.plan.listeners());
    let rank = ranked.iter().position(|name| **name == own_name);
    let delays = rank.map_or(MAX_DELAYS, |rank| (rank as u32).min(MAX_DELAYS));
    DELAY_PER_RANK * delays
}

async fn list(store: &dyn KeyValueStore, key: String, ends: usize) -> Result<(), StoreError> {
    let lease = with_timeout(store.grant_lease(quarantine::SUSPECT_TTL)).await?;
    let transaction = listing_transaction(key, ends, lease);
    let outcome = with_timeout(store.transact(&transaction)).await?;
    if !outcome.succeeded {
        with_timeout(store.revoke_lease(lease)).await?;
    }
    Ok(())
}

fn listing_transaction(key: String, ends: usize, lease: LeaseId) -> Transaction {
    Transaction {
        compare: vec![Compare::Absent(key.clone())],
        operations: vec![Operation::Put {
            key,
            value: ends.to_string().into_bytes(),
            lease: Some(lease),
        }],
    }
}

async fn unlist(store: &dyn KeyValueStore, key: String) -> Result<(), StoreError> {
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![Operation::Delete { key }],
    };
    with_timeout(store.transact(&transaction)).await?;
    Ok(())
}

fn entry_key(subject: Subject, fingerprint: Fingerprint) -> String {
    format!("{}{fingerprint}", subject.key_prefix())
}
