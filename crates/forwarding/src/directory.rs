//! The workers that a gateway knows, with what it has learnt about each from its own sends.

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};

use crate::selection::Need;
use crate::worker::{Worker, WorkerId, WorkerState};

/// Latency assumed of a worker that has not answered yet.
const INITIAL_LATENCY: f64 = 0.030;
/// Weight of the newest latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest outcome in the smoothed share of successes.
const SUCCESS_WEIGHT: f64 = 0.1;
/// The lowest share of successes that a score reckons with, so that a failing worker still gets a
/// probe now and then.
const SUCCESS_FLOOR: f64 = 0.05;
/// Seconds that a send to another zone costs.
const OTHER_ZONE_COST: f64 = 0.004;
/// How long a worker that refused a request is passed over.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// How long a worker that cannot be reached is passed over.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1000);
/// Prompt tokens by which the first-ranked reader may be ahead of the least busy one.
const READ_AHEAD_TOKENS: u64 = 20_000;

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// A whole answer, its head after this time.
    Answered {
        /// From the send to the head of the answer.
        latency: Duration,
    },
    /// The worker's own failure, or an answer that is none.
    Failed,
    /// The worker says that it has no room.
    Refused,
    /// The worker is not there.
    Unreachable,
    /// The caller left or the time ran out; says nothing about the worker unless it was silent.
    Abandoned {
        /// Whether no part of an answer had come.
        silent: bool,
    },
}

/// The workers.
#[derive(Debug, Default)]
pub struct Directory {
    workers: BTreeMap<WorkerId, Tracked>,
}

#[derive(Debug)]
struct Tracked {
    worker: Worker,
    announced: bool,
    in_flight: u32,
    tokens_in_flight: u64,
    latency: f64,
    success: f64,
    pause_until: Timestamp,
}

impl Tracked {
    fn new(worker: Worker) -> Self {
        Self {
            worker,
            announced: true,
            in_flight: 0,
            tokens_in_flight: 0,
            latency: INITIAL_LATENCY,
            success: 1.0,
            pause_until: Timestamp::default(),
        }
    }

    fn takes_new_requests(&self) -> bool {
        self.announced && self.worker.state == WorkerState::Ready
    }

    fn score(&self, zone: &ZoneName) -> f64 {
        let busy = f64::from(self.in_flight) / f64::from(self.worker.slots.max(1));
        let success = self.success.max(SUCCESS_FLOOR);
        let way = match self.worker.zone == *zone {
            true => 0.0,
            false => OTHER_ZONE_COST,
        };
        (self.latency * (1.0 + busy) + way) / success.powi(3)
    }
}

impl Directory {
    /// Takes in the workers that are announced now. What is under way at others stays counted
    /// until it ends.
    pub fn announce(&mut self, workers: Vec<Worker>) {
        for tracked in self.workers.values_mut() {
            tracked.announced = false;
        }
        for worker in workers {
            match self.workers.get_mut(&worker.id) {
                Some(tracked) => {
                    tracked.announced = true;
                    tracked.worker = worker;
                }
                None => {
                    self.workers.insert(worker.id.clone(), Tracked::new(worker));
                }
            }
        }
        self.workers
            .retain(|_, tracked| tracked.announced || tracked.in_flight > 0);
    }

    /// Workers that take new requests.
    pub fn ready_workers(&self) -> usize {
        self.workers
            .values()
            .filter(|tracked| tracked.takes_new_requests())
            .count()
    }

    /// The worker of that identity, if it is announced.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers
            .get(id)
            .filter(|tracked| tracked.announced)
            .map(|tracked| &tracked.worker)
    }

    /// Whether the service has a worker that reads prompts for others.
    pub fn reads_apart(&self, service: &ServiceName) -> bool {
        self.workers.values().any(|tracked| {
            tracked.takes_new_requests()
                && tracked.worker.service == *service
                && tracked.worker.role == Some(Role::Prefill)
        })
    }

    /// Chooses a worker of `service` for a gateway in `zone`.
    pub fn select(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
        avoid: &[WorkerId],
        zone: &ZoneName,
    ) -> Option<&Worker> {
        let fits = |tracked: &&Tracked| {
            tracked.takes_new_requests()
                && tracked.worker.service == *service
                && serves(tracked.worker.role, need)
                && !avoid.contains(&tracked.worker.id)
        };
        let fitting: Vec<&Tracked> = self.workers.values().filter(fits).collect();
        let rested: Vec<&Tracked> = fitting
            .iter()
            .copied()
            .filter(|tracked| tracked.pause_until <= now)
            .collect();
        let candidates = match rested.is_empty() {
            true => fitting,
            false => rested,
        };
        let chosen = match need {
            Need::ReadPrompt { affinity, .. } => first_ranked_reader(&candidates, affinity),
            Need::Run => least_score(&candidates, zone),
            Need::Continue { reader } => {
                let near = self.workers.get(reader).map(|t| &t.worker.zone);
                least_score(&candidates, near.unwrap_or(zone))
            }
        };
        chosen.map(|tracked| &tracked.worker)
    }

    /// A send to a worker begins; `tokens` of prompt are read there.
    pub fn send_began(&mut self, id: &WorkerId, tokens: u64) {
        if let Some(tracked) = self.workers.get_mut(id) {
            tracked.in_flight += 1;
            tracked.tokens_in_flight += tokens;
        }
    }

    /// A send that began has ended.
    pub fn send_ended(&mut self, now: Timestamp, id: &WorkerId, tokens: u64, result: SendResult) {
        let Some(tracked) = self.workers.get_mut(id) else {
            return;
        };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        tracked.tokens_in_flight = tracked.tokens_in_flight.saturating_sub(tokens);
        match result {
            SendResult::Answered { latency } => {
                tracked.success = smooth(tracked.success, 1.0, SUCCESS_WEIGHT);
                tracked.latency = smooth(tracked.latency, latency.as_secs_f64(), LATENCY_WEIGHT);
            }
            SendResult::Failed | SendResult::Abandoned { silent: true } => {
                tracked.success = smooth(tracked.success, 0.0, SUCCESS_WEIGHT);
            }
            SendResult::Refused => tracked.pause_until = now + REFUSAL_PAUSE,
            SendResult::Unreachable => {
                tracked.success = smooth(tracked.success, 0.0, SUCCESS_WEIGHT);
                tracked.pause_until = now + UNREACHABLE_PAUSE;
            }
            SendResult::Abandoned { silent: false } => {}
        }
        if !tracked.announced && tracked.in_flight == 0 {
            self.workers.remove(id);
        }
    }
}

fn smooth(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}

fn serves(role: Option<Role>, need: &Need) -> bool {
    match need {
        Need::ReadPrompt { .. } => role == Some(Role::Prefill),
        Need::Run | Need::Continue { .. } => role != Some(Role::Prefill),
    }
}

fn least_score<'a>(candidates: &[&'a Tracked], zone: &ZoneName) -> Option<&'a Tracked> {
    candidates
        .iter()
        .copied()
        .min_by(|left, right| left.score(zone).total_cmp(&right.score(zone)))
}

fn first_ranked_reader<'a>(candidates: &[&'a Tracked], affinity: &str) -> Option<&'a Tracked> {
    let least_busy = candidates.iter().map(|t| t.tokens_in_flight).min()?;
    candidates
        .iter()
        .copied()
        .filter(|tracked| tracked.tokens_in_flight <= least_busy + READ_AHEAD_TOKENS)
        .max_by_key(|tracked| {
            let member = tracked.worker.id.as_str().as_bytes();
            rendezvous_weight(affinity.as_bytes(), member)
        })
}
