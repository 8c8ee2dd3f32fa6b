//! Tests workers that the store announces as leaving, which still get requests in a shortage.

mod withdrawal;

use std::time::Duration;

use tansyhall_core::{Role, ServiceName, ZoneName};
use tansyhall_forwarding::{
    Admission, Decisions, Demand, Departure, Directory, GatewayKey, GrantedPlacements, Load,
    LoadEntry, LoadReport, Need, PlacementAnswer, PlacementId, PlacementMessage, PlacementNeed,
    PlacementRequest, PromptPart, SendResult, Worker, WorkerId, WorkerKey, WorkerNotice,
    WorkerState,
};
use withdrawal::{
    demand, engine, timestamp, Outcome, SentStream, StreamLoad, Withdrawal, ANNOUNCED_AT,
    DRAIN_MILLIS, LEARNING_DELAY_MILLIS, NOTICE_MILLIS, OBJECTIVES,
};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Streams that need two thirds of all engines, twice as many as remain.
const SHORT_STREAMS: StreamLoad = StreamLoad {
    route: "short",
    per_second: 600,
    min_decode_millis: 300,
    max_decode_millis: 900,
};
/// Streams that take longer than half of the notice.
const LONG_STREAMS: StreamLoad = StreamLoad {
    route: "long",
    per_second: 40,
    min_decode_millis: 1_500,
    max_decode_millis: 1_700,
};
const DRAIN_TIME: Duration = Duration::from_millis(DRAIN_MILLIS);
const NOTICE: Duration = Duration::from_millis(NOTICE_MILLIS);
const DELAY: Duration = Duration::from_millis(LEARNING_DELAY_MILLIS);

fn decisions(leaving_workers: bool) -> Decisions {
    Decisions {
        leaving_workers,
        ..Decisions::default().with_tolerated_zones(0)
    }
}

fn simulate(loads: &[StreamLoad], leaving_workers: bool, seed: u64) -> Outcome {
    Withdrawal::new(loads.to_vec(), decisions(leaving_workers), seed).run()
}

/// Guards against leaving workers that idle while requests are refused, and against streams that end
/// with their worker.
#[test]
fn in_a_withdrawal_of_most_engines_leaving_ones_take_short_streams_that_end_in_time() {
    for seed in SEEDS {
        let outcome = simulate(&[SHORT_STREAMS], true, seed);
        let to_leaving = outcome.sent.iter().filter(|sent| sent.is_leaving);
        let cut = to_leaving
            .clone()
            .filter(|sent| sent.ended_at > ANNOUNCED_AT + NOTICE_MILLIS);
        assert_eq!(cut.count(), 0, "seed {seed}");
        assert!(to_leaving.count() > 0, "seed {seed}");
        let without = simulate(&[SHORT_STREAMS], false, seed);
        assert!(
            outcome.refused < without.refused,
            "seed {seed}: {} of {}",
            outcome.refused,
            without.refused
        );
    }
}

/// Guards against requests that reach a worker after its drain time, of which a gateway may use half.
#[test]
fn in_a_withdrawal_nothing_is_sent_to_leaving_engines_after_half_of_the_drain_time() {
    let last = ANNOUNCED_AT + LEARNING_DELAY_MILLIS + DRAIN_MILLIS / 2;
    for seed in SEEDS {
        let outcome = simulate(&[SHORT_STREAMS], true, seed);
        let mut to_leaving = outcome.sent.iter().filter(|sent| sent.is_leaving);
        assert!(to_leaving.all(|sent| sent.sent_at < last), "seed {seed}");
    }
}

/// Guards against streams that are cut because they take longer than the margin permits.
#[test]
fn in_a_withdrawal_leaving_engines_take_no_streams_longer_than_half_of_their_notice() {
    for seed in SEEDS {
        let outcome = simulate(&[SHORT_STREAMS, LONG_STREAMS], true, seed);
        let to_leaving = outcome.sent.iter().filter(|sent| sent.is_leaving);
        let (long, short): (Vec<&SentStream>, Vec<&SentStream>) =
            to_leaving.partition(|sent| sent.route == LONG_STREAMS.route);
        assert!(long.is_empty() && !short.is_empty(), "seed {seed}");
    }
}

/// Guards against a changed decision where the switch is off.
#[test]
fn in_a_withdrawal_leaving_engines_get_nothing_with_the_switch_off() {
    for seed in SEEDS {
        let outcome = simulate(&[SHORT_STREAMS], false, seed);
        assert!(outcome.sent.iter().all(|sent| !sent.is_leaving));
    }
}

/// The time at which the departure is learned.
const LEARNED: u64 = 2_000;

fn leaving(number: usize) -> Worker {
    Worker {
        state: WorkerState::Draining,
        ..engine(number)
    }
}

fn prompt() -> [PromptPart; 1] {
    [PromptPart {
        id: "p".into(),
        tokens: 380,
    }]
}

/// Calls `check` with the demand for one short stream.
fn with_demand<T>(check: impl FnOnce(Demand<'_>) -> T) -> T {
    let (service, zone, prompt) = (ServiceName::new("s"), ZoneName::new("z"), prompt());
    check(demand(&service, &zone, &prompt, "r", 7))
}

/// Returns a directory with a fully loaded engine 0 and an idle engine 1 that is still ready. A stream
/// of the route takes 500 ms.
fn loaded_directory() -> Directory {
    let mut directory = Directory::new(GatewayKey(1));
    directory.set_decisions(decisions(true));
    directory.set_drain_time(DRAIN_TIME);
    directory.announce(vec![engine(0), engine(1)]);
    with_demand(|demand| {
        let worker = engine(0).id;
        let mut ticket = directory.begin_send(timestamp(0), &worker, demand, &Need::Run);
        let latency = Duration::from_millis(20);
        directory.record_prompt_read(timestamp(20), &mut ticket, demand.prompt, latency);
        let answered = SendResult::Answered { latency };
        directory.end_send(timestamp(520), &ticket, demand.prompt, answered);
    });
    let report = LoadReport {
        sender: GatewayKey(2),
        sequence: 1,
        loads: vec![LoadEntry {
            worker: WorkerKey::of(&engine(0).id),
            load: Load::all_urgent(100, 200_000),
        }],
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
        shares: None,
        tenants: Vec::new(),
    };
    directory.receive_report(timestamp(LEARNED), &report);
    directory
}

fn learn_departure(directory: &mut Directory, at: u64, remaining: Duration) {
    directory.record_departure(timestamp(at), &engine(1).id, remaining, DELAY);
    directory.announce_one(leaving(1));
}

fn leaving_directory() -> Directory {
    let mut directory = loaded_directory();
    learn_departure(&mut directory, LEARNED, NOTICE);
    directory
}

/// Returns the leaving worker that a first send gets; `None` if it is refused.
fn leaving_worker(directory: &mut Directory, at: u64, may_use_leaving: bool) -> Option<WorkerId> {
    let first = with_demand(|demand| {
        directory.admit_first(timestamp(at), demand, OBJECTIVES, may_use_leaving)
    });
    let is_admitted = matches!(first.admission, Admission::Admitted { .. });
    assert_eq!(is_admitted, first.leaving_worker.is_some());
    first.leaving_worker
}

#[test]
fn a_leaving_worker_gets_a_first_send_that_would_be_refused() {
    let mut directory = leaving_directory();
    let worker = leaving_worker(&mut directory, LEARNED, true);
    assert_eq!(worker, Some(engine(1).id));
    assert_eq!(directory.ready_workers(), 1);
}

/// Guards against sends to a leaving worker while others have time.
#[test]
fn a_leaving_worker_gets_nothing_while_another_worker_has_time() {
    let mut directory = leaving_directory();
    directory.announce_one(engine(2));
    let first =
        with_demand(|demand| directory.admit_first(timestamp(LEARNED), demand, OBJECTIVES, true));
    assert_eq!(first.leaving_worker, None);
    assert!(matches!(first.admission, Admission::Admitted { .. }));
}

/// Guards against requests that no other worker may repeat if the worker leaves under them.
#[test]
fn a_leaving_worker_never_gets_a_request_that_runs_at_most_once() {
    let mut directory = leaving_directory();
    assert_eq!(leaving_worker(&mut directory, LEARNED, false), None);
}

/// Guards against a withdrawal that leaves no other worker at all.
#[test]
fn a_leaving_worker_gets_first_sends_if_no_worker_is_ready() {
    let mut directory = leaving_directory();
    directory.withdraw(&engine(0).id);
    let worker = leaving_worker(&mut directory, LEARNED, true);
    assert_eq!(worker, Some(engine(1).id));
}

/// Guards against retries and prompts read apart at a worker that leaves: they select workers with a
/// need instead of being admitted.
#[test]
fn a_leaving_worker_never_gets_a_retry_or_a_prompt_read_apart() {
    let mut directory = leaving_directory();
    directory.announce_one(Worker {
        role: Some(Role::Prefill),
        ..engine(2)
    });
    let id = engine(2).id;
    directory.record_departure(timestamp(LEARNED), &id, NOTICE, DELAY);
    directory.announce_one(Worker {
        role: Some(Role::Prefill),
        ..leaving(2)
    });
    let continued = Need::Continue {
        reader: engine(0).id,
    };
    let avoided = [engine(0).id];
    for need in [Need::Run, Need::ReadPrompt, continued] {
        let selected = with_demand(|demand| {
            let retry = Demand {
                avoid: &avoided,
                ..demand
            };
            directory.select(timestamp(LEARNED), retry, &need).cloned()
        });
        assert_eq!(selected, None, "{need:?}");
    }
    let worker = leaving_worker(&mut directory, LEARNED, true);
    assert_eq!(worker, Some(engine(1).id));
}

/// Guards against requests to a worker that refuses them: it has stated in an answer that it leaves.
#[test]
fn a_worker_that_stated_in_an_answer_that_it_leaves_gets_nothing() {
    let notice = WorkerNotice {
        is_leaving: true,
        ..WorkerNotice::default()
    };
    let now = timestamp(LEARNED);
    let mut after_entry = leaving_directory();
    after_entry.apply_notice(now, &engine(1).id, notice);
    assert_eq!(leaving_worker(&mut after_entry, LEARNED, true), None);
    let mut before_entry = loaded_directory();
    before_entry.apply_notice(now, &engine(1).id, notice);
    learn_departure(&mut before_entry, LEARNED, NOTICE);
    assert_eq!(leaving_worker(&mut before_entry, LEARNED, true), None);
}

/// Guards against requests to a worker whose departure is not known well enough: its entry states no
/// time, may be old, or the platform has no drain time.
#[test]
fn a_leaving_worker_gets_nothing_if_its_departure_is_not_known() {
    let mut without_time = loaded_directory();
    without_time.announce_one(leaving(1));
    assert_eq!(leaving_worker(&mut without_time, LEARNED, true), None);
    // A gateway that starts finds the entry in its first copy of the store.
    learn_departure(&mut without_time, LEARNED, NOTICE);
    assert_eq!(leaving_worker(&mut without_time, LEARNED, true), None);

    let mut after_outage = loaded_directory();
    let delay = DRAIN_TIME / 2 + Duration::from_millis(1);
    after_outage.record_departure(timestamp(LEARNED), &engine(1).id, NOTICE, delay);
    after_outage.announce_one(leaving(1));
    assert_eq!(leaving_worker(&mut after_outage, LEARNED, true), None);

    let mut without_drain_time = loaded_directory();
    without_drain_time.set_drain_time(Duration::ZERO);
    learn_departure(&mut without_drain_time, LEARNED, NOTICE);
    assert_eq!(leaving_worker(&mut without_drain_time, LEARNED, true), None);
}

/// Guards against a time for sends that starts again with each heartbeat of a leaving worker.
#[test]
fn later_entries_of_a_leaving_worker_do_not_extend_its_time() {
    let mut directory = loaded_directory();
    learn_departure(&mut directory, LEARNED, Duration::from_millis(2_000));
    learn_departure(&mut directory, LEARNED + 500, NOTICE * 10);
    let mut at = |millis| leaving_worker(&mut directory, millis, true);
    assert_eq!(at(LEARNED + 700), Some(engine(1).id));
    // 900 ms before the worker leaves, a stream of 520 ms has no margin of its own length.
    assert_eq!(at(LEARNED + 1_000), None);

    let half = DRAIN_MILLIS / 2;
    let departure = |learned| {
        let notice = NOTICE * 10;
        Departure::new(timestamp(learned), notice, DELAY, DRAIN_TIME).expect("known departure")
    };
    let restated = departure(LEARNED).restated(departure(LEARNED + half - 1));
    assert!(restated.permits_sends(timestamp(LEARNED + half - 1)));
    assert!(!restated.permits_sends(timestamp(LEARNED + half)));
}

/// Guards against a departure that is kept for a worker which is ready again.
#[test]
fn a_worker_that_is_ready_again_gets_requests_as_before() {
    let mut directory = leaving_directory();
    directory.announce_one(engine(1));
    let first =
        with_demand(|demand| directory.admit_first(timestamp(LEARNED), demand, OBJECTIVES, true));
    assert_eq!(first.leaving_worker, None);
    assert!(matches!(first.admission, Admission::Admitted { .. }));
    directory.announce_one(leaving(1));
    assert_eq!(leaving_worker(&mut directory, LEARNED, true), None);
}

/// Guards against a scheduler that places requests of a gateway of an earlier build on leaving workers:
/// such a gateway does not say which requests may run there.
#[test]
fn a_scheduler_places_only_requests_that_may_run_there_on_leaving_workers() {
    let place = |need| {
        let mut directory = leaving_directory();
        let request = PlacementRequest {
            id: PlacementId(1),
            service: ServiceName::new("s"),
            route: "r".into(),
            prompt: prompt().to_vec(),
            tenant: None,
            yields: false,
            objectives: OBJECTIVES,
            draw: 7,
            need,
            avoid: Vec::new(),
        };
        let message = PlacementMessage {
            sender: GatewayKey(3),
            sequence: 1,
            open: Vec::new(),
            notices: Vec::new(),
            request: Some(request),
        };
        let now = timestamp(LEARNED);
        let mut granted = GrantedPlacements::default();
        granted.handle_message(now, &mut directory, &ZoneName::new("z"), message)
    };
    let placed = place(PlacementNeed::AdmissionOrLeaving);
    let Some(PlacementAnswer::Placed(placement)) = placed else {
        panic!("not placed: {placed:?}");
    };
    assert_eq!(placement.worker, engine(1).id);
    assert!(!placement.read_apart);
    let refused = place(PlacementNeed::Admission);
    assert!(matches!(refused, Some(PlacementAnswer::Refused { .. })));
}
