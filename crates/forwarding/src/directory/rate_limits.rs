//! Rate limits that workers name ([`RateLimit`]), and this gateway's tokens for each.
//!
//! - A limit holds for as long as the worker names it. An answer without one ends it if its request was sent after the
//!   worker was last known to name it: answers on different connections pass each other.
//! - Of a limit, this gateway uses its share ([`LimitSharers`]), one token for each request that it sends or places. A
//!   worker without a token is not chosen.
//! - Gateways tell each other what workers have stated, and how long ago ([`StatedLimit`]): those that place requests
//!   with their reports, others with their placements. One that has no share of a limit sends nothing there and would
//!   never be told that it has ended. The newest statement counts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_admission::{BucketDecision, BucketEvent, TokenBucket};
use tansyhall_core::Timestamp;

use super::Directory;
use crate::load_exchange::{LimitStatement, WorkerKey};
use crate::rate_limit::{LimitSharers, RateLimit, StatedLimit};
use crate::worker::WorkerId;

/// How long it is kept what a worker stated of its limit: several repetitions by those that are told. The end of a limit
/// is kept as long as any gateway may go by the limit.
const MEMORY: Duration = Duration::from_secs(60);
/// Pace at which statements are repeated, for gateways that missed one.
const REPEAT_PACE: Duration = Duration::from_secs(5);
/// Statements in one report: some 1.2 KB of a datagram.
const MAX_STATEMENTS: usize = 64;
/// A limit that differs by less than this part of the one told last is not told again before it is repeated.
const SAME_LIMIT_DIVISOR: u64 = 10;

/// What became of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateToken {
    /// The worker names no limit.
    Unlimited,
    /// A token of the worker's limit is taken.
    Taken,
    /// This gateway has none left.
    Missing,
}

/// What is known of one worker's limit.
#[derive(Debug)]
struct Known {
    /// The limit; none since it has ended.
    limit: Option<RateLimit>,
    /// When the worker was last known to state this.
    stated_at: Timestamp,
    /// Whether this gateway has it from an answer, not from another gateway's report.
    is_first_hand: bool,
    /// The limit that was told other gateways last.
    told: Option<RateLimit>,
    /// What this gateway may use of the limit.
    share: RateLimit,
    bucket: TokenBucket,
}

impl Known {
    fn stated(&self, now: Timestamp) -> StatedLimit {
        StatedLimit {
            limit: self.limit,
            age: now.since(self.stated_at),
        }
    }

    /// Time until this gateway has a token; zero if it has one, or needs none.
    fn wait(&self, now: Timestamp) -> Duration {
        match self.limit {
            Some(_) => {
                let rate = self.share.millirequests_per_second();
                self.bucket.wait(now, rate, 1)
            }
            None => Duration::ZERO,
        }
    }
}

/// The limits of all workers, by their lives.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    sharers: LimitSharers,
    known: HashMap<WorkerKey, Known>,
    /// Those that are to be told to other gateways.
    untold: BTreeSet<WorkerKey>,
    repeated: Timestamp,
}

impl RateLimits {
    fn set_sharers(&mut self, sharers: LimitSharers) {
        self.sharers = sharers;
        for (key, known) in &mut self.known {
            if let Some(limit) = known.limit {
                known.share = self.sharers.share_of(limit, *key);
            }
        }
    }

    /// A worker names a limit in an answer; returns whether it is news.
    pub(super) fn named(&mut self, now: Timestamp, key: WorkerKey, limit: RateLimit) -> bool {
        self.record(now, key, Some(limit), now);
        let Some(known) = self.known.get_mut(&key) else {
            return false;
        };
        known.is_first_hand = true;
        let is_news = !is_alike(known.told, limit);
        if is_news {
            known.told = Some(limit);
            self.untold.insert(key);
        }
        is_news
    }

    /// A worker named no limit in the answer to a request that was sent at `sent`; returns whether that ends one.
    fn not_named(&mut self, now: Timestamp, key: WorkerKey, sent: Timestamp) -> bool {
        let ends = |known: &&mut Known| known.limit.is_some() && sent > known.stated_at;
        let Some(known) = self.known.get_mut(&key).filter(ends) else {
            return false;
        };
        known.is_first_hand = true;
        known.told = None;
        self.record(now, key, None, sent);
        self.untold.insert(key);
        true
    }

    /// Another gateway tells what a worker has stated.
    pub(super) fn hear(&mut self, now: Timestamp, key: WorkerKey, stated: StatedLimit) {
        let stated_at = now - stated.age;
        let known = self.known.get(&key);
        if known.is_some_and(|known| stated_at <= known.stated_at) {
            return;
        }
        self.record(now, key, stated.limit, stated_at);
        if let Some(known) = self.known.get_mut(&key) {
            known.is_first_hand = false;
            known.told = stated.limit;
        }
    }

    /// Keeps what a worker has stated; a limit after none begins without tokens.
    fn record(
        &mut self,
        now: Timestamp,
        key: WorkerKey,
        limit: Option<RateLimit>,
        stated_at: Timestamp,
    ) {
        let share = limit.map(|limit| self.sharers.share_of(limit, key));
        let known = self.known.entry(key).or_insert_with(|| Known {
            limit: None,
            stated_at,
            is_first_hand: false,
            told: None,
            share: RateLimit::default(),
            bucket: TokenBucket::empty(now),
        });
        if known.limit.is_none() {
            known.bucket = TokenBucket::empty(now);
        }
        known.limit = limit;
        known.share = share.unwrap_or_default();
        known.stated_at = stated_at;
    }

    fn limit(&self, key: WorkerKey) -> Option<RateLimit> {
        self.known.get(&key)?.limit
    }

    fn stated(&self, now: Timestamp, key: WorkerKey) -> Option<StatedLimit> {
        let known = self.known.get(&key)?;
        Some(known.stated(now))
    }

    /// Time until this gateway may send to a worker, as far as its limit goes.
    pub(super) fn wait(&self, now: Timestamp, key: WorkerKey) -> Duration {
        let known = self.known.get(&key);
        known.map_or(Duration::ZERO, |known| known.wait(now))
    }

    fn take(&mut self, now: Timestamp, key: WorkerKey) -> RateToken {
        let known = self.known.get_mut(&key);
        let Some(known) = known.filter(|known| known.limit.is_some()) else {
            return RateToken::Unlimited;
        };
        let rate = known.share.millirequests_per_second();
        match known.bucket.step(now, rate, BucketEvent::Take(1)) {
            BucketDecision::Admitted => RateToken::Taken,
            BucketDecision::Refused { .. } => RateToken::Missing,
        }
    }

    fn give_back(&mut self, now: Timestamp, key: WorkerKey) {
        if let Some(known) = self.known.get_mut(&key) {
            let rate = known.share.millirequests_per_second();
            known.bucket.step(now, rate, BucketEvent::GiveBack(1));
        }
    }

    /// What other gateways are to be told now.
    pub(super) fn due(&mut self, now: Timestamp) -> Vec<LimitStatement> {
        if now.since(self.repeated) >= REPEAT_PACE {
            self.repeated = now;
            let own = self.known.iter().filter(|(_, known)| known.is_first_hand);
            self.untold.extend(own.map(|(key, _)| *key));
        }
        let due: Vec<WorkerKey> = self.untold.iter().take(MAX_STATEMENTS).copied().collect();
        let statements = due.iter().filter_map(|key| {
            let known = self.known.get(key)?;
            Some(LimitStatement {
                worker: *key,
                stated: known.stated(now),
            })
        });
        let statements = statements.collect();
        for key in due {
            self.untold.remove(&key);
        }
        statements
    }

    fn expire(&mut self, now: Timestamp) {
        self.known
            .retain(|_, known| now.since(known.stated_at) < MEMORY);
    }

    fn len(&self) -> usize {
        self.known.len()
    }
}

/// Whether a limit hardly differs from the one that was told.
fn is_alike(told: Option<RateLimit>, limit: RateLimit) -> bool {
    told.is_some_and(|told| {
        let (told, limit) = (
            told.millirequests_per_second(),
            limit.millirequests_per_second(),
        );
        told.abs_diff(limit) <= told / SAME_LIMIT_DIVISOR
    })
}

impl Directory {
    /// Takes in the gateways among which limits are divided.
    pub fn set_limit_sharers(&mut self, sharers: LimitSharers) {
        self.rate_limits.set_sharers(sharers);
    }

    /// A worker named no limit in its answer to a request that was sent at `sent`; returns whether that ends one.
    pub fn rate_limit_not_named(&mut self, now: Timestamp, id: &WorkerId, sent: Timestamp) -> bool {
        self.rate_limits.not_named(now, WorkerKey::of(id), sent)
    }

    /// Another gateway tells what a worker has stated of its limit.
    pub fn hear_rate_limit(&mut self, now: Timestamp, id: &WorkerId, stated: StatedLimit) {
        if self.decisions.worker_notices {
            self.rate_limits.hear(now, WorkerKey::of(id), stated);
        }
    }

    /// What a worker has stated of its limit, if that is known.
    pub fn stated_rate_limit(&self, now: Timestamp, id: &WorkerId) -> Option<StatedLimit> {
        self.rate_limits.stated(now, WorkerKey::of(id))
    }

    /// The limit that a worker names.
    pub fn rate_limit_of(&self, id: &WorkerId) -> Option<RateLimit> {
        self.rate_limits.limit(WorkerKey::of(id))
    }

    /// Asks for a token for one request to a worker.
    pub fn take_rate_token(&mut self, now: Timestamp, id: &WorkerId) -> RateToken {
        self.rate_limits.take(now, WorkerKey::of(id))
    }

    /// A token was taken for a request that was not sent.
    pub fn give_back_rate_token(&mut self, now: Timestamp, id: &WorkerId) {
        self.rate_limits.give_back(now, WorkerKey::of(id));
    }

    /// How many limits of workers are kept, those that have just ended included.
    pub fn kept_rate_limits(&self) -> usize {
        self.rate_limits.len()
    }

    /// Forgets limits that nobody was told of for long.
    pub(super) fn expire_rate_limits(&mut self, now: Timestamp) {
        self.rate_limits.expire(now);
    }
}
