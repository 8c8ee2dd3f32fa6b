//! Choosing a worker. See the module doc of the directory for how workers are compared.

use std::collections::BTreeMap;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use super::eligible::Group;
use super::prediction::Comparison;
use super::sampling::drawn_positions;
use super::tracked::Tracked;
use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::selection::{affinity_part, Need, PromptPart};
use crate::tenant_shares::TenantKey;
use crate::worker::{Worker, WorkerId};

/// Engines count as nearly equal if they differ by less than this many seconds,
const NEARLY_EQUAL_SECONDS: f64 = 0.004;
/// or by this part of the time of the best.
const NEARLY_EQUAL_PART: f64 = 0.1;
/// Workers of a group that are looked at to count those that are usable: the part of so many that pauses is
/// within 0.06 of that of all (two standard deviations of a share of a half).
const COUNTED_WORKERS: usize = 256;

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
    /// The tenant whose request it is, if it is one's.
    pub tenant: Option<TenantKey>,
    /// The zone of the gateway.
    pub zone: &'a ZoneName,
    /// Workers that are not to be chosen.
    pub avoid: &'a [WorkerId],
    /// A random number, by which the compared workers, and one of nearly equal engines, are drawn.
    pub draw: u64,
}

/// Names a route in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RouteKey(u64);

impl RouteKey {
    /// The key of a route.
    pub(super) fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()))
    }
}

impl Directory {
    /// Chooses a worker for a gateway in the demand's zone.
    pub fn select(&self, now: Timestamp, demand: Demand<'_>, need: &Need) -> Option<&Worker> {
        let comparison = self.comparison(now, demand);
        let affinity = affinity_part(demand.prompt);
        let rank = |tracked: &Tracked| {
            let key = affinity.map_or(&[][..], |part| part.id.as_bytes());
            rendezvous_weight(key, tracked.worker.id.as_str().as_bytes())
        };
        let candidates: Vec<(f64, &Tracked)> = self
            .compared(now, demand, need)
            .into_iter()
            .map(|tracked| (self.expected_seconds(tracked, need, &comparison), tracked))
            .collect();
        let best = candidates.iter().min_by(|left, right| {
            let by_time = left.0.total_cmp(&right.0);
            by_time.then_with(|| rank(right.1).cmp(&rank(left.1)))
        });
        let (least, best) = best.copied()?;
        if demand.prompt.is_empty() || !comparison.costs.is_short(comparison.prompt_tokens) {
            return Some(&best.worker);
        }
        draw_nearly_equal(&candidates, least, demand.draw).map(|tracked| &tracked.worker)
    }

    /// The worker that is best for a need, and what it counts for in seconds.
    pub(super) fn best<'a>(
        &'a self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        need: &Need,
    ) -> Option<(f64, &'a Tracked)> {
        let candidates = self.compared(now, comparison.demand, need);
        candidates
            .into_iter()
            .map(|worker| (self.expected_seconds(worker, need, comparison), worker))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
    }

    /// The workers that are compared for a demand: all that may be chosen, or a part (see `sampling`).
    pub(super) fn compared(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
    ) -> Vec<&Tracked> {
        let serving = self.eligible.serving(demand.service, need);
        let count = self.sampling.count(now, serving.len());
        if count >= serving.len() {
            return self.candidates(now, demand, need);
        }
        let keeps_some = |tracked: &&Tracked| tracked.cache.cached_tokens(demand.prompt) > 0;
        let holders = self.part_holders.of_prompt(demand.prompt, demand.draw);
        let holders = holders
            .iter()
            .filter_map(|key| self.workers.get(key))
            .filter(|tracked| self.is_eligible(tracked, demand.service, need))
            .filter(keeps_some);
        let drawn = drawn_positions(demand.draw, count, serving.len());
        let drawn = drawn.filter_map(|position| self.workers.get(&serving[position]));
        let is_free = |tracked: &&Tracked| {
            self.is_free(now, tracked) && self.may_be_sent(now, tracked, demand.avoid)
        };
        let compared: BTreeMap<WorkerKey, &Tracked> = drawn
            .chain(holders)
            .inspect(|_| self.look())
            .filter(is_free)
            .map(|tracked| (tracked.key, tracked))
            .collect();
        match compared.is_empty() {
            true => self.candidates(now, demand, need),
            false => compared.into_values().collect(),
        }
    }

    /// Counts a worker that is looked at.
    pub(super) fn look(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// How many workers were looked at for decisions on requests so far: what these cost.
    pub fn workers_looked_at(&self) -> u64 {
        self.looks.get()
    }

    /// Whether a worker takes new requests for a need of a service.
    fn is_eligible(&self, tracked: &Tracked, service: &ServiceName, need: &Need) -> bool {
        let worker = &tracked.worker;
        tracked.takes_new_requests()
            && worker.service == *service
            && Group::of_role(worker.role) == Group::serving(need)
    }

    /// How many workers of a service can take a request for a need now. Of many, a part is looked at.
    pub(super) fn usable_workers(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> usize {
        let serving = self.eligible.serving(service, need);
        let looked_at = serving
            .iter()
            .step_by(serving.len().div_ceil(COUNTED_WORKERS).max(1));
        let tracked = looked_at.filter_map(|key| self.workers.get(key));
        let (mut rested, mut all) = (0, 0);
        for tracked in tracked {
            self.look();
            all += 1;
            let is_usable = self.is_free(now, tracked) && self.may_be_sent(now, tracked, &[]);
            rested += usize::from(is_usable);
        }
        match rested {
            0 => serving.len(),
            _ => serving.len() * rested / all,
        }
    }

    /// Whether a worker is none of those to avoid, has not asked for rest and is below its rate limit.
    fn may_be_sent(&self, now: Timestamp, tracked: &Tracked, avoid: &[WorkerId]) -> bool {
        let rests = self.notices.rests_until(now, tracked.key).is_some();
        let has_token = self.rate_limits.wait(now, tracked.key).is_zero();
        !rests && has_token && !avoid.contains(&tracked.worker.id)
    }

    /// Whether nothing speaks against a request to a worker now.
    fn is_free(&self, now: Timestamp, tracked: &Tracked) -> bool {
        tracked.is_rested(now) && !self.notices.is_on_trial(tracked.key)
    }

    /// All workers that may be chosen: those that pause, or are tried after a rest, only if no other is left, and none
    /// that rests. A pause is this gateway's own caution; a rest is the worker's own notice.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
    ) -> Vec<&Tracked> {
        let serving = self.eligible.serving(demand.service, need).iter();
        let fitting: Vec<&Tracked> = serving
            .inspect(|_| self.look())
            .filter_map(|key| self.workers.get(key))
            .filter(|tracked| self.may_be_sent(now, tracked, demand.avoid))
            .collect();
        let is_free = |tracked: &&Tracked| self.is_free(now, tracked);
        let free: Vec<&Tracked> = fitting.iter().copied().filter(is_free).collect();
        if !free.is_empty() {
            return free;
        }
        let is_there = |tracked: &&Tracked| !tracked.is_absent(now);
        let there: Vec<&Tracked> = fitting.iter().copied().filter(is_there).collect();
        match there.is_empty() {
            true => fitting,
            false => there,
        }
    }
}

/// One of the workers that take hardly longer than `least` seconds.
fn draw_nearly_equal<'a>(
    candidates: &[(f64, &'a Tracked)],
    least: f64,
    draw: u64,
) -> Option<&'a Tracked> {
    let most = least * (1.0 + NEARLY_EQUAL_PART) + NEARLY_EQUAL_SECONDS;
    let near = candidates.iter().filter(|(seconds, _)| *seconds <= most);
    let drawn = near.max_by_key(|(_, tracked)| tracked.key.0 ^ draw);
    drawn.map(|(_, tracked)| *tracked)
}
