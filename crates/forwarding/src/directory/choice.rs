//! Choosing a worker, and deciding whether a prompt is taken and read apart. See the module doc of
//! the directory for how workers are compared.

use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};

use super::prediction::{Comparison, MIN_FETCHED_TOKENS};
use super::tracked::{Tracked, FIRST_TOKEN_COST};
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::selection::{affinity_part, Need, PromptPart};
use crate::worker::{Worker, WorkerId};

/// Seconds that moving a KV cache costs, its price included.
const MOVE_COST: f64 = 0.020;
/// How many times longer than its transfer a move takes: most cross zones.
const MOVE_WAIT: f64 = 1.0;
/// Shorter prompts are not read apart.
const MIN_APART_TOKENS: u64 = 200;
/// Engines count as nearly equal if they differ by less than this many seconds,
const NEARLY_EQUAL_SECONDS: f64 = 0.004;
/// or by this part of the time of the best.
const NEARLY_EQUAL_PART: f64 = 0.1;
/// The part of its latency objective for which any prompt may wait.
const PATIENT_PART: f64 = 0.6;

/// What a worker is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model engines.
    pub prompt: &'a [PromptPart],
    /// The zone of the gateway.
    pub zone: &'a ZoneName,
    /// A random number, by which one of nearly equal engines is drawn.
    pub draw: u64,
}

/// Whether a prompt is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Taken,
    /// Its wait would be too long.
    Refused {
        /// How long it would have waited.
        waiting: Duration,
        /// When the queue is expected to be short enough.
        retry_after: Duration,
    },
}

/// Where a prompt is best read.
struct Planned<'a> {
    worker: &'a Tracked,
    read_apart: bool,
    /// Seconds that the stream waits for a place where it is decoded.
    place_seconds: f64,
}

impl Directory {
    /// Whether the prompt is better read apart than by the worker that decodes.
    pub fn reads_apart(&self, now: Timestamp, demand: Demand<'_>) -> bool {
        let comparison = self.comparison(now, demand);
        let planned = self.plan(now, &comparison);
        planned.is_some_and(|planned| planned.read_apart)
    }

    /// Whether a prompt is taken now. It is not if it would wait long enough to be late and for more
    /// than a part of its latency objective: what is refused can come back when the queue is
    /// shorter, and what is taken is in time. Only the wait counts against a prompt, not its own
    /// length, so that long ones are not starved.
    pub fn admit(&self, now: Timestamp, demand: Demand<'_>, objective: Duration) -> Admission {
        if demand.prompt.is_empty() {
            return Admission::Taken;
        }
        let comparison = self.comparison(now, demand);
        let Some(planned) = self.plan(now, &comparison) else {
            return Admission::Taken;
        };
        let objective = objective.as_secs_f64();
        let patience = objective * PATIENT_PART;
        let worker = planned.worker;
        let waiting = worker.tokens_seconds(worker.load().reading_tokens, comparison.rate)
            + planned.place_seconds;
        let reading = self.reading(worker, &comparison);
        let own = worker.tokens_seconds(reading.missing_tokens, comparison.rate)
            + reading.fetch_seconds
            + FIRST_TOKEN_COST;
        if waiting <= patience || waiting + own <= objective {
            return Admission::Taken;
        }
        let bounded = |seconds: f64| Duration::from_secs_f64(seconds.min(MAX_EXPECTED_SECONDS));
        Admission::Refused {
            waiting: bounded(waiting),
            retry_after: bounded(waiting - patience),
        }
    }

    /// Chooses a worker for a gateway in the demand's zone.
    pub fn select(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Option<&Worker> {
        let comparison = self.comparison(now, demand);
        let affinity = affinity_part(demand.prompt);
        let rank = |tracked: &Tracked| {
            let key = affinity.map_or(&[][..], |part| part.id.as_bytes());
            rendezvous_weight(key, tracked.worker.id.as_str().as_bytes())
        };
        let candidates: Vec<(f64, &Tracked)> = self
            .candidates(now, demand.service, need, avoid)
            .into_iter()
            .map(|tracked| (self.expected_seconds(tracked, need, &comparison), tracked))
            .collect();
        let best = candidates.iter().min_by(|left, right| {
            let by_time = left.0.total_cmp(&right.0);
            by_time.then_with(|| rank(right.1).cmp(&rank(left.1)))
        });
        let (least, best) = best.copied()?;
        if demand.prompt.is_empty() || comparison.prompt_tokens >= MIN_FETCHED_TOKENS {
            return Some(&best.worker);
        }
        draw_nearly_equal(&candidates, least, demand.draw).map(|tracked| &tracked.worker)
    }

    /// Where a prompt would best be read, and whether apart.
    fn plan<'a>(&'a self, now: Timestamp, comparison: &Comparison<'a>) -> Option<Planned<'a>> {
        let best = |need: &Need| {
            let candidates = self.candidates(now, comparison.demand.service, need, &[]);
            candidates
                .into_iter()
                .map(|worker| (self.expected_seconds(worker, need, comparison), worker))
                .min_by(|(left, _), (right, _)| left.total_cmp(right))
        };
        let transfer = self.transfer_seconds(comparison.demand.service, comparison.prompt_tokens);
        let waits = self.move_waits.get(comparison.demand.service);
        let move_seconds = MOVE_COST + transfer * MOVE_WAIT + waits.copied().unwrap_or_default();
        let (whole_seconds, worker) = best(&Need::Run)?;
        let place_seconds = self.least_place_seconds(now, comparison);
        let apart = match comparison.prompt_tokens < MIN_APART_TOKENS {
            true => None,
            false => best(&Need::ReadPrompt),
        };
        match apart {
            Some((seconds, reader)) if seconds + move_seconds + place_seconds < whole_seconds => {
                Some(Planned {
                    worker: reader,
                    read_apart: true,
                    place_seconds,
                })
            }
            _ => Some(Planned {
                worker,
                read_apart: false,
                place_seconds: worker.place_seconds(comparison.hold),
            }),
        }
    }

    /// Seconds that a stream waits for a place at the engine where it waits least.
    fn least_place_seconds(&self, now: Timestamp, comparison: &Comparison<'_>) -> f64 {
        let engines = self.candidates(now, comparison.demand.service, &Need::Run, &[]);
        let seconds = engines
            .into_iter()
            .map(|engine| engine.place_seconds(comparison.hold));
        seconds.reduce(f64::min).unwrap_or_default()
    }

    fn candidates(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Vec<&Tracked> {
        let fits = |tracked: &&Tracked| {
            tracked.takes_new_requests()
                && tracked.worker.service == *service
                && serves(tracked.worker.role, need)
                && !avoid.contains(&tracked.worker.id)
        };
        let fitting: Vec<&Tracked> = self.workers.values().filter(fits).collect();
        let is_rested = |tracked: &&Tracked| !tracked.is_paused(now) && !tracked.is_absent(now);
        let rested: Vec<&Tracked> = fitting.iter().copied().filter(is_rested).collect();
        if !rested.is_empty() {
            return rested;
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

fn serves(role: Option<Role>, need: &Need) -> bool {
    match need {
        Need::ReadPrompt => role == Some(Role::Prefill),
        Need::Run | Need::Continue { .. } => role != Some(Role::Prefill),
    }
}
