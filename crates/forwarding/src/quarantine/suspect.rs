//! One request under which workers have ended.

use tansyhall_core::Timestamp;

use super::{Fingerprint, Sighting, Unlisted, ENDS_TO_BAR, MEMORY};
use crate::load_exchange::WorkerKey;

/// Ends that are remembered of one request: more tell nothing new, and a message names them all.
const MAX_ENDS: usize = 8;

#[derive(Debug)]
struct End {
    worker: WorkerKey,
    forgiven: bool,
}

/// Ends of workers under one request.
#[derive(Debug)]
pub(super) struct Suspect {
    ends: Vec<End>,
    last_end: Timestamp,
    barred_since: Option<Timestamp>,
    /// Whether the store lists it as barred.
    is_listed: bool,
    /// Whether an answer has lifted the bar that the store lists.
    is_lifted: bool,
}

impl Suspect {
    /// A request without ends.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            ends: Vec::new(),
            last_end: now,
            barred_since: None,
            is_listed: false,
            is_lifted: false,
        }
    }

    /// Takes in workers that ended under it. Whether it is barred by that.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        workers: impl IntoIterator<Item = WorkerKey>,
    ) -> bool {
        let was_barred = self.is_barred();
        for worker in workers {
            self.add_one(now, worker);
        }
        if self.counted() >= ENDS_TO_BAR {
            self.barred_since.get_or_insert(now);
            self.is_lifted = false;
        }
        self.is_barred() && !was_barred
    }

    fn add_one(&mut self, now: Timestamp, worker: WorkerKey) {
        if self.ends.iter().any(|end| end.worker == worker) {
            return;
        }
        self.last_end = now;
        if self.ends.len() >= MAX_ENDS && !self.forget_forgiven() {
            return;
        }
        self.ends.push(End {
            worker,
            forgiven: false,
        });
    }

    /// Makes room by the oldest end that does not count. Whether there was one.
    fn forget_forgiven(&mut self) -> bool {
        let oldest = self.ends.iter().position(|end| end.forgiven);
        oldest.map(|index| self.ends.remove(index)).is_some()
    }

    /// Forgives all ends. Whether any counted.
    pub(super) fn forgive(&mut self) -> bool {
        let counted = self.counted() > 0 || self.is_barred();
        for end in &mut self.ends {
            end.forgiven = true;
        }
        self.barred_since = None;
        self.is_lifted = self.is_listed;
        counted
    }

    /// Ends that count against it.
    pub(super) fn counted(&self) -> usize {
        self.ends.iter().filter(|end| !end.forgiven).count()
    }

    pub(super) fn is_barred(&self) -> bool {
        self.barred_since.is_some() || self.is_listed && !self.is_lifted
    }

    pub(super) fn last_end(&self) -> Timestamp {
        self.last_end
    }

    /// The workers that count against it.
    pub(super) fn sighting(&self, fingerprint: Fingerprint) -> Sighting {
        let counting = self.ends.iter().filter(|end| !end.forgiven);
        Sighting {
            fingerprint,
            workers: counting.map(|end| end.worker).collect(),
        }
    }

    pub(super) fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
        if !is_listed {
            self.is_lifted = false;
        }
    }

    pub(super) fn unlisted(&self, fingerprint: Fingerprint) -> Option<Unlisted> {
        let since = self.barred_since.filter(|_| !self.is_listed)?;
        Some(Unlisted {
            fingerprint,
            since,
            ends: self.counted(),
        })
    }

    pub(super) fn is_listed_in_vain(&self) -> bool {
        self.is_listed && self.is_lifted
    }

    /// Whether nothing of it is to be remembered.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        !self.is_listed && now.since(self.last_end) > MEMORY
    }
}
