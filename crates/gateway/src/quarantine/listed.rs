//! Barred requests in the store: gateways that start, or come back from a cut or a loss of power, know
//! them before they serve, as they read the configuration from the same copy.
//!
//! Each is a key under a lease of its own that nobody renews, so that it goes by itself. Any gateway may
//! write it; they take turns by rank so that as a rule one does.

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
use crate::store_call::in_time;

/// Where barred requests are listed.
pub const PREFIX: &str = "tansyhall/barred/";
/// Pause between two looks at what is to be written.
const PACE: Duration = Duration::from_millis(250);
/// How much later each further gateway of the ranking writes: a gateway that follows the store asks it again
/// 100 ms after each answer, and tells the others then.
const TURN: Duration = Duration::from_millis(500);
/// The most turns that a gateway waits.
const MAX_TURNS: u32 = 6;
/// Pause before a call is made again whose effect is not seen in the copy of the store: it may have failed, or
/// its effect is still on its way.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Takes in which requests the copy of the store lists as barred.
pub fn read_listed(shared: &Shared) {
    let listed = listed(&shared.mirror.lock());
    let now = shared.now();
    let barred = shared.quarantine.lock().set_listed(now, &listed);
    record_barred(shared, &barred, "store");
}

fn listed(mirror: &Mirror) -> BTreeSet<Fingerprint> {
    let keys = mirror
        .items_with_prefix(PREFIX)
        .map(|item| &item.key[PREFIX.len()..]);
    let numbers = keys.filter_map(|key| u64::from_str_radix(key, 16).ok());
    numbers.map(Fingerprint).collect()
}

/// Keeps the store's list as it should be, for ever.
pub async fn keep_listed(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut called: HashMap<Fingerprint, Timestamp> = HashMap::new();
    loop {
        sleep(PACE).await;
        let now = shared.now();
        called.retain(|_, at| now.since(*at) < RETRY_PAUSE);
        for change in changes(&shared, now) {
            if called.contains_key(&change.fingerprint()) {
                continue;
            }
            called.insert(change.fingerprint(), now);
            let made = match &change {
                Change::List(unlisted) => list(&*store, unlisted).await,
                Change::TakeOff(fingerprint) => take_off(&*store, *fingerprint).await,
            };
            if let Err(error) = made {
                log::warn!("the store's list of barred requests: {error}");
            }
        }
    }
}

/// A change of the store's list.
enum Change {
    List(UnlistedRequest),
    TakeOff(Fingerprint),
}

impl Change {
    fn fingerprint(&self) -> Fingerprint {
        match self {
            Change::List(unlisted) => unlisted.fingerprint,
            Change::TakeOff(fingerprint) => *fingerprint,
        }
    }
}

/// The changes that this gateway has to make now.
fn changes(shared: &Shared, now: Timestamp) -> Vec<Change> {
    let quarantine = shared.quarantine.lock();
    let mut changes: Vec<Change> = quarantine.stale_listings().map(Change::TakeOff).collect();
    let missing: Vec<UnlistedRequest> = quarantine.unlisted().collect();
    drop(quarantine);
    let due = missing.into_iter();
    let due = due.filter(|one| now.since(one.since) >= turn_of(shared, one.fingerprint));
    changes.extend(due.map(Change::List));
    changes
}

/// How long after a bar it is this gateway's turn to write it.
fn turn_of(shared: &Shared, fingerprint: Fingerprint) -> Duration {
    let own = shared.settings.read().node.name.clone();
    let fleet = shared.fleet.read().clone();
    let key = fingerprint.0.to_le_bytes();
    let ranked = rendezvous_rank(&key, fleet.plan.listeners());
    let rank = ranked.iter().position(|name| **name == own);
    let turns = rank.map_or(MAX_TURNS, |rank| (rank as u32).min(MAX_TURNS));
    TURN * turns
}

async fn list(store: &dyn KeyValueStore, unlisted: &UnlistedRequest) -> Result<(), StoreError> {
    let lease = in_time(store.grant_lease(quarantine::SUSPECT_TTL)).await?;
    let transaction = listing(unlisted, lease);
    let outcome = in_time(store.transact(&transaction)).await?;
    if !outcome.succeeded {
        in_time(store.revoke_lease(lease)).await?;
    }
    Ok(())
}

fn listing(unlisted: &UnlistedRequest, lease: LeaseId) -> Transaction {
    let key = key_of(unlisted.fingerprint);
    Transaction {
        compare: vec![Compare::Absent(key.clone())],
        operations: vec![Operation::Put {
            key,
            value: unlisted.ends.to_string().into_bytes(),
            lease: Some(lease),
        }],
    }
}

async fn take_off(store: &dyn KeyValueStore, fingerprint: Fingerprint) -> Result<(), StoreError> {
    let removal = Operation::Delete {
        key: key_of(fingerprint),
    };
    let transaction = Transaction {
        compare: Vec::new(),
        operations: vec![removal],
    };
    in_time(store.transact(&transaction)).await?;
    Ok(())
}

fn key_of(fingerprint: Fingerprint) -> String {
    format!("{PREFIX}{fingerprint}")
}
