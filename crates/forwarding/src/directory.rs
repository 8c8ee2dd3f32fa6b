//! The workers that a gateway knows, with what it has learnt about each from its own sends and
//! from the reports of other gateways.
//!
//! Workers are compared by the time in which they are expected to answer.
//!
//! - For requests without a prompt: the smoothed latency of a worker's answers, stretched by the
//!   work under way there.
//! - For prompts: the time to read what is waiting there and what of this prompt neither its cache
//!   nor another worker's holds, to fetch what another holds, plus a little for each request under way, stretched by how much slower than expected the
//!   worker has been.
//!
//! A prompt that is read beside decoding streams slows them all, which counts as time too. Both are
//! divided by the cube of the share of sends that came back whole, and a worker in another
//! zone costs the way there. Equal readers are told apart by rendezvous hashing of the prompt's
//! largest shared part, so that gateways which know nothing yet agree.
//!
//! Whether a prompt is read apart follows from the same times: the best reader, the move of the KV
//! cache included, against the best worker that reads it while decoding.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};

use crate::cache_view::{CacheView, PartKey};
use crate::configuration::EngineCapacity;
use crate::load_exchange::{
    GatewayKey, Load, LoadReport, LoadReporter, PartRead, WorkerKey, STALE_AFTER,
};
use crate::reading_rate::ReadingRate;
use crate::selection::{affinity_part, prompt_tokens, Need, PromptPart};
use crate::worker::{Worker, WorkerId, WorkerState};

/// Latency assumed of a worker that has not answered yet.
const INITIAL_LATENCY: f64 = 0.030;
/// Weight of the newest latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest outcome in the smoothed share of successes.
const SUCCESS_WEIGHT: f64 = 0.1;
/// The lowest share of successes that is reckoned with, so that a failing worker still gets a
/// probe now and then.
const SUCCESS_FLOOR: f64 = 0.05;
/// Seconds that a send to another zone costs.
const OTHER_ZONE_COST: f64 = 0.004;
/// Seconds that each request under way at an engine adds for one more.
const SHARED_STEP_COST: f64 = 0.0004;
/// Seconds by which an answer of an engine takes longer than its reading.
const FIRST_TOKEN_COST: f64 = 0.015;
/// Seconds that each second of reading beside decoding streams counts for, for each of them.
const DECODING_HARM: f64 = 0.75;
/// Seconds that moving a KV cache costs, its price included.
const MOVE_COST: f64 = 0.035;
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
/// The part of its latency objective for which any prompt may wait.
const PATIENT_PART: f64 = 0.6;
/// A bound on times that are expected.
const MAX_EXPECTED_SECONDS: f64 = 600.0;
/// How far a worker's slowness may be from the expected.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 30.0);
/// How long a worker that refused a request is passed over.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// How long a worker that cannot be reached is passed over.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1000);
/// Other gateways are told of the parts of prompts that are at least this long.
const REPORTED_PROMPT_TOKENS: u64 = 1_000;
/// Tokens that a cache is taken to hold if the configuration does not say.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;

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

/// A send under way.
#[derive(Debug, Clone, PartialEq)]
pub struct SendTicket {
    worker: WorkerId,
    reads: bool,
    reading_tokens: u64,
    expected_seconds: f64,
    alone: bool,
    fetch_from: Option<SocketAddr>,
}

impl SendTicket {
    /// The worker from which the chosen one should fetch what it lacks of the prompt.
    pub fn fetch_from(&self) -> Option<SocketAddr> {
        self.fetch_from
    }

    /// Prompt tokens that are still to be read.
    pub fn reading_tokens(&self) -> u64 {
        self.reading_tokens
    }

    /// The time after which the answer was expected when the send began.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_seconds.clamp(0.0, MAX_EXPECTED_SECONDS))
    }
}

/// A worker that holds a part of a prompt which another lacks.
struct Source<'a> {
    holder: &'a Tracked,
    tokens: u64,
}

/// What reading a prompt takes.
struct Reading {
    missing_tokens: u64,
    fetch_seconds: f64,
    source: Option<SocketAddr>,
}

/// The workers.
#[derive(Debug)]
pub struct Directory {
    workers: BTreeMap<WorkerId, Tracked>,
    by_key: HashMap<WorkerKey, WorkerId>,
    engines: HashMap<ServiceName, EngineCapacity>,
    rates: HashMap<ServiceName, ReadingRate>,
    reporter: LoadReporter,
    heard: HashMap<GatewayKey, u64>,
}

#[derive(Debug)]
struct Tracked {
    worker: Worker,
    key: WorkerKey,
    announced: bool,
    desired_role: Option<Role>,
    own: Load,
    others: HashMap<GatewayKey, (Load, Timestamp)>,
    cache: CacheView,
    latency: f64,
    slowness: f64,
    success: f64,
    pause_until: Timestamp,
}

impl Tracked {
    fn new(worker: Worker) -> Self {
        Self {
            key: WorkerKey::of(&worker.id),
            worker,
            announced: true,
            desired_role: None,
            own: Load::default(),
            others: HashMap::new(),
            cache: CacheView::default(),
            latency: INITIAL_LATENCY,
            slowness: 1.0,
            success: 1.0,
            pause_until: Timestamp::default(),
        }
    }

    fn takes_new_requests(&self) -> bool {
        let role_stays = self.desired_role.is_none() || self.desired_role == self.worker.role;
        self.announced && self.worker.state == WorkerState::Ready && role_stays
    }

    fn load(&self, now: Timestamp) -> Load {
        let fresh = self
            .others
            .values()
            .filter(|(_, heard)| now.since(*heard) < STALE_AFTER);
        fresh.fold(self.own, |sum, (load, _)| Load {
            sends: sum.sends + load.sends,
            reading_tokens: sum.reading_tokens + load.reading_tokens,
        })
    }

    /// Seconds until an answer of a worker that reads no prompts.
    fn plain_seconds(&self, now: Timestamp) -> f64 {
        let busy = f64::from(self.load(now).sends) / f64::from(self.worker.slots.max(1));
        self.latency * (1.0 + busy)
    }

    /// Seconds until `missing` tokens of a prompt are read and the first token made.
    fn reading_seconds(&self, now: Timestamp, missing: u64, rate: ReadingRate) -> f64 {
        let load = self.load(now);
        let tokens = load.reading_tokens + missing;
        let reading = match self.worker.role {
            Some(Role::Decode) => rate.while_decoding(tokens),
            _ => rate.apart(tokens),
        };
        let sharing = SHARED_STEP_COST * f64::from(load.sends);
        (reading + sharing + FIRST_TOKEN_COST) * self.slowness
    }

    /// Seconds that reading `missing` tokens costs the streams that decode here meanwhile.
    fn harm_seconds(&self, now: Timestamp, missing: u64, rate: ReadingRate) -> f64 {
        let streams = 1.0 + f64::from(self.load(now).sends);
        match self.worker.role {
            Some(Role::Prefill) => 0.0,
            _ => rate.while_decoding(missing) * streams * DECODING_HARM,
        }
    }

    fn weigh(&self, seconds: f64, zone: &ZoneName) -> f64 {
        let way = match self.worker.zone == *zone {
            true => 0.0,
            false => OTHER_ZONE_COST,
        };
        (seconds + way) / self.success.max(SUCCESS_FLOOR).powi(3)
    }
}

/// An engine with what is under way there.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLoad {
    /// The engine.
    pub worker: Worker,
    /// Sends of all gateways.
    pub sends: u32,
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
}

struct ExpectedWait {
    waiting: f64,
    own: f64,
}

/// What a worker is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model engines.
    pub prompt: &'a [PromptPart],
    /// The zone of the gateway.
    pub zone: &'a ZoneName,
}

impl Directory {
    /// No worker yet; `gateway` signs reports of load.
    pub fn new(gateway: GatewayKey) -> Self {
        Self {
            workers: BTreeMap::new(),
            by_key: HashMap::new(),
            engines: HashMap::new(),
            rates: HashMap::new(),
            reporter: LoadReporter::new(gateway),
            heard: HashMap::new(),
        }
    }

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
                    let tracked = Tracked::new(worker);
                    self.by_key.insert(tracked.key, tracked.worker.id.clone());
                    self.workers.insert(tracked.worker.id.clone(), tracked);
                }
            }
        }
        self.forget_idle_strangers();
    }

    /// Takes in what the engines of each service can hold.
    pub fn set_engines(&mut self, engines: HashMap<ServiceName, EngineCapacity>) {
        self.engines = engines;
    }

    /// Takes in the roles that engines should have: one that has another gets no new request.
    pub fn set_desired_roles(&mut self, role_of: impl Fn(&WorkerId) -> Option<Role>) {
        for (id, tracked) in &mut self.workers {
            tracked.desired_role = role_of(id);
        }
    }

    /// The engines that have a role and are not leaving, with what is under way there.
    pub fn engine_loads(&self, now: Timestamp) -> Vec<EngineLoad> {
        let engines = self.workers.values().filter(|tracked| {
            let ready = tracked.announced && tracked.worker.state == WorkerState::Ready;
            ready && tracked.worker.role.is_some()
        });
        let loads = engines.map(|tracked| EngineLoad {
            worker: tracked.worker.clone(),
            sends: tracked.load(now).sends,
        });
        loads.collect()
    }

    /// Workers that take new requests.
    pub fn ready_workers(&self) -> usize {
        self.workers
            .values()
            .filter(|tracked| tracked.takes_new_requests())
            .count()
    }

    /// The service and the state of each worker that is announced.
    pub fn worker_states(&self) -> impl Iterator<Item = (&ServiceName, WorkerState)> {
        let announced = self.workers.values().filter(|tracked| tracked.announced);
        announced.map(|tracked| (&tracked.worker.service, tracked.worker.state))
    }

    /// The worker of that identity, if it is announced.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers
            .get(id)
            .filter(|tracked| tracked.announced)
            .map(|tracked| &tracked.worker)
    }

    /// Whether the prompt is better read apart than by the worker that decodes.
    pub fn reads_apart(&self, now: Timestamp, demand: Demand<'_>) -> bool {
        self.plan(now, demand)
            .is_some_and(|planned| planned.read_apart)
    }

    /// Where a prompt would best be read, and whether apart.
    fn plan(&self, now: Timestamp, demand: Demand<'_>) -> Option<Planned<'_>> {
        let best = |need: &Need| {
            let candidates = self.candidates(now, demand.service, need, &[]).into_iter();
            candidates
                .map(|worker| (self.expected_seconds(now, worker, need, demand), worker))
                .min_by(|(left, _), (right, _)| left.total_cmp(right))
        };
        let whole = best(&Need::Run);
        let apart = match prompt_tokens(demand.prompt) < MIN_APART_TOKENS {
            true => None,
            false => best(&Need::ReadPrompt),
        };
        let (whole_seconds, worker) = whole?;
        match apart {
            Some((seconds, reader)) if seconds + MOVE_COST < whole_seconds => Some(Planned {
                worker: reader,
                read_apart: true,
            }),
            _ => Some(Planned {
                worker,
                read_apart: false,
            }),
        }
    }

    /// Whether a prompt is taken now. It is not if it would wait long enough to be late and for more
    /// than a part of its latency objective: what is refused can come back when the queue is
    /// shorter, and what is taken is in time. Only the wait counts against a prompt, not its own
    /// length, so that long ones are not starved.
    pub fn admit(&self, now: Timestamp, demand: Demand<'_>, objective: Duration) -> Admission {
        let objective = objective.as_secs_f64();
        let wait = self
            .plan(now, demand)
            .and_then(|planned| self.expected_wait(now, planned.worker, demand));
        match wait {
            Some(wait)
                if wait.waiting > objective * PATIENT_PART
                    && wait.waiting + wait.own > objective =>
            {
                let excess = wait.waiting - objective * PATIENT_PART;
                Admission::Refused {
                    waiting: Duration::from_secs_f64(wait.waiting.min(MAX_EXPECTED_SECONDS)),
                    retry_after: Duration::from_secs_f64(excess.min(MAX_EXPECTED_SECONDS)),
                }
            }
            _ => Admission::Taken,
        }
    }

    fn expected_wait(
        &self,
        now: Timestamp,
        tracked: &Tracked,
        demand: Demand<'_>,
    ) -> Option<ExpectedWait> {
        if demand.prompt.is_empty() {
            return None;
        }
        let rate = self.rates.get(demand.service).copied().unwrap_or_default();
        let seconds = |tokens: u64| match tracked.worker.role {
            Some(Role::Prefill) => rate.apart(tokens) * tracked.slowness,
            _ => rate.while_decoding(tokens) * tracked.slowness,
        };
        let reading = self.reading(tracked, demand.prompt);
        Some(ExpectedWait {
            waiting: seconds(tracked.load(now).reading_tokens),
            own: seconds(reading.missing_tokens) + reading.fetch_seconds + FIRST_TOKEN_COST,
        })
    }

    /// Chooses a worker for a gateway in the demand's zone.
    pub fn select(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Option<&Worker> {
        let affinity = affinity_part(demand.prompt);
        let rank = |tracked: &Tracked| {
            let key = affinity.map_or(&[][..], |part| part.id.as_bytes());
            rendezvous_weight(key, tracked.worker.id.as_str().as_bytes())
        };
        self.candidates(now, demand.service, need, avoid)
            .into_iter()
            .map(|tracked| (self.expected_seconds(now, tracked, need, demand), tracked))
            .min_by(|(left_seconds, left), (right_seconds, right)| {
                left_seconds
                    .total_cmp(right_seconds)
                    .then_with(|| rank(right).cmp(&rank(left)))
            })
            .map(|(_, tracked)| &tracked.worker)
    }

    /// A send to a worker begins, which `reads` its prompt there or fetches its KV cache.
    pub fn send_began(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        prompt: &[PromptPart],
        reads: bool,
    ) -> SendTicket {
        let mut ticket = SendTicket {
            worker: id.clone(),
            reads,
            reading_tokens: 0,
            expected_seconds: 0.0,
            alone: false,
            fetch_from: None,
        };
        let rate = self.rate_of(id);
        let Some(tracked) = self.workers.get(id) else {
            return ticket;
        };
        if reads {
            let reading = self.reading(tracked, prompt);
            ticket.reading_tokens = reading.missing_tokens;
            ticket.fetch_from = reading.source;
        }
        ticket.expected_seconds = match prompt.is_empty() {
            true => tracked.plain_seconds(now),
            false => tracked.reading_seconds(now, ticket.reading_tokens, rate) / tracked.slowness,
        };
        ticket.alone = tracked.load(now).reading_tokens == 0;
        let capacity = self.capacity_of(&tracked.worker.service);
        let Some(tracked) = self.workers.get_mut(id) else {
            return ticket;
        };
        tracked.own.sends += 1;
        tracked.own.reading_tokens += ticket.reading_tokens;
        for part in prompt {
            let key = PartKey::of(part);
            tracked.cache.began(now, key, part.tokens, capacity);
        }
        report_parts(&mut self.reporter, tracked.key, prompt, false);
        if tracked.worker.role.is_some() {
            self.reporter.record_load(tracked.key, tracked.own);
        }
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
        let Some(tracked) = self.workers.get_mut(&ticket.worker) else {
            return;
        };
        let service = &tracked.worker.service;
        let capacity = self
            .engines
            .get(service)
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens);
        if ticket.alone && tracked.worker.role == Some(Role::Prefill) {
            let rate = self.rates.entry(service.clone()).or_default();
            rate.record(ticket.reading_tokens, latency);
        }
        if ticket.reads && !prompt.is_empty() && ticket.expected_seconds > 0.0 {
            let observed = latency.as_secs_f64() / ticket.expected_seconds;
            let (least, most) = SLOWNESS_BOUNDS;
            let slowness = smooth(tracked.slowness, observed, LATENCY_WEIGHT);
            tracked.slowness = slowness.clamp(least, most);
        }
        let read = std::mem::take(&mut ticket.reading_tokens);
        tracked.own.reading_tokens = tracked.own.reading_tokens.saturating_sub(read);
        for part in prompt {
            let key = PartKey::of(part);
            tracked.cache.used(now, key, part.tokens, capacity);
        }
        report_parts(&mut self.reporter, tracked.key, prompt, true);
        if tracked.worker.role.is_some() {
            self.reporter.record_load(tracked.key, tracked.own);
        }
    }

    /// A send that began has ended.
    pub fn send_ended(
        &mut self,
        now: Timestamp,
        ticket: &SendTicket,
        prompt: &[PromptPart],
        result: SendResult,
    ) {
        let Some(tracked) = self.workers.get_mut(&ticket.worker) else {
            return;
        };
        tracked.cache.forget_unread(prompt);
        tracked.own.sends = tracked.own.sends.saturating_sub(1);
        let unread = ticket.reading_tokens;
        tracked.own.reading_tokens = tracked.own.reading_tokens.saturating_sub(unread);
        if tracked.worker.role.is_some() {
            self.reporter.record_load(tracked.key, tracked.own);
        }
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
        self.forget_idle_strangers();
    }

    /// The report of this gateway's load that is due, if any.
    pub fn report_due(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.reporter.flush(now)
    }

    /// Takes in another gateway's report.
    pub fn hear(&mut self, now: Timestamp, report: &LoadReport) {
        let last = self.heard.entry(report.sender).or_default();
        if report.sequence <= *last {
            return;
        }
        *last = report.sequence;
        for entry in &report.loads {
            if let Some(tracked) = self.tracked_by_key(entry.worker) {
                tracked.others.insert(report.sender, (entry.load, now));
            }
        }
        for read in &report.parts {
            let capacity = self.capacity_by_key(read.worker);
            if let Some(tracked) = self.tracked_by_key(read.worker) {
                match read.ready {
                    true => tracked.cache.used(now, read.part, read.tokens, capacity),
                    false => tracked.cache.began(now, read.part, read.tokens, capacity),
                }
            }
        }
    }

    /// The parts of prompts that are believed to lie in caches.
    pub fn known_parts(&self) -> Vec<PartRead> {
        let parts = self.workers.values().flat_map(|tracked| {
            let ready = tracked.cache.ready_parts();
            ready.map(|(part, tokens)| PartRead {
                worker: tracked.key,
                part,
                tokens,
                ready: true,
            })
        });
        parts.collect()
    }

    /// Takes in what another gateway believes of caches.
    pub fn learn_parts(&mut self, now: Timestamp, parts: &[PartRead]) {
        for read in parts {
            let capacity = self.capacity_by_key(read.worker);
            if let Some(tracked) = self.tracked_by_key(read.worker) {
                tracked.cache.used(now, read.part, read.tokens, capacity);
            }
        }
    }

    /// Takes in what an engine says that its cache holds, and tells the other gateways.
    pub fn list_parts(&mut self, now: Timestamp, id: &WorkerId, parts: &[PromptPart]) {
        let Some(tracked) = self.workers.get_mut(id) else {
            return;
        };
        let capacity = self
            .engines
            .get(&tracked.worker.service)
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens);
        for part in parts {
            let key = PartKey::of(part);
            tracked.cache.used(now, key, part.tokens, capacity);
            if part.tokens >= REPORTED_PROMPT_TOKENS {
                self.reporter.record_part(PartRead {
                    worker: tracked.key,
                    part: key,
                    tokens: part.tokens,
                    ready: true,
                });
            }
        }
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
        let is_rested = |tracked: &&Tracked| tracked.pause_until <= now;
        let rested: Vec<&Tracked> = fitting.iter().copied().filter(is_rested).collect();
        match rested.is_empty() {
            true => fitting,
            false => rested,
        }
    }

    fn expected_seconds(
        &self,
        now: Timestamp,
        tracked: &Tracked,
        need: &Need,
        demand: Demand<'_>,
    ) -> f64 {
        let rate = self.rates.get(demand.service).copied().unwrap_or_default();
        match need {
            Need::Run if demand.prompt.is_empty() => {
                tracked.weigh(tracked.plain_seconds(now), demand.zone)
            }
            Need::Run | Need::ReadPrompt => {
                let reading = self.reading(tracked, demand.prompt);
                let seconds = tracked.reading_seconds(now, reading.missing_tokens, rate);
                let harm = tracked.harm_seconds(now, reading.missing_tokens, rate);
                tracked.weigh(seconds + reading.fetch_seconds + harm, demand.zone)
            }
            Need::Continue { reader } => {
                let reader_zone = self.workers.get(reader).map(|t| &t.worker.zone);
                let copied =
                    prompt_tokens(demand.prompt) - tracked.cache.kept_tokens(demand.prompt);
                let seconds = tracked.reading_seconds(now, 0, rate);
                let displaced = rate.apart(copied) * DISPLACEMENT;
                tracked.weigh(seconds + displaced, reader_zone.unwrap_or(demand.zone))
            }
        }
    }

    /// What reading a prompt at a worker takes.
    fn reading(&self, tracked: &Tracked, prompt: &[PromptPart]) -> Reading {
        let lacking = prompt_tokens(prompt) - tracked.cache.kept_tokens(prompt);
        match self.best_source(tracked, prompt) {
            Some(source) => Reading {
                missing_tokens: lacking - source.tokens,
                fetch_seconds: self.fetch_seconds(tracked, &source),
                source: Some(source.holder.worker.address),
            },
            None => Reading {
                missing_tokens: lacking,
                fetch_seconds: 0.0,
                source: None,
            },
        }
    }

    fn rate_of(&self, id: &WorkerId) -> ReadingRate {
        self.workers
            .get(id)
            .and_then(|tracked| self.rates.get(&tracked.worker.service))
            .copied()
            .unwrap_or_default()
    }

    fn tracked_by_key(&mut self, key: WorkerKey) -> Option<&mut Tracked> {
        let id = self.by_key.get(&key)?;
        self.workers.get_mut(id)
    }

    fn capacity_by_key(&self, key: WorkerKey) -> u64 {
        self.by_key
            .get(&key)
            .and_then(|id| self.workers.get(id))
            .map_or(DEFAULT_CACHE_TOKENS, |tracked| {
                self.capacity_of(&tracked.worker.service)
            })
    }

    fn capacity_of(&self, service: &ServiceName) -> u64 {
        self.engines
            .get(service)
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens)
    }

    /// The worker from which `reader` would fetch the most of a prompt that it lacks.
    fn best_source(&self, reader: &Tracked, prompt: &[PromptPart]) -> Option<Source<'_>> {
        let own = reader.cache.kept_tokens(prompt);
        let offers = self.workers.values().filter_map(|holder| {
            let same_service = holder.worker.service == reader.worker.service;
            if !holder.announced || !same_service || holder.key == reader.key {
                return None;
            }
            let tokens = holder.cache.ready_tokens(prompt).saturating_sub(own);
            (tokens >= MIN_FETCHED_TOKENS).then_some(Source { holder, tokens })
        });
        let near = |source: &Source<'_>| source.holder.worker.zone == reader.worker.zone;
        offers.max_by_key(|source| (source.tokens, near(source)))
    }

    /// Seconds for `reader` to fetch tokens from a source.
    fn fetch_seconds(&self, reader: &Tracked, source: &Source<'_>) -> f64 {
        let rate = self.rates.get(&reader.worker.service).copied();
        let displaced = rate.unwrap_or_default().apart(source.tokens) * DISPLACEMENT;
        let Some(engine) = self.engines.get(&reader.worker.service) else {
            return FETCH_COST + displaced;
        };
        let bytes = source.tokens as f64 * engine.token_bytes;
        let seconds = bytes / engine.link_bytes_per_second.max(1.0);
        let transfer = match source.holder.worker.zone == reader.worker.zone {
            true => seconds,
            false => seconds * OTHER_ZONE_FETCH,
        };
        FETCH_COST + transfer + displaced
    }

    fn forget_idle_strangers(&mut self) {
        self.workers
            .retain(|_, tracked| tracked.announced || tracked.own.sends > 0);
        let workers = &self.workers;
        self.by_key.retain(|_, id| workers.contains_key(id));
    }
}

fn report_parts(
    reporter: &mut LoadReporter,
    worker: WorkerKey,
    prompt: &[PromptPart],
    ready: bool,
) {
    if prompt_tokens(prompt) < REPORTED_PROMPT_TOKENS {
        return;
    }
    for part in prompt {
        reporter.record_part(PartRead {
            worker,
            part: PartKey::of(part),
            tokens: part.tokens,
            ready,
        });
    }
}

fn smooth(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}

fn serves(role: Option<Role>, need: &Need) -> bool {
    match need {
        Need::ReadPrompt => role == Some(Role::Prefill),
        Need::Run | Need::Continue { .. } => role != Some(Role::Prefill),
    }
}
