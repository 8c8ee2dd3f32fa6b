//! Simulation of an overloaded service in virtual time: tenants whose callers send requests at
//! random times, engines that read one prompt after the other, and one gateway that admits
//! requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, TenantName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, EngineCapacity, GatewayKey, Need, Objectives,
    PromptPart, RefusalCause, SendResult, SendTicket, TenantKey, Worker, WorkerId, WorkerKind,
    WorkerState,
};

const ENGINES: usize = 4;
const SLOTS: u32 = 16;
const PROMPT_TOKENS: u64 = 2_000;
/// Time that an engine takes to read one prompt.
const PREFILL_MICROS: u64 = 100_000;
/// Prompts per second that all engines together can read.
pub const CAPACITY_PER_SECOND: f64 = ENGINES as f64 * 1e6 / PREFILL_MICROS as f64;
/// Time during which callers send new requests.
const SENDING_MICROS: u64 = 60_000_000;
const OBJECTIVES: Objectives = Objectives {
    latency: Duration::from_millis(600),
    pause: Some(Duration::from_millis(150)),
    time_left: Duration::from_millis(5_000),
};
const MICROS_PER_SECOND: f64 = 1e6;

/// How one tenant sends requests.
#[derive(Debug, Clone, Copy)]
pub struct SendPattern {
    /// First tries per second.
    pub requests_per_second: f64,
    /// Retries of a refused request.
    pub retries: u32,
    /// Delay before each retry.
    pub retry_delay_micros: u64,
}

/// What happened to a tenant's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Requests; all tries of a request count once.
    pub requests: u32,
    /// Admitted requests.
    pub admitted: u32,
    /// Admitted requests whose answers began in time.
    pub in_time: u32,
    /// Tries that were refused because of the tenant's share.
    pub refused_for_share: u32,
}

impl Outcome {
    /// Returns the fraction of the requests that were admitted.
    pub fn served_fraction(&self) -> f64 {
        f64::from(self.admitted) / f64::from(self.requests.max(1))
    }
}

/// Returns the outcome of all tenants together.
pub fn total(outcomes: &[Outcome]) -> Outcome {
    outcomes
        .iter()
        .fold(Outcome::default(), |sum, one| Outcome {
            requests: sum.requests + one.requests,
            admitted: sum.admitted + one.admitted,
            in_time: sum.in_time + one.in_time,
            refused_for_share: sum.refused_for_share + one.refused_for_share,
        })
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A tenant's next request.
    Request { tenant: usize },
    /// A retry of a refused request.
    Retry { tenant: usize, left: u32 },
    /// An engine has read a prompt.
    PromptRead { send: usize },
}

struct Send {
    tenant: usize,
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    began: Timestamp,
}

/// The state of a simulation.
pub struct OverloadSimulation {
    directory: Directory,
    service: ServiceName,
    zone: ZoneName,
    send_patterns: Vec<SendPattern>,
    keys: Vec<Option<TenantKey>>,
    outcomes: Vec<Outcome>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    busy_until: HashMap<WorkerId, u64>,
    sends: Vec<Send>,
    random: u64,
}

impl OverloadSimulation {
    /// Creates a simulation of these tenants at a gateway with these decisions.
    pub fn new(send_patterns: Vec<SendPattern>, decisions: Decisions, seed: u64) -> Self {
        let name = |number: usize| TenantName::new(format!("tenant-{number}"));
        let keys = (0..send_patterns.len()).map(|number| Some(TenantKey::of(&name(number))));
        Self {
            directory: directory(decisions),
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
            keys: keys.collect(),
            outcomes: vec![Outcome::default(); send_patterns.len()],
            send_patterns,
            events: BinaryHeap::new(),
            busy_until: HashMap::new(),
            sends: Vec::new(),
            random: seed,
        }
    }

    /// Makes the gateway treat all requests as requests without a tenant.
    pub fn without_tenants(mut self) -> Self {
        self.keys.fill(None);
        self
    }

    /// Runs the simulation to its end and returns the outcome of each tenant.
    pub fn run(mut self) -> Vec<Outcome> {
        for tenant in 0..self.send_patterns.len() {
            self.schedule_next(0, tenant);
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            match event {
                Event::Request { tenant } => {
                    self.schedule_next(at, tenant);
                    self.outcomes[tenant].requests += 1;
                    self.request(at, tenant, self.send_patterns[tenant].retries);
                }
                Event::Retry { tenant, left } => self.request(at, tenant, left),
                Event::PromptRead { send } => self.end_send(at, send),
            }
        }
        self.outcomes
    }

    /// Schedules a tenant's next request after a random, exponentially distributed delay.
    fn schedule_next(&mut self, at: u64, tenant: usize) {
        let draw = (self.draw() >> 11) as f64 / (1_u64 << 53) as f64;
        let seconds = -(1.0 - draw).ln() / self.send_patterns[tenant].requests_per_second;
        let next = at + (seconds * MICROS_PER_SECOND) as u64;
        if next < SENDING_MICROS {
            self.events.push(Reverse((next, Event::Request { tenant })));
        }
    }

    fn request(&mut self, at: u64, tenant: usize, retries_left: u32) {
        let now = timestamp(at);
        let draw = self.draw();
        let prompt = vec![PromptPart {
            id: format!("own-{draw}"),
            tokens: PROMPT_TOKENS,
        }];
        let demand = Demand {
            version: None,
            service: &self.service,
            prompt: &prompt,
            route: "route",
            tenant: self.keys[tenant],
            yields: false,
            pause: None,
            zone: &self.zone,
            avoid: &[],
            draw,
        };
        match self.directory.admit(now, demand, OBJECTIVES) {
            Admission::Admitted { draw, .. } => {
                let demand = Demand { draw, ..demand };
                let worker = self.directory.select(now, demand, &Need::Run);
                let worker = worker.expect("an engine").id.clone();
                let ticket = self.directory.begin_send(now, &worker, demand, &Need::Run);
                self.read_prompt(at, worker, tenant, ticket, prompt);
            }
            Admission::Refused { cause, .. } => {
                let is_for_share = cause == RefusalCause::TenantShare;
                self.outcomes[tenant].refused_for_share += u32::from(is_for_share);
                self.schedule_retry(at, tenant, retries_left);
            }
        }
    }

    fn schedule_retry(&mut self, at: u64, tenant: usize, left: u32) {
        if left == 0 {
            return;
        }
        let retry_at = at + self.send_patterns[tenant].retry_delay_micros;
        let left = left - 1;
        self.events
            .push(Reverse((retry_at, Event::Retry { tenant, left })));
    }

    fn read_prompt(
        &mut self,
        at: u64,
        worker: WorkerId,
        tenant: usize,
        ticket: SendTicket,
        prompt: Vec<PromptPart>,
    ) {
        let busy_until = self.busy_until.entry(worker).or_default();
        *busy_until = at.max(*busy_until) + PREFILL_MICROS;
        let send = self.sends.len();
        self.events
            .push(Reverse((*busy_until, Event::PromptRead { send })));
        self.sends.push(Send {
            tenant,
            ticket,
            prompt,
            began: timestamp(at),
        });
    }

    fn end_send(&mut self, at: u64, send: usize) {
        let now = timestamp(at);
        let send = &mut self.sends[send];
        let latency = now.since(send.began);
        let outcome = &mut self.outcomes[send.tenant];
        outcome.admitted += 1;
        outcome.in_time += u32::from(latency <= OBJECTIVES.latency);
        let (ticket, prompt) = (&mut send.ticket, &send.prompt);
        self.directory
            .record_prompt_read(now, ticket, prompt, latency);
        let answered = SendResult::Answered { latency };
        self.directory.end_send(now, ticket, prompt, answered);
    }

    /// Returns a random number (splitmix64).
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

fn timestamp(micros: u64) -> Timestamp {
    Timestamp::from_millis(10_000) + Duration::from_micros(micros)
}

fn directory(decisions: Decisions) -> Directory {
    let engine = |number: usize| Worker {
        version: "v1".into(),
        id: WorkerId::from(format!("e-{number}").as_str()),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        state: WorkerState::Ready,
        role: Some(Role::Decode),
        kind: WorkerKind::Reserved,
    };
    let mut directory = Directory::new(GatewayKey(1));
    directory.set_decisions(decisions);
    directory.announce((0..ENGINES).map(engine).collect());
    let capacity = EngineCapacity {
        slots: SLOTS,
        cache_tokens: 400_000,
        token_bytes: 160_000.0,
        link_bytes_per_second: 200e9,
    };
    directory.set_engines(HashMap::from([(ServiceName::new("s"), capacity)]));
    directory
}
