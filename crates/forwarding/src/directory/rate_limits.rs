//! Rate limits that workers state ([`RateLimit`]), and this gateway's tokens for each.
//!
//! - A limit is in force for as long as the worker states it. An answer without one ends it if the
//!   request was sent after the worker was last known to state it: answers on different connections
//!   may arrive out of order.
//! - This gateway uses its share of a limit ([`LimitSharers`], or [`DemandShares`] if limits are divided by demand), one
//!   token for each request that it sends or places. A worker for which it has no token is not chosen.
//! - Gateways report to each other what workers have stated, and how long ago ([`StatedLimit`]):
//!   those that place requests with their reports, the others with their placements. Otherwise a
//!   gateway without a share of a limit, which sends nothing to that worker, would never learn that
//!   the limit has ended. The newest statement wins.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_admission::{BucketDecision, BucketEvent, TokenBucket};
use tansyhall_core::{ServiceName, Timestamp};

use super::Directory;
use crate::demand_shares::bucket::ShareBucket;
use crate::demand_shares::meter::DemandMeter;
use crate::demand_shares::{DemandShares, LimitDemand, ShareReport, REPORT_INTERVAL};
use crate::load_exchange::{GatewayKey, LimitStatement, WorkerKey};
use crate::rate_limit::{LimitSharers, RateLimit, StatedLimit, MIN_RATE};
use crate::worker::WorkerId;

/// How long a worker's statement is kept: long enough for gateways that learn of it from others to
/// receive several repetitions. The end of a limit is kept as long as any gateway may still apply
/// the limit.
const STATEMENT_TTL: Duration = Duration::from_secs(60);
/// Interval at which statements are repeated, for gateways that missed one.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of statements in one report: about 1.2 KB of a datagram.
const MAX_STATEMENTS: usize = 64;
/// A limit is not reported before the next repetition if it differs from the last reported one by
/// at most one part in this many.
const SAME_LIMIT_DIVISOR: u64 = 10;

/// The result of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateToken {
    /// The worker states no limit.
    Unlimited,
    /// A token of the worker's limit was taken.
    Taken,
    /// This gateway has none left.
    Missing,
}

/// What is known of one worker's limit.
#[derive(Debug)]
struct KnownLimit {
    /// The limit; `None` once it has ended.
    limit: Option<RateLimit>,
    /// When the worker was last known to state this.
    stated_at: Timestamp,
    /// Whether this gateway learned it from an answer or with a placement, not from another gateway's load report.
    is_first_hand: bool,
    /// The limit that was last reported to, or by, other gateways.
    last_reported: Option<RateLimit>,
    /// The part of the limit that this gateway may use.
    share: RateLimit,
    bucket: TokenBucket,
    demanded: DemandedShare,
}

/// This gateway's share of a limit that is divided by demand.
#[derive(Debug)]
struct DemandedShare {
    bucket: ShareBucket,
    meter: DemandMeter,
    has_slot: bool,
    /// What `has_slot` was computed for: the version of the slots and the limit.
    slot_known_for: Option<(u64, RateLimit)>,
}

impl DemandedShare {
    fn new(now: Timestamp) -> Self {
        Self {
            bucket: ShareBucket::empty(now),
            meter: DemandMeter::default(),
            has_slot: false,
            slot_known_for: None,
        }
    }

    /// Sets the share that follows from the leases and slots of this gateway.
    fn refresh(&mut self, now: Timestamp, key: WorkerKey, limit: RateLimit, shares: &DemandShares) {
        let limit = limit.max(MIN_RATE);
        let version = Some((shares.slot_version(), limit));
        if self.slot_known_for != version {
            self.slot_known_for = version;
            self.has_slot = shares.has_slot(key, limit);
        }
        let (share, until) = shares.share(now, key, limit, self.has_slot);
        self.bucket.set_share(now, share, until);
    }
}

impl KnownLimit {
    fn stated(&self, now: Timestamp) -> StatedLimit {
        StatedLimit {
            limit: self.limit,
            age: now.since(self.stated_at),
        }
    }

    /// Returns the time until this gateway has a token; zero if it has one or needs none.
    fn wait(&self, now: Timestamp, is_divided_by_demand: bool) -> Duration {
        match self.limit {
            Some(_) if is_divided_by_demand => {
                let wait = self.demanded.bucket.wait(now);
                if !wait.is_zero() {
                    self.demanded.meter.record_lacked();
                }
                wait
            }
            Some(_) => {
                let rate = self.share.millirequests_per_second();
                self.bucket.time_until_admitted(now, rate, 1)
            }
            None => Duration::ZERO,
        }
    }
}

/// The limits of all workers, by incarnation.
#[derive(Debug)]
pub(super) struct RateLimits {
    sharers: LimitSharers,
    shares: DemandShares,
    is_divided_by_demand: bool,
    shares_reported_at: Timestamp,
    known: HashMap<WorkerKey, KnownLimit>,
    /// Workers whose limits are due to be reported to other gateways.
    unreported: BTreeSet<WorkerKey>,
    repeated_at: Timestamp,
}

impl RateLimits {
    pub(super) fn new(gateway: GatewayKey) -> Self {
        Self {
            sharers: LimitSharers::default(),
            shares: DemandShares::new(gateway),
            is_divided_by_demand: false,
            shares_reported_at: Timestamp::default(),
            known: HashMap::new(),
            unreported: BTreeSet::new(),
            repeated_at: Timestamp::default(),
        }
    }

    /// Sets whether limits are divided by demand; otherwise all shares are equal.
    pub(super) fn set_divided_by_demand(&mut self, is_divided_by_demand: bool) {
        self.is_divided_by_demand = is_divided_by_demand;
    }

    /// Returns the report of demands and leases if it is due. Shares take the leases of this report into account.
    pub(super) fn take_share_report(&mut self, now: Timestamp) -> Option<ShareReport> {
        let elapsed = now.since(self.shares_reported_at);
        if !self.is_divided_by_demand || elapsed < REPORT_INTERVAL {
            return None;
        }
        self.shares_reported_at = now;
        let mut limits = BTreeMap::new();
        let mut demands = Vec::new();
        for (key, known) in &mut self.known {
            let Some(limit) = known.limit else {
                continue;
            };
            limits.insert(*key, limit.max(MIN_RATE));
            let demanded = &mut known.demanded;
            let share = demanded.bucket.share(now).rate;
            let demand = demanded.meter.demand(elapsed, share);
            if demand > 0 {
                demands.push(LimitDemand {
                    worker: *key,
                    demand,
                });
            }
        }
        let report = self.shares.report(now, &limits, demands);
        self.refresh_shares(now);
        report
    }

    /// Applies another gateway's demands and leases, or records that its report has none.
    pub(super) fn receive_shares(
        &mut self,
        now: Timestamp,
        sender: GatewayKey,
        report: Option<&ShareReport>,
    ) {
        if !self.is_divided_by_demand {
            return;
        }
        let Some(report) = report else {
            self.shares.receive_without_shares(now, sender);
            return;
        };
        if self.shares.receive(now, sender, report) {
            self.refresh_shares(now);
        }
    }

    fn refresh_shares(&mut self, now: Timestamp) {
        for (key, known) in &mut self.known {
            if let Some(limit) = known.limit {
                known.demanded.refresh(now, *key, limit, &self.shares);
            }
        }
    }

    fn set_sharers(&mut self, sharers: LimitSharers) {
        let (own, members) = sharers.member_keys();
        self.shares.set_members(own, members);
        self.sharers = sharers;
        for (key, known) in &mut self.known {
            if let Some(limit) = known.limit {
                known.share = self.sharers.share_of(limit, *key);
            }
        }
    }

    /// Records a limit that a worker stated in an answer; returns whether it differs noticeably
    /// from the last reported one.
    pub(super) fn record_limit(
        &mut self,
        now: Timestamp,
        key: WorkerKey,
        limit: RateLimit,
    ) -> bool {
        self.record(now, key, Some(limit), now);
        let Some(known) = self.known.get_mut(&key) else {
            return false;
        };
        known.is_first_hand = true;
        let is_new = !is_similar(known.last_reported, limit);
        if is_new {
            known.last_reported = Some(limit);
            self.unreported.insert(key);
        }
        is_new
    }

    /// Records that a worker stated no limit in its answer to a request sent at `sent`; returns
    /// whether this ends a limit.
    fn record_no_limit(&mut self, now: Timestamp, key: WorkerKey, sent: Timestamp) -> bool {
        let ends = |known: &&mut KnownLimit| known.limit.is_some() && sent > known.stated_at;
        let Some(known) = self.known.get_mut(&key).filter(ends) else {
            return false;
        };
        known.is_first_hand = true;
        known.last_reported = None;
        self.record(now, key, None, sent);
        self.unreported.insert(key);
        true
    }

    /// Records another gateway's report of what a worker has stated.
    pub(super) fn receive(&mut self, now: Timestamp, key: WorkerKey, stated: StatedLimit) {
        let stated_at = now - stated.age;
        let known = self.known.get(&key);
        if known.is_some_and(|known| stated_at <= known.stated_at) {
            return;
        }
        self.record(now, key, stated.limit, stated_at);
        if let Some(known) = self.known.get_mut(&key) {
            known.is_first_hand = false;
            known.last_reported = stated.limit;
        }
    }

    /// Records a statement that arrived with a placement, not with a load report. No other gateway reports it: the
    /// gateways whose requests a scheduler places send no load reports.
    fn receive_with_placement(&mut self, now: Timestamp, key: WorkerKey, stated: StatedLimit) {
        let before = self.known.get(&key);
        let reported = before.and_then(|known| known.last_reported);
        let is_new = match stated.limit {
            Some(limit) => !is_similar(reported, limit),
            None => before.is_some_and(|known| known.limit.is_some()),
        };
        let stated_before = before.map(|known| known.stated_at);
        self.receive(now, key, stated);
        let Some(known) = self.known.get_mut(&key) else {
            return;
        };
        if stated_before != Some(known.stated_at) {
            known.is_first_hand = true;
            if is_new {
                self.unreported.insert(key);
            }
        }
    }

    /// Stores what a worker has stated. A limit that follows no limit starts without tokens.
    fn record(
        &mut self,
        now: Timestamp,
        key: WorkerKey,
        limit: Option<RateLimit>,
        stated_at: Timestamp,
    ) {
        let share = limit.map(|limit| self.sharers.share_of(limit, key));
        let known = self.known.entry(key).or_insert_with(|| KnownLimit {
            limit: None,
            stated_at,
            is_first_hand: false,
            last_reported: None,
            share: RateLimit::default(),
            bucket: TokenBucket::empty(now),
            demanded: DemandedShare::new(now),
        });
        if known.limit.is_none() {
            known.bucket = TokenBucket::empty(now);
            known.demanded = DemandedShare::new(now);
        }
        known.limit = limit;
        known.share = share.unwrap_or_default();
        known.stated_at = stated_at;
        if let (true, Some(limit)) = (self.is_divided_by_demand, limit) {
            known.demanded.refresh(now, key, limit, &self.shares);
        }
    }

    fn limit(&self, key: WorkerKey) -> Option<RateLimit> {
        self.known.get(&key)?.limit
    }

    fn stated(&self, now: Timestamp, key: WorkerKey) -> Option<StatedLimit> {
        let known = self.known.get(&key)?;
        Some(known.stated(now))
    }

    /// Returns the time until the worker's limit allows this gateway to send.
    pub(super) fn wait(&self, now: Timestamp, key: WorkerKey) -> Duration {
        let known = self.known.get(&key);
        known.map_or(Duration::ZERO, |known| {
            known.wait(now, self.is_divided_by_demand)
        })
    }

    fn take_token(&mut self, now: Timestamp, key: WorkerKey) -> RateToken {
        let known = self.known.get_mut(&key);
        let Some(known) = known.filter(|known| known.limit.is_some()) else {
            return RateToken::Unlimited;
        };
        if self.is_divided_by_demand {
            let DemandedShare { bucket, meter, .. } = &mut known.demanded;
            if bucket.take(now) {
                meter.record_taken();
                return RateToken::Taken;
            }
            meter.record_lacked();
            return RateToken::Missing;
        }
        let rate = known.share.millirequests_per_second();
        match known.bucket.step(now, rate, BucketEvent::Take(1)) {
            BucketDecision::Admitted => RateToken::Taken,
            BucketDecision::Refused { .. } => RateToken::Missing,
        }
    }

    fn return_token(&mut self, now: Timestamp, key: WorkerKey) {
        if let Some(known) = self.known.get_mut(&key) {
            if self.is_divided_by_demand {
                known.demanded.bucket.put_back(now);
                return;
            }
            let rate = known.share.millirequests_per_second();
            known.bucket.step(now, rate, BucketEvent::Refund(1));
        }
    }

    /// Takes the statements that are due to be reported to other gateways.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<LimitStatement> {
        if now.since(self.repeated_at) >= REPEAT_INTERVAL {
            self.repeated_at = now;
            let first_hand = self.known.iter().filter(|(_, known)| known.is_first_hand);
            self.unreported.extend(first_hand.map(|(key, _)| *key));
        }
        let due: Vec<WorkerKey> = self
            .unreported
            .iter()
            .take(MAX_STATEMENTS)
            .copied()
            .collect();
        let statements = due.iter().filter_map(|key| {
            let known = self.known.get(key)?;
            Some(LimitStatement {
                worker: *key,
                stated: known.stated(now),
            })
        });
        let statements = statements.collect();
        for key in due {
            self.unreported.remove(&key);
        }
        statements
    }

    fn expire(&mut self, now: Timestamp) {
        self.known
            .retain(|_, known| now.since(known.stated_at) < STATEMENT_TTL);
    }

    fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns this gateway's shares in use and the used rates, in requests per second.
    fn shares_in_use(&self, now: Timestamp) -> impl Iterator<Item = (WorkerKey, f64, f64)> + '_ {
        let limited = self.known.iter().filter(|(_, known)| known.limit.is_some());
        limited.map(move |(key, known)| {
            let share = known.demanded.bucket.share(now).rate as f64 / 1_000.0;
            (*key, share, known.demanded.meter.used() as f64 / 1_000.0)
        })
    }
}

/// Returns whether a limit hardly differs from the last reported one.
fn is_similar(reported: Option<RateLimit>, limit: RateLimit) -> bool {
    reported.is_some_and(|reported| {
        let (reported, limit) = (
            reported.millirequests_per_second(),
            limit.millirequests_per_second(),
        );
        reported.abs_diff(limit) <= reported / SAME_LIMIT_DIVISOR
    })
}

impl Directory {
    /// Sets the gateways among which limits are divided.
    pub fn set_limit_sharers(&mut self, sharers: LimitSharers) {
        self.rate_limits.set_sharers(sharers);
    }

    /// Records that a worker stated no limit in its answer to a request sent at `sent`; returns
    /// whether this ends a limit.
    pub fn record_no_rate_limit(&mut self, now: Timestamp, id: &WorkerId, sent: Timestamp) -> bool {
        self.rate_limits
            .record_no_limit(now, WorkerKey::of(id), sent)
    }

    /// Records what a worker has stated about its limit to another gateway, which sent it with a placement. It is
    /// passed on to the other schedulers with the load reports.
    pub fn receive_rate_limit(&mut self, now: Timestamp, id: &WorkerId, stated: StatedLimit) {
        if self.decisions.worker_notices {
            self.rate_limits
                .receive_with_placement(now, WorkerKey::of(id), stated);
        }
    }

    /// Returns what a worker has stated about its limit, if that is known.
    pub fn stated_rate_limit(&self, now: Timestamp, id: &WorkerId) -> Option<StatedLimit> {
        self.rate_limits.stated(now, WorkerKey::of(id))
    }

    /// Returns the limit that a worker states.
    pub fn rate_limit_of(&self, id: &WorkerId) -> Option<RateLimit> {
        self.rate_limits.limit(WorkerKey::of(id))
    }

    /// Takes a token for one request to a worker, if there is one.
    pub fn take_rate_token(&mut self, now: Timestamp, id: &WorkerId) -> RateToken {
        self.rate_limits.take_token(now, WorkerKey::of(id))
    }

    /// Returns a token that was taken for a request that was not sent.
    pub fn return_rate_token(&mut self, now: Timestamp, id: &WorkerId) {
        self.rate_limits.return_token(now, WorkerKey::of(id));
    }

    /// Returns, for each service with rate limits that are divided by demand, the shares of this gateway and what it uses
    /// of them, in requests per second.
    pub fn rate_shares(&self, now: Timestamp) -> BTreeMap<ServiceName, (f64, f64)> {
        let mut totals: BTreeMap<ServiceName, (f64, f64)> = BTreeMap::new();
        if !self.decisions.demand_shares {
            return totals;
        }
        for (key, share, used) in self.rate_limits.shares_in_use(now) {
            if let Some(tracked) = self.workers.get(&key) {
                let total = totals.entry(tracked.worker.service.clone()).or_default();
                *total = (total.0 + share, total.1 + used);
            }
        }
        totals
    }

    /// Returns the number of worker limits that are kept, including recently ended ones.
    pub fn rate_limit_count(&self) -> usize {
        self.rate_limits.len()
    }

    /// Removes statements that have not been repeated within [`STATEMENT_TTL`].
    pub(super) fn expire_rate_limits(&mut self, now: Timestamp) {
        self.rate_limits.expire(now);
    }
}
