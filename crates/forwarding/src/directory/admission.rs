//! Decides whether a prompt is admitted, where it would be read, and when a refused caller should
//! retry.
//!
//! 1. The best engine that reads and decodes the prompt itself is compared with the best prefill
//!    engine plus the decode engine that could continue soonest. The better one is the plan.
//! 2. A prompt is admitted if its answer would begin in time, or if it would wait no longer than a
//!    typical prompt may wait to be in time: this keeps the queue as short as the objective
//!    requires.
//! 3. A prompt for which no prefill engine has time is admitted if a decode engine can read it in
//!    time without making its streams pause for longer than they may.
//! 4. A prompt of a tenant that has taken more than its share of an overloaded service may wait for
//!    only a fraction of that time (`tenant_shares`).
//! 5. All other prompts are refused at once, with the time after which to retry (`retry_after`).

use std::time::Duration;

use tansyhall_core::{Role, Timestamp};

use super::choice::{Demand, RouteKey};
use super::costs::{ContinuingWork, EngineWork, PrefillWork};
use super::demand::RequiredSeconds;
use super::prediction::Comparison;
use super::retry_after::RefusedCaller;
use super::tracked::TrackedWorker;
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::selection::Need;
use crate::urgency::UrgencyGroup;

/// Weight of the time to continue on another engine when it is compared with reading a prompt on
/// the decode engine itself: a transfer also uses link bandwidth and time of two engines.
const CONTINUATION_WEIGHT: f64 = 2.0;
/// Fraction of the latency objective within which a prompt's answer must be expected to begin; the
/// rest is reserved for the network to the caller and for the unexpected.
pub(super) const ON_TIME_FRACTION: f64 = 0.8;
/// Rotation in bits that turns a request's random number into a second one: half of the bits, so
/// that the two have little in common.
const SECOND_DRAW_ROTATION: u32 = 32;
/// The smallest fraction of its latency objective that any prompt may spend waiting.
const MIN_WAIT_FRACTION: f64 = 0.25;

/// Fraction of the longest allowed stream pause for which reading prompts may stall the streams of
/// a decode engine.
const STREAM_STALL_FRACTION: f64 = 0.25;
/// Fraction of occupied slots up to which a decode engine takes prompts for which no prefill engine
/// has time.
const MAX_OCCUPIED_SLOT_FRACTION: f64 = 0.8;

/// The times within which an answer meets its objective, or is of any use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objectives {
    /// Time until the answer begins.
    pub latency: Duration,
    /// The longest allowed pause of a stream; `None` if the answer is no stream or its pauses are
    /// not limited.
    pub pause: Option<Duration>,
    /// Time until the caller gives up.
    pub time_left: Duration,
}

/// Whether a prompt is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted {
        /// Whether it is better read by a prefill engine than by the engine that decodes it.
        read_apart: bool,
        /// The random number with which the demand meets its objective: its worker must be drawn
        /// with it.
        draw: u64,
    },
    /// Its wait would be too long.
    Refused {
        /// The reason.
        cause: RefusalCause,
        /// The time that it would have waited.
        waiting: Duration,
        /// Time until the queue is expected to be short enough.
        retry_after: Duration,
    },
}

/// Reason why a prompt is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its answer would be late, whichever tenant asks for it.
    Overload,
    /// It would be in time, but its tenant has taken more than its share.
    TenantShare,
    /// All workers that could run it are at the rate limits that they state.
    RateLimit,
}

/// Where a prompt is best read.
#[derive(Debug, Clone, Copy)]
struct Plan {
    read_apart: bool,
    /// Seconds until the answer begins.
    seconds: f64,
    /// The part of `seconds` that the prompt would take if no other request were in progress.
    idle_seconds: f64,
    /// The engine time that reading it requires.
    required: RequiredSeconds,
}

impl Plan {
    /// Returns the seconds that the prompt waits for others.
    fn waiting_seconds(&self) -> f64 {
        (self.seconds - self.idle_seconds).max(0.0)
    }
}

/// The groups whose streams count when reading a prompt beside them is compared with reading it
/// apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spares {
    AllGroups,
    OwnGroup,
}

/// How long a prompt may take and wait, in seconds.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    latency_seconds: f64,
    wait_seconds: f64,
    /// Fraction of both limits that applies to the tenant.
    tenant_fraction: f64,
}

impl WaitLimits {
    /// Returns the limits for a route whose prompts typically take `typical_seconds` on idle
    /// engines, and for a tenant to which `tenant_fraction` of the limits applies.
    fn new(objectives: Objectives, typical_seconds: f64, tenant_fraction: f64) -> Self {
        let objective = objectives.latency.as_secs_f64();
        let in_time = objective * ON_TIME_FRACTION;
        Self {
            latency_seconds: in_time,
            wait_seconds: (in_time - typical_seconds).max(objective * MIN_WAIT_FRACTION),
            tenant_fraction,
        }
    }

    /// Returns whether a prompt with this plan is admitted.
    fn admits(&self, plan: &Plan) -> bool {
        self.admits_fraction(plan, self.tenant_fraction)
    }

    fn admits_fraction(&self, plan: &Plan, fraction: f64) -> bool {
        plan.seconds <= self.latency_seconds * fraction
            || plan.waiting_seconds() <= self.wait_seconds * fraction
    }

    /// Returns why a prompt is refused that is admitted with none of these plans.
    fn cause(&self, plans: &[Plan]) -> RefusalCause {
        let is_in_time = |plan| self.admits_fraction(plan, 1.0);
        match plans.iter().any(is_in_time) {
            true => RefusalCause::TenantShare,
            false => RefusalCause::Overload,
        }
    }

    /// Returns the seconds until the queue is short enough for a prompt with this plan.
    fn queue_seconds(&self, plan: &Plan) -> f64 {
        let wait_seconds = self.wait_seconds * self.tenant_fraction;
        (plan.waiting_seconds() - wait_seconds).max(0.0)
    }
}

impl Directory {
    /// Decides whether a prompt is admitted now, and whether it is read apart. It is refused if its
    /// wait would make it late and is longer than a typical prompt may wait to be in time. A
    /// refused request can retry when the queue is shorter, and an admitted one is in time. Only
    /// the wait counts against a prompt, not its own length, so that long prompts are not starved.
    pub fn admit(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
    ) -> Admission {
        let taken = |read_apart, draw| Admission::Admitted { read_apart, draw };
        if let Some(retry_after) = self.rate_limited_for(now, demand.service, &Need::Run) {
            return Admission::Refused {
                cause: RefusalCause::RateLimit,
                waiting: retry_after,
                retry_after,
            };
        }
        if demand.prompt.is_empty() {
            return taken(false, demand.draw);
        }
        let comparison = self.comparison(now, demand);
        let Some(plan) = self.plan(now, &comparison) else {
            return taken(false, demand.draw);
        };
        let hold = self.route_hold_seconds.get(&RouteKey::of(demand.route));
        let required = RequiredSeconds {
            slot: hold.copied().unwrap_or_default(),
            ..plan.required
        };
        let group = self.counted_group(demand);
        self.demands.record(now, demand.service, required, group);
        let typical_seconds = self
            .idle_prompt_seconds
            .entry(demand.service.clone())
            .or_default();
        typical_seconds.record(plan.idle_seconds);
        let typical_seconds = typical_seconds.seconds();
        let tenant_fraction = self.tenant_wait_fraction(now, demand);
        let limits = WaitLimits::new(objectives, typical_seconds, tenant_fraction);
        let admission = self.admit_plan(now, demand, objectives, plan, limits);
        self.record_tenant_work(now, demand, required, &admission);
        admission
    }

    /// Decides whether a prompt with this plan is admitted within the limits.
    fn admit_plan(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
        first: Plan,
        limits: WaitLimits,
    ) -> Admission {
        let taken = |read_apart, draw| Admission::Admitted { read_apart, draw };
        if limits.admits(&first) || !self.decisions.refusal {
            let read_apart = self.read_apart_for_pauses(now, demand, first, &limits);
            return taken(read_apart, demand.draw);
        }
        // None of the compared workers has time for it: an equal number of other workers is
        // compared before it is refused. Not all workers are compared, since other gateways would
        // find the same one with free time, and together they would overload it.
        let demand = Demand {
            draw: demand.draw.rotate_left(SECOND_DRAW_ROTATION),
            ..demand
        };
        let comparison = self.comparison(now, demand);
        let plan = self.plan(now, &comparison).unwrap_or(first);
        if limits.admits(&plan) {
            let read_apart = self.read_apart_for_pauses(now, demand, plan, &limits);
            return taken(read_apart, demand.draw);
        }
        if self.decisions.beside_streams && self.fits_beside_streams(now, demand, objectives) {
            return taken(false, demand.draw);
        }
        if let Some(taken) = self.admit_urgent(now, demand, limits) {
            return taken;
        }
        let queue_seconds = limits.queue_seconds(&plan);
        Admission::Refused {
            cause: limits.cause(&[first, plan]),
            waiting: bounded_duration(plan.waiting_seconds()),
            retry_after: self.retry_after(now, demand, objectives, queue_seconds),
        }
    }

    /// Admits an urgent prompt that would be in time behind its own group, although it would be
    /// late behind all requests.
    fn admit_urgent(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        limits: WaitLimits,
    ) -> Option<Admission> {
        if self.waits_as(demand) != UrgencyGroup::Urgent {
            return None;
        }
        let comparison = self.comparison_as(now, demand, UrgencyGroup::Urgent);
        let plan = self.plan_with(now, &comparison, Spares::OwnGroup)?;
        limits.admits(&plan).then_some(Admission::Admitted {
            read_apart: plan.read_apart,
            draw: comparison.demand.draw,
        })
    }

    /// Returns whether a prompt that is admitted with this plan is read apart. A prompt that would be read beside streams
    /// which pause for too long meanwhile is read apart instead, if it is admitted with that plan as well and an engine
    /// that keeps the pauses can decode it.
    fn read_apart_for_pauses(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        plan: Plan,
        limits: &WaitLimits,
    ) -> bool {
        let decisions = &self.decisions;
        if plan.read_apart || !decisions.stream_pauses || !decisions.reading_apart {
            return plan.read_apart;
        }
        let comparison = self.comparison(now, demand);
        let is_short = comparison.costs.is_short(comparison.prompt_tokens);
        if is_short || !self.compares_pauses(&Need::Run, &comparison) {
            return false;
        }
        let runners = self.compared_workers(now, demand, &Need::Run);
        let can_run = |worker: &&TrackedWorker| {
            self.keeps_pauses(worker, &Need::Run, &comparison)
                && limits.admits(&self.plan_colocated(worker, &comparison))
        };
        if runners.iter().any(can_run) {
            return false;
        }
        let Some((_, reader)) = self.best_worker(now, &comparison, &Need::ReadPrompt) else {
            return false;
        };
        let continuation = Need::Continue {
            reader: reader.worker.id.clone(),
        };
        let decoders = self.compared_workers(now, demand, &continuation);
        let can_decode =
            |worker: &&TrackedWorker| self.keeps_pauses(worker, &continuation, &comparison);
        if !decoders.iter().any(can_decode) {
            return false;
        }
        let continuation_seconds = self.min_continuation_seconds(now, &comparison, reader);
        limits.admits(&self.plan_apart(reader, continuation_seconds, &comparison))
    }

    /// Returns when a refused caller should retry if the queue is short enough in `queue_seconds`.
    fn retry_after(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
        queue_seconds: f64,
    ) -> Duration {
        let utilization = match self.decisions.later_return {
            true => self.prefill_utilization(now, demand),
            false => 0.0,
        };
        let refused = RefusedCaller {
            queue_seconds,
            utilization,
            seconds_left: objectives.time_left.as_secs_f64(),
            objective: objectives.latency.as_secs_f64(),
            draw: demand.draw,
        };
        bounded_duration(refused.retry_after_seconds())
    }

    /// Returns the demand for prefill engines that a caller competes with, relative to their
    /// capacity.
    fn prefill_utilization(&self, now: Timestamp, demand: Demand<'_>) -> f64 {
        let prefill_engines = self.usable_workers(now, demand.service, &Need::ReadPrompt);
        let all = self.engine_demand(now, demand.service);
        let competing = match self.waits_as(demand) {
            UrgencyGroup::Urgent => all.urgent_prefill_engines,
            UrgencyGroup::LessUrgent => all.prefill_engines,
        };
        competing / prefill_engines.max(1) as f64
    }

    /// Returns whether a decode engine has time for a prompt for which no prefill engine has time:
    /// it would be in time there, and would stall the engine's streams for only a fraction of the
    /// pause that they may make.
    fn fits_beside_streams(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
    ) -> bool {
        let Some(pause) = objectives.pause else {
            return false;
        };
        let comparison = self.comparison(now, demand);
        let Some(worker) = self.best_for_pauses(now, &comparison, &Need::Run) else {
            return false;
        };
        let load = worker.load().ahead_of(comparison.waits_as);
        let missing = self.prefill_estimate(worker, &comparison).missing_tokens;
        let tokens = load.reading_tokens + missing;
        let slowness = worker.slowness(comparison.waits_as);
        let stall_seconds = comparison.costs.colocated_prefill_seconds(tokens) * slowness;
        let need = Need::Run;
        let keeps_pauses = self.compares_pauses(&need, &comparison)
            && self.keeps_pauses(worker, &need, &comparison);
        let max_sends = f64::from(worker.worker.slots) * MAX_OCCUPIED_SLOT_FRACTION;
        let plan = self.plan_colocated(worker, &comparison);
        let in_time = objectives.latency.as_secs_f64() * ON_TIME_FRACTION;
        f64::from(load.sends) < max_sends
            && (keeps_pauses || stall_seconds <= pause.as_secs_f64() * STREAM_STALL_FRACTION)
            && plan.seconds <= in_time
    }

    /// Returns where a prompt is best read, and whether apart.
    fn plan(&self, now: Timestamp, comparison: &Comparison<'_>) -> Option<Plan> {
        self.plan_with(now, comparison, Spares::AllGroups)
    }

    /// Returns the same if only the streams of these groups are to be spared.
    fn plan_with(
        &self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        spares: Spares,
    ) -> Option<Plan> {
        let (colocated_cost, colocated_worker) = self.best_worker(now, comparison, &Need::Run)?;
        let delay_of_less_urgent = match spares {
            Spares::AllGroups => self.delay_of_less_urgent(colocated_worker, comparison),
            Spares::OwnGroup => 0.0,
        };
        let colocated_cost = colocated_cost + delay_of_less_urgent;
        let colocated = self.plan_colocated(colocated_worker, comparison);
        let separate = self.best_worker(now, comparison, &Need::ReadPrompt);
        let Some((prefill_cost, reader)) = separate.filter(|_| self.decisions.reading_apart) else {
            return Some(colocated);
        };
        let continuation_seconds = self.min_continuation_seconds(now, comparison, reader);
        match prefill_cost + continuation_seconds * CONTINUATION_WEIGHT < colocated_cost {
            true => Some(self.plan_apart(reader, continuation_seconds, comparison)),
            false => Some(colocated),
        }
    }

    /// Returns the seconds until a worker that reads and decodes the prompt itself begins the
    /// answer.
    pub(super) fn colocated_seconds(
        &self,
        worker: &TrackedWorker,
        comparison: &Comparison<'_>,
    ) -> f64 {
        self.plan_colocated(worker, comparison).seconds
    }

    fn plan_colocated(&self, worker: &TrackedWorker, comparison: &Comparison<'_>) -> Plan {
        let (seconds, idle_seconds) = self.prefill_seconds(worker, comparison);
        Plan {
            read_apart: false,
            seconds: seconds + comparison.slot_wait_seconds(worker),
            idle_seconds,
            required: self.required_seconds(worker, comparison),
        }
    }

    fn plan_apart(
        &self,
        reader: &TrackedWorker,
        continuation_seconds: f64,
        comparison: &Comparison<'_>,
    ) -> Plan {
        let (seconds, idle_seconds) = self.prefill_seconds(reader, comparison);
        let work = self.continuing_work(0, comparison);
        Plan {
            read_apart: true,
            seconds: seconds + continuation_seconds,
            idle_seconds: idle_seconds + comparison.costs.seconds(&work),
            required: self.required_seconds(reader, comparison),
        }
    }

    /// Returns the engine time that reading the prompt requires on engines that have the same parts
    /// cached as this one. A short prompt counts for decode engines if it is best read there; all
    /// others count for prefill engines.
    fn required_seconds(
        &self,
        worker: &TrackedWorker,
        comparison: &Comparison<'_>,
    ) -> RequiredSeconds {
        let costs = &comparison.costs;
        let estimate = self.prefill_estimate(worker, comparison);
        let is_colocated = worker.worker.role != Some(Role::Prefill);
        if is_colocated && costs.is_short(comparison.prompt_tokens) {
            return RequiredSeconds {
                short_prefill: costs.decode_engine_seconds(estimate.missing_tokens),
                ..RequiredSeconds::default()
            };
        }
        let work = self.prefill_work(worker, &estimate, comparison);
        RequiredSeconds {
            prefill: costs.prefill_engine_seconds(&work),
            ..RequiredSeconds::default()
        }
    }

    /// Returns the seconds until an engine has read the prompt, and the seconds that it would take
    /// if idle.
    fn prefill_seconds(&self, worker: &TrackedWorker, comparison: &Comparison<'_>) -> (f64, f64) {
        let estimate = self.prefill_estimate(worker, comparison);
        let work = self.prefill_work(worker, &estimate, comparison);
        let idle = PrefillWork {
            requests: 0,
            waiting_tokens: 0,
            ..work
        };
        let seconds = |work: PrefillWork| {
            let work = EngineWork::prefill(worker.worker.role, work);
            comparison.costs.seconds(&work) * worker.slowness(comparison.waits_as)
                + estimate.transfer_seconds
        };
        (seconds(work), seconds(idle))
    }

    /// Returns the least number of seconds for a stream to continue on a decode engine: the wait
    /// for a slot and the transfer of the KV cache.
    fn min_continuation_seconds(
        &self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        reader: &TrackedWorker,
    ) -> f64 {
        let need = Need::Continue {
            reader: reader.worker.id.clone(),
        };
        let engines = self.compared_workers(now, comparison.demand, &need);
        let seconds = engines.into_iter().map(|engine| {
            let ahead = engine.load().ahead_of(comparison.waits_as);
            let work = self.continuing_work(ahead.sends, comparison);
            comparison.costs.seconds(&work) + comparison.slot_wait_seconds(engine)
        });
        seconds.reduce(f64::min).unwrap_or_default()
    }

    fn continuing_work(&self, requests: u32, comparison: &Comparison<'_>) -> EngineWork {
        let tokens = comparison.prompt_tokens;
        EngineWork::Continue(ContinuingWork {
            requests,
            transfer_seconds: self.transfer_seconds(comparison.demand.service, tokens),
            other_zone: false,
        })
    }
}

pub(super) fn bounded_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_EXPECTED_SECONDS))
}
