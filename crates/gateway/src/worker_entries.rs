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

use crate::events::{Event, Weight};
use crate::state::Shared;
use crate::store_copy::record_refused;

/// The least time between two lines about changes of the workers.
const CHANGES_PACE: Duration = Duration::from_millis(1_000);
/// Pause between two looks for workers that are overdue.
const LAPSE_PACE: Duration = Duration::from_millis(200);

/// How long it is remembered that a worker's entry went: longer than the copies are old from which stores are restored.
const LEFT_MEMORY: Duration = Duration::from_secs(60);
/// Time after which a worker that had left counts again if a restored store still has its entry: by then the entry of
/// one that does not write any more is gone.
const RESTORED_DOUBT: Duration = Duration::from_secs(8);

/// The workers' entries as they were decoded last, by name.
#[derive(Debug, Default)]
pub struct WorkerEntries {
    entries: HashMap<String, WorkerEntry>,
    /// Workers whose entries went.
    left: HashMap<WorkerId, Left>,
    /// Entries of a restored store whose workers had left, by name, and until when that counts.
    doubted: HashMap<String, Timestamp>,
}

/// That a worker's entry went.
#[derive(Debug)]
struct Left {
    /// The epoch of the store in which it went.
    epoch: u64,
    at: Timestamp,
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

impl WorkerEntries {
    /// Whether a life of a worker has ended without notice: another one has begun under its name.
    pub fn was_reborn(&self, id: &WorkerId) -> bool {
        let entry = self.entries.get(id.as_str());
        entry.is_some_and(|entry| entry.ended_life.as_ref() == Some(id))
    }

    fn remember_left(&mut self, worker: &Worker, epoch: u64, at: Timestamp) {
        self.left.insert(worker.id.clone(), Left { epoch, at });
    }

    /// Whether a worker had left before the store was restored to a state in which it had not.
    fn had_left(&self, worker: &Worker, written: Position) -> bool {
        let left = self.left.get(&worker.id);
        left.is_some_and(|left| left.epoch < written.epoch)
    }

    fn doubt(&mut self, name: &str, now: Timestamp) {
        let until = now + RESTORED_DOUBT;
        self.doubted.entry(name.to_owned()).or_insert(until);
    }

    /// Forgets what has gone long ago, and returns the names of entries that are doubted no more.
    fn expire(&mut self, now: Timestamp) -> Vec<String> {
        self.left.retain(|_, left| now.since(left.at) < LEFT_MEMORY);
        let over = self.doubted.iter().filter(|(_, until)| **until <= now);
        let over: Vec<String> = over.map(|(name, _)| name.clone()).collect();
        for name in &over {
            self.doubted.remove(name);
            let entry = self.entries.remove(name);
            if let Some(worker) = entry.and_then(|entry| entry.worker) {
                self.left.remove(&worker.id);
            }
        }
        over
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
    let listed = mirror.below(prefix);
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
            known.remember_left(&worker, epoch, shared.now());
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
        let had_left = known.had_left(&worker, item.written);
        if had_left {
            known.doubt(name, shared.now());
        }
        match had_left || was_leaving(&worker, item.written, before.as_ref()) {
            true => leaving(worker),
            false => worker,
        }
    });
    let before_worker = before.as_ref().and_then(|entry| entry.worker.as_ref());
    let worker = match (worker.ok(), before_worker) {
        // What an earlier life wrote came late: the later one is there.
        (Some(worker), Some(later)) if worker.id.is_before(&later.id) => Some(later.clone()),
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

/// Whether a worker that is said to be ready was known to leave before the store was restored.
fn was_leaving(worker: &Worker, written: Position, before: Option<&WorkerEntry>) -> bool {
    let Some(before) = before.filter(|before| before.written.epoch < written.epoch) else {
        return false;
    };
    let known = before.worker.as_ref();
    known.is_some_and(|known| known.id == worker.id && known.state == WorkerState::Draining)
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
            let has_said = || shared.directory.lock().has_said_that_it_leaves(&was.id);
            let is_without_notice = was.state == WorkerState::Ready && !has_said();
            is_without_notice.then(|| was.id.clone())
        }
        _ => before.ended_life.clone(),
    }
}

/// Announces a worker to the directory if the configuration names its service. An entry may come from anybody;
/// nothing is to be sent to a worker of a service that is none.
fn announce(shared: &Shared, worker: &Worker) -> bool {
    let lapsed = shared.lapsed_workers.lock().entry_back(worker.id.as_str());
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
    let leaves = shared.directory.lock().has_said_that_it_leaves(&worker.id);
    let mut lapsed = shared.lapsed_workers.lock();
    let counts = !leaves && lapsed.entry_gone(shared.now(), returned, worker);
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
