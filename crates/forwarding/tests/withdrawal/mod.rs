//! Simulation of the withdrawal of most engines of a service in virtual time: streams arrive at a
//! gateway, engines serve them in the order of their arrival, and a part of the engines is announced
//! as leaving at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, GatewayKey, Need, Objectives, PromptPart, SendResult,
    SendTicket, Worker, WorkerId, WorkerKind, WorkerState,
};

/// Engines of the container yards.
pub const ENGINES: usize = 45;
/// Engines that are withdrawn at once.
pub const WITHDRAWN: usize = 29;
/// Slots of an engine.
pub const SLOTS: usize = 12;
/// Notice of a withdrawal.
pub const NOTICE_MILLIS: u64 = 2_700;
/// The platform's drain time.
pub const DRAIN_MILLIS: u64 = 3_000;
/// When the withdrawal is announced.
pub const ANNOUNCED_AT: u64 = 5_000;
/// Delay until the gateway learns of it.
pub const LEARNING_DELAY_MILLIS: u64 = 100;
/// When the last request arrives.
const END_MILLIS: u64 = 9_000;
/// Time to read a prompt.
const PREFILL_MILLIS: u64 = 20;

/// The streams of one route.
#[derive(Debug, Clone, Copy)]
pub struct StreamLoad {
    /// The name of the route.
    pub route: &'static str,
    /// Streams per second.
    pub per_second: u64,
    /// Least time to decode a stream.
    pub min_decode_millis: u64,
    /// Greatest time to decode a stream.
    pub max_decode_millis: u64,
}

/// A stream that was sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct SentStream {
    /// The route.
    pub route: &'static str,
    /// Whether the engine was known as leaving.
    pub is_leaving: bool,
    /// When it was sent.
    pub sent_at: u64,
    /// When it ended.
    pub ended_at: u64,
}

/// What happened.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Refused requests after the announcement.
    pub refused: u32,
    /// Sent streams.
    pub sent: Vec<SentStream>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Learned,
    Left,
    Arrived { load: usize },
    Read { send: usize },
    Ended { send: usize },
}

struct Send {
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    began: u64,
}

/// The state of a simulation.
pub struct Withdrawal {
    directory: Directory,
    loads: Vec<StreamLoad>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    event_count: usize,
    /// When the slots of each engine become free.
    slots: BTreeMap<WorkerId, BinaryHeap<Reverse<u64>>>,
    sends: Vec<Send>,
    is_announced: bool,
    outcome: Outcome,
    random: u64,
}

impl Withdrawal {
    /// Creates a simulation of these loads at a gateway with these decisions.
    pub fn new(loads: Vec<StreamLoad>, decisions: Decisions, seed: u64) -> Self {
        let mut directory = Directory::new(GatewayKey(1));
        directory.set_decisions(decisions);
        directory.set_drain_time(Duration::from_millis(DRAIN_MILLIS));
        directory.announce((0..ENGINES).map(engine).collect());
        let slots = (0..ENGINES).map(|number| {
            let free = (0..SLOTS).map(|_| Reverse(0));
            (engine(number).id, free.collect())
        });
        Self {
            directory,
            slots: slots.collect(),
            loads,
            events: BinaryHeap::new(),
            event_count: 0,
            sends: Vec::new(),
            is_announced: false,
            outcome: Outcome::default(),
            random: seed,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Outcome {
        self.schedule(ANNOUNCED_AT + LEARNING_DELAY_MILLIS, Event::Learned);
        self.schedule(ANNOUNCED_AT + NOTICE_MILLIS, Event::Left);
        for load in 0..self.loads.len() {
            self.schedule(0, Event::Arrived { load });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            match event {
                Event::Learned => self.announce_withdrawal(at),
                Event::Left => {
                    (0..WITHDRAWN).for_each(|number| self.directory.withdraw(&engine(number).id))
                }
                Event::Arrived { load } => self.arrive(at, load),
                Event::Read { send } => {
                    let send = &mut self.sends[send];
                    let latency = Duration::from_millis(at - send.began);
                    let ticket = &mut send.ticket;
                    self.directory
                        .record_prompt_read(timestamp(at), ticket, &send.prompt, latency);
                }
                Event::Ended { send } => {
                    let send = &self.sends[send];
                    let latency = Duration::from_millis(PREFILL_MILLIS);
                    let answered = SendResult::Answered { latency };
                    self.directory
                        .end_send(timestamp(at), &send.ticket, &send.prompt, answered);
                }
            }
        }
        self.outcome
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn announce_withdrawal(&mut self, at: u64) {
        self.is_announced = true;
        let remaining = Duration::from_millis(NOTICE_MILLIS);
        let delay = Duration::from_millis(LEARNING_DELAY_MILLIS);
        for number in 0..WITHDRAWN {
            let leaving = Worker {
                state: WorkerState::Draining,
                ..engine(number)
            };
            self.directory
                .record_departure(timestamp(at), &leaving.id, remaining, delay);
            self.directory.announce_one(leaving);
        }
    }

    fn arrive(&mut self, at: u64, load: usize) {
        let gap = 2_000 / self.loads[load].per_second;
        let next = at + self.draw() % (gap + 1);
        if next < END_MILLIS {
            self.schedule(next, Event::Arrived { load });
        }
        let load = self.loads[load];
        let draw = self.draw();
        let prompt = vec![PromptPart {
            id: format!("own-{draw}"),
            tokens: 380,
        }];
        let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
        let demand = demand(&service, &zone, &prompt, load.route, draw);
        let now = timestamp(at);
        let first = self.directory.admit_first(now, demand, OBJECTIVES, true);
        let Admission::Admitted { draw, .. } = first.admission else {
            self.outcome.refused += u32::from(self.is_announced);
            return;
        };
        let demand = Demand { draw, ..demand };
        let selected = || self.directory.select(now, demand, &Need::Run);
        let worker = first
            .leaving_worker
            .or_else(|| selected().map(|worker| worker.id.clone()))
            .expect("an engine");
        let is_leaving =
            self.directory.get(&worker).expect("announced").state == WorkerState::Draining;
        let ticket = self.directory.begin_send(now, &worker, demand, &Need::Run);
        let spread = load.max_decode_millis - load.min_decode_millis + 1;
        let decode = load.min_decode_millis + self.draw() % spread;
        let free = self.slots.get_mut(&worker).expect("an engine");
        let Reverse(free_at) = free.pop().expect("slots");
        let read_at = free_at.max(at) + PREFILL_MILLIS;
        let ended_at = read_at + decode;
        free.push(Reverse(ended_at));
        let send = self.sends.len();
        self.sends.push(Send {
            ticket,
            prompt,
            began: at,
        });
        self.schedule(read_at, Event::Read { send });
        self.schedule(ended_at, Event::Ended { send });
        self.outcome.sent.push(SentStream {
            route: load.route,
            is_leaving,
            sent_at: at,
            ended_at,
        });
    }

    /// Returns a random number (splitmix64).
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

/// The objectives of `gate-query`.
pub const OBJECTIVES: Objectives = Objectives {
    latency: Duration::from_millis(1_200),
    pause: None,
    time_left: Duration::from_secs(3),
};

/// Returns a demand of a caller in zone `z`.
pub fn demand<'a>(
    service: &'a ServiceName,
    zone: &'a ZoneName,
    prompt: &'a [PromptPart],
    route: &'a str,
    draw: u64,
) -> Demand<'a> {
    Demand {
        version: None,
        service,
        prompt,
        route,
        tenant: None,
        yields: false,
        pause: None,
        zone,
        avoid: &[],
        draw,
    }
}

/// Returns the decode engine with this number.
pub fn engine(number: usize) -> Worker {
    Worker {
        version: "v1".into(),
        id: WorkerId::from(format!("e-{number}").as_str()),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS as u32,
        state: WorkerState::Ready,
        role: Some(Role::Decode),
        kind: WorkerKind::Spot,
    }
}

/// Returns the time this many milliseconds after the start.
pub fn timestamp(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}
