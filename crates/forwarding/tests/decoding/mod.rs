//! Simulation of decode engines in virtual time: each engine works in steps, and each step makes one token of every
//! stream and reads a piece of a prompt. An event holds several tokens. One gateway places all requests.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, EngineCapacity, GatewayKey, Need, Objectives,
    PromptPart, SendResult, SendTicket, Worker, WorkerId, WorkerKind, WorkerState,
};

const SLOTS: u32 = 16;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 12;
/// Tokens that one step reads of a prompt.
const PIECE_TOKENS: u64 = 512;
/// Time of a step at the usual speed, without streams and prompts.
const STEP_MICROS: f64 = 8_000.0;
/// Additional time of a step for each stream.
const STREAM_MICROS: f64 = 250.0;
/// Additional time of a step for each token read.
const TOKEN_MICROS: f64 = 40.0;
/// Time after which what engines do is counted; before, the gateway has too few observations.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time to transfer the KV cache of a prompt that another engine has read, whatever the speed of the engine.
const TRANSFER: Duration = Duration::from_millis(40);
/// Longest step of the simulated clock.
const TICK: Duration = Duration::from_millis(1);

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    pub requests_per_second: f64,
    pub prompt_tokens: u64,
    pub output_tokens: u32,
    /// Whether another engine has read the prompt already.
    pub is_read: bool,
    pub max_pause: Option<Duration>,
}

/// What was counted of a kind of request.
#[derive(Debug, Clone, Default)]
pub struct Count {
    pub streams: u32,
    /// Streams that paused for longer than they may.
    pub too_long: u32,
    pub refused: u32,
    /// Streams by engine.
    pub by_engine: Vec<u32>,
}

struct Stream {
    kind: usize,
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    unread_tokens: u64,
    tokens_left: u32,
    tokens_in_event: u32,
    began: Timestamp,
    latency: Duration,
    last_event: Option<Timestamp>,
    longest_pause: Duration,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    /// Streams whose KV cache is being transferred.
    transferring: Vec<Stream>,
    /// Requests that wait for a slot.
    waiting: VecDeque<Stream>,
    reading: VecDeque<Stream>,
    decoding: Vec<Stream>,
    /// The end of the current step, and the tokens of prompts that it reads.
    step: Option<(Timestamp, u64)>,
}

impl Engine {
    fn begin_step(&mut self, now: Timestamp) {
        for index in (0..self.transferring.len()).rev() {
            if now.since(self.transferring[index].began) >= TRANSFER {
                let arrived = self.transferring.swap_remove(index);
                self.waiting.push_back(arrived);
            }
        }
        while self.reading.len() + self.decoding.len() < SLOTS as usize {
            let Some(admitted) = self.waiting.pop_front() else {
                break;
            };
            self.reading.push_back(admitted);
        }
        if self.reading.is_empty() && self.decoding.is_empty() {
            return;
        }
        let unread = self.reading.iter().map(|stream| stream.unread_tokens);
        let piece = unread.sum::<u64>().min(PIECE_TOKENS);
        let micros =
            STEP_MICROS + STREAM_MICROS * self.decoding.len() as f64 + TOKEN_MICROS * piece as f64;
        let duration = Duration::from_secs_f64(micros / 1e6 / self.speed);
        self.step = Some((now + duration, piece));
    }
}

/// The state of a simulation.
pub struct Simulation {
    now: Timestamp,
    directory: Directory,
    service: ServiceName,
    zone: ZoneName,
    engines: Vec<Engine>,
    traffic: Vec<Traffic>,
    next_arrivals: Vec<Timestamp>,
    counts: Vec<Count>,
    random: u64,
}

impl Simulation {
    /// Creates a simulation of decode engines of these speeds, beside an engine that only reads prompts.
    pub fn new(speeds: &[f64], traffic: Vec<Traffic>, decisions: Decisions, seed: u64) -> Self {
        let engine = |speed: &f64| Engine {
            speed: *speed,
            ..Engine::default()
        };
        let start = Timestamp::from_millis(10_000);
        let count = Count {
            by_engine: vec![0; speeds.len()],
            ..Count::default()
        };
        Self {
            now: start,
            directory: directory(speeds.len(), decisions),
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
            engines: speeds.iter().map(engine).collect(),
            next_arrivals: vec![start; traffic.len()],
            counts: vec![count; traffic.len()],
            traffic,
            random: seed,
        }
    }

    /// Runs the simulation for this long after the warm-up, and returns what was counted of each kind of request.
    pub fn run(mut self, duration: Duration) -> Vec<Count> {
        let end = self.now + WARM_UP + duration;
        let counted_from = self.now + WARM_UP;
        while self.now < end {
            self.now = self.now + TICK;
            for kind in 0..self.traffic.len() {
                while self.next_arrivals[kind] <= self.now {
                    self.request(kind, self.now >= counted_from);
                    let seconds = -(1.0 - self.fraction()).ln();
                    let seconds = seconds / self.traffic[kind].requests_per_second;
                    let next = self.next_arrivals[kind] + Duration::from_secs_f64(seconds);
                    self.next_arrivals[kind] = next;
                }
            }
            for engine in 0..self.engines.len() {
                self.advance(engine, counted_from);
            }
        }
        self.counts
    }

    fn request(&mut self, kind: usize, is_counted: bool) {
        let traffic = self.traffic[kind];
        let draw = self.draw();
        let prompt = vec![PromptPart {
            id: format!("own-{draw}"),
            tokens: traffic.prompt_tokens,
        }];
        let need = match traffic.is_read {
            true => Need::Continue {
                reader: WorkerId::from("reader"),
            },
            false => Need::Run,
        };
        let demand = Demand {
            version: None,
            service: &self.service,
            prompt: &prompt,
            route: if traffic.is_read { "long" } else { "short" },
            tenant: None,
            yields: false,
            pause: traffic.max_pause,
            zone: &self.zone,
            avoid: &[],
            draw,
        };
        if !traffic.is_read {
            let objectives = Objectives {
                latency: Duration::from_secs(1),
                pause: traffic.max_pause,
                time_left: Duration::from_secs(5),
            };
            let admission = self.directory.admit(self.now, demand, objectives);
            if matches!(admission, Admission::Refused { .. }) {
                self.counts[kind].refused += u32::from(is_counted);
                return;
            }
        }
        let worker = self.directory.select(self.now, demand, &need);
        let worker = worker.expect("an engine").id.clone();
        let ticket = self.directory.begin_send(self.now, &worker, demand, &need);
        let number: usize = worker.as_str()[1..].parse().expect("number of an engine");
        if is_counted {
            self.counts[kind].by_engine[number] += 1;
        }
        let stream = Stream {
            kind,
            ticket,
            unread_tokens: match traffic.is_read {
                true => 0,
                false => traffic.prompt_tokens,
            },
            prompt,
            tokens_left: traffic.output_tokens,
            tokens_in_event: 0,
            began: self.now,
            latency: Duration::ZERO,
            last_event: None,
            longest_pause: Duration::ZERO,
        };
        let engine = &mut self.engines[number];
        match traffic.is_read {
            true => engine.transferring.push(stream),
            false => engine.waiting.push_back(stream),
        }
    }

    /// Ends the steps of an engine that are due, and begins the next one.
    fn advance(&mut self, number: usize, counted_from: Timestamp) {
        loop {
            let engine = &mut self.engines[number];
            let ended = match engine.step {
                None => {
                    engine.begin_step(self.now);
                    return;
                }
                Some((at, _)) if at > self.now => return,
                Some(ended) => ended,
            };
            engine.step = None;
            self.end_step(number, ended, counted_from);
            self.engines[number].begin_step(ended.0);
        }
    }

    fn end_step(&mut self, number: usize, (at, piece): (Timestamp, u64), counted_from: Timestamp) {
        let engine = &mut self.engines[number];
        let mut ended = Vec::new();
        for stream in &mut engine.decoding {
            stream.tokens_left -= 1;
            stream.tokens_in_event += 1;
            if stream.tokens_in_event < EVENT_TOKENS && stream.tokens_left > 0 {
                continue;
            }
            stream.tokens_in_event = 0;
            if let Some(last) = stream.last_event {
                stream.longest_pause = stream.longest_pause.max(at.since(last));
            }
            stream.last_event = Some(at);
        }
        for index in (0..engine.decoding.len()).rev() {
            if engine.decoding[index].tokens_left == 0 {
                ended.push(engine.decoding.swap_remove(index));
            }
        }
        let mut left = piece;
        while let Some(first) = engine.reading.front_mut() {
            let read = left.min(first.unread_tokens);
            first.unread_tokens -= read;
            left -= read;
            if first.unread_tokens > 0 {
                break;
            }
            if let Some(mut stream) = engine.reading.pop_front() {
                // The head of an answer is sent before its first step if the prompt was read elsewhere.
                stream.latency = match self.traffic[stream.kind].is_read {
                    true => TRANSFER,
                    false => at.since(stream.began),
                };
                let (ticket, prompt) = (&mut stream.ticket, &stream.prompt);
                self.directory
                    .record_prompt_read(at, ticket, prompt, stream.latency);
                engine.decoding.push(stream);
            }
        }
        for stream in ended {
            self.end_stream(at, stream, counted_from);
        }
    }

    fn end_stream(&mut self, at: Timestamp, mut stream: Stream, counted_from: Timestamp) {
        stream.ticket.record_pause(stream.longest_pause);
        let answered = SendResult::Answered {
            latency: stream.latency,
        };
        self.directory
            .end_send(at, &stream.ticket, &stream.prompt, answered);
        if stream.began < counted_from {
            return;
        }
        let max_pause = self.traffic[stream.kind].max_pause;
        let count = &mut self.counts[stream.kind];
        count.streams += 1;
        count.too_long += u32::from(max_pause.is_some_and(|limit| stream.longest_pause > limit));
    }

    fn fraction(&mut self) -> f64 {
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

/// Returns a directory of a reader and `d0`, `d1` and so on, which decode.
pub fn directory(decoders: usize, decisions: Decisions) -> Directory {
    let engine = |id: String, role| Worker {
        version: "v1".into(),
        id: WorkerId::from(id.as_str()),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: SLOTS,
        state: WorkerState::Ready,
        role: Some(role),
        kind: WorkerKind::Reserved,
    };
    let mut directory = Directory::new(GatewayKey(1));
    directory.set_decisions(decisions);
    let decoders = (0..decoders).map(|number| engine(format!("d{number}"), Role::Decode));
    let mut engines: Vec<Worker> = decoders.collect();
    engines.push(engine("reader".into(), Role::Prefill));
    directory.announce(engines);
    let capacity = EngineCapacity {
        slots: SLOTS,
        cache_tokens: 500_000,
        token_bytes: 160_000.0,
        link_bytes_per_second: 200e9,
    };
    directory.set_engines([(ServiceName::new("s"), capacity)].into());
    directory
}
