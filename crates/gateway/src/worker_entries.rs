//! Workers' entries in the copy of the store become the workers that this gateway knows, entry by entry.
//!
//! An entry belongs to the worker whose name its key is; each start of the worker is another life ([`WorkerId`]).
//! Entries that name no worker that could be used are passed over.
//!
//! A restored store says again what it said some seconds before: also of workers that have said since that they leave,
//! or that have left. Those stay known as leaving.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Item, Position, Touched, Worker, WorkerId, WorkerState};
use tokio::time::sleep;

use crate::departed_workers::LeftWorkers;
use crate::events::{Event, Weight};
use crate::mirror_refresh::record_refused;
use crate::state::Shared;

/// The least time between two lines about changes of the workers.
const CHANGES_PACE: Duration = Duration::from_millis(1_000);
/// Pause between two looks for workers that are overdue.
const LAPSE_PACE: Duration = Duration::from_millis(200);

/// The workers' entries as they were decoded last, by name.
#[derive(Debug, Default)]
pub struct WorkerEntries {
    entries: HashMap<String, WorkerEntry>,
    left: LeftWorkers,
}

/// An entry.
#[derive(Debug)]
struct WorkerEntry {
    written: Position,
    /// The worker that it names, if it names one.
    worker: Option<Worker>,
    /// Whether that worker was announced to the directory: its service is one of the configuration's.
    announced: bool,
    /// The life before this one, if it took requests until this one began.
    ended_life: Option<WorkerId>,
}

impl WorkerEntry {
    /// Whether it says that this worker leaves.
    fn says_leaving(&self, id: &WorkerId) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| worker.id == *id && worker.state == WorkerState::Draining)
    }
}

impl WorkerEntries {
    /// Whether a life of a worker has ended without notice: another one has begun under its name.
    pub fn was_reborn(&self, id: &WorkerId) -> bool {
        let entry = self.entries.get(id.as_str());
        entry.is_some_and(|entry| entry.ended_life.as_ref() == Some(id))
    }

    /// Forgets workers that have left long ago, and returns the names of entries that count again, to be taken in anew.
    fn expire(&mut self, now: Timestamp) -> Vec<String> {
        let credible = self.left.expire(now);
        for name in &credible {
            let entry = self.entries.remove(name);
            if let Some(worker) = entry.and_then(|entry| entry.worker) {
                self.left.forget(&worker.id);
            }
        }
        credible
    }
}

/// Takes in the entries that were touched. `services_changed` tells that the configuration names other services.
pub fn refresh(shared: &Arc<Shared>, touched: &Touched, services_changed: bool) {
    let prefix = shared.catalogue.worker_prefix();
    match touched {
        Touched::Nothing => {}
        Touched::Keys(keys) => {
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

/// The names of all entries, those that are gone included.
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

/// Takes in what the copy of the store says under a name now.
fn refresh_entry(shared: &Shared, name: &str) {
    let key = format!("{}{name}", shared.catalogue.worker_prefix());
    let mirror = shared.mirror.lock();
    let item = mirror.get(&key).cloned();
    let epoch = mirror.position().epoch;
    drop(mirror);
    let mut known = shared.worker_entries.lock();
    let before = known.entries.remove(name);
    let Some(item) = item else {
        let announced = before.filter(|entry| entry.announced);
        if let Some(worker) = announced.and_then(|entry| entry.worker) {
            known.left.remember(&worker.id, epoch, shared.now());
            drop(known);
            entry_gone(shared, &worker);
        }
        return;
    };
    let entry = match before {
        Some(unchanged) if unchanged.written == item.written => unchanged,
        before => changed_entry(shared, &mut known, name, &item, before),
    };
    known.entries.insert(name.to_owned(), entry);
}

/// Takes in an entry that was written.
fn changed_entry(
    shared: &Shared,
    known: &mut WorkerEntries,
    name: &str,
    item: &Item,
    before: Option<WorkerEntry>,
) -> WorkerEntry {
    let decoded = shared.catalogue.worker(name, &item.value);
    let worker = decoded.map_err(|error| record_refused(shared, item, &error));
    let worker = worker.map(|worker| {
        let left = &mut known.left;
        match leaves_still(left, shared.now(), &worker, item.written, before.as_ref()) {
            true => leaving(worker),
            false => worker,
        }
    });
    let before_worker = before.as_ref().and_then(|entry| entry.worker.as_ref());
    let worker = match (worker.ok(), before_worker) {
        // What an earlier life wrote came late: the later one is there.
        (Some(worker), Some(later)) if worker.id.is_earlier_incarnation_of(&later.id) => {
            Some(later.clone())
        }
        (worker, _) => worker,
    };
    let ended_life = ended_life(shared, before.as_ref(), worker.as_ref());
    let announced_before = before.filter(|entry| entry.announced);
    if let Some(gone) = announced_before.and_then(|entry| entry.worker) {
        if worker.as_ref().is_none_or(|worker| worker.id != gone.id) {
            shared.directory.lock().withdraw(&gone.id);
        }
    }
    let announced = worker
        .as_ref()
        .is_some_and(|worker| announce(shared, worker));
    WorkerEntry {
        written: item.written,
        worker,
        announced,
        ended_life,
    }
}

/// Whether a worker leaves, or has left, though a restored store says that it is ready. What was written since the
/// restore is believed.
fn leaves_still(
    left: &mut LeftWorkers,
    now: Timestamp,
    worker: &Worker,
    written: Position,
    before: Option<&WorkerEntry>,
) -> bool {
    match before {
        Some(before) if before.written.epoch == written.epoch => false,
        Some(before) => before.says_leaving(&worker.id),
        None if left.had_left(&worker.id, written) => {
            left.doubt(worker.id.as_str(), now);
            true
        }
        None => false,
    }
}

fn leaving(worker: Worker) -> Worker {
    Worker {
        state: WorkerState::Draining,
        ..worker
    }
}

/// The life that has ended without notice as an entry names another, or had ended so before.
fn ended_life(
    shared: &Shared,
    before: Option<&WorkerEntry>,
    worker: Option<&Worker>,
) -> Option<WorkerId> {
    let before = before?;
    let was = before.worker.as_ref()?;
    match worker {
        Some(worker) if worker.id != was.id => {
            let has_said = || shared.directory.lock().has_stated_leaving(&was.id);
            let is_without_notice = was.state == WorkerState::Ready && !has_said();
            is_without_notice.then(|| was.id.clone())
        }
        _ => before.ended_life.clone(),
    }
}

/// Announces a worker to the directory if the configuration names its service. An entry may come from anybody;
/// nothing is to be sent to a worker of a service that is none.
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
    let is_named =
        in_force.is_some_and(|in_force| in_force.configuration.service(&worker.service).is_some());
    match is_named {
        true => directory.announce_one(worker.clone()),
        false => directory.withdraw(&worker.id),
    }
    is_named
}

fn entry_gone(shared: &Shared, worker: &Worker) {
    let returned = shared.store_contact.returned();
    let leaves = shared.directory.lock().has_stated_leaving(&worker.id);
    let mut lapsed = shared.lapsed_workers.lock();
    let counts = !leaves && lapsed.record_missing_entry(shared.now(), returned, worker);
    drop(lapsed);
    if !counts {
        shared.directory.lock().withdraw(&worker.id);
    }
}

/// Announces all workers anew, as other services are named than before.
fn announce_all(shared: &Shared) {
    let mut known = shared.worker_entries.lock();
    for entry in known.entries.values_mut() {
        entry.announced = entry
            .worker
            .as_ref()
            .is_some_and(|worker| announce(shared, worker));
    }
}

/// Takes workers whose entries ran out while the store was away for gone once they are overdue.
pub async fn end_lapses(shared: Arc<Shared>) {
    loop {
        sleep(LAPSE_PACE).await;
        let returned = shared.store_contact.returned();
        let now = shared.now();
        let overdue = shared.lapsed_workers.lock().take_overdue(now, returned);
        let mut directory = shared.directory.lock();
        overdue.iter().for_each(|worker| directory.withdraw(worker));
        drop(directory);
        let credible = shared.worker_entries.lock().expire(now);
        credible
            .iter()
            .for_each(|name| refresh_entry(&shared, name));
    }
}

/// Logs changes of the workers that take requests which came too soon after a line about others.
pub async fn log_worker_changes(shared: Arc<Shared>) {
    loop {
        sleep(CHANGES_PACE).await;
        log_if_changed(&shared);
    }
}

fn log_if_changed(shared: &Shared) {
    let ready = shared.directory.lock().ready_workers();
    if !shared.logged_workers.lock().is_due(shared.now(), ready) {
        return;
    }
    let revision = shared.mirror.lock().position().revision;
    let event = Event::WorkersChanged { ready, revision };
    shared.log.record(Weight::Important, &event);
}

/// The number of workers that take requests as it was logged last.
#[derive(Debug, Default)]
pub struct LoggedWorkers {
    ready: usize,
    next: Timestamp,
}

impl LoggedWorkers {
    /// Whether a line is due: the number is another, and the last line is long enough ago.
    pub fn is_due(&mut self, now: Timestamp, ready: usize) -> bool {
        let is_due = ready != self.ready && now >= self.next;
        if is_due {
            self.ready = ready;
            self.next = now + CHANGES_PACE;
        }
        is_due
    }
}
