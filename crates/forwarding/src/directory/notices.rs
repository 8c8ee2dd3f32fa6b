//! What workers have said of themselves ([`WorkerNotice`]), and what follows from it.
//!
//! - A worker that leaves gets no new request for the rest of its life. An entry in the store that still says
//!   `ready`, or says so again, does not take that back: the store may be away, or a copy of it behind. Another life
//!   of the worker is not bound by it.
//! - A worker that wants rest gets nothing from this gateway until the time is over. Then, if others can take them,
//!   [`MOST_TRIALS`] requests at a time until one is answered: all that comes would otherwise go to the worker that
//!   has nothing to do, and most of it be turned away once more.
//!
//! Both are kept by the worker's life, also while the worker is not announced.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::rate_limit::RateLimit;
use crate::worker::{WorkerId, WorkerState};
use crate::worker_notice::WorkerNotice;

/// Requests at a time at a worker whose rest is over, until one is answered. With one, a single request that takes
/// long keeps the worker from its work.
const MOST_TRIALS: u32 = 2;
/// How long it is kept that a worker leaves which is not announced any more: its entry may come back with a store that
/// was away.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);
/// How long a rest that is over is kept while nothing is sent to its worker, so that the first who come try it.
const REST_MEMORY: Duration = Duration::from_secs(30);
/// Rests that end so close to each other are one: requests that were on their way together are turned away together,
/// and gateways tell a scheduler of the same notice again and again.
const SAME_REST: Duration = Duration::from_millis(250);
/// Workers that a gateway names when it asks for another one: some 2 KB of a datagram, with names of 30 bytes.
const MOST_NAMED: usize = 64;
/// Notices that are looked at to find them, so that a question costs the same however many workers leave or rest.
const MOST_LOOKED_AT: usize = 256;

/// Why nothing may be sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// It has said that it leaves.
    #[error("it leaves")]
    Leaving,
    /// It wants rest.
    #[error("it rests")]
    Resting,
    /// This gateway has used its share of the worker's rate limit.
    #[error("its rate limit is reached")]
    RateLimited,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoticeNews {
    /// The worker leaves, which was not known.
    pub leaves: bool,
    /// It rests for so long, from now on or for longer than was known.
    pub rest: Option<Duration>,
    /// It names this limit, another than was known.
    pub rate_limit: Option<RateLimit>,
}

/// A rest that a worker has asked for.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Timestamp,
    /// Requests under way since its end.
    trials: u32,
}

/// The notices of workers, by their lives.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// When each worker that leaves was last announced, or said so.
    leaving: HashMap<WorkerKey, Timestamp>,
    /// Those of them that are announced.
    leaving_announced: BTreeSet<WorkerKey>,
    rests: HashMap<WorkerKey, Rest>,
}

impl Notices {
    pub(super) fn leaves(&self, key: WorkerKey) -> bool {
        self.leaving.contains_key(&key)
    }

    /// A worker is announced, or not any more.
    pub(super) fn announced(&mut self, key: WorkerKey, is_announced: bool) {
        match is_announced && self.leaves(key) {
            true => self.leaving_announced.insert(key),
            false => self.leaving_announced.remove(&key),
        };
    }

    /// Whether a worker is being tried after its rest by as many requests as there may be.
    pub(super) fn is_on_trial(&self, key: WorkerKey) -> bool {
        let rest = self.rests.get(&key);
        rest.is_some_and(|rest| rest.trials >= MOST_TRIALS)
    }

    /// When the rest of a worker is over, if it rests.
    pub(super) fn rests_until(&self, now: Timestamp, key: WorkerKey) -> Option<Timestamp> {
        let until = self.rests.get(&key)?.until;
        (until > now).then_some(until)
    }

    fn note(&mut self, now: Timestamp, key: WorkerKey, notice: WorkerNotice) -> NoticeNews {
        let is_longer = |rest: &Duration| self.lengthen_rest(key, now + *rest);
        let rest = notice.backoff.filter(is_longer);
        let leaves = notice.is_leaving && self.leaving.insert(key, now).is_none();
        NoticeNews {
            leaves,
            rest,
            ..NoticeNews::default()
        }
    }

    /// A worker rests until then at least; returns whether that is news. Answers on different connections pass each
    /// other, so that a shorter rest may be the older notice.
    fn lengthen_rest(&mut self, key: WorkerKey, until: Timestamp) -> bool {
        let Some(rest) = self.rests.get_mut(&key) else {
            self.rests.insert(key, Rest { until, trials: 0 });
            return true;
        };
        let longer = until.since(rest.until);
        rest.until = rest.until.max(until);
        longer >= SAME_REST
    }

    /// A request goes to a worker; returns whether it is one of those that try it after its rest.
    pub(super) fn send_began(&mut self, key: WorkerKey) -> bool {
        let rest = self.rests.get_mut(&key);
        rest.map(|rest| rest.trials += 1).is_some()
    }

    /// A request that was counted so is over.
    pub(super) fn trial_ended(&mut self, key: WorkerKey) {
        if let Some(rest) = self.rests.get_mut(&key) {
            rest.trials = rest.trials.saturating_sub(1);
        }
    }

    /// The worker has taken a request up: if its rest is over, it is done with it.
    pub(super) fn took_up(&mut self, now: Timestamp, key: WorkerKey) {
        if self.rests_until(now, key).is_none() {
            self.rests.remove(&key);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let announced = &self.leaving_announced;
        self.leaving.retain(|key, last| {
            if announced.contains(key) {
                *last = now;
            }
            now.since(*last) < LEAVING_MEMORY
        });
        let is_of_use = |rest: &Rest| now.since(rest.until) < REST_MEMORY;
        self.rests.retain(|_, rest| is_of_use(rest));
    }
}

impl Directory {
    /// A worker has said something of itself, to this gateway or to one whose requests this one places.
    pub fn take_notice(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        notice: WorkerNotice,
    ) -> NoticeNews {
        if !self.decisions.worker_notices {
            return NoticeNews::default();
        }
        let key = WorkerKey::of(id);
        let mut news = self.notices.note(now, key, notice);
        let limit = notice.rate_limit;
        news.rate_limit = limit.filter(|limit| self.rate_limits.named(now, key, *limit));
        if news.leaves {
            if let Some(tracked) = self.workers.get_mut(&key) {
                tracked.worker.state = WorkerState::Draining;
                self.notices.announced(key, tracked.announced);
            }
            self.index(key);
        }
        news
    }

    /// What a worker has said of itself, as far as it holds now; its rate limit is told by
    /// [`Self::stated_rate_limit`].
    pub fn notice_of(&self, now: Timestamp, id: &WorkerId) -> WorkerNotice {
        let key = WorkerKey::of(id);
        let until = self.notices.rests_until(now, key);
        WorkerNotice {
            is_leaving: self.notices.leaves(key),
            backoff: until.map(|until| until.since(now)),
            rate_limit: None,
        }
    }

    /// Whether a worker has said that it leaves.
    pub fn has_said_that_it_leaves(&self, id: &WorkerId) -> bool {
        self.notices.leaves(WorkerKey::of(id))
    }

    /// Why nothing may be sent to a worker; none if something may.
    pub fn unavailable(&self, now: Timestamp, id: &WorkerId) -> Option<Unavailable> {
        let notice = self.notice_of(now, id);
        match (notice.is_leaving, notice.backoff) {
            (true, _) => Some(Unavailable::Leaving),
            (false, Some(_)) => Some(Unavailable::Resting),
            (false, None) => None,
        }
    }

    /// Workers to which nothing may be sent though the store may still announce them as ready, for a scheduler that
    /// may not have heard it. If there are more than can be named, some of them.
    pub fn unavailable_workers(&self, now: Timestamp) -> Vec<WorkerId> {
        let leaving = self.notices.leaving_announced.iter();
        let resting = self.notices.rests.iter().take(MOST_LOOKED_AT);
        let resting = resting.filter(|(_, rest)| rest.until > now);
        let keys = resting.map(|(key, _)| key).chain(leaving);
        let known = keys.filter_map(|key| self.workers.get(key));
        let ids = known.map(|tracked| tracked.worker.id.clone());
        ids.take(MOST_NAMED).collect()
    }

    /// How many notices of workers are kept.
    pub fn kept_notices(&self) -> usize {
        self.notices.leaving.len() + self.notices.rests.len() + self.kept_rate_limits()
    }

    /// Forgets notices that have lost their use.
    pub fn expire_notices(&mut self, now: Timestamp) {
        self.notices.expire(now);
        self.expire_rate_limits(now);
    }
}
