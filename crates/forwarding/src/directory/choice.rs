//! Choosing a worker. See the module documentation of the directory for how workers are compared.

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use super::eligible::Group;
use super::prediction::Comparison;
use super::sampling::drawn_positions;
use super::tracked::TrackedWorker;
use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::selection::{affinity_part, Need, PromptPart};
use crate::tenant_shares::TenantKey;
use crate::urgency::UrgencyGroup;
use crate::worker::{SoftwareVersion, Worker, WorkerId};

/// Engines count as nearly equal if they differ by less than this many seconds
/// plus [`NEARLY_EQUAL_FRACTION`] of the best engine's time.
const NEARLY_EQUAL_SECONDS: f64 = 0.004;
/// See [`NEARLY_EQUAL_SECONDS`].
const NEARLY_EQUAL_FRACTION: f64 = 0.1;
/// Maximum number of workers of a group that are examined to estimate how many are usable. With a
/// sample of this size the unusable fraction is within 0.06 of the true one (two standard
/// deviations at a fraction of one half).
const MAX_SAMPLED_WORKERS: usize = 256;

/// What a worker is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model engines.
    pub prompt: &'a [PromptPart],
    /// The name of the route.
    pub route: &'a str,
    /// Whether the service has more urgent routes than this one.
    pub yields: bool,
    /// The longest pause that the stream may make; `None` if it is not limited.
    pub pause: Option<Duration>,
    /// The tenant that sends the request, if there is one.
    pub tenant: Option<TenantKey>,
    /// The zone of the gateway.
    pub zone: &'a ZoneName,
    /// Workers that must not be chosen.
    pub avoid: &'a [WorkerId],
    /// The only software version whose workers may be chosen: that of the stream to continue.
    pub version: Option<&'a SoftwareVersion>,
    /// A random number that determines which workers are compared, and which of several nearly
    /// equal engines is chosen.
    pub draw: u64,
}

impl Demand<'_> {
    /// Returns whether this demand allows a worker.
    pub(super) fn allows(&self, worker: &Worker) -> bool {
        let has_version = self
            .version
            .is_none_or(|version| worker.version == *version);
        has_version && !self.avoid.contains(&worker.id)
    }
}

/// Key of a route in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RouteKey(u64);

impl RouteKey {
    /// Returns the key of a route.
    pub(super) fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()))
    }
}

impl Directory {
    /// Chooses a worker for a gateway in the demand's zone.
    pub fn select(&self, now: Timestamp, demand: Demand<'_>, need: &Need) -> Option<&Worker> {
        let comparison = self.comparison_for_choice(now, demand, need);
        let affinity = affinity_part(demand.prompt);
        let rank = |tracked: &TrackedWorker| {
            let key = affinity.map_or(&[][..], |part| part.id.as_bytes());
            rendezvous_weight(key, tracked.worker.id.as_str().as_bytes())
        };
        let candidates: Vec<(f64, &TrackedWorker)> = self
            .compared_workers(now, demand, need)
            .into_iter()
            .map(|tracked| (self.expected_seconds(tracked, need, &comparison), tracked))
            .collect();
        let candidates = self.with_short_pauses(candidates, need, &comparison);
        let candidates = self.least_delaying(candidates, need, &comparison);
        let best = candidates.iter().min_by(|left, right| {
            let by_time = left.0.total_cmp(&right.0);
            by_time.then_with(|| rank(right.1).cmp(&rank(left.1)))
        });
        let (least_seconds, best) = best.copied()?;
        if demand.prompt.is_empty() || !comparison.costs.is_short(comparison.prompt_tokens) {
            return Some(&best.worker);
        }
        draw_nearly_equal(&candidates, least_seconds, demand.draw).map(|tracked| &tracked.worker)
    }

    /// Returns the best worker for a need, and its cost in seconds.
    pub(super) fn best_worker<'a>(
        &'a self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        need: &Need,
    ) -> Option<(f64, &'a TrackedWorker)> {
        let candidates: Vec<(f64, &TrackedWorker)> = self
            .compared_workers(now, comparison.demand, need)
            .into_iter()
            .map(|worker| (self.expected_seconds(worker, need, comparison), worker))
            .collect();
        let candidates = self.least_delaying(candidates, need, comparison);
        let best = candidates
            .into_iter()
            .min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(seconds, worker)| match comparison.waits_as {
            UrgencyGroup::Urgent => (self.expected_seconds(worker, need, comparison), worker),
            UrgencyGroup::LessUrgent => (seconds, worker),
        })
    }

    /// Returns the workers that are compared for a demand: all that may be chosen, or a sample of
    /// them (see `sampling`).
    pub(super) fn compared_workers(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
    ) -> Vec<&TrackedWorker> {
        let serving = self.eligible.serving(demand.service, need);
        let count = self.sampling.sample_size(now, serving.len());
        if count >= serving.len() {
            return self.candidates(now, demand, need);
        }
        let has_cached_start =
            |tracked: &&TrackedWorker| tracked.cache.cached_tokens(demand.prompt) > 0;
        let holders = self.part_holders.of_prompt(demand.prompt, demand.draw);
        let holders = holders
            .iter()
            .filter_map(|key| self.workers.get(key))
            .filter(|tracked| self.is_eligible(tracked, demand.service, need))
            .filter(has_cached_start);
        let drawn = drawn_positions(demand.draw, count, serving.len());
        let drawn = drawn.filter_map(|position| self.workers.get(&serving[position]));
        let is_preferred = |tracked: &&TrackedWorker| {
            self.is_preferred(now, tracked)
                && self.is_allowed(now, tracked)
                && demand.allows(&tracked.worker)
        };
        let compared: BTreeMap<WorkerKey, &TrackedWorker> = drawn
            .chain(holders)
            .inspect(|_| self.count_examined())
            .filter(is_preferred)
            .map(|tracked| (tracked.key, tracked))
            .collect();
        match compared.is_empty() {
            true => self.candidates(now, demand, need),
            false => compared.into_values().collect(),
        }
    }

    /// Counts an examined worker.
    pub(super) fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Returns the number of workers examined for decisions on requests so far, a measure of their
    /// cost.
    pub fn examined_workers(&self) -> u64 {
        self.examined.get()
    }

    /// Returns whether a worker accepts new requests for a need of a service.
    fn is_eligible(&self, tracked: &TrackedWorker, service: &ServiceName, need: &Need) -> bool {
        let worker = &tracked.worker;
        tracked.takes_new_requests()
            && worker.service == *service
            && Group::of_role(worker.role) == Group::serving(need)
    }

    /// Returns how many workers of a service can take a request for a need now. In large groups
    /// this is estimated from a sample.
    pub(super) fn usable_workers(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> usize {
        let serving = self.eligible.serving(service, need);
        let sampled = serving
            .iter()
            .step_by(serving.len().div_ceil(MAX_SAMPLED_WORKERS).max(1));
        let tracked = sampled.filter_map(|key| self.workers.get(key));
        let (mut usable, mut all) = (0, 0);
        for tracked in tracked {
            self.count_examined();
            all += 1;
            let is_usable = self.is_preferred(now, tracked) && self.is_allowed(now, tracked);
            usable += usize::from(is_usable);
        }
        match usable {
            0 => serving.len(),
            _ => serving.len() * usable / all,
        }
    }

    /// Returns whether a worker is not backing off and is below its rate limit.
    pub(super) fn is_allowed(&self, now: Timestamp, tracked: &TrackedWorker) -> bool {
        let is_backing_off = self.notices.backoff_until(now, tracked.key).is_some();
        let has_token = self.rate_limits.wait(now, tracked.key).is_zero();
        !is_backing_off && has_token
    }

    /// Returns whether a worker is neither paused nor absent nor at its maximum of trial requests.
    pub(super) fn is_preferred(&self, now: Timestamp, tracked: &TrackedWorker) -> bool {
        tracked.is_available(now) && !self.notices.has_max_trials(tracked.key)
    }

    /// Returns all workers that may be chosen. Workers that are paused, or on trial after a
    /// back-off, are included only if there is no other; workers that are backing off never are. A
    /// pause is this gateway's own precaution, a back-off the worker's explicit request.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
    ) -> Vec<&TrackedWorker> {
        let serving = self.eligible.serving(demand.service, need).iter();
        let allowed: Vec<&TrackedWorker> = serving
            .inspect(|_| self.count_examined())
            .filter_map(|key| self.workers.get(key))
            .filter(|tracked| demand.allows(&tracked.worker) && self.is_allowed(now, tracked))
            .collect();
        let is_preferred = |tracked: &&TrackedWorker| self.is_preferred(now, tracked);
        let preferred: Vec<&TrackedWorker> = allowed.iter().copied().filter(is_preferred).collect();
        if !preferred.is_empty() {
            return preferred;
        }
        let is_present = |tracked: &&TrackedWorker| !tracked.is_absent(now);
        let present: Vec<&TrackedWorker> = allowed.iter().copied().filter(is_present).collect();
        match present.is_empty() {
            true => allowed,
            false => present,
        }
    }
}

/// Returns the seconds up to which engines count as nearly equal to one that takes `least_seconds`.
pub(super) fn nearly_equal_limit(least_seconds: f64) -> f64 {
    least_seconds * (1.0 + NEARLY_EQUAL_FRACTION) + NEARLY_EQUAL_SECONDS
}

/// Draws one of the workers that take hardly longer than `least_seconds`.
fn draw_nearly_equal<'a>(
    candidates: &[(f64, &'a TrackedWorker)],
    least_seconds: f64,
    draw: u64,
) -> Option<&'a TrackedWorker> {
    let max_seconds = nearly_equal_limit(least_seconds);
    let nearly_equal = candidates
        .iter()
        .filter(|(seconds, _)| *seconds <= max_seconds);
    let drawn = nearly_equal.max_by_key(|(_, tracked)| tracked.key.0 ^ draw);
    drawn.map(|(_, tracked)| *tracked)
}
