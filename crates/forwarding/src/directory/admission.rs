//! Whether a prompt is taken, where it would be read, and when a refused caller should come back.
//!
//! 1. The best engine that reads and decodes is weighed against the best that only reads and the
//!    soonest place to go on: the plan.
//! 2. A prompt is taken if its answer would begin in time, or if it would wait no longer than leaves
//!    a usual prompt in time: the queue stays as short as the objective needs.
//! 3. One that no reader has time for is taken if an engine that decodes can read it in time while
//!    its streams keep within the pauses that they may make.
//! 4. One of a tenant that has taken more than its share of an overloaded service may wait for a part only of
//!    that time (`tenant_shares`).
//! 5. All others are refused at once, with the time to come back (`retry_after`).

use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp};

use super::choice::{Demand, RouteKey};
use super::costs::{ContinuingWork, EngineWork, ReadingWork};
use super::demand::AskedSeconds;
use super::prediction::Comparison;
use super::retry_after::Refusal;
use super::tracked::Tracked;
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::selection::Need;

/// How many times over going on elsewhere counts when it is weighed against reading a prompt where
/// it runs: a move takes of the links and of two engines' time.
const MOVE_WEIGHT: f64 = 2.0;
/// The part of its latency objective within which a prompt's answer is to begin as far as gateways
/// can tell; the rest is for the way to the caller and for what was not expected.
const ON_TIME_PART: f64 = 0.8;
/// Bits by which a random number is turned to draw once more: half of them, so that little is alike.
const SECOND_DRAW_BITS: u32 = 32;
/// The least part of its latency objective for which any prompt may wait.
const PATIENT_PART: f64 = 0.25;

/// The part of the pause that streams may make for which readings may hold them up at an engine that
/// decodes.
const PAUSE_PART: f64 = 0.25;
/// The part of its places up to which such an engine takes prompts that no reader has time for.
const SPARE_PLACES_PART: f64 = 0.8;

/// In what time an answer is worth its full credit, or anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objectives {
    /// Until it begins.
    pub latency: Duration,
    /// The longest pause of its stream; none if it is no stream, or has no bound.
    pub pause: Option<Duration>,
    /// Until the caller gives up.
    pub time_left: Duration,
}

/// Whether a prompt is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Taken {
        /// Whether it is better read apart than by the worker that decodes.
        read_apart: bool,
        /// The random number of the demand with which it is in time: its worker is to be drawn by it.
        draw: u64,
    },
    /// Its wait would be too long.
    Refused {
        /// Why it may not wait so long.
        cause: RefusalCause,
        /// How long it would have waited.
        waiting: Duration,
        /// When the queue is expected to be short enough.
        retry_after: Duration,
    },
}

/// Why a prompt is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its answer would be late, whoever asks for it.
    Overload,
    /// It would be in time, but its tenant has taken more than its share.
    TenantShare,
    /// All workers that could run it are at the rate limits that they name.
    RateLimit,
}

/// Where a prompt is best read.
#[derive(Debug, Clone, Copy)]
struct Plan {
    read_apart: bool,
    /// Seconds until the answer begins.
    seconds: f64,
    /// Seconds of these that it would take if nothing else were under way.
    own_seconds: f64,
    /// What its reading asks of engines.
    asked: AskedSeconds,
}

impl Plan {
    /// Seconds that it waits for others.
    fn waiting_seconds(&self) -> f64 {
        (self.seconds - self.own_seconds).max(0.0)
    }
}

/// How long a prompt may take, and wait, in seconds.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    in_time: f64,
    patience: f64,
    /// The part of both that holds for the tenant.
    tenant_part: f64,
}

impl WaitLimits {
    /// The limits for a route, if a prompt usually takes `usual` seconds by itself, and for a tenant that
    /// may wait for so large a part of them.
    fn new(objectives: Objectives, usual: f64, tenant_part: f64) -> Self {
        let objective = objectives.latency.as_secs_f64();
        let in_time = objective * ON_TIME_PART;
        Self {
            in_time,
            patience: (in_time - usual).max(objective * PATIENT_PART),
            tenant_part,
        }
    }

    /// Whether a prompt with this plan is taken.
    fn admit(&self, plan: &Plan) -> bool {
        self.admit_in_part(plan, self.tenant_part)
    }

    fn admit_in_part(&self, plan: &Plan, part: f64) -> bool {
        plan.seconds <= self.in_time * part || plan.waiting_seconds() <= self.patience * part
    }

    /// Why a prompt that is taken with none of these plans is refused.
    fn cause(&self, plans: &[Plan]) -> RefusalCause {
        let is_in_time = |plan| self.admit_in_part(plan, 1.0);
        match plans.iter().any(is_in_time) {
            true => RefusalCause::TenantShare,
            false => RefusalCause::Overload,
        }
    }

    /// Seconds until the queue is short enough for a prompt with this plan.
    fn queue_seconds(&self, plan: &Plan) -> f64 {
        let patience = self.patience * self.tenant_part;
        (plan.waiting_seconds() - patience).max(0.0)
    }
}

impl Directory {
    /// Whether a prompt is taken now, and whether it is read apart. It is not taken if it would wait
    /// long enough to be late, and longer than a usual one may wait to be in time: what is refused
    /// can come back when the queue is shorter, and what is taken is in time. Only the wait counts
    /// against a prompt, not its own length, so that long ones are not starved.
    pub fn admit(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
    ) -> Admission {
        let taken = |read_apart, draw| Admission::Taken { read_apart, draw };
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
        let hold = self.route_holds.get(&RouteKey::of(demand.route));
        let asked = AskedSeconds {
            place: hold.copied().unwrap_or_default(),
            ..plan.asked
        };
        self.demands.record(now, demand.service, asked);
        let usual = self.usual_own.entry(demand.service.clone()).or_default();
        usual.record(plan.own_seconds);
        let usual = usual.seconds();
        let tenant_part = self.tenant_patience(now, demand);
        let limits = WaitLimits::new(objectives, usual, tenant_part);
        let admission = self.admit_plan(now, demand, objectives, plan, limits);
        self.record_tenant_work(now, demand, asked, &admission);
        admission
    }

    /// Whether a prompt that has a plan is taken within limits.
    fn admit_plan(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
        first: Plan,
        limits: WaitLimits,
    ) -> Admission {
        let taken = |read_apart, draw| Admission::Taken { read_apart, draw };
        if limits.admit(&first) || !self.decisions.refusal {
            return taken(first.read_apart, demand.draw);
        }
        // None of the compared workers has time for it: as many others are compared before it is refused.
        // Not all, since others would find the same one with time left, and fill it together.
        let demand = Demand {
            draw: demand.draw.rotate_left(SECOND_DRAW_BITS),
            ..demand
        };
        let comparison = self.comparison(now, demand);
        let plan = self.plan(now, &comparison).unwrap_or(first);
        if limits.admit(&plan) {
            return taken(plan.read_apart, demand.draw);
        }
        if self.decisions.beside_streams && self.fits_beside_streams(now, demand, objectives) {
            return taken(false, demand.draw);
        }
        let queue_seconds = limits.queue_seconds(&plan);
        Admission::Refused {
            cause: limits.cause(&[first, plan]),
            waiting: bounded(plan.waiting_seconds()),
            retry_after: self.come_back_after(now, demand, objectives, queue_seconds),
        }
    }

    /// When a refused caller should come back, if the queue is short enough in `queue_seconds`.
    fn come_back_after(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
        queue_seconds: f64,
    ) -> Duration {
        let utilization = match self.decisions.later_return {
            true => self.reader_utilization(now, demand.service),
            false => 0.0,
        };
        let refusal = Refusal {
            queue_seconds,
            utilization,
            seconds_left: objectives.time_left.as_secs_f64(),
            objective: objectives.latency.as_secs_f64(),
            draw: demand.draw,
        };
        bounded(refusal.come_back_after())
    }

    /// What is asked of the engines that only read over what they can do.
    fn reader_utilization(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let readers = self.usable_workers(now, service, &Need::ReadPrompt);
        self.engine_demand(now, service).prefill_engines / readers.max(1) as f64
    }

    /// Whether an engine that decodes has time for a prompt that no reader has time for: it would be
    /// in time there, and hold up the engine's streams for a part of the pause that they may make.
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
        let Some((_, worker)) = self.best(now, &comparison, &Need::Run) else {
            return false;
        };
        let load = worker.load();
        let missing = self.reading(worker, &comparison).missing_tokens;
        let tokens = load.reading_tokens + missing;
        let held_up = comparison.costs.tokens_while_decoding(tokens) * worker.slowness;
        let places = f64::from(worker.worker.slots) * SPARE_PLACES_PART;
        let plan = self.plan_whole(worker, &comparison);
        let in_time = objectives.latency.as_secs_f64() * ON_TIME_PART;
        f64::from(load.sends) < places
            && held_up <= pause.as_secs_f64() * PAUSE_PART
            && plan.seconds <= in_time
    }

    /// Where a prompt would best be read, and whether apart.
    fn plan(&self, now: Timestamp, comparison: &Comparison<'_>) -> Option<Plan> {
        let (whole_cost, whole_worker) = self.best(now, comparison, &Need::Run)?;
        let whole = self.plan_whole(whole_worker, comparison);
        let apart = self.best(now, comparison, &Need::ReadPrompt);
        let Some((apart_cost, reader)) = apart.filter(|_| self.decisions.reading_apart) else {
            return Some(whole);
        };
        let going_on = self.least_going_on(now, comparison, reader);
        match apart_cost + going_on * MOVE_WEIGHT < whole_cost {
            true => Some(self.plan_apart(reader, going_on, comparison)),
            false => Some(whole),
        }
    }

    fn plan_whole(&self, worker: &Tracked, comparison: &Comparison<'_>) -> Plan {
        let (seconds, own_seconds) = self.reading_seconds(worker, comparison);
        Plan {
            read_apart: false,
            seconds: seconds + worker.place_seconds(comparison.hold, comparison.yields),
            own_seconds,
            asked: self.asked_seconds(worker, comparison),
        }
    }

    fn plan_apart(&self, reader: &Tracked, going_on: f64, comparison: &Comparison<'_>) -> Plan {
        let (seconds, own_seconds) = self.reading_seconds(reader, comparison);
        let work = self.moving(0, comparison);
        Plan {
            read_apart: true,
            seconds: seconds + going_on,
            own_seconds: own_seconds + comparison.costs.seconds(&work),
            asked: self.asked_seconds(reader, comparison),
        }
    }

    /// What reading the prompt asks of engines that cache the same as this one. A short one counts at
    /// decoders if that is where it is best read; all others count at engines that only read.
    fn asked_seconds(&self, worker: &Tracked, comparison: &Comparison<'_>) -> AskedSeconds {
        let costs = &comparison.costs;
        let reading = self.reading(worker, comparison);
        let is_read_there = worker.worker.role != Some(Role::Prefill);
        if is_read_there && costs.is_short(comparison.prompt_tokens) {
            return AskedSeconds {
                reading_short: costs.busy_seconds_while_decoding(reading.missing_tokens),
                ..AskedSeconds::default()
            };
        }
        let work = self.reading_work(worker, &reading, comparison);
        AskedSeconds {
            reading: costs.busy_seconds(&work),
            ..AskedSeconds::default()
        }
    }

    /// Seconds until an engine has read the prompt, and how many it would take if idle.
    fn reading_seconds(&self, worker: &Tracked, comparison: &Comparison<'_>) -> (f64, f64) {
        let reading = self.reading(worker, comparison);
        let work = self.reading_work(worker, &reading, comparison);
        let idle = ReadingWork {
            requests: 0,
            waiting_tokens: 0,
            ..work
        };
        let seconds = |work: ReadingWork| {
            let work = EngineWork::reading(worker.worker.role, work);
            comparison.costs.seconds(&work) * worker.slowness + reading.transfer_seconds
        };
        (seconds(work), seconds(idle))
    }

    /// Seconds that a stream takes to go on where that is soonest: the wait for a place and the move.
    fn least_going_on(&self, now: Timestamp, comparison: &Comparison<'_>, reader: &Tracked) -> f64 {
        let need = Need::Continue {
            reader: reader.worker.id.clone(),
        };
        let engines = self.compared(now, comparison.demand, &need);
        let seconds = engines.into_iter().map(|engine| {
            let work = self.moving(engine.load().sends, comparison);
            comparison.costs.seconds(&work)
                + engine.place_seconds(comparison.hold, comparison.yields)
        });
        seconds.reduce(f64::min).unwrap_or_default()
    }

    fn moving(&self, requests: u32, comparison: &Comparison<'_>) -> EngineWork {
        let tokens = comparison.prompt_tokens;
        EngineWork::Continue(ContinuingWork {
            requests,
            move_seconds: self.transfer_seconds(comparison.demand.service, tokens),
            other_zone: false,
        })
    }
}

fn bounded(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_EXPECTED_SECONDS))
}
