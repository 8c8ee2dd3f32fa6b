//! The workers that a gateway knows, with what it has learnt about each from its own sends and
//! from the reports of other gateways.
//!
//! Workers are compared by the time in which they are expected to answer.
//!
//! - For requests without a prompt: the smoothed latency of a worker's answers, stretched by the
//!   work under way there.
//! - For prompts: the time to read what is waiting there and what of this prompt neither its cache
//!   nor another worker's holds, to fetch what another holds, and for each request under way, by
//!   models that are learnt for the service (`costs`), stretched by how much slower than others of
//!   its service the worker has been.
//!
//! A request that finds every place of a decoding engine taken waits until one is free; how long a
//! stream holds its place is learnt.
//!
//! A prompt that is read beside decoding streams slows them all, which counts as time too, and so
//! does what a copy pushes out of a cache. All is divided by the cube of the share of sends that
//! came back whole, and the way to another zone counts. Equal workers are told apart
//! by rendezvous hashing of the prompt's largest shared part, so that gateways which know nothing
//! yet agree. Short prompts gain nothing from a cache: they are drawn among nearly equal engines,
//! so that many gateways, each with reports that are a little old, do not all choose the same.
//!
//! A worker that has said in an answer that it leaves, or wants rest, is not chosen, however well it compares
//! (`notices`); one that names a rate limit is chosen no more often than this gateway's share of it allows (`rate_limits`).
//!
//! Where many gateways place requests at the same time, each request compares a part of the workers only
//! (`sampling`).
//!
//! Whether a prompt is read apart follows from the same times: the best reader, the move of the KV
//! cache included, against the best worker that reads it while decoding.

mod admission;
mod availability;
mod choice;
mod costs;
mod demand;
mod eligible;
mod length_biased_mean;
mod membership;
mod notices;
mod part_holders;
mod prediction;
mod rate_limits;
mod retry_after;
mod sampling;
mod sharing;
mod tenants;
mod ticket;
mod tracked;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp};

use crate::cache_view::PartKey;
use crate::configuration::EngineCapacity;
use crate::decisions::Decisions;
use crate::load_exchange::{EngineDemand, GatewayKey, LoadReporter, WorkerKey};
use crate::selection::{Need, PromptPart};
use crate::tenant_shares::TenantShares;
use crate::worker::{Worker, WorkerId, WorkerState};

pub use admission::{Admission, Objectives, RefusalCause};
pub use availability::FirstAvailable;
pub use choice::Demand;
pub use notices::{NoticeNews, Unavailable};
pub use rate_limits::RateToken;
pub use ticket::SendTicket;
pub use tracked::SendResult;

use choice::RouteKey;
use costs::EngineCosts;
use demand::Demands;
use eligible::EligibleWorkers;
use length_biased_mean::UsualSeconds;
use notices::Notices;
use part_holders::PartHolders;
use rate_limits::RateLimits;
use sampling::Sampling;
use sharing::report_prompt;
use tracked::{smooth, Tracked};

/// Tokens that a cache is taken to hold if the configuration does not say.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;
/// Weight of the newest time for which a stream held its place in the mean of its route.
const ROUTE_HOLD_WEIGHT: f64 = 0.05;
/// The longest hold in seconds that is learnt from.
const MAX_HOLD: f64 = 10.0;
/// Seconds to the answer of a request without a prompt that are assumed before any worker of its service has answered.
const FIRST_PLAIN_LATENCY: f64 = 0.030;
/// Weight of the newest answer of any worker in the smoothed latency of its service.
const PLAIN_LATENCY_WEIGHT: f64 = 0.05;
/// A bound on times that are expected.
const MAX_EXPECTED_SECONDS: f64 = 600.0;

/// The workers.
#[derive(Debug)]
pub struct Directory {
    workers: BTreeMap<WorkerKey, Tracked>,
    eligible: EligibleWorkers,
    notices: Notices,
    rate_limits: RateLimits,
    part_holders: PartHolders,
    /// Workers where others have work under way.
    busy_for_others: BTreeSet<WorkerKey>,
    /// How many workers are announced at each address.
    announced_at: HashMap<SocketAddr, usize>,
    desired_roles: HashMap<String, Role>,
    engines: HashMap<ServiceName, EngineCapacity>,
    costs: HashMap<ServiceName, EngineCosts>,
    hold_seconds: HashMap<ServiceName, UsualSeconds>,
    route_holds: HashMap<RouteKey, f64>,
    usual_own: HashMap<ServiceName, UsualSeconds>,
    /// Smoothed seconds to answers of requests without a prompt.
    plain_latencies: HashMap<ServiceName, f64>,
    demands: Demands,
    tenant_shares: HashMap<ServiceName, TenantShares>,
    sampling: Sampling,
    decisions: Decisions,
    reporter: LoadReporter,
    heard: HashMap<GatewayKey, u64>,
    stale_dropped: Timestamp,
    /// Workers that were looked at for decisions so far.
    looks: Cell<u64>,
}

/// An engine with what is under way there.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The engine.
    pub worker: Worker,
    /// Sends of all gateways.
    pub sends: u32,
}

impl Directory {
    /// No worker yet; `gateway` signs reports of load.
    pub fn new(gateway: GatewayKey) -> Self {
        Self {
            workers: BTreeMap::new(),
            eligible: EligibleWorkers::default(),
            notices: Notices::default(),
            rate_limits: RateLimits::default(),
            part_holders: PartHolders::default(),
            busy_for_others: BTreeSet::new(),
            announced_at: HashMap::new(),
            desired_roles: HashMap::new(),
            engines: HashMap::new(),
            costs: HashMap::new(),
            hold_seconds: HashMap::new(),
            route_holds: HashMap::new(),
            usual_own: HashMap::new(),
            plain_latencies: HashMap::new(),
            demands: Demands::default(),
            tenant_shares: HashMap::new(),
            sampling: Sampling::default(),
            decisions: Decisions::default(),
            reporter: LoadReporter::new(gateway),
            heard: HashMap::new(),
            stale_dropped: Timestamp::default(),
            looks: Cell::new(0),
        }
    }

    /// Sets which mechanisms decide from now on.
    pub fn set_decisions(&mut self, decisions: Decisions) {
        self.decisions = decisions;
    }

    /// Takes in what the engines of each service can hold.
    pub fn set_engines(&mut self, engines: HashMap<ServiceName, EngineCapacity>) {
        self.engines = engines;
    }

    /// Takes in how many other gateways place requests, and the pause between their reports.
    pub fn set_exchange(&mut self, others: usize, report_pause: Duration) {
        self.sampling.set_exchange(others, report_pause);
    }

    /// The engines that have a role and are not leaving, with what is under way there.
    pub fn engine_loads(&self) -> Vec<EngineLoad> {
        let engines = self.workers.values().filter(|tracked| {
            let ready = tracked.announced && tracked.worker.state == WorkerState::Ready;
            ready && tracked.worker.role.is_some()
        });
        let loads = engines.map(|tracked| EngineLoad {
            worker: tracked.worker.clone(),
            sends: tracked.load().sends,
        });
        loads.collect()
    }

    /// What all callers ask of a service's engines, what is refused included.
    pub fn engine_demand(&self, now: Timestamp, service: &ServiceName) -> EngineDemand {
        self.demands.all(now, service)
    }

    /// Workers that take new requests.
    pub fn ready_workers(&self) -> usize {
        self.eligible.len()
    }

    /// The workers that are announced.
    pub fn announced_workers(&self) -> impl Iterator<Item = &Worker> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        announced.map(|tracked| &tracked.worker)
    }

    /// The service and the state of each worker that is announced.
    pub fn worker_states(&self) -> impl Iterator<Item = (&ServiceName, WorkerState)> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        announced.map(|tracked| (&tracked.worker.service, tracked.worker.state))
    }

    /// The worker of that identity, if it is announced.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.tracked(id)
            .filter(|tracked| tracked.announced)
            .map(|tracked| &tracked.worker)
    }

    /// Whether a worker is announced at this address.
    pub fn is_announced_at(&self, address: SocketAddr) -> bool {
        self.announced_at.contains_key(&address)
    }

    /// A send to a worker begins, for what the demand needs of it.
    pub fn send_began(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        demand: Demand<'_>,
        need: &Need,
    ) -> SendTicket {
        self.sampling.record_send(now);
        let mut ticket = self.ticket(now, id, demand, need);
        let prompt = demand.prompt;
        let key = WorkerKey::of(id);
        let service = self.workers.get(&key);
        let capacity = self.capacity_of(service.map(|tracked| &tracked.worker.service));
        let Some(tracked) = self.workers.get_mut(&key) else {
            return ticket;
        };
        ticket.counted = true;
        ticket.is_trial = self.notices.send_began(key);
        tracked.own.sends += 1;
        tracked.own.reading_tokens += ticket.reading_tokens;
        if self.decisions.caches {
            for part in prompt {
                let key = PartKey::of(part);
                let change = tracked
                    .cache
                    .record_reading(now, key, part.tokens, capacity);
                self.part_holders.apply(tracked.key, &change);
            }
        }
        report_prompt(&mut self.reporter, tracked.key, prompt, false);
        report_load(&mut self.reporter, tracked);
        ticket
    }

    /// The worker has read the prompt of a send: its answer begins after `latency`.
    pub fn prompt_was_read(
        &mut self,
        now: Timestamp,
        ticket: &mut SendTicket,
        prompt: &[PromptPart],
        latency: Duration,
    ) {
        let key = WorkerKey::of(&ticket.worker);
        let service = self.workers.get(&key);
        let capacity = self.capacity_of(service.map(|tracked| &tracked.worker.service));
        self.notices.took_up(now, key);
        let Some(tracked) = self.workers.get_mut(&key) else {
            return;
        };
        if let Some(work) = &ticket.work {
            let seconds = (latency.as_secs_f64() - ticket.fetch_seconds).max(0.0);
            let costs = self.costs.entry(tracked.worker.service.clone());
            if self.decisions.learnt_costs {
                costs.or_default().learn(work, seconds);
            }
            if self.decisions.slowness {
                tracked.learn_slowness(ticket.usual_seconds, seconds);
            }
        }
        ticket.read_at = Some(now);
        let read = std::mem::take(&mut ticket.reading_tokens);
        tracked.own.reading_tokens = tracked.own.reading_tokens.saturating_sub(read);
        if self.decisions.caches {
            for part in prompt {
                let key = PartKey::of(part);
                let change = tracked.cache.record_read(now, key, part.tokens, capacity);
                self.part_holders.apply(tracked.key, &change);
            }
        }
        report_prompt(&mut self.reporter, tracked.key, prompt, true);
        report_load(&mut self.reporter, tracked);
    }

    /// A send that began has ended.
    pub fn send_ended(
        &mut self,
        now: Timestamp,
        ticket: &SendTicket,
        prompt: &[PromptPart],
        result: SendResult,
    ) {
        let key = WorkerKey::of(&ticket.worker);
        if ticket.is_trial {
            self.notices.trial_ended(key);
        }
        if result == SendResult::Failed {
            self.notices.took_up(now, key);
        }
        let tracked = self.workers.get_mut(&key);
        let Some(tracked) = tracked.filter(|_| ticket.counted) else {
            return;
        };
        let change = tracked.cache.remove_unready(prompt);
        self.part_holders.apply(key, &change);
        tracked.own.sends = tracked.own.sends.saturating_sub(1);
        let unread = ticket.reading_tokens;
        tracked.own.reading_tokens = tracked.own.reading_tokens.saturating_sub(unread);
        report_load(&mut self.reporter, tracked);
        if result == SendResult::Absent && !tracked.is_absent(now) {
            self.reporter.record_absence(tracked.key);
        }
        let result = match (result, self.decisions.absence) {
            (SendResult::Absent, false) => SendResult::Unreachable,
            (result, _) => result,
        };
        let service = tracked.worker.service.clone();
        let known = self.plain_latencies.get(&service).copied();
        let usual = known.unwrap_or(FIRST_PLAIN_LATENCY);
        tracked.learn_result(now, result, usual);
        if let (SendResult::Answered { latency }, true) = (result, prompt.is_empty()) {
            let usual = smooth(usual, latency.as_secs_f64(), PLAIN_LATENCY_WEIGHT);
            self.plain_latencies.insert(service, usual);
        }
        let answered = matches!(result, SendResult::Answered { .. });
        if let (true, Some(read_at), Some(Role::Decode)) =
            (answered, ticket.read_at, tracked.worker.role)
        {
            let service = tracked.worker.service.clone();
            let held = now.since(read_at).as_secs_f64().min(MAX_HOLD);
            self.hold_seconds.entry(service).or_default().record(held);
            let hold = self.route_holds.entry(ticket.route).or_insert(held);
            *hold += (held - *hold) * ROUTE_HOLD_WEIGHT;
        }
        if !tracked.announced && tracked.own.sends == 0 {
            self.forget(key);
        }
    }

    /// Seconds in which the workers of a service usually answer a request without a prompt. A worker that has not
    /// answered yet is taken to be so fast, so that it is tried beside fast ones.
    fn plain_latency(&self, service: &ServiceName) -> f64 {
        let known = self.plain_latencies.get(service);
        known.copied().unwrap_or(FIRST_PLAIN_LATENCY)
    }

    fn capacity_of(&self, service: Option<&ServiceName>) -> u64 {
        service
            .and_then(|service| self.engines.get(service))
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens)
    }
}

/// Tells other gateways of the load at a model engine.
fn report_load(reporter: &mut LoadReporter, tracked: &Tracked) {
    if tracked.worker.role.is_some() {
        reporter.record_load(tracked.key, tracked.own);
    }
}
