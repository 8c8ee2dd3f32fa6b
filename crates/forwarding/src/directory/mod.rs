//! The workers known to a gateway, with what it has learned about each from its own sends and from
//! the reports of other gateways.
//!
//! Workers are compared by the time within which they are expected to answer.
//!
//! - For requests without a prompt: the smoothed latency of a worker's answers, scaled up by the
//!   work in progress at the worker.
//! - For prompts: the time to process the prompt tokens that are queued there and those of this
//!   prompt that neither its cache nor another worker's cache holds, the time to fetch what another
//!   cache holds, and the time for each request in progress. The times come from models that are
//!   learned per service (`costs`), multiplied by the worker's slowness relative to the other
//!   workers of its service.
//!
//! Engines have one of two roles: prefill engines only read prompts (compute their KV cache),
//! decode engines generate the tokens of streams and can read prompts as well. A prompt is "read
//! apart" if a prefill engine reads it and hands the KV cache to a decode engine.
//!
//! A request that finds every slot of a decode engine occupied waits until one is free; how long a
//! stream holds its slot is learned.
//!
//! Reading a prompt next to decoding streams slows them all, which is added to the time, and so is
//! the time to recompute what a copied KV cache evicts. The sum is divided by the cube of the
//! fraction of sends that were answered completely, and workers in another zone get a penalty. Ties
//! are broken by rendezvous hashing of the prompt's largest shared part, so that gateways that have
//! no observations yet agree. Short prompts gain nothing from a cache: their engine is drawn at
//! random among the nearly equal ones, so that many gateways with slightly outdated reports do not
//! all choose the same engine.
//!
//! A worker that has stated in an answer that it is leaving, or that is backing off, is not
//! chosen, however well it compares (`notices`). One that states a rate limit is chosen no more
//! often than this gateway's share of the limit allows (`rate_limits`).
//!
//! Where many gateways place requests at the same time, each request compares only some of the
//! workers (`sampling`).
//!
//! The same times decide whether a prompt is read apart: the best prefill engine, including the
//! transfer of the KV cache, is compared with the best decode engine that reads the prompt itself.

mod admission;
mod availability;
mod choice;
mod costs;
mod demand;
mod eligible;
mod fleet_tenants;
mod leaving;
mod length_biased_mean;
mod membership;
mod notices;
mod part_holders;
mod pause_limits;
mod prediction;
mod rate_limits;
mod retry_after;
mod sampling;
mod sharing;
mod stream_pauses;
mod tenants;
mod ticket;
mod tracked;
mod urgency;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp};

use crate::cache_view::PartKey;
use crate::configuration::EngineCapacity;
use crate::decisions::Decisions;
use crate::load_exchange::{EngineDemand, GatewayKey, Load, LoadReporter, WorkerKey};
use crate::selection::{Need, PromptPart};
use crate::tenant_shares::TenantShares;
use crate::urgency::UrgencyGroup;
use crate::worker::{Worker, WorkerId, WorkerState};

pub use admission::{Admission, Objectives, RefusalCause};
pub use availability::FirstAvailable;
pub use choice::Demand;
pub use leaving::FirstAdmission;
pub use notices::{NoticeChanges, Unavailable};
pub use rate_limits::RateToken;
pub use stream_pauses::MAX_STREAM_PAUSE;
pub use ticket::SendTicket;
pub use tracked::SendResult;

use choice::RouteKey;
use costs::EngineCosts;
use demand::Demands;
use eligible::EligibleWorkers;
use fleet_tenants::FleetTenants;
use leaving::LeavingWorkers;
use length_biased_mean::LengthBiasedMean;
use notices::Notices;
use part_holders::PartHolders;
use pause_limits::PauseKnowledge;
use rate_limits::RateLimits;
use sampling::Sampling;
use sharing::report_prompt;
use tracked::{smooth, TrackedWorker};
use urgency::UrgentValues;

/// Cache size in tokens that is assumed if the configuration does not state one.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;
/// Weight of the newest slot hold time in the mean of its route.
const ROUTE_HOLD_WEIGHT: f64 = 0.05;
/// Longer hold times are cut to this many seconds before they are learned from.
const MAX_HOLD_SECONDS: f64 = 10.0;
/// Latency in seconds of a request without a prompt that is assumed before any worker of the
/// service has answered one.
const DEFAULT_PROMPTLESS_LATENCY_SECONDS: f64 = 0.030;
/// Weight of the newest answer of any worker in the smoothed latency of its service.
const PROMPTLESS_LATENCY_WEIGHT: f64 = 0.05;
/// Upper bound on all expected times.
const MAX_EXPECTED_SECONDS: f64 = 600.0;

/// The workers known to a gateway, and all that its choices depend on.
#[derive(Debug)]
pub struct Directory {
    workers: BTreeMap<WorkerKey, TrackedWorker>,
    eligible: EligibleWorkers,
    notices: Notices,
    leaving: LeavingWorkers,
    rate_limits: RateLimits,
    part_holders: PartHolders,
    /// Workers at which other gateways have reported load.
    loaded_by_others: BTreeSet<WorkerKey>,
    /// Number of workers that are announced at each address.
    announced_at: HashMap<SocketAddr, usize>,
    desired_roles: HashMap<String, Role>,
    engines: HashMap<ServiceName, EngineCapacity>,
    costs: HashMap<ServiceName, EngineCosts>,
    urgent_values: UrgentValues,
    hold_seconds: HashMap<ServiceName, LengthBiasedMean>,
    route_hold_seconds: HashMap<RouteKey, f64>,
    idle_prompt_seconds: HashMap<ServiceName, LengthBiasedMean>,
    /// Smoothed latency in seconds of requests without a prompt.
    promptless_latencies: HashMap<ServiceName, f64>,
    pauses: HashMap<ServiceName, PauseKnowledge>,
    demands: Demands,
    tenant_shares: HashMap<ServiceName, TenantShares>,
    fleet_tenants: FleetTenants,
    sampling: Sampling,
    decisions: Decisions,
    reporter: LoadReporter,
    last_sequences: HashMap<GatewayKey, u64>,
    stale_dropped_at: Timestamp,
    /// Number of workers examined for decisions so far.
    examined: Cell<u64>,
}

/// An engine with the sends in progress there.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The engine.
    pub worker: Worker,
    /// Sends of all gateways.
    pub sends: u32,
}

impl Directory {
    /// Creates a directory without workers; `gateway` is the sender of its load reports.
    pub fn new(gateway: GatewayKey) -> Self {
        Self {
            workers: BTreeMap::new(),
            eligible: EligibleWorkers::default(),
            notices: Notices::default(),
            leaving: LeavingWorkers::default(),
            rate_limits: RateLimits::new(gateway),
            part_holders: PartHolders::default(),
            loaded_by_others: BTreeSet::new(),
            announced_at: HashMap::new(),
            desired_roles: HashMap::new(),
            engines: HashMap::new(),
            costs: HashMap::new(),
            urgent_values: UrgentValues::default(),
            hold_seconds: HashMap::new(),
            route_hold_seconds: HashMap::new(),
            idle_prompt_seconds: HashMap::new(),
            promptless_latencies: HashMap::new(),
            pauses: HashMap::new(),
            demands: Demands::default(),
            tenant_shares: HashMap::new(),
            fleet_tenants: FleetTenants::default(),
            sampling: Sampling::default(),
            decisions: Decisions::default().with_tolerated_zones(0),
            reporter: LoadReporter::new(gateway),
            last_sequences: HashMap::new(),
            stale_dropped_at: Timestamp::default(),
            examined: Cell::new(0),
        }
    }

    /// Sets which mechanisms take part in decisions from now on.
    pub fn set_decisions(&mut self, decisions: Decisions) {
        self.decisions = decisions;
        self.rate_limits
            .set_divided_by_demand(decisions.demand_shares);
    }

    /// Sets the capacity of the engines of each service.
    pub fn set_engines(&mut self, engines: HashMap<ServiceName, EngineCapacity>) {
        self.engines = engines;
    }

    /// Sets how many other gateways place requests, and the interval of their reports.
    pub fn set_other_gateways(&mut self, other_gateways: usize, report_interval: Duration) {
        self.sampling
            .set_other_gateways(other_gateways, report_interval);
    }

    /// Returns the engines that have a role and are not leaving, with the sends in progress there.
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

    /// Returns the demand of all callers for a service's engines, including the requests that are
    /// refused.
    pub fn engine_demand(&self, now: Timestamp, service: &ServiceName) -> EngineDemand {
        self.demands.all(now, service)
    }

    /// Returns the number of workers that accept new requests.
    pub fn ready_workers(&self) -> usize {
        self.eligible.len()
    }

    /// Returns the announced workers.
    pub fn announced_workers(&self) -> impl Iterator<Item = &Worker> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        announced.map(|tracked| &tracked.worker)
    }

    /// Returns the service and the state of each announced worker.
    pub fn worker_states(&self) -> impl Iterator<Item = (&ServiceName, WorkerState)> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        announced.map(|tracked| (&tracked.worker.service, tracked.worker.state))
    }

    /// Returns the worker with this identity if it is announced.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.tracked(id)
            .filter(|tracked| tracked.announced)
            .map(|tracked| &tracked.worker)
    }

    /// Returns whether a worker is announced at this address.
    pub fn is_announced_at(&self, address: SocketAddr) -> bool {
        self.announced_at.contains_key(&address)
    }

    /// Records that a send to a worker begins, and returns the ticket that follows it to its end.
    pub fn begin_send(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        demand: Demand<'_>,
        need: &Need,
    ) -> SendTicket {
        self.sampling.record_send(now);
        let mut ticket = self.new_ticket(now, id, demand, need);
        let prompt = demand.prompt;
        let key = WorkerKey::of(id);
        let service = self.workers.get(&key);
        let capacity = self.capacity_of(service.map(|tracked| &tracked.worker.service));
        let Some(tracked) = self.workers.get_mut(&key) else {
            return ticket;
        };
        ticket.is_counted = true;
        ticket.is_trial = self.notices.begin_send(key);
        let load = Load::of_request(ticket.group, ticket.reading_tokens);
        tracked.own_load = tracked.own_load.plus(load);
        if self.decisions.stream_pauses {
            let pauses = self.pauses.entry(tracked.worker.service.clone());
            tracked.begin_stream(now, &mut ticket, &mut pauses.or_default().limits);
        }
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

    /// Records that the worker has read the prompt of a send: its answer begins `latency` after the
    /// send.
    pub fn record_prompt_read(
        &mut self,
        now: Timestamp,
        ticket: &mut SendTicket,
        prompt: &[PromptPart],
        latency: Duration,
    ) {
        let key = WorkerKey::of(&ticket.worker);
        let service = self.workers.get(&key);
        let capacity = self.capacity_of(service.map(|tracked| &tracked.worker.service));
        self.notices.record_accepted(now, key);
        let Some(tracked) = self.workers.get_mut(&key) else {
            return;
        };
        if let Some(work) = &ticket.work {
            let seconds = (latency.as_secs_f64() - ticket.fetch_seconds).max(0.0);
            let service = tracked.worker.service.clone();
            if self.decisions.learnt_costs {
                let costs = self.costs.entry(service.clone());
                costs.or_default().learn(work, seconds);
            }
            let group = UrgencyGroup::LessUrgent;
            if self.decisions.slowness {
                tracked.learn_slowness(group, ticket.baseline_seconds, seconds);
            }
            if let Some(urgent) = &ticket.urgent {
                let costs = self.urgent_values.costs.entry(service);
                costs.or_default().learn(&urgent.work, seconds);
                tracked.learn_slowness(UrgencyGroup::Urgent, urgent.baseline_seconds, seconds);
            }
        }
        ticket.read_at = Some(now);
        let read = std::mem::take(&mut ticket.reading_tokens);
        let read = Load::of_request(ticket.group, read).tokens_only();
        tracked.own_load = tracked.own_load.minus(read);
        if self.decisions.stream_pauses {
            tracked.record_activity(now);
        }
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

    /// Records the end of a send.
    pub fn end_send(
        &mut self,
        now: Timestamp,
        ticket: &SendTicket,
        prompt: &[PromptPart],
        result: SendResult,
    ) {
        let key = WorkerKey::of(&ticket.worker);
        if ticket.is_trial {
            self.notices.end_trial(key);
        }
        if result == SendResult::Failed {
            self.notices.record_accepted(now, key);
        }
        let tracked = self.workers.get_mut(&key);
        let Some(tracked) = tracked.filter(|_| ticket.is_counted) else {
            return;
        };
        let change = tracked.cache.remove_unready(prompt);
        self.part_holders.apply(key, &change);
        let unread = ticket.reading_tokens;
        let ended = Load::of_request(ticket.group, unread);
        tracked.own_load = tracked.own_load.minus(ended);
        if self.decisions.stream_pauses {
            let pauses = self.pauses.entry(tracked.worker.service.clone());
            tracked.end_stream(now, ticket, result, &mut pauses.or_default().pauses);
        }
        report_load(&mut self.reporter, tracked);
        if result == SendResult::Absent && !tracked.is_absent(now) {
            self.reporter.record_absence(tracked.key);
        }
        let result = match (result, self.decisions.absence) {
            (SendResult::Absent | SendResult::ConnectionRefused, false) => SendResult::Unreachable,
            (result, _) => result,
        };
        let service = tracked.worker.service.clone();
        let known = self.promptless_latencies.get(&service).copied();
        let service_latency = known.unwrap_or(DEFAULT_PROMPTLESS_LATENCY_SECONDS);
        tracked.learn_result(now, result, service_latency);
        if let (SendResult::Answered { latency }, true) = (result, prompt.is_empty()) {
            let service_latency = smooth(
                service_latency,
                latency.as_secs_f64(),
                PROMPTLESS_LATENCY_WEIGHT,
            );
            self.promptless_latencies.insert(service, service_latency);
        }
        let answered = matches!(result, SendResult::Answered { .. });
        if let (true, Some(read_at), Some(Role::Decode)) =
            (answered, ticket.read_at, tracked.worker.role)
        {
            let service = tracked.worker.service.clone();
            let held = now.since(read_at).as_secs_f64().min(MAX_HOLD_SECONDS);
            if ticket.urgent.is_some() {
                self.urgent_values.record_hold(&service, held);
            }
            self.hold_seconds.entry(service).or_default().record(held);
            let hold = self.route_hold_seconds.entry(ticket.route).or_insert(held);
            *hold += (held - *hold) * ROUTE_HOLD_WEIGHT;
        }
        if !tracked.announced && tracked.own_load.sends == 0 {
            self.forget(key);
        }
    }

    /// Returns the latency in seconds that is usual for requests without a prompt at a service. A
    /// worker that has not answered yet is assumed to be this fast, so that it is tried alongside
    /// fast ones.
    fn promptless_latency(&self, service: &ServiceName) -> f64 {
        let known = self.promptless_latencies.get(service);
        known.copied().unwrap_or(DEFAULT_PROMPTLESS_LATENCY_SECONDS)
    }

    fn capacity_of(&self, service: Option<&ServiceName>) -> u64 {
        service
            .and_then(|service| self.engines.get(service))
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens)
    }
}

/// Reports the load of a worker to the other gateways.
fn report_load(reporter: &mut LoadReporter, tracked: &TrackedWorker) {
    match tracked.worker.role {
        Some(_) => reporter.record_load(tracked.key, tracked.own_load),
        None => reporter.record_application_load(tracked.key, tracked.own_load),
    }
}
