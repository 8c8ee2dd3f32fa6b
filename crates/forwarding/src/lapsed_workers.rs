//! Workers whose entries expired while the store was unavailable.
//!
//! A worker keeps its entry alive by refreshing it in the store periodically. While the store is unavailable, the
//! entry may expire although the worker still runs. The worker writes it again within [`REREGISTRATION_WINDOW`] after
//! the store has become available again. Until then, a worker that was ready remains usable. A worker whose entry is
//! still missing afterwards is considered gone.

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::worker::{Worker, WorkerId, WorkerState};

/// The time after the store has become available again within which workers write their expired entries again.
/// The platform guarantees this time.
pub const REREGISTRATION_WINDOW: Duration = Duration::from_secs(2);

/// Workers that remain usable although they have no entry. They are indexed by name, because a worker that returns may
/// be a different incarnation.
#[derive(Debug, Default)]
pub struct LapsedWorkers {
    awaited: BTreeMap<String, Worker>,
}

impl LapsedWorkers {
    /// Records that a worker's entry has disappeared. Returns whether the worker remains usable. `store_returned_at`
    /// is the time at which the store last became available again, if it was ever unavailable.
    pub fn record_missing_entry(
        &mut self,
        now: Timestamp,
        store_returned_at: Option<Timestamp>,
        worker: &Worker,
    ) -> bool {
        let is_usable =
            worker.state == WorkerState::Ready && has_just_returned(now, store_returned_at);
        if is_usable {
            let name = worker.id.as_str().to_owned();
            self.awaited.insert(name, worker.clone());
        }
        is_usable
    }

    /// Records that a worker with this name has an entry again. Returns the incarnation that was usable without an
    /// entry, if any.
    pub fn record_returned_entry(&mut self, name: &str) -> Option<WorkerId> {
        self.awaited.remove(name).map(|worker| worker.id)
    }

    /// Removes and returns the workers whose time to return has passed; they are considered gone.
    pub fn take_overdue(
        &mut self,
        now: Timestamp,
        store_returned_at: Option<Timestamp>,
    ) -> Vec<Worker> {
        match has_just_returned(now, store_returned_at) {
            true => Vec::new(),
            false => std::mem::take(&mut self.awaited).into_values().collect(),
        }
    }

    /// Returns whether this worker remains usable without an entry.
    pub fn contains(&self, worker: &WorkerId) -> bool {
        let awaited = self.awaited.get(worker.as_str());
        awaited.is_some_and(|awaited| awaited.id == *worker)
    }

    /// Returns the number of workers that remain usable without an entry.
    pub fn len(&self) -> usize {
        self.awaited.len()
    }

    /// Returns whether no worker remains usable without an entry.
    pub fn is_empty(&self) -> bool {
        self.awaited.is_empty()
    }
}

fn has_just_returned(now: Timestamp, store_returned_at: Option<Timestamp>) -> bool {
    store_returned_at.is_some_and(|returned_at| now.since(returned_at) < REREGISTRATION_WINDOW)
}
