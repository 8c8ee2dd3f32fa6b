//! The choice of engines for streams whose pauses are limited.

mod decoding;

use std::time::Duration;

use decoding::{directory, Count, Simulation, Traffic};
use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Directory, GatewayKey, GrantedPlacements, Need, Objectives,
    PlacementAnswer, PlacementNeed, PlacementNotice, PlacementRequest, PromptPart,
    RequestedPlacements, SendResult, SendTicket, WorkerId, WorkerNotice,
};

const MAX_PAUSE: Duration = Duration::from_millis(200);
const SEEDS: [u64; 3] = [1, 2, 3];
const SIMULATED: Duration = Duration::from_secs(20);
/// Engines of the toll operator's three speeds.
const SPEEDS: [f64; 9] = [0.6, 0.6, 0.6, 1.0, 1.0, 1.0, 1.6, 1.6, 1.6];
const SLOW_ENGINES: usize = 3;
/// The largest fraction of streams that may pause for too long where the faster engines have room for all of them: the
/// toll operator's target of 0.82 leaves 0.18, of which pauses may take a third.
const MAX_LATE_FRACTION: f64 = 0.06;

/// The smallest fraction of the streams without a limit that the slow engines may get: half of their part of the speed of
/// all engines.
const MIN_SLOW_FRACTION: f64 = 0.09;
/// Seconds of a stream's pause at an engine of usual speed.
const PAUSE_SECONDS: f64 = 0.100;
/// Seconds that reading a thousand tokens adds to it.
const READING_SECONDS: f64 = 0.045;
/// Tokens beyond this do not add to the pause, because they are read during later events.
const MAX_READING_TOKENS: u64 = 6_000;

/// Returns the decisions of a deployment that bears no loss of a zone, except for the one under test.
fn decisions(stream_pauses: bool) -> Decisions {
    Decisions {
        stream_pauses,
        ..Decisions::default().with_tolerated_zones(0)
    }
}

/// What all requests of a gateway have in common.
struct Caller {
    service: ServiceName,
    zone: ZoneName,
    pause: Option<Duration>,
}

impl Caller {
    fn with_limit(pause: Option<Duration>) -> Self {
        Self {
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
            pause,
        }
    }

    fn demand<'a>(&'a self, prompt: &'a [PromptPart], draw: u64) -> Demand<'a> {
        Demand {
            version: None,
            service: &self.service,
            prompt,
            route: "route",
            tenant: None,
            yields: false,
            pause: self.pause,
            zone: &self.zone,
            avoid: &[],
            draw,
        }
    }
}

/// A send in progress.
struct Send {
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    latency: Duration,
}

/// A gateway whose directory learns from streams that pause as stated above.
struct Gateway {
    directory: Directory,
    now: Timestamp,
    speeds: Vec<f64>,
    prompts: u64,
}

fn continuation() -> Need {
    Need::Continue {
        reader: WorkerId::from("reader"),
    }
}

impl Gateway {
    fn new(speeds: &[f64], decisions: Decisions) -> Self {
        Self {
            directory: directory(speeds.len(), decisions),
            now: Timestamp::from_millis(10_000),
            speeds: speeds.to_vec(),
            prompts: 0,
        }
    }

    /// Creates a gateway that has observed streams at all engines, alone and beside prompts of several lengths, most
    /// recently alone.
    fn with_observations(speeds: &[f64], decisions: Decisions) -> Self {
        let mut gateway = Self::new(speeds, decisions);
        for _ in 0..12 {
            for engine in 0..speeds.len() {
                for beside in [0, 400, 0, 3_000, 0, 12_000] {
                    gateway.observe(engine, beside);
                }
            }
        }
        for number in 0..120 {
            gateway.observe(number % speeds.len(), 0);
        }
        gateway
    }

    fn next_prompt(&mut self, tokens: u64) -> Vec<PromptPart> {
        self.prompts += 1;
        vec![PromptPart {
            id: format!("own-{}", self.prompts),
            tokens,
        }]
    }

    fn begin(&mut self, worker: &str, need: &Need, tokens: u64) -> Send {
        let prompt = self.next_prompt(tokens);
        let caller = Caller::with_limit(Some(MAX_PAUSE));
        let demand = caller.demand(&prompt, self.prompts);
        let worker = WorkerId::from(worker);
        let ticket = self.directory.begin_send(self.now, &worker, demand, need);
        let micros = match need.reads_prompt() {
            true => 15_000 + tokens * 50,
            false => 20_000,
        };
        Send {
            ticket,
            prompt,
            latency: Duration::from_micros(micros),
        }
    }

    fn read(&mut self, send: &mut Send) {
        self.now = self.now + send.latency;
        self.directory
            .record_prompt_read(self.now, &mut send.ticket, &send.prompt, send.latency);
    }

    fn end(&mut self, send: &Send) {
        let latency = send.latency;
        let answered = SendResult::Answered { latency };
        self.directory
            .end_send(self.now, &send.ticket, &send.prompt, answered);
    }

    /// Lets so many streams begin to decode at an engine.
    fn begin_streams(&mut self, engine: usize, count: usize) {
        for _ in 0..count {
            let mut stream = self.begin(&format!("d{engine}"), &continuation(), 2_000);
            self.read(&mut stream);
        }
    }

    /// Lets a stream decode to its end while the engine reads `beside` tokens.
    fn observe(&mut self, engine: usize, beside: u64) {
        let thousands = beside.min(MAX_READING_TOKENS) as f64 / 1_000.0;
        let seconds = (PAUSE_SECONDS + READING_SECONDS * thousands) / self.speeds[engine];
        self.observe_pause(engine, beside, Duration::from_secs_f64(seconds));
    }

    /// Lets a stream decode for about 2 s with this longest pause, as its gateway reports it.
    fn observe_pause(&mut self, engine: usize, beside: u64, pause: Duration) {
        let worker = format!("d{engine}");
        let mut stream = self.begin(&worker, &continuation(), 2_000);
        self.read(&mut stream);
        if beside > 0 {
            let mut reading = self.begin(&worker, &Need::Run, beside);
            self.read(&mut reading);
            self.end(&reading);
        }
        self.now = self.now + Duration::from_secs(2);
        stream.ticket.record_pause(pause);
        self.end(&stream);
    }

    fn select(&mut self, need: &Need, tokens: u64, pause: Option<Duration>) -> String {
        let prompt = self.next_prompt(tokens);
        let caller = Caller::with_limit(pause);
        let demand = caller.demand(&prompt, self.prompts);
        let worker = self.directory.select(self.now, demand, need);
        worker.expect("an engine").id.to_string()
    }

    fn admit(&mut self, tokens: u64, latency: Duration) -> Admission {
        let prompt = self.next_prompt(tokens);
        let caller = Caller::with_limit(Some(MAX_PAUSE));
        let objectives = Objectives {
            latency,
            pause: Some(MAX_PAUSE),
            time_left: Duration::from_secs(5),
        };
        let demand = caller.demand(&prompt, self.prompts);
        self.directory.admit(self.now, demand, objectives)
    }

    /// Returns what is decided for requests of many kinds, one after the other.
    fn decide_many(&mut self) -> Vec<String> {
        let mut decided = Vec::new();
        for number in 0..60 {
            let tokens = [300, 2_000, 17_000][number % 3];
            let latency = Duration::from_millis([250, 600, 1_200][number / 3 % 3]);
            decided.push(format!("{:?}", self.admit(tokens, latency)));
            for need in [Need::Run, continuation()] {
                let selected = self.select(&need, tokens, Some(MAX_PAUSE));
                self.begin(&selected, &need, tokens);
                decided.push(selected);
            }
        }
        decided
    }
}

fn late_fraction(count: &Count) -> f64 {
    f64::from(count.too_long) / f64::from(count.streams)
}

fn simulate(traffic: &[Traffic], stream_pauses: bool, seed: u64) -> Vec<Count> {
    let simulation = Simulation::new(&SPEEDS, traffic.to_vec(), decisions(stream_pauses), seed);
    simulation.run(SIMULATED)
}

/// Streams whose prompts were read by other engines.
const LIMITED_STREAMS: Traffic = Traffic {
    requests_per_second: 40.0,
    prompt_tokens: 17_000,
    output_tokens: 120,
    is_read: true,
    max_pause: Some(MAX_PAUSE),
};
/// The same without a limit on pauses.
const UNLIMITED_STREAMS: Traffic = Traffic {
    requests_per_second: 60.0,
    prompt_tokens: 2_000,
    output_tokens: 60,
    is_read: true,
    max_pause: None,
};

/// Guards against streams that pause for too long at slow engines while faster ones have room for them, and against
/// slow engines that get no work.
#[test]
fn of_engines_of_three_speeds_the_slow_ones_get_the_streams_that_they_can_serve_in_time() {
    for seed in SEEDS {
        let before = simulate(&[LIMITED_STREAMS, UNLIMITED_STREAMS], false, seed);
        let counts = simulate(&[LIMITED_STREAMS, UNLIMITED_STREAMS], true, seed);
        let late = late_fraction(&counts[0]);
        assert!(late <= MAX_LATE_FRACTION, "seed {seed}: {late}");
        // Without the rule, the load would be too easy if the bound held.
        let late = late_fraction(&before[0]);
        assert!(late > MAX_LATE_FRACTION, "seed {seed}: {late}");
        let all: u32 = counts[1].by_engine.iter().sum();
        let slow: u32 = counts[1].by_engine[..SLOW_ENGINES].iter().sum();
        let slow = f64::from(slow) / f64::from(all);
        assert!(slow >= MIN_SLOW_FRACTION, "seed {seed}: {slow}");
    }
}

/// Guards against prompts that are read beside limited streams while other engines have time for them.
#[test]
fn prompts_of_all_lengths_stall_few_limited_streams_under_light_load() {
    let questions = Traffic {
        requests_per_second: 20.0,
        prompt_tokens: 380,
        output_tokens: 60,
        is_read: false,
        max_pause: None,
    };
    let long_prompts = Traffic {
        requests_per_second: 2.0,
        prompt_tokens: 9_000,
        ..questions
    };
    let streams = Traffic {
        requests_per_second: 8.0,
        ..LIMITED_STREAMS
    };
    let late_fraction_of_all = |stream_pauses| {
        let (mut streams_ended, mut late) = (0, 0);
        for seed in SEEDS {
            let traffic = [streams, questions, long_prompts];
            let counts = simulate(&traffic, stream_pauses, seed);
            streams_ended += counts[0].streams;
            late += counts[0].too_long;
        }
        f64::from(late) / f64::from(streams_ended)
    };
    let late = late_fraction_of_all(true);
    let before = late_fraction_of_all(false);
    assert!(late <= MAX_LATE_FRACTION, "{late}, {before} without");
    assert!(late < before, "{late}, {before} without");
}

/// Guards against leaving slow engines idle that would keep the limit.
#[test]
fn an_idle_slow_engine_that_keeps_the_limit_gets_streams_while_a_fast_one_reads() {
    for (stream_pauses, expected) in [(false, "d1"), (true, "d0")] {
        let mut gateway = Gateway::with_observations(&[0.6, 1.6], decisions(stream_pauses));
        gateway.begin("d1", &Need::Run, 12_000);
        gateway.begin_streams(0, 2);
        let limit = Duration::from_millis(240);
        let selected = gateway.select(&continuation(), 2_000, Some(limit));
        assert_eq!(selected, expected);
    }
}

/// Guards against sending streams to an engine that is known to pause for too long because it is the least loaded.
#[test]
fn an_idle_slow_engine_that_breaks_the_limit_gets_only_streams_without_one() {
    let mut gateway = Gateway::with_observations(&[0.45, 1.6], decisions(true));
    gateway.begin_streams(1, 4);
    let selected = gateway.select(&continuation(), 2_000, Some(MAX_PAUSE));
    assert_eq!(selected, "d1");
    assert_eq!(gateway.select(&continuation(), 2_000, None), "d0");
}

/// Guards against queues at fast engines beside idle slow ones: a stream that waits for a slot is late anyway.
#[test]
fn an_engine_without_a_free_slot_is_not_preferred_for_its_short_pauses() {
    let mut gateway = Gateway::with_observations(&[0.45, 1.6], decisions(true));
    gateway.begin_streams(1, 16);
    let selected = gateway.select(&continuation(), 2_000, Some(MAX_PAUSE));
    assert_eq!(selected, "d0");
}

/// Guards against long prompts that stall the streams of an engine for longer than they may pause.
#[test]
fn a_long_prompt_is_read_elsewhere_if_it_would_stall_streams_beyond_their_limit() {
    let is_read_apart = |stream_pauses, tokens| {
        let mut gateway = Gateway::with_observations(&[1.0], decisions(stream_pauses));
        gateway.begin_streams(0, 1);
        // The reader has so much to read that the decoder would begin the answer sooner.
        gateway.begin("reader", &Need::ReadPrompt, 20_000);
        let admission = gateway.admit(tokens, Duration::from_millis(2_000));
        let Admission::Admitted { read_apart, .. } = admission else {
            panic!("{tokens} tokens are not admitted: {admission:?}");
        };
        read_apart
    };
    assert!(!is_read_apart(false, 3_000));
    assert!(is_read_apart(true, 3_000));
    assert!(!is_read_apart(true, 1_000));
}

/// Guards against engines that get no limited streams for good after a passing fault, such as a process that was frozen.
#[test]
fn an_engine_that_was_frozen_gets_limited_streams_again() {
    let mut gateway = Gateway::with_observations(&[1.0, 1.0], decisions(true));
    for _ in 0..10 {
        gateway.observe_pause(0, 0, Duration::from_millis(1_500));
    }
    gateway.begin_streams(1, 4);
    let selected = gateway.select(&continuation(), 2_000, Some(MAX_PAUSE));
    assert_eq!(selected, "d1");
    gateway.now = gateway.now + Duration::from_secs(300);
    let selected = gateway.select(&continuation(), 2_000, Some(MAX_PAUSE));
    assert_eq!(selected, "d0");
}

/// Guards against refusals and other choices because of pauses when no engine keeps the limit.
#[test]
fn if_no_engine_keeps_the_limit_everything_is_decided_as_without_pauses() {
    let decided = |stream_pauses| {
        Gateway::with_observations(&[0.2, 0.25, 0.3], decisions(stream_pauses)).decide_many()
    };
    assert_eq!(decided(true), decided(false));
}

/// Guards against choices from assumptions alone, after the start of a gateway.
#[test]
fn without_observations_everything_is_decided_as_without_pauses() {
    let decided =
        |stream_pauses| Gateway::new(&[0.6, 1.0, 1.6], decisions(stream_pauses)).decide_many();
    assert_eq!(decided(true), decided(false));
}

/// Guards against measured pauses that change choices although the switch is off.
#[test]
fn with_the_switch_off_measured_pauses_change_nothing() {
    let decided = |pause| {
        let mut gateway = Gateway::new(&[0.6, 1.0, 1.6], decisions(false));
        for number in 0..60 {
            gateway.observe_pause(number % 3, 0, pause);
        }
        gateway.decide_many()
    };
    assert_eq!(
        decided(Duration::from_millis(10)),
        decided(Duration::from_millis(900))
    );
}

/// Guards against a peer that reports pauses which are longer than the sends took.
#[test]
fn a_pause_that_is_longer_than_its_send_is_ignored() {
    let decided = |impossible: &[Duration]| {
        let mut gateway = Gateway::with_observations(&[0.6, 1.6], decisions(true));
        for pause in impossible.iter().cycle().take(10) {
            gateway.observe_pause(1, 0, *pause);
        }
        gateway.begin_streams(1, 4);
        gateway.select(&continuation(), 2_000, Some(Duration::from_millis(150)))
    };
    let impossible = [Duration::from_secs(60), Duration::MAX];
    assert_eq!(decided(&impossible), "d1");
    // The same reports with a possible pause do change the choice.
    assert_eq!(decided(&[Duration::from_millis(900)]), "d0");
}

/// Guards against schedulers that place streams for other gateways and never learn how those paused.
#[test]
fn a_scheduler_learns_from_the_pauses_that_its_gateways_report() {
    const SCHEDULER: &str = "scheduler";
    let zone = ZoneName::new("z");
    let mut now = Timestamp::from_millis(10_000);
    let mut directory = directory(2, decisions(true));
    let mut granted = GrantedPlacements::default();
    let mut requested = RequestedPlacements::new(GatewayKey(2));
    let mut place = |requested: &mut RequestedPlacements, now, avoid: &[&str]| {
        let id = requested.next_id();
        let request = PlacementRequest {
            id,
            service: ServiceName::new("s"),
            route: "route".into(),
            prompt: vec![PromptPart {
                id: format!("own-{}", id.0),
                tokens: 2_000,
            }],
            tenant: None,
            yields: false,
            objectives: Objectives {
                latency: Duration::from_millis(600),
                pause: Some(MAX_PAUSE),
                time_left: Duration::from_secs(5),
            },
            draw: id.0,
            need: PlacementNeed::Worker {
                need: continuation(),
            },
            avoid: avoid.iter().map(|id| WorkerId::from(*id)).collect(),
        };
        let message = requested.request_message(SCHEDULER, request);
        match granted.handle_message(now, &mut directory, &zone, message) {
            Some(PlacementAnswer::Placed(placement)) => placement,
            answer => panic!("not placed: {answer:?}"),
        }
    };
    let latency = Duration::from_millis(20);
    for number in 0..40 {
        let (avoided, pause_ms) = [("d1", 400), ("d0", 100)][number % 2];
        let placement = place(&mut requested, now, &[avoided]);
        let id = placement.id;
        requested.queue_notice(SCHEDULER, PlacementNotice::PromptRead { id, latency });
        requested.queue_notice(
            SCHEDULER,
            PlacementNotice::Ended {
                id,
                result: SendResult::Answered { latency },
                worker_notice: WorkerNotice::default(),
                rate_limit: None,
                pause: Some(Duration::from_millis(pause_ms)),
            },
        );
        now = now + Duration::from_secs(1);
    }
    let placed = (0..4).map(|_| place(&mut requested, now, &[]).worker.to_string());
    let placed: Vec<String> = placed.collect();
    assert_eq!(placed, ["d1"; 4]);
}

/// Guards against other choices in services whose streams may pause as long as they like.
#[test]
fn in_a_service_without_limited_streams_everything_is_decided_as_without_pauses() {
    let questions = Traffic {
        requests_per_second: 60.0,
        is_read: false,
        ..UNLIMITED_STREAMS
    };
    for seed in SEEDS {
        let decided = |stream_pauses| {
            let counts = simulate(&[questions, UNLIMITED_STREAMS], stream_pauses, seed);
            format!("{counts:?}")
        };
        assert_eq!(decided(true), decided(false), "seed {seed}");
    }
}
