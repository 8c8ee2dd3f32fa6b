//! Choosing a worker, and deciding whether a prompt is taken and read apart. See the module doc of
//! the directory for how workers are compared.

use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};

use super::lanes::ShortLane;
use super::tracked::{Tracked, FIRST_TOKEN_COST};
use super::{Directory, MAX_EXPECTED_SECONDS};
use crate::reading_rate::ReadingRate;
use crate::selection::{affinity_part, prompt_tokens, Need, PromptPart};
use crate::worker::{Worker, WorkerId};

/// Seconds that moving a KV cache costs, its price included.
const MOVE_COST: f64 = 0.020;
/// How many times longer than its transfer a move takes: most cross zones.
const MOVE_WAIT: f64 = 1.0;
/// Seconds that fetching a part of a KV cache costs beside its transfer, its price included.
const FETCH_COST: f64 = 0.010;
/// A copy pushes as many tokens out of a full cache: the part of the time to read them again that
/// this counts for.
const DISPLACEMENT: f64 = 0.3;
/// How many times longer a transfer between zones takes.
const OTHER_ZONE_FETCH: f64 = 2.0;
/// Shorter parts are read again rather than fetched.
const MIN_FETCHED_TOKENS: u64 = 1_000;
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

/// A demand with what is the same for every worker that is compared for it.
struct Comparison<'a> {
    now: Timestamp,
    demand: Demand<'a>,
    rate: ReadingRate,
    hold: f64,
    holders: Vec<Holder<'a>>,
    short_lane: ShortLane,
    prompt_tokens: u64,
}

/// A worker that holds the start of a prompt.
struct Holder<'a> {
    tracked: &'a Tracked,
    tokens: u64,
}

/// What reading a prompt at a worker takes.
pub(super) struct Reading {
    /// Tokens that neither the worker nor another holds.
    pub(super) missing_tokens: u64,
    /// Seconds to fetch what another holds, with what the copy displaces.
    fetch_seconds: f64,
    /// The worker to fetch from.
    pub(super) source: Option<SocketAddr>,
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
        let most = least * (1.0 + NEARLY_EQUAL_PART) + NEARLY_EQUAL_SECONDS;
        let near = candidates.iter().filter(|(seconds, _)| *seconds <= most);
        let drawn = near.max_by_key(|(_, tracked)| tracked.key.0 ^ demand.draw);
        drawn.map(|(_, tracked)| &tracked.worker)
    }

    /// What reading a prompt at a worker takes.
    pub(super) fn reading_of(
        &self,
        now: Timestamp,
        tracked: &Tracked,
        prompt: &[PromptPart],
    ) -> Reading {
        let demand = Demand {
            service: &tracked.worker.service,
            prompt,
            zone: &tracked.worker.zone,
            draw: 0,
        };
        let comparison = self.comparison(now, demand);
        self.reading(tracked, &comparison)
    }

    fn comparison<'a>(&'a self, now: Timestamp, demand: Demand<'a>) -> Comparison<'a> {
        let tokens = prompt_tokens(demand.prompt);
        let holders = match tokens < MIN_FETCHED_TOKENS {
            true => Vec::new(),
            false => self.holders(demand),
        };
        Comparison {
            now,
            demand,
            rate: self.rates.get(demand.service).copied().unwrap_or_default(),
            hold: self
                .hold_seconds
                .get(demand.service)
                .copied()
                .unwrap_or_default(),
            holders,
            short_lane: self.short_lane(demand),
            prompt_tokens: tokens,
        }
    }

    fn short_lane(&self, demand: Demand<'_>) -> ShortLane {
        let Some(mix) = self.mixes.get(demand.service) else {
            return ShortLane::default();
        };
        let readers = self.workers.values().filter(|tracked| {
            let reads = tracked.worker.role == Some(Role::Prefill);
            reads && tracked.takes_new_requests() && tracked.worker.service == *demand.service
        });
        ShortLane::of(*mix, readers.map(|tracked| tracked.key))
    }

    fn holders<'a>(&'a self, demand: Demand<'a>) -> Vec<Holder<'a>> {
        let members = self
            .workers
            .values()
            .filter(|tracked| tracked.announced && tracked.worker.service == *demand.service);
        members
            .map(|tracked| Holder {
                tracked,
                tokens: tracked.cache.ready_tokens(demand.prompt),
            })
            .filter(|holder| holder.tokens >= MIN_FETCHED_TOKENS)
            .collect()
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

    fn expected_seconds(&self, tracked: &Tracked, need: &Need, comparison: &Comparison<'_>) -> f64 {
        let demand = &comparison.demand;
        match need {
            Need::Run if demand.prompt.is_empty() => {
                tracked.weigh(comparison.now, tracked.plain_seconds(), demand.zone)
            }
            Need::Run | Need::ReadPrompt => {
                let reading = self.reading(tracked, comparison);
                let missing = reading.missing_tokens;
                let detour = match tracked.worker.role {
                    Some(Role::Prefill) => comparison
                        .short_lane
                        .detour_seconds(tracked.key, comparison.prompt_tokens),
                    _ => 0.0,
                };
                let seconds = tracked.reading_seconds(missing, comparison.rate)
                    + tracked.harm_seconds(missing, comparison.rate)
                    + tracked.place_seconds(comparison.hold)
                    + detour
                    + reading.fetch_seconds;
                tracked.weigh(comparison.now, seconds, demand.zone)
            }
            Need::Continue { reader } => {
                let reader = self.workers.get(reader).map(|reader| &reader.worker.zone);
                let copied = comparison.prompt_tokens - tracked.cache.kept_tokens(demand.prompt);
                let displaced = comparison.rate.apart(copied) * DISPLACEMENT;
                let transfer = self.transfer_seconds(demand.service, copied);
                let seconds = tracked.reading_seconds(0, comparison.rate)
                    + tracked.place_seconds(comparison.hold)
                    + displaced
                    + transfer;
                tracked.weigh(comparison.now, seconds, reader.unwrap_or(demand.zone))
            }
        }
    }

    fn reading(&self, tracked: &Tracked, comparison: &Comparison<'_>) -> Reading {
        let kept = tracked.cache.kept_tokens(comparison.demand.prompt);
        let lacking = comparison.prompt_tokens - kept;
        let same_zone = |holder: &&Holder<'_>| holder.tracked.worker.zone == tracked.worker.zone;
        let source = comparison
            .holders
            .iter()
            .filter(|holder| holder.tracked.key != tracked.key)
            .filter(|holder| holder.tokens >= kept + MIN_FETCHED_TOKENS)
            .max_by_key(|holder| (holder.tokens, same_zone(holder)));
        let Some(holder) = source else {
            return Reading {
                missing_tokens: lacking,
                fetch_seconds: 0.0,
                source: None,
            };
        };
        let fetched = holder.tokens - kept;
        let displaced = comparison.rate.apart(fetched) * DISPLACEMENT;
        let transfer = self.transfer_seconds(comparison.demand.service, fetched);
        let way = match same_zone(&holder) {
            true => 1.0,
            false => OTHER_ZONE_FETCH,
        };
        Reading {
            missing_tokens: lacking - fetched,
            fetch_seconds: FETCH_COST + transfer * way + displaced,
            source: Some(holder.tracked.worker.address),
        }
    }

    /// Seconds for tokens to move between two engines of a zone.
    pub(super) fn transfer_seconds(&self, service: &ServiceName, tokens: u64) -> f64 {
        self.engines.get(service).map_or(0.0, |engine| {
            tokens as f64 * engine.token_bytes / engine.link_bytes_per_second.max(1.0)
        })
    }
}

fn serves(role: Option<Role>, need: &Need) -> bool {
    match need {
        Need::ReadPrompt => role == Some(Role::Prefill),
        Need::Run | Need::Continue { .. } => role != Some(Role::Prefill),
    }
}
