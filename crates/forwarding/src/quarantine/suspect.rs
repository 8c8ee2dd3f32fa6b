//! A request that workers may have been running when they ended.

use tansyhall_core::Timestamp;

use super::{Fingerprint, UnlistedRequest, WorkerEnds, SUSPECT_TTL, WORKER_ENDS_TO_BAR};
use crate::load_exchange::WorkerKey;

/// Maximum number of worker ends stored for one request. More would add no information, and each message lists
/// all of them.
const MAX_ENDS: usize = 8;

#[derive(Debug)]
struct WorkerEnd {
    worker: WorkerKey,
    is_cleared: bool,
}

/// Worker ends that are attributed to one request.
#[derive(Debug)]
pub(super) struct Suspect {
    ends: Vec<WorkerEnd>,
    last_end: Timestamp,
    barred_since: Option<Timestamp>,
    /// Whether the store lists the request as barred.
    is_listed: bool,
    /// Whether an answer has lifted the bar that the store still lists.
    is_lifted: bool,
}

impl Suspect {
    /// Creates a request without worker ends.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            ends: Vec::new(),
            last_end: now,
            barred_since: None,
            is_listed: false,
            is_lifted: false,
        }
    }

    /// Records workers that ended while running the request. Returns whether this bars the request.
    pub(super) fn record_ends(
        &mut self,
        now: Timestamp,
        workers: impl IntoIterator<Item = WorkerKey>,
    ) -> bool {
        let was_barred = self.is_barred();
        for worker in workers {
            self.record_end(now, worker);
        }
        if self.counted_ends() >= WORKER_ENDS_TO_BAR {
            self.barred_since.get_or_insert(now);
            self.is_lifted = false;
        }
        self.is_barred() && !was_barred
    }

    fn record_end(&mut self, now: Timestamp, worker: WorkerKey) {
        if self.ends.iter().any(|end| end.worker == worker) {
            return;
        }
        self.last_end = now;
        if self.ends.len() >= MAX_ENDS && !self.remove_oldest_cleared() {
            return;
        }
        self.ends.push(WorkerEnd {
            worker,
            is_cleared: false,
        });
    }

    /// Removes the oldest end that no longer counts. Returns whether there was one.
    fn remove_oldest_cleared(&mut self) -> bool {
        let oldest = self.ends.iter().position(|end| end.is_cleared);
        oldest.map(|index| self.ends.remove(index)).is_some()
    }

    /// Marks all ends as cleared and lifts the bar. Returns whether any end counted or the request was barred.
    pub(super) fn clear(&mut self) -> bool {
        let counted = self.counted_ends() > 0 || self.is_barred();
        for end in &mut self.ends {
            end.is_cleared = true;
        }
        self.barred_since = None;
        self.is_lifted = self.is_listed;
        counted
    }

    /// Returns the number of ends that count against the request.
    pub(super) fn counted_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_cleared).count()
    }

    pub(super) fn is_barred(&self) -> bool {
        self.barred_since.is_some() || self.is_listed && !self.is_lifted
    }

    pub(super) fn last_end(&self) -> Timestamp {
        self.last_end
    }

    /// Returns the workers whose ends count against the request.
    pub(super) fn worker_ends(&self, fingerprint: Fingerprint) -> WorkerEnds {
        let counting = self.ends.iter().filter(|end| !end.is_cleared);
        WorkerEnds {
            fingerprint,
            workers: counting.map(|end| end.worker).collect(),
            is_barred: false,
            is_tried: false,
            is_confirmed: false,
        }
    }

    pub(super) fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
        if !is_listed {
            self.is_lifted = false;
        }
    }

    pub(super) fn unlisted(&self, fingerprint: Fingerprint) -> Option<UnlistedRequest> {
        let since = self.barred_since.filter(|_| !self.is_listed)?;
        Some(UnlistedRequest {
            fingerprint,
            since,
            ends: self.counted_ends(),
        })
    }

    pub(super) fn is_listing_stale(&self) -> bool {
        self.is_listed && self.is_lifted
    }

    /// Returns whether the request can be removed: the store does not list it, and its last end is too long ago.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        !self.is_listed && now.since(self.last_end) > SUSPECT_TTL
    }
}
