//! Follows the store: reads it once, then asks for changes at a steady pace, so that the calls of
//! a fleet grow with its gateways and not with how often workers write. What the copy holds becomes
//! the configuration in force, the workers and the fleet's size.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use tansyhall_admission::Backoff;
use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_forwarding::{
    Configuration, EngineCapacity, Item, Mirror, MirrorChange, Snapshot, Worker,
};
use tansyhall_store::{KeyValue, KeyValueStore, RangePage, Revision, StoreError, WatchEvent};
use tokio::time::sleep;

use crate::desired_roles::DesiredRoles;
use crate::events::{Event, Weight};
use crate::presence;
use crate::state::{InForce, Shared};
use crate::store_call::in_time;

/// Every key.
const EVERYTHING: &str = "";
/// Pause between two calls for changes.
const PACE: Duration = Duration::from_millis(400);
/// Pauses after failed calls; gateways that fail together do not come back together.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(120),
    most: Duration::from_millis(300),
};
/// How often a page after the first is asked for again.
const PAGE_ATTEMPTS: u32 = 40;
/// The shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(30);

/// A worker's item, decoded once for each of its revisions.
#[derive(Debug)]
pub struct DecodedWorker {
    revision: u64,
    worker: Option<Worker>,
}

/// When the store last answered.
#[derive(Debug, Default)]
pub struct StoreContact(AtomicU64);

impl StoreContact {
    fn mark(&self, now: Timestamp) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// When the store last answered.
    pub fn heard(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }

    /// Time since the store last answered, or since the clock's start.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.heard())
    }
}

/// Follows the store for ever.
pub async fn follow(shared: Arc<Shared>, store: Rc<dyn KeyValueStore>) {
    let mut lost = false;
    let mut failures = 0;
    loop {
        let heard = shared.store_contact.heard();
        let Err(error) = follow_until_error(&shared, &*store, &mut lost).await;
        if !lost && !matches!(error, StoreError::Compacted) {
            lost = true;
            record_dependency(&shared, "lost", &error.to_string());
        }
        failures = match shared.store_contact.heard() == heard {
            true => failures + 1,
            false => 0,
        };
        sleep(BACKOFF.wait(failures, rand::random()).max(MIN_PAUSE)).await;
    }
}

async fn follow_until_error(
    shared: &Arc<Shared>,
    store: &dyn KeyValueStore,
    lost: &mut bool,
) -> Result<std::convert::Infallible, StoreError> {
    read_all(shared, store).await?;
    reached(shared, lost);
    let start = shared.mirror.lock().revision() + 1;
    let mut watch = in_time(store.watch(EVERYTHING, Revision(start))).await?;
    loop {
        let Some(events) = in_time(async { watch.next().await.transpose() }).await? else {
            return Err(StoreError::NotApplied("the watch ended".into()));
        };
        reached(shared, lost);
        let changes: Vec<MirrorChange> = events.into_iter().map(change).collect();
        let revision = changes.iter().map(MirrorChange::revision).max();
        let changed = shared
            .mirror
            .lock()
            .apply(changes, revision.unwrap_or_default());
        if changed {
            refresh(shared);
        }
        sleep(PACE).await;
    }
}

/// Reads everything page by page. A page that is refused is asked for again, so that many gateways
/// that start together get through a store that serves some of them at a time.
async fn read_all(shared: &Arc<Shared>, store: &dyn KeyValueStore) -> Result<(), StoreError> {
    let mut page = read_page(store, None).await?;
    let revision = page.revision.0;
    let mut entries = page.entries;
    while let (true, Some(last)) = (page.more, entries.last()) {
        let after = last.key.clone();
        page = read_page(store, Some(&after)).await?;
        entries.append(&mut page.entries);
    }
    let snapshot = Snapshot {
        items: entries.into_iter().map(item).collect(),
        revision,
    };
    if shared.mirror.lock().replace(snapshot) {
        refresh(shared);
    }
    Ok(())
}

async fn read_page(
    store: &dyn KeyValueStore,
    after: Option<&str>,
) -> Result<RangePage, StoreError> {
    let mut failures = 0;
    loop {
        match in_time(store.range_page(EVERYTHING, after)).await {
            Err(StoreError::NotApplied(_)) if after.is_some() && failures < PAGE_ATTEMPTS => {
                failures += 1;
                sleep(BACKOFF.wait(failures, rand::random()).max(MIN_PAUSE)).await;
            }
            answered => return answered,
        }
    }
}

fn reached(shared: &Shared, lost: &mut bool) {
    shared.store_contact.mark(shared.now());
    if *lost {
        *lost = false;
        record_dependency(shared, "regained", "");
    }
}

fn record_dependency(shared: &Shared, state: &str, reason: &str) {
    let event = Event::Dependency {
        name: "store",
        state,
        reason,
    };
    shared.log.record(Weight::Important, &event);
}

fn item(entry: KeyValue) -> Item {
    Item {
        key: entry.key,
        value: entry.value,
        revision: entry.modified.0,
        created: entry.created.0,
    }
}

fn change(event: WatchEvent) -> MirrorChange {
    match event {
        WatchEvent::Put(entry) => MirrorChange::Written(item(entry)),
        WatchEvent::Delete { key, revision } => MirrorChange::Removed {
            key,
            revision: revision.0,
        },
    }
}

/// Takes in what the copy of the store holds now.
pub fn refresh(shared: &Arc<Shared>) {
    refresh_configuration(shared);
    refresh_workers(shared);
    let members = presence::members(&shared.mirror.lock()).len() as u64;
    shared.gateways.store(members.max(1), Ordering::Relaxed);
    shared.retries.lock().set_gateways(members as u32);
    shared.metrics.gateways.set(members as i64);
}

fn refresh_configuration(shared: &Arc<Shared>) {
    let key = shared.catalogue.configuration_key();
    let Some(item) = shared.mirror.lock().get(key).cloned() else {
        return;
    };
    let known = shared.in_force().map_or(0, |in_force| in_force.revision);
    if item.revision <= known {
        return;
    }
    let configuration = shared.catalogue.configuration(&item.value);
    let checked = configuration.and_then(|configuration| {
        configuration.validate()?;
        Ok(configuration)
    });
    match checked {
        Ok(configuration) => {
            let event = Event::ConfigurationApplied {
                version: configuration.version,
                revision: item.revision,
                routes: configuration.routes.len(),
            };
            shared.log.record(Weight::Important, &event);
            let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
            shared.metrics.configuration_version.set(version);
            let engines = engines(&configuration);
            shared.directory.lock().set_engines(engines);
            let in_force = InForce::new(configuration, item.revision);
            *shared.in_force.write() = Some(Arc::new(in_force));
        }
        Err(error) => record_refused(shared, &item, &error),
    }
}

fn engines(configuration: &Configuration) -> HashMap<ServiceName, EngineCapacity> {
    let engines = configuration
        .services
        .iter()
        .filter_map(|service| Some((service.name.clone(), service.engine?)));
    engines.collect()
}

fn refresh_workers(shared: &Arc<Shared>) {
    let mirror = shared.mirror.lock();
    let revision = mirror.revision();
    let desired = DesiredRoles::read(&mirror);
    let workers = decode_workers(shared, &mirror);
    drop(mirror);
    let mut directory = shared.directory.lock();
    let before = directory.ready_workers();
    directory.announce(workers);
    directory.set_desired_roles(|id| desired.get(id));
    let ready = directory.ready_workers();
    drop(directory);
    shared.metrics.ready_workers.set(ready as i64);
    shared.metrics.mirror_revision.set(revision as i64);
    if before != ready {
        let event = Event::WorkersChanged { ready, revision };
        shared.log.record(Weight::Important, &event);
    }
}

/// The workers in the copy; an item that has not changed is not decoded again.
fn decode_workers(shared: &Shared, mirror: &Mirror) -> Vec<Worker> {
    let prefix = shared.catalogue.worker_prefix();
    let mut known = shared.decoded_workers.lock();
    let mut decoded = HashMap::new();
    for item in mirror.below(prefix) {
        let id = &item.key[prefix.len()..];
        let unchanged = known
            .remove(id)
            .filter(|worker| worker.revision == item.revision);
        let worker = unchanged.unwrap_or_else(|| decode_worker(shared, id, item));
        decoded.insert(id.to_owned(), worker);
    }
    let workers = decoded.values().filter_map(|entry| entry.worker.clone());
    let workers = workers.collect();
    *known = decoded;
    workers
}

fn decode_worker(shared: &Shared, id: &str, item: &Item) -> DecodedWorker {
    let worker = shared.catalogue.worker(id, &item.value);
    DecodedWorker {
        revision: item.revision,
        worker: worker
            .map_err(|error| record_refused(shared, item, &error))
            .ok(),
    }
}

fn record_refused(shared: &Shared, item: &Item, error: &anyhow::Error) {
    let event = Event::ItemRefused {
        key: &item.key,
        revision: item.revision,
        reason: &format!("{error:#}"),
    };
    shared.log.record(Weight::Important, &event);
}
