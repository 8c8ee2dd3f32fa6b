//! Simulation of engines that serve two routes of different ranks, in virtual time, and of one gateway
//! that admits their requests. An engine gives its slots and its prefill time to the more urgent route
//! first and preempts the other.

use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, GatewayKey, Need, Objectives, PromptPart, SendResult,
    SendTicket, Worker, WorkerId, WorkerKind, WorkerState,
};

/// Engines of the service.
pub const ENGINES: usize = 6;
/// Slots of an engine, as at the container yards.
pub const SLOTS: u32 = 12;
/// Time during which requests arrive.
pub const SENDING_MILLIS: u64 = 15_000;
/// Time to transfer the KV cache of a prompt to another engine.
const TRANSFER_MILLIS: u64 = 20;
/// Time after which all admitted requests have ended.
const END_MILLIS: u64 = 60_000;

/// The requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    /// The name of the route.
    pub name: &'static str,
    /// Whether the service has a more urgent route.
    pub yields: bool,
    /// Requests per second.
    pub requests_per_second: f64,
    /// Time of the first request.
    pub begins_at_millis: u64,
    /// Tokens of a prompt.
    pub prompt_tokens: u64,
    /// Time to read a prompt.
    pub prefill_millis: u64,
    /// Time to decode an answer.
    pub decode_millis: u64,
    /// Its latency objective.
    pub objective_millis: u64,
}

/// What happened to the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Requests.
    pub requests: u32,
    /// Refused requests.
    pub refused: u32,
    /// Requests whose answers began in time.
    pub in_time: u32,
    /// Requests that were answered completely.
    pub answered: u32,
}

impl Outcome {
    /// Returns the refused fraction of the requests.
    pub fn refused_fraction(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.requests.max(1))
    }
}

struct Running {
    route: usize,
    /// When its request arrived.
    arrived: u64,
    /// When it was sent to this engine.
    sent: u64,
    /// Whether the engine only reads the prompt.
    is_read_apart: bool,
    prefill_left: u64,
    decode_left: u64,
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    draw: u64,
    latency: Duration,
}

/// The state of a simulation.
pub struct UrgencySimulation {
    directory: Directory,
    routes: Vec<RouteLoad>,
    next_arrivals: Vec<f64>,
    outcomes: Vec<Outcome>,
    /// The requests of each engine in the order in which it serves them.
    engines: Vec<Vec<Running>>,
    /// State of the random numbers of each route, so that its requests do not depend on other routes.
    random: Vec<u64>,
}

impl UrgencySimulation {
    /// Creates a simulation of these routes at a gateway with these decisions.
    pub fn new(routes: Vec<RouteLoad>, decisions: Decisions, seed: u64) -> Self {
        Self::with_prefill_engines(0, routes, decisions, seed)
    }

    /// Creates the same with engines of which this many only read prompts.
    pub fn with_prefill_engines(
        prefill_engines: usize,
        routes: Vec<RouteLoad>,
        decisions: Decisions,
        seed: u64,
    ) -> Self {
        let begins = routes.iter().map(|route| route.begins_at_millis as f64);
        Self {
            directory: directory(prefill_engines, decisions),
            next_arrivals: begins.collect(),
            outcomes: vec![Outcome::default(); routes.len()],
            random: (0..routes.len() as u64)
                .map(|route| seed + route * 1_000)
                .collect(),
            routes,
            engines: (0..ENGINES).map(|_| Vec::new()).collect(),
        }
    }

    /// Runs the simulation to its end and returns the outcome of each route.
    pub fn run(mut self) -> Vec<Outcome> {
        for millis in 0..END_MILLIS {
            for route in 0..self.routes.len() {
                self.admit_arrivals(millis, route);
            }
            for engine in 0..ENGINES {
                self.work(millis, engine);
            }
        }
        self.outcomes
    }

    fn admit_arrivals(&mut self, millis: u64, route: usize) {
        while millis < SENDING_MILLIS && self.next_arrivals[route] <= millis as f64 {
            let draw = (self.draw(route) >> 11) as f64 / (1_u64 << 53) as f64;
            let mean = 1_000.0 / self.routes[route].requests_per_second;
            self.next_arrivals[route] += -(1.0 - draw).ln() * mean;
            self.request(millis, route);
        }
    }

    fn request(&mut self, millis: u64, route: usize) {
        let now = timestamp(millis);
        let load = self.routes[route];
        let draw = self.draw(route);
        let prompt = vec![PromptPart {
            id: format!("own-{draw}"),
            tokens: load.prompt_tokens,
        }];
        let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
        let demand = demand(&load, &service, &zone, &prompt, draw);
        let objectives = Objectives {
            latency: Duration::from_millis(load.objective_millis),
            pause: None,
            time_left: Duration::from_secs(5),
        };
        self.outcomes[route].requests += 1;
        match self.directory.admit(now, demand, objectives) {
            Admission::Admitted { read_apart, draw } => {
                let need = match read_apart {
                    true => Need::ReadPrompt,
                    false => Need::Run,
                };
                self.send(millis, millis, route, prompt, draw, &need);
            }
            Admission::Refused { .. } => self.outcomes[route].refused += 1,
        }
    }

    /// Sends a request that arrived at `arrived` to an engine.
    fn send(
        &mut self,
        millis: u64,
        arrived: u64,
        route: usize,
        prompt: Vec<PromptPart>,
        draw: u64,
        need: &Need,
    ) {
        let now = timestamp(millis);
        let load = self.routes[route];
        let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
        let demand = demand(&load, &service, &zone, &prompt, draw);
        let worker = self.directory.select(now, demand, need);
        let worker = worker.expect("an engine").id.clone();
        let ticket = self.directory.begin_send(now, &worker, demand, need);
        let running = Running {
            route,
            arrived,
            sent: millis,
            is_read_apart: *need == Need::ReadPrompt,
            prefill_left: match need.reads_prompt() {
                true => load.prefill_millis,
                false => TRANSFER_MILLIS,
            },
            decode_left: load.decode_millis,
            ticket,
            prompt,
            draw,
            latency: Duration::ZERO,
        };
        let number: usize = worker.as_str()[2..].parse().expect("an engine number");
        self.engines[number].push(running);
        let routes = &self.routes;
        self.engines[number].sort_by_key(|running| (routes[running.route].yields, running.sent));
    }

    /// Lets an engine work for a millisecond: the first requests have slots, and the first prompt of
    /// these is read.
    fn work(&mut self, millis: u64, engine: usize) {
        let now = timestamp(millis + 1);
        let mut is_reading = false;
        for running in self.engines[engine].iter_mut().take(SLOTS as usize) {
            if running.prefill_left == 0 {
                running.decode_left -= 1;
                continue;
            }
            if is_reading {
                continue;
            }
            is_reading = true;
            running.prefill_left -= 1;
            if running.prefill_left == 0 {
                running.latency = now.since(timestamp(running.sent));
                let objective = self.routes[running.route].objective_millis;
                let elapsed = now.since(timestamp(running.arrived));
                let is_in_time = elapsed <= Duration::from_millis(objective);
                let is_begun = !running.is_read_apart;
                self.outcomes[running.route].in_time += u32::from(is_begun && is_in_time);
                self.directory.record_prompt_read(
                    now,
                    &mut running.ticket,
                    &running.prompt,
                    running.latency,
                );
            }
        }
        let is_done = |running: &Running| {
            running.prefill_left == 0 && (running.is_read_apart || running.decode_left == 0)
        };
        let in_progress = std::mem::take(&mut self.engines[engine]).into_iter();
        let (ended, left): (Vec<Running>, Vec<Running>) = in_progress.partition(is_done);
        self.engines[engine] = left;
        for running in ended {
            let result = SendResult::Answered {
                latency: running.latency,
            };
            self.directory
                .end_send(now, &running.ticket, &running.prompt, result);
            if !running.is_read_apart {
                self.outcomes[running.route].answered += 1;
                continue;
            }
            let reader = WorkerId::from(format!("e-{engine}").as_str());
            let Running {
                route,
                arrived,
                prompt,
                draw,
                ..
            } = running;
            let need = Need::Continue { reader };
            self.send(millis + 1, arrived, route, prompt, draw, &need);
        }
    }

    /// Returns a random number of a route (splitmix64).
    fn draw(&mut self, route: usize) -> u64 {
        let state = &mut self.random[route];
        *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

fn timestamp(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}

fn demand<'a>(
    load: &RouteLoad,
    service: &'a ServiceName,
    zone: &'a ZoneName,
    prompt: &'a [PromptPart],
    draw: u64,
) -> Demand<'a> {
    Demand {
        version: None,
        service,
        prompt,
        route: load.name,
        tenant: None,
        yields: load.yields,
        pause: None,
        zone,
        avoid: &[],
        draw,
    }
}

/// Creates a directory in which the first engines only read prompts.
fn directory(prefill_engines: usize, decisions: Decisions) -> Directory {
    let engine = |number: usize| Worker {
        version: "v1".into(),
        id: WorkerId::from(format!("e-{number}").as_str()),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        state: WorkerState::Ready,
        role: Some(match number < prefill_engines {
            true => Role::Prefill,
            false => Role::Decode,
        }),
        kind: WorkerKind::Reserved,
    };
    let mut directory = Directory::new(GatewayKey(1));
    directory.set_decisions(decisions);
    directory.announce((0..ENGINES).map(engine).collect());
    directory
}
