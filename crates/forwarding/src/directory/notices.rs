//! What workers have stated about themselves ([`WorkerNotice`]), and the consequences.
//!
//! - A worker that is leaving gets no new request during the rest of this incarnation. A store
//!   entry that still says `ready`, or says so again, does not revoke this: the store may be
//!   unreachable, or a copy of it outdated. Another incarnation of the worker is not affected.
//! - A worker that is backing off gets nothing from this gateway until its back-off ends. Then, if
//!   other workers can take the requests, it gets at most [`MAX_TRIALS`] requests at a time until
//!   it answers one: otherwise all new requests would go to the worker that has no load, and most
//!   of them would be rejected again.
//!
//! Both are kept per incarnation of the worker, also while the worker is not announced.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::rate_limit::RateLimit;
use crate::worker::{WorkerId, WorkerState};
use crate::worker_notice::WorkerNotice;

/// Maximum number of concurrent requests to a worker whose back-off has ended, until it answers
/// one. With a limit of one, a single long request would keep the worker idle.
const MAX_TRIALS: u32 = 2;
/// How long the notice of a leaving worker is kept after the worker was last announced: its store
/// entry may reappear when a store that was unreachable returns.
const LEAVING_TTL: Duration = Duration::from_secs(600);
/// How long a back-off that has ended is kept while nothing is sent to its worker, so that the
/// first new requests count as trials.
const BACKOFF_TTL: Duration = Duration::from_secs(30);
/// A back-off that is extended by less than this is the same one: requests sent at the same time
/// are rejected together, and gateways repeat the same notice to a scheduler.
const MIN_BACKOFF_EXTENSION: Duration = Duration::from_millis(250);
/// Workers that a gateway lists as unavailable when it asks for another one: about 2 KB of a
/// datagram with names of 30 bytes.
const MAX_NAMED_WORKERS: usize = 64;
/// Back-offs that are examined to find these workers, so that the cost of a request does not grow
/// with the number of workers that are leaving or backing off.
const MAX_EXAMINED_BACKOFFS: usize = 256;

/// Reason why nothing may be sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// It has stated that it is leaving.
    #[error("worker is leaving")]
    Leaving,
    /// The store announces that it is leaving, or no longer announces it.
    #[error("worker is no longer announced as ready")]
    Unannounced,
    /// It has asked to back off.
    #[error("worker is backing off")]
    BackingOff,
    /// This gateway has used up its share of the worker's rate limit.
    #[error("rate limit of the worker is reached")]
    RateLimited,
}

/// The changes made by a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoticeChanges {
    /// Whether the worker is leaving and this was not known before.
    pub is_leaving: bool,
    /// The back-off, counted from now, if it is new or longer than the known one.
    pub backoff: Option<Duration>,
    /// The rate limit that the worker states, if it differs from the known one.
    pub rate_limit: Option<RateLimit>,
}

/// A back-off that a worker has asked for.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
    /// Requests in progress that were sent since the back-off was recorded.
    trials: u32,
}

/// The notices of workers, by incarnation.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// When each leaving worker was last announced, or said that it is leaving.
    leaving: HashMap<WorkerKey, Timestamp>,
    /// The leaving workers that are announced.
    leaving_announced: BTreeSet<WorkerKey>,
    backoffs: HashMap<WorkerKey, Backoff>,
}

impl Notices {
    pub(super) fn is_leaving(&self, key: WorkerKey) -> bool {
        self.leaving.contains_key(&key)
    }

    /// Records whether a worker is announced.
    pub(super) fn set_announced(&mut self, key: WorkerKey, is_announced: bool) {
        match is_announced && self.is_leaving(key) {
            true => self.leaving_announced.insert(key),
            false => self.leaving_announced.remove(&key),
        };
    }

    /// Returns whether a worker already has the maximum number of trial requests after its
    /// back-off.
    pub(super) fn has_max_trials(&self, key: WorkerKey) -> bool {
        let backoff = self.backoffs.get(&key);
        backoff.is_some_and(|backoff| backoff.trials >= MAX_TRIALS)
    }

    /// Returns the end of a worker's back-off if it is backing off.
    pub(super) fn backoff_until(&self, now: Timestamp, key: WorkerKey) -> Option<Timestamp> {
        let until = self.backoffs.get(&key)?.until;
        (until > now).then_some(until)
    }

    fn record(&mut self, now: Timestamp, key: WorkerKey, notice: WorkerNotice) -> NoticeChanges {
        let is_extension = |backoff: &Duration| self.extend_backoff(key, now + *backoff);
        let backoff = notice.backoff.filter(is_extension);
        let is_leaving = notice.is_leaving && self.leaving.insert(key, now).is_none();
        NoticeChanges {
            is_leaving,
            backoff,
            ..NoticeChanges::default()
        }
    }

    /// Makes a back-off last until `until` at least; returns whether this is a new or a clearly
    /// longer one. Answers on different connections may arrive out of order, so a shorter back-off
    /// may be the older notice and is ignored.
    fn extend_backoff(&mut self, key: WorkerKey, until: Timestamp) -> bool {
        let Some(backoff) = self.backoffs.get_mut(&key) else {
            self.backoffs.insert(key, Backoff { until, trials: 0 });
            return true;
        };
        let extension = until.since(backoff.until);
        backoff.until = backoff.until.max(until);
        extension >= MIN_BACKOFF_EXTENSION
    }

    /// Records a send to a worker; returns whether it is a trial after a back-off.
    pub(super) fn begin_send(&mut self, key: WorkerKey) -> bool {
        let backoff = self.backoffs.get_mut(&key);
        backoff.map(|backoff| backoff.trials += 1).is_some()
    }

    /// Records that a trial request has ended.
    pub(super) fn end_trial(&mut self, key: WorkerKey) {
        if let Some(backoff) = self.backoffs.get_mut(&key) {
            backoff.trials = backoff.trials.saturating_sub(1);
        }
    }

    /// Records that the worker has accepted a request: a back-off that has ended is forgotten.
    pub(super) fn record_accepted(&mut self, now: Timestamp, key: WorkerKey) {
        if self.backoff_until(now, key).is_none() {
            self.backoffs.remove(&key);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let announced = &self.leaving_announced;
        self.leaving.retain(|key, last| {
            if announced.contains(key) {
                *last = now;
            }
            now.since(*last) < LEAVING_TTL
        });
        let is_needed = |backoff: &Backoff| now.since(backoff.until) < BACKOFF_TTL;
        self.backoffs.retain(|_, backoff| is_needed(backoff));
    }
}

impl Directory {
    /// Applies a notice that a worker gave to this gateway, or to a gateway whose requests this one
    /// places.
    pub fn apply_notice(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        notice: WorkerNotice,
    ) -> NoticeChanges {
        if !self.decisions.worker_notices {
            return NoticeChanges::default();
        }
        let key = WorkerKey::of(id);
        let mut changes = self.notices.record(now, key, notice);
        let limit = notice.rate_limit;
        changes.rate_limit = limit.filter(|limit| self.rate_limits.record_limit(now, key, *limit));
        if changes.is_leaving {
            if let Some(tracked) = self.workers.get_mut(&key) {
                tracked.worker.state = WorkerState::Draining;
                self.notices.set_announced(key, tracked.announced);
            }
            self.update_index(key);
        }
        changes
    }

    /// Returns the notice of a worker as far as it is in force now. Its rate limit is not included:
    /// see [`Self::stated_rate_limit`].
    pub fn current_notice(&self, now: Timestamp, id: &WorkerId) -> WorkerNotice {
        let key = WorkerKey::of(id);
        let until = self.notices.backoff_until(now, key);
        WorkerNotice {
            is_leaving: self.notices.is_leaving(key),
            backoff: until.map(|until| until.since(now)),
            rate_limit: None,
        }
    }

    /// Returns whether a worker has stated that it is leaving.
    pub fn has_stated_leaving(&self, id: &WorkerId) -> bool {
        self.notices.is_leaving(WorkerKey::of(id))
    }

    /// Returns the reason why nothing may be sent to a worker, if there is one. Rate limits are not
    /// considered.
    pub fn unavailable(&self, now: Timestamp, id: &WorkerId) -> Option<Unavailable> {
        let notice = self.current_notice(now, id);
        match (notice.is_leaving, notice.backoff) {
            (true, _) => Some(Unavailable::Leaving),
            (false, Some(_)) => Some(Unavailable::BackingOff),
            (false, None) => None,
        }
    }

    /// Returns the reason why no work of callers may be sent to a worker, if there is one: what it has stated, or what the
    /// store announces. Rate limits are not considered.
    pub fn unavailable_for_work(&self, now: Timestamp, id: &WorkerId) -> Option<Unavailable> {
        let by_notice = self.unavailable(now, id);
        by_notice.or_else(|| (!self.accepts_work(now, id)).then_some(Unavailable::Unannounced))
    }

    /// Returns workers to which nothing may be sent although the store may still announce them as
    /// ready, for a scheduler that may not know of their notices. At most `MAX_NAMED_WORKERS` are
    /// returned.
    pub fn unavailable_workers(&self, now: Timestamp) -> Vec<WorkerId> {
        let leaving = self.notices.leaving_announced.iter();
        let backing_off = self.notices.backoffs.iter().take(MAX_EXAMINED_BACKOFFS);
        let backing_off = backing_off.filter(|(_, backoff)| backoff.until > now);
        let keys = backing_off.map(|(key, _)| key).chain(leaving);
        let known = keys.filter_map(|key| self.workers.get(key));
        let ids = known.map(|tracked| tracked.worker.id.clone());
        ids.take(MAX_NAMED_WORKERS).collect()
    }

    /// Returns the number of notices that are kept.
    pub fn notice_count(&self) -> usize {
        self.notices.leaving.len() + self.notices.backoffs.len() + self.rate_limit_count()
    }

    /// Removes notices that are no longer needed.
    pub fn expire_notices(&mut self, now: Timestamp) {
        self.notices.expire(now);
        self.expire_rate_limits(now);
    }
}
