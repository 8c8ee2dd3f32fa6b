//! Simulation of several gateways that admit requests to the same engines, in virtual time: tenants whose callers send
//! requests at random times to one gateway or to many, engines that read one prompt after the other, and load reports
//! that may be lost or late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, TenantName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, EngineCapacity, GatewayKey, LoadReport, Need,
    Objectives, PromptPart, SendResult, SendTicket, TenantKey, Worker, WorkerId, WorkerKind,
    WorkerState,
};

const ENGINES: usize = 16;
const SLOTS: u32 = 16;
const PROMPT_TOKENS: u64 = 2_000;
/// Time that an engine takes to read one prompt.
const PREFILL_MICROS: u64 = 100_000;
/// Prompts per second that all engines together can read.
pub const CAPACITY_PER_SECOND: f64 = ENGINES as f64 * 1e6 / PREFILL_MICROS as f64;
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const MICROS_PER_SECOND: f64 = 1e6;
const OBJECTIVES: Objectives = Objectives {
    latency: Duration::from_millis(600),
    pause: Some(Duration::from_millis(150)),
    time_left: Duration::from_millis(5_000),
};

/// How one tenant sends requests.
#[derive(Debug, Clone)]
pub struct Sender {
    /// Requests per second during the burst.
    pub requests_per_second: f64,
    /// The gateways to which it sends, drawn evenly for each request.
    pub gateways: Vec<usize>,
}

/// How reports between gateways are transmitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    /// Fraction of lost reports.
    pub lost: f64,
    /// Fraction of reports that arrive late, by up to `late_micros`.
    pub late: f64,
    /// The longest delay of a late report.
    pub late_micros: u64,
    /// A gateway whose reports are lost in both directions during these times.
    pub partition: Option<Partition>,
}

/// A gateway that exchanges no reports for some time.
#[derive(Debug, Clone, Copy)]
pub struct Partition {
    /// The gateway.
    pub gateway: usize,
    /// The beginning in microseconds.
    pub from: u64,
    /// The end in microseconds.
    pub until: u64,
}

/// A simulated day.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of gateways.
    pub gateways: usize,
    /// The tenants.
    pub senders: Vec<Sender>,
    /// Fraction of the requests that are sent before the burst.
    pub load_before: f64,
    /// Beginning of the burst in microseconds.
    pub burst_from: u64,
    /// End of the burst in microseconds.
    pub burst_until: u64,
    /// How reports are transmitted.
    pub network: Network,
    /// The mechanisms of the gateways.
    pub decisions: Decisions,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// What happened to a tenant's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Requests of the burst.
    pub requests: u32,
    /// Admitted requests of the burst.
    pub admitted: u32,
    /// Requests before the burst that were refused.
    pub refused_before: u32,
}

/// What happened in a simulation.
#[derive(Debug, PartialEq, Eq, Default)]
pub struct Results {
    /// The outcome of each tenant.
    pub tenants: Vec<Outcome>,
    /// The reports that contained tenants.
    pub reports_with_tenants: u32,
    /// The largest number of tenants that a gateway knew from others.
    pub most_known_tenants: usize,
    /// The gateway and the worker of each request, if it was admitted.
    pub choices: Vec<(usize, Option<String>)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { tenant: usize },
    PromptRead { send: usize },
    SendReports,
    ReceiveReport { report: usize, to: usize },
}

struct Send {
    gateway: usize,
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    began: Timestamp,
}

/// The state of a simulation.
pub struct FleetSimulation {
    scenario: Scenario,
    directories: Vec<Directory>,
    service: ServiceName,
    zone: ZoneName,
    keys: Vec<TenantKey>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    busy_until: HashMap<WorkerId, u64>,
    sends: Vec<Send>,
    reports: Vec<LoadReport>,
    results: Results,
    random: u64,
}

impl FleetSimulation {
    /// Creates a simulation.
    pub fn new(scenario: Scenario) -> Self {
        let name = |number: usize| TenantName::new(format!("tenant-{number}"));
        let tenants = scenario.senders.len();
        let others = scenario.gateways - 1;
        let directories =
            (0..scenario.gateways).map(|number| directory(number, others, scenario.decisions));
        Self {
            directories: directories.collect(),
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
            keys: (0..tenants)
                .map(|number| TenantKey::of(&name(number)))
                .collect(),
            events: BinaryHeap::new(),
            busy_until: HashMap::new(),
            sends: Vec::new(),
            reports: Vec::new(),
            results: Results {
                tenants: vec![Outcome::default(); tenants],
                ..Results::default()
            },
            random: scenario.seed,
            scenario,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        for tenant in 0..self.keys.len() {
            self.schedule_next(0, tenant);
        }
        self.events.push(Reverse((0, Event::SendReports)));
        while let Some(Reverse((at, event))) = self.events.pop() {
            match event {
                Event::Request { tenant } => {
                    self.schedule_next(at, tenant);
                    self.request(at, tenant);
                }
                Event::PromptRead { send } => self.end_send(at, send),
                Event::SendReports => self.send_reports(at),
                Event::ReceiveReport { report, to } => {
                    self.directories[to].receive_report(timestamp(at), &self.reports[report]);
                }
            }
        }
        self.results
    }

    /// Schedules a tenant's next request after a random, exponentially distributed delay.
    fn schedule_next(&mut self, at: u64, tenant: usize) {
        let is_before = at < self.scenario.burst_from;
        let load = if is_before {
            self.scenario.load_before
        } else {
            1.0
        };
        let rate = self.scenario.senders[tenant].requests_per_second * load;
        let seconds = -(1.0 - self.draw_fraction()).ln() / rate;
        let mut next = at + (seconds * MICROS_PER_SECOND) as u64;
        if is_before && next >= self.scenario.burst_from {
            // The exponential distribution has no memory: the delay is drawn again at the new rate.
            next = self.scenario.burst_from;
            return self.schedule_next(next, tenant);
        }
        if next < self.scenario.burst_until {
            self.events.push(Reverse((next, Event::Request { tenant })));
        }
    }

    fn request(&mut self, at: u64, tenant: usize) {
        let now = timestamp(at);
        let draw = self.draw();
        let gateways = &self.scenario.senders[tenant].gateways;
        let gateway = gateways[(draw >> 32) as usize % gateways.len()];
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
            tenant: Some(self.keys[tenant]),
            yields: false,
            pause: None,
            zone: &self.zone,
            avoid: &[],
            draw,
        };
        let is_burst = at >= self.scenario.burst_from;
        let outcome = &mut self.results.tenants[tenant];
        outcome.requests += u32::from(is_burst);
        let directory = &mut self.directories[gateway];
        let Admission::Admitted { draw, .. } = directory.admit(now, demand, OBJECTIVES) else {
            outcome.refused_before += u32::from(!is_burst);
            self.results.choices.push((gateway, None));
            return;
        };
        outcome.admitted += u32::from(is_burst);
        let demand = Demand { draw, ..demand };
        let worker = directory.select(now, demand, &Need::Run);
        let worker = worker.expect("an engine").id.clone();
        let ticket = directory.begin_send(now, &worker, demand, &Need::Run);
        let choice = worker.qualified_name().to_string();
        self.results.choices.push((gateway, Some(choice)));
        let busy_until = self.busy_until.entry(worker).or_default();
        *busy_until = at.max(*busy_until) + PREFILL_MICROS;
        let send = self.sends.len();
        self.events
            .push(Reverse((*busy_until, Event::PromptRead { send })));
        self.sends.push(Send {
            gateway,
            ticket,
            prompt,
            began: now,
        });
    }

    fn end_send(&mut self, at: u64, send: usize) {
        let now = timestamp(at);
        let send = &mut self.sends[send];
        let latency = now.since(send.began);
        let directory = &mut self.directories[send.gateway];
        let (ticket, prompt) = (&mut send.ticket, &send.prompt);
        directory.record_prompt_read(now, ticket, prompt, latency);
        directory.end_send(now, ticket, prompt, SendResult::Answered { latency });
    }

    fn send_reports(&mut self, at: u64) {
        for gateway in 0..self.directories.len() {
            let directory = &mut self.directories[gateway];
            let known = directory.tenants_of_others();
            self.results.most_known_tenants = self.results.most_known_tenants.max(known);
            let Some(report) = directory.report_due(timestamp(at)) else {
                continue;
            };
            self.results.reports_with_tenants += u32::from(!report.tenants.is_empty());
            let number = self.reports.len();
            self.reports.push(report);
            for to in (0..self.directories.len()).filter(|to| *to != gateway) {
                if let Some(delay) = self.transmit(at, gateway, to) {
                    let event = Event::ReceiveReport { report: number, to };
                    self.events.push(Reverse((at + delay, event)));
                }
            }
        }
        if at < self.scenario.burst_until {
            let next = at + REPORT_INTERVAL.as_micros() as u64;
            self.events.push(Reverse((next, Event::SendReports)));
        }
    }

    /// Returns the delay of a report in microseconds, or `None` if it is lost.
    fn transmit(&mut self, at: u64, from: usize, to: usize) -> Option<u64> {
        let network = self.scenario.network;
        let is_cut = network.partition.is_some_and(|partition| {
            let is_concerned = partition.gateway == from || partition.gateway == to;
            is_concerned && (partition.from..partition.until).contains(&at)
        });
        if is_cut || self.draw_fraction() < network.lost {
            return None;
        }
        match self.draw_fraction() < network.late {
            true => Some((self.draw_fraction() * network.late_micros as f64) as u64),
            false => Some(1_000),
        }
    }

    fn draw_fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
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

fn directory(number: usize, other_gateways: usize, decisions: Decisions) -> Directory {
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
    let mut directory = Directory::new(GatewayKey(number as u64 + 1));
    directory.set_decisions(decisions);
    directory.set_other_gateways(other_gateways, REPORT_INTERVAL);
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
