//! Updates the directory of workers from the workers' entries in the mirror of the store, entry by entry.
//!
//! The key of an entry is the worker's name; each start of the worker is another incarnation ([`WorkerId`]). Entries that
//! do not describe a usable worker are ignored.
//!
//! A store that was restored from a backup announces its state of some seconds earlier, including workers that have since
//! said that they are leaving, or that have departed. These remain known as leaving.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Item, Position, Touched, Worker, WorkerId, WorkerState};
use tokio::time::sleep;

use crate::departed_workers::DepartedWorkers;
use crate::events::{Event, Priority};
use crate::mirror_refresh::record_refused_item;
use crate::state::{saturating_millis, Shared};
use crate::store_contact::name_of_source;

/// Minimum time between two log lines about changes of the workers.
const CHANGE_LOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which overdue workers and distrusted entries are checked.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The workers' entries as last decoded, by name.
#[derive(Debug, Default)]
pub struct WorkerEntries {
    entries: HashMap<String, WorkerEntry>,
    departed: DepartedWorkers,
}

/// A decoded entry.
#[derive(Debug)]
struct WorkerEntry {
    written: Position,
    /// The worker that it describes, if it describes a usable one.
    worker: Option<Worker>,
    /// The number of heartbeats that the worker had written with it.
    heartbeats: Option<u64>,
    /// Whether the worker was announced to the directory: its service is part of the configuration.
    is_announced: bool,
    /// The previous incarnation, if it ended without notice: it was ready until this one started.
    ended_incarnation: Option<WorkerId>,
}

impl WorkerEntry {
    /// Returns whether it says that this worker is leaving.
    fn says_leaving(&self, id: &WorkerId) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| worker.id == *id && worker.state == WorkerState::Draining)
    }

    /// Returns whether it describes the same incarnation as another entry.
    fn describes_same(&self, other: Option<&Worker>) -> bool {
        let id = |worker: &Worker| worker.id.clone();
        self.worker.is_some() && self.worker.as_ref().map(id) == other.map(id)
    }
}

impl WorkerEntries {
    /// Returns whether an incarnation of a worker has ended without notice, because another one has started under the same
    /// name.
    pub fn has_restarted(&self, id: &WorkerId) -> bool {
        let entry = self.entries.get(id.as_str());
        entry.is_some_and(|entry| entry.ended_incarnation.as_ref() == Some(id))
    }

    /// Forgets workers that departed long ago, and returns the names of entries that are trusted again and must be
    /// refreshed.
    fn expire(&mut self, now: Timestamp) -> Vec<String> {
        let trusted_again = self.departed.expire(now);
        for name in &trusted_again {
            let entry = self.entries.remove(name);
            if let Some(worker) = entry.and_then(|entry| entry.worker) {
                self.departed.remove(&worker.id);
            }
        }
        trusted_again
    }
}

/// Applies the entries that were touched. `services_changed` says that the services of the configuration have changed.
pub fn refresh(shared: &Arc<Shared>, touched: &Touched, services_changed: bool) {
    let prefix = shared.store_schema.worker_prefix();
    match touched {
        Touched::Nothing => {}
        Touched::Changes { keys, intermediate } => {
            for item in intermediate {
                if let Some(name) = item.key.strip_prefix(prefix) {
                    apply_entry(shared, name, Some(item));
                }
            }
            let names = keys.iter().filter_map(|key| key.strip_prefix(prefix));
            names.for_each(|name| refresh_entry(shared, name));
        }
        Touched::Everything => {
            let names = all_names(shared, prefix);
            names.iter().for_each(|name| refresh_entry(shared, name));
        }
    }
    if services_changed {
        announce_all(shared);
    }
    let ready = shared.directory.lock().ready_workers();
    shared.metrics.ready_workers.set(ready as i64);
    log_if_changed(shared);
}

/// Returns the names of all entries, including those that were removed from the store.
fn all_names(shared: &Shared, prefix: &str) -> Vec<String> {
    let mirror = shared.mirror.lock();
    let listed = mirror.items_with_prefix(prefix);
    let listed = listed.map(|item| item.key[prefix.len()..].to_owned());
    let mut names: Vec<String> = listed.collect();
    drop(mirror);
    let known = shared.worker_entries.lock();
    names.extend(known.entries.keys().cloned());
    names.sort_unstable();
    names.dedup();
    names
}

/// Applies the current state of one entry in the mirror of the store.
fn refresh_entry(shared: &Shared, name: &str) {
    let key = format!("{}{name}", shared.store_schema.worker_prefix());
    let mirror = shared.mirror.lock();
    let item = mirror.get(&key).cloned();
    drop(mirror);
    apply_entry(shared, name, item.as_ref());
}

/// Applies a state of one entry; `None` if it was removed.
fn apply_entry(shared: &Shared, name: &str, item: Option<&Item>) {
    let epoch = shared.mirror.lock().position().epoch;
    let mut known = shared.worker_entries.lock();
    let previous = known.entries.remove(name);
    let Some(item) = item else {
        let announced = previous.filter(|entry| entry.is_announced);
        if let Some(worker) = announced.and_then(|entry| entry.worker) {
            known.departed.record(&worker.id, epoch, shared.now());
            drop(known);
            handle_removed_entry(shared, &worker);
        }
        return;
    };
    let entry = match previous {
        Some(unchanged) if unchanged.written == item.written => unchanged,
        previous => apply_written_entry(shared, &mut known, name, item, previous),
    };
    known.entries.insert(name.to_owned(), entry);
}

/// Decodes and applies an entry that was written.
fn apply_written_entry(
    shared: &Shared,
    known: &mut WorkerEntries,
    name: &str,
    item: &Item,
    previous: Option<WorkerEntry>,
) -> WorkerEntry {
    let decoded = shared.store_schema.decode_worker(name, &item.value);
    let written_by = decoded.as_ref().ok().map(|worker| worker.id.clone());
    let heartbeats = shared.store_schema.decode_heartbeats(&item.value);
    let worker = decoded.map_err(|error| record_refused_item(shared, item, &error));
    let worker = worker.map(|worker| {
        // The store may apply a write after a later one.
        let is_late_write = previous.as_ref().is_some_and(|previous| {
            previous.says_leaving(&worker.id) && heartbeats < previous.heartbeats
        });
        let departed = &mut known.departed;
        let is_still_leaving = is_late_write
            || is_still_leaving(
                departed,
                shared.now(),
                &worker,
                item.written,
                previous.as_ref(),
            );
        match is_still_leaving {
            true => as_leaving(worker),
            false => worker,
        }
    });
    let heartbeats = match &previous {
        Some(previous) if previous.describes_same(worker.as_ref().ok()) => {
            heartbeats.max(previous.heartbeats)
        }
        _ => heartbeats,
    };
    let previous_worker = previous.as_ref().and_then(|entry| entry.worker.as_ref());
    let worker = match (worker.ok(), previous_worker) {
        // A late write by an earlier incarnation: the later one remains.
        (Some(worker), Some(later)) if worker.id.is_earlier_incarnation_of(&later.id) => {
            Some(later.clone())
        }
        (worker, _) => worker,
    };
    let ended_incarnation = ended_incarnation(shared, previous.as_ref(), worker.as_ref());
    let announced_previously = previous.filter(|entry| entry.is_announced);
    if let Some(known) = announced_previously.and_then(|entry| entry.worker) {
        let same = worker.as_ref().filter(|worker| worker.id == known.id);
        match same.map(|worker| worker.state) {
            Some(WorkerState::Ready) => {}
            Some(WorkerState::Draining) => log_departure(shared, &known, "draining"),
            None => {
                log_departure(shared, &known, "restarted");
                shared.directory.lock().withdraw(&known.id);
            }
        }
    }
    if worker.as_ref().map(|worker| &worker.id) == written_by.as_ref() {
        written_by
            .iter()
            .for_each(|id| record_departure(shared, id, item));
    }
    let is_announced = worker
        .as_ref()
        .is_some_and(|worker| announce(shared, worker));
    WorkerEntry {
        written: item.written,
        worker,
        heartbeats,
        is_announced,
        ended_incarnation,
    }
}

/// Records the remaining time of a worker whose entry states it.
fn record_departure(shared: &Shared, id: &WorkerId, item: &Item) {
    let Some(remaining) = shared.store_schema.decode_remaining_time(&item.value) else {
        return;
    };
    let now = shared.now();
    let max_delay = shared.store_contact.longest_delay(now);
    let mut directory = shared.directory.lock();
    directory.record_departure(now, id, remaining, max_delay);
}

/// Returns whether a worker is leaving or has departed although a restored store says that it is ready. Entries that were
/// written since the restore are trusted.
fn is_still_leaving(
    departed: &mut DepartedWorkers,
    now: Timestamp,
    worker: &Worker,
    written: Position,
    previous: Option<&WorkerEntry>,
) -> bool {
    match previous {
        Some(previous) if previous.written.epoch == written.epoch => false,
        Some(previous) => previous.says_leaving(&worker.id),
        None if departed.had_departed(&worker.id, written) => {
            departed.distrust(worker.id.as_str(), now);
            true
        }
        None => false,
    }
}

fn as_leaving(worker: Worker) -> Worker {
    Worker {
        state: WorkerState::Draining,
        ..worker
    }
}

/// Returns the incarnation that has ended without notice, because an entry names another one now or did so before.
fn ended_incarnation(
    shared: &Shared,
    previous: Option<&WorkerEntry>,
    worker: Option<&Worker>,
) -> Option<WorkerId> {
    let previous = previous?;
    let previous_worker = previous.worker.as_ref()?;
    match worker {
        Some(worker) if worker.id != previous_worker.id => {
            let has_stated_leaving = || {
                shared
                    .directory
                    .lock()
                    .has_stated_leaving(&previous_worker.id)
            };
            let ended_without_notice =
                previous_worker.state == WorkerState::Ready && !has_stated_leaving();
            ended_without_notice.then(|| previous_worker.id.clone())
        }
        _ => previous.ended_incarnation.clone(),
    }
}

/// Announces a worker to the directory if its service is part of the configuration, and returns whether it is. Anyone may
/// write an entry; nothing may be sent to a worker of an unknown service.
fn announce(shared: &Shared, worker: &Worker) -> bool {
    let lapsed = shared
        .lapsed_workers
        .lock()
        .record_returned_entry(worker.id.as_str());
    let mut directory = shared.directory.lock();
    if let Some(lapsed) = lapsed.filter(|lapsed| *lapsed != worker.id) {
        directory.withdraw(&lapsed);
    }
    let in_force = shared.in_force();
    let is_known_service =
        in_force.is_some_and(|in_force| in_force.configuration.service(&worker.service).is_some());
    match is_known_service {
        true => directory.announce_one(worker.clone()),
        false => directory.withdraw(&worker.id),
    }
    drop(directory);
    if is_known_service {
        let mut versions = shared.stream_versions.versions.lock();
        versions.observe(shared.now(), &worker.service, &worker.version);
    }
    is_known_service
}

fn handle_removed_entry(shared: &Shared, worker: &Worker) {
    let returned = shared.store_contact.last_return();
    let is_leaving = shared.directory.lock().has_stated_leaving(&worker.id);
    let mut lapsed = shared.lapsed_workers.lock();
    let is_usable = !is_leaving && lapsed.record_missing_entry(shared.now(), returned, worker);
    shared.metrics.lapsed_workers.set(lapsed.len() as i64);
    drop(lapsed);
    log_departure(shared, worker, if is_usable { "lapsed" } else { "removed" });
    if !is_usable {
        shared.directory.lock().withdraw(&worker.id);
    }
}

/// Logs that the store no longer announces a worker as ready. `worker` is the worker as it was known before.
fn log_departure(shared: &Shared, worker: &Worker, cause: &'static str) {
    if worker.state != WorkerState::Ready {
        return;
    }
    let contact = &shared.store_contact;
    let event = Event::WorkerDeparted {
        worker: worker.id.as_str(),
        cause,
        heard_from: &name_of_source(contact.heard_from()),
        revision: shared.mirror.lock().position().revision,
        delay_ms: saturating_millis(contact.longest_delay(shared.now())),
    };
    shared.log.record(Priority::Important, &event);
}

/// Announces all workers again after the services of the configuration have changed.
fn announce_all(shared: &Shared) {
    let mut known = shared.worker_entries.lock();
    for entry in known.entries.values_mut() {
        entry.is_announced = entry
            .worker
            .as_ref()
            .is_some_and(|worker| announce(shared, worker));
    }
}

/// Withdraws workers whose entries expired while the store was unavailable, once they are overdue. Also refreshes entries
/// that are trusted again.
pub async fn withdraw_overdue_workers(shared: Arc<Shared>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        let returned = shared.store_contact.last_return();
        let now = shared.now();
        let overdue = shared.lapsed_workers.lock().take_overdue(now, returned);
        overdue.iter().for_each(|worker| {
            log_departure(&shared, worker, "overdue");
            shared.directory.lock().withdraw(&worker.id);
        });
        let lapsed = shared.lapsed_workers.lock().len();
        shared.metrics.lapsed_workers.set(lapsed as i64);
        let trusted_again = shared.worker_entries.lock().expire(now);
        trusted_again
            .iter()
            .for_each(|name| refresh_entry(&shared, name));
    }
}

/// Logs changes in the number of ready workers that followed another log line too quickly to be logged at once.
pub async fn log_worker_changes(shared: Arc<Shared>) {
    loop {
        sleep(CHANGE_LOG_INTERVAL).await;
        log_if_changed(&shared);
    }
}

fn log_if_changed(shared: &Shared) {
    let ready = shared.directory.lock().ready_workers();
    if !shared
        .logged_workers
        .lock()
        .record_if_due(shared.now(), ready)
    {
        return;
    }
    let revision = shared.mirror.lock().position().revision;
    let event = Event::WorkersChanged { ready, revision };
    shared.log.record(Priority::Important, &event);
}

/// The number of ready workers that was logged last.
#[derive(Debug, Default)]
pub struct LoggedWorkers {
    logged_ready: usize,
    next_log_at: Timestamp,
}

impl LoggedWorkers {
    /// Returns whether a log line is due, because the number has changed and the last line is old enough. If so, records
    /// that the line is logged.
    pub fn record_if_due(&mut self, now: Timestamp, ready: usize) -> bool {
        let is_due = ready != self.logged_ready && now >= self.next_log_at;
        if is_due {
            self.logged_ready = ready;
            self.next_log_at = now + CHANGE_LOG_INTERVAL;
        }
        is_due
    }
}
