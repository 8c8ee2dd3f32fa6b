//! A prompt part that workers may have been working on when they ended.

use std::collections::HashSet;

use tansyhall_core::Timestamp;

use crate::load_exchange::WorkerKey;
use crate::quarantine::{Fingerprint, UnlistedRequest, WorkerEnds, SUSPECT_TTL};

use super::trial::Trial;

/// Maximum number of worker ends stored for one part. More are needed than for whole requests: each end of a part that is
/// to blame explains an end of other parts.
const MAX_ENDS: usize = 32;
/// Maximum number of worker ends in one message, the latest ones.
const MAX_ENDS_IN_MESSAGE: usize = 8;

#[derive(Debug)]
struct WorkerEnd {
    worker: WorkerKey,
    /// When this gateway observed it or was told.
    at: Timestamp,
    is_cleared: bool,
}

/// Worker ends that no blamed part explains.
#[derive(Debug)]
pub(super) struct UnexplainedEnds(Vec<Timestamp>);

impl UnexplainedEnds {
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the times of the first and the last one.
    pub(super) fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.0.iter().min()?;
        let last = self.0.iter().max()?;
        Some((*first, *last))
    }
}

/// Worker ends that are attributed to one part.
#[derive(Debug)]
pub(super) struct Suspect {
    ends: Vec<WorkerEnd>,
    last_end: Timestamp,
    barred_since: Option<Timestamp>,
    /// Whether the store lists the part as barred.
    is_listed: bool,
    /// Whether the bar that the store still lists has been lifted.
    is_lifted: bool,
    /// Whether gateways that hear of more ends than this one bar the part.
    is_barred_by_others: bool,
    trial: Trial,
}

impl Suspect {
    /// Creates a part without worker ends.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            ends: Vec::new(),
            last_end: now,
            barred_since: None,
            is_listed: false,
            is_lifted: false,
            is_barred_by_others: false,
            trial: Trial::None,
        }
    }

    /// Records a worker that ended while running a request with the part.
    pub(super) fn record_end(&mut self, now: Timestamp, worker: WorkerKey) {
        if self.ends.iter().any(|end| end.worker == worker) {
            return;
        }
        self.last_end = now;
        if self.ends.len() >= MAX_ENDS {
            let removed = self.ends.iter().position(|end| end.is_cleared);
            self.ends.remove(removed.unwrap_or_default());
        }
        self.ends.push(WorkerEnd {
            worker,
            at: now,
            is_cleared: false,
        });
    }

    /// Bars the part. Returns whether it was not barred before.
    pub(super) fn bar(&mut self, now: Timestamp) -> bool {
        let was_barred = self.is_barred();
        self.barred_since.get_or_insert(now);
        self.is_lifted = false;
        !was_barred
    }

    /// Lifts a bar that follows from worker ends, and returns whether there was one. A part that only the store lists stays
    /// barred.
    pub(super) fn lift_bar(&mut self) -> bool {
        let was_barred = self.barred_since.take().is_some();
        if was_barred {
            self.is_lifted = self.is_listed;
            if self.trial != Trial::Failed {
                self.trial = Trial::None;
            }
        }
        was_barred
    }

    /// Sets whether gateways that hear of more ends than this one bar the part.
    pub(super) fn set_barred_by_others(&mut self, is_barred: bool) {
        self.is_barred_by_others = is_barred;
    }

    pub(super) fn is_barred_by_others(&self) -> bool {
        self.is_barred_by_others
    }

    /// Marks all ends as cleared and lifts the bar. Returns whether any end counted or the part was barred.
    pub(super) fn clear(&mut self) -> bool {
        let counted = self.counted_ends() > 0 || self.is_barred();
        for end in &mut self.ends {
            end.is_cleared = true;
        }
        self.barred_since = None;
        self.is_lifted = self.is_listed;
        self.is_barred_by_others = false;
        self.trial = Trial::None;
        counted
    }

    /// Returns the number of ends that count against the part, whether another part explains them or not.
    pub(super) fn counted_ends(&self) -> usize {
        self.counted().count()
    }

    /// Returns the workers whose ends count against the part.
    pub(super) fn counted_workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.counted().map(|end| end.worker)
    }

    /// Returns the ends that count against the part, except those of workers in `explained`.
    pub(super) fn unexplained_ends(&self, explained: &HashSet<WorkerKey>) -> UnexplainedEnds {
        let ends = self.counted();
        let unexplained = ends.filter(|end| !explained.contains(&end.worker));
        UnexplainedEnds(unexplained.map(|end| end.at).collect())
    }

    /// Returns all ends, cleared or not, and when they were observed.
    pub(super) fn observed_ends(&self) -> impl Iterator<Item = (WorkerKey, Timestamp)> + '_ {
        self.ends.iter().map(|end| (end.worker, end.at))
    }

    fn counted(&self) -> impl Iterator<Item = &WorkerEnd> {
        self.ends.iter().filter(|end| !end.is_cleared)
    }

    pub(super) fn is_barred(&self) -> bool {
        self.barred_since.is_some() || self.is_listed && !self.is_lifted
    }

    /// Returns since when the part is barred because of worker ends that this gateway knows.
    pub(super) fn barred_since(&self) -> Option<Timestamp> {
        self.barred_since
    }

    pub(super) fn last_end(&self) -> Timestamp {
        self.last_end
    }

    pub(super) fn trial(&self) -> Trial {
        self.trial
    }

    pub(super) fn set_trial(&mut self, trial: Trial) {
        self.trial = trial;
    }

    /// Records that another gateway has begun a trial. It may tell so several times.
    pub(super) fn record_trial_elsewhere(&mut self, now: Timestamp) {
        if self.trial == Trial::None {
            self.trial = Trial::Begun {
                at: now,
                is_own: false,
            };
        }
    }

    /// Records the last end that no other part explains. It is the result of a trial that began before it.
    pub(super) fn record_end_of_trial(&mut self, last_end: Timestamp) {
        if matches!(self.trial, Trial::Begun { at, .. } if last_end > at) {
            self.trial = Trial::Failed;
        }
    }

    /// Returns what other gateways are told about the part.
    pub(super) fn worker_ends(&self, part: Fingerprint) -> WorkerEnds {
        let counting: Vec<WorkerKey> = self.counted_workers().collect();
        let latest = counting.len().saturating_sub(MAX_ENDS_IN_MESSAGE);
        WorkerEnds {
            fingerprint: part,
            workers: counting[latest..].to_vec(),
            is_barred: self.barred_since.is_some(),
            is_tried: self.trial != Trial::None,
            is_confirmed: self.trial == Trial::Failed,
        }
    }

    pub(super) fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
        if !is_listed {
            self.is_lifted = false;
        }
    }

    pub(super) fn unlisted(&self, part: Fingerprint) -> Option<UnlistedRequest> {
        let since = self.barred_since.filter(|_| !self.is_listed)?;
        Some(UnlistedRequest {
            fingerprint: part,
            since,
            ends: self.counted_ends(),
        })
    }

    pub(super) fn is_listing_stale(&self) -> bool {
        self.is_listed && self.is_lifted
    }

    /// Returns whether the part can be removed: the store does not list it, and its last end is too long ago.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        !self.is_listed && now.since(self.last_end) > SUSPECT_TTL
    }
}
