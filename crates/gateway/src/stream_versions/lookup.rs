//! Reads the versions of streams that are recorded in the store, for requests whose streams no gateway knows. All
//! requests that wait when a read begins share it.
//!
//! The read also brings the mirror up to the store's revision. What the mirror contains then includes everything that was
//! written before the requests arrived, whatever this gateway has missed.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::try_join_all;
use parking_lot::Mutex;
use prost::Message;
use tansyhall_forwarding::{AttemptKey, Position, ReadBudget, SoftwareVersion, StreamShard};
use tansyhall_store::{KeyValue, KeyValueStore, RangeOutcome, StoreError};
use tokio::sync::{oneshot, Notify, Semaphore};
use tokio::time::sleep;

use super::message::StoredStreamsMessage;
use super::recorder::shard_prefix;
use super::RECORDS_PREFIX;
use crate::fleet::Fleet;
use crate::follower::catch_up;
use crate::state::Shared;
use crate::store_call::with_timeout;

/// Maximum number of reads in progress. A silent store holds each for the whole timeout of a call.
const MAX_READS: usize = 8;
/// Time between the beginnings of two reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a restore of the store in which workers write their entries again.
const RESTORE_RECOVERY: Duration = Duration::from_secs(3);
/// Maximum number of requests that wait for a read. Further ones get no answer.
const MAX_WAITING: usize = 4_096;

/// The recorded versions of a stream: none if it is not recorded, and normally not more than one.
pub type RecordedVersions = BTreeSet<SoftwareVersion>;

/// What the store says about a stream.
#[derive(Debug, Clone, Default)]
pub struct StoredStream {
    /// The versions at which it is recorded.
    pub versions: RecordedVersions,
    /// Whether the mirror contains everything that was written before the stream was looked for.
    pub is_mirror_current: bool,
}

/// The streams that requests look for in the store.
#[derive(Debug, Default)]
pub struct Lookups {
    waiting: Mutex<Vec<Lookup>>,
    requested: Notify,
}

#[derive(Debug)]
struct Lookup {
    /// The attempt that brought the first event, if the caller names it.
    attempt: Option<AttemptKey>,
    answer: oneshot::Sender<StoredStream>,
}

impl Lookups {
    /// Looks for a stream in the store. Without an answer of the store, the sender is dropped.
    pub fn request(&self, attempt: Option<AttemptKey>) -> oneshot::Receiver<StoredStream> {
        let (answer, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock();
        if waiting.len() < MAX_WAITING {
            waiting.push(Lookup { attempt, answer });
        }
        drop(waiting);
        self.requested.notify_one();
        receiver
    }

    /// Returns the lookups whose requests still wait.
    fn take(&self) -> Vec<Lookup> {
        let mut lookups = std::mem::take(&mut *self.waiting.lock());
        lookups.retain(|lookup| !lookup.answer.is_closed());
        lookups
    }

    /// Makes lookups wait for the next read.
    fn put_back(&self, lookups: Vec<Lookup>) {
        self.waiting.lock().extend(lookups);
        self.requested.notify_one();
    }
}

/// Reads the store when streams are looked for; runs forever. A read does not wait for the one before, which may be slow.
pub async fn read_records(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let lookups = &shared.stream_versions.lookups;
    let budget = Rc::new(RefCell::new(ReadBudget::default()));
    let reads = Arc::new(Semaphore::new(MAX_READS));
    loop {
        lookups.requested.notified().await;
        let Ok(permit) = Arc::clone(&reads).acquire_owned().await else {
            return;
        };
        let fleet = shared.fleet.read().clone();
        let gathering = budget.borrow().gathering(shared.now(), fleet.len());
        sleep(gathering).await;
        let waiting = lookups.take();
        if waiting.is_empty() {
            continue;
        }
        let prefixes = prefixes(&fleet, &waiting);
        budget
            .borrow_mut()
            .record_calls(shared.now(), fleet.len(), prefixes.len());
        let read = StoreRead {
            shared: Arc::clone(&shared),
            store: Rc::clone(&store),
            budget: Rc::clone(&budget),
            prefixes,
            waiting,
        };
        actix_rt::spawn(async move {
            read.answer().await;
            drop(permit);
        });
        sleep(READ_INTERVAL).await;
    }
}

/// A read of the store, and the requests that wait for it.
struct StoreRead {
    shared: Arc<Shared>,
    store: Rc<dyn KeyValueStore>,
    budget: Rc<RefCell<ReadBudget>>,
    prefixes: BTreeSet<String>,
    waiting: Vec<Lookup>,
}

impl StoreRead {
    /// Answers the requests, or makes them wait for the next read if this one fails.
    async fn answer(self) {
        let Self {
            shared,
            store,
            budget,
            prefixes,
            waiting,
        } = self;
        match read(&*store, &prefixes, &waiting).await {
            Ok((found, position)) => {
                if shared.mirror.lock().position() < position {
                    let gateways = shared.fleet.read().len();
                    budget.borrow_mut().record_calls(shared.now(), gateways, 1);
                }
                let is_mirror_current = is_mirror_current(&shared, &*store, position).await;
                for Lookup { attempt, answer } in waiting {
                    let versions = attempt.and_then(|attempt| found.get(&attempt).cloned());
                    let _ = answer.send(StoredStream {
                        versions: versions.unwrap_or_default(),
                        is_mirror_current,
                    });
                }
            }
            Err(error) => {
                log::debug!("failed to read the versions of streams: {error}");
                shared.stream_versions.lookups.put_back(waiting);
            }
        }
    }
}

/// Brings the mirror up to a position of the store. Returns whether it contains everything that was written before. A store
/// that was restored lately may lack entries that are about to be written again.
async fn is_mirror_current(
    shared: &Arc<Shared>,
    store: &dyn KeyValueStore,
    position: Position,
) -> bool {
    let is_current = catch_up(shared, store, position).await;
    let contact = &shared.store_contact;
    is_current && !contact.was_restored_within(shared.now(), RESTORE_RECOVERY)
}

/// Reads the records. Returns the versions of the streams and the position of the store.
async fn read(
    store: &dyn KeyValueStore,
    prefixes: &BTreeSet<String>,
    lookups: &[Lookup],
) -> Result<(HashMap<AttemptKey, RecordedVersions>, Position), StoreError> {
    let ranges = prefixes
        .iter()
        .map(|prefix| with_timeout(store.range(prefix)));
    let ranges = try_join_all(ranges).await?;
    let position_of = |range: &RangeOutcome| Position::new(range.epoch.0, range.revision.0);
    let position = ranges.iter().map(position_of).max();
    let entries = ranges.into_iter().flat_map(|range| range.entries);
    let mut found: HashMap<AttemptKey, RecordedVersions> = lookups
        .iter()
        .filter_map(|lookup| Some((lookup.attempt?, RecordedVersions::new())))
        .collect();
    for entry in entries {
        add_matches(&entry, &mut found);
    }
    Ok((found, position.unwrap_or_default()))
}

/// Returns the prefixes of the records that may contain these streams. A large fleet may have been small when they began.
fn prefixes(fleet: &Fleet, lookups: &[Lookup]) -> BTreeSet<String> {
    if !fleet.recorders.is_divided() {
        return BTreeSet::from([RECORDS_PREFIX.to_owned()]);
    }
    let attempts = lookups.iter().filter_map(|lookup| lookup.attempt);
    let shards = attempts.map(StreamShard::part_of);
    let shards = shards.chain([StreamShard::Whole]);
    shards.map(shard_prefix).collect()
}

fn add_matches(entry: &KeyValue, found: &mut HashMap<AttemptKey, RecordedVersions>) {
    match StoredStreamsMessage::decode(entry.value.as_slice()) {
        Ok(streams) => {
            for record in streams.records() {
                if let Some(versions) = found.get_mut(&record.attempt) {
                    versions.insert(record.version);
                }
            }
        }
        Err(error) => log::warn!(
            "ignoring invalid records of streams at {}: {error}",
            entry.key
        ),
    }
}
