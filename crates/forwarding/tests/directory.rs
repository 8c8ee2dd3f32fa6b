//! Which worker is chosen: by what is under way, what caches hold, and how workers answered.

mod sample;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::{
    Admission, Demand, Directory, EngineCapacity, GatewayKey, Load, LoadEntry, LoadReport, Need,
    Objectives, PromptPart, SendResult, SendTicket, Worker, WorkerId, WorkerKey, WorkerState,
};

use sample::ready_worker;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const OBJECTIVES: Objectives = Objectives {
    latency: Duration::from_millis(500),
    pause: Some(Duration::from_millis(150)),
    time_left: Duration::from_millis(3_000),
};

fn worker(id: &str, zone: &str, role: Option<Role>) -> Worker {
    Worker {
        zone: ZoneName::new(zone),
        role,
        ..ready_worker(id)
    }
}

fn directory(workers: Vec<Worker>) -> Directory {
    let mut directory = Directory::new(GatewayKey(1));
    directory.announce(workers);
    let engine = EngineCapacity {
        slots: 8,
        cache_tokens: 500_000,
        token_bytes: 160_000.0,
        link_bytes_per_second: 200e9,
    };
    directory.set_engines(HashMap::from([(ServiceName::new("s"), engine)]));
    directory
}

fn prompt(shared: &str, tokens: u64) -> Vec<PromptPart> {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    vec![part(shared, tokens), part("own", 2_000)]
}

struct Asker {
    service: ServiceName,
    zone: ZoneName,
}

impl Asker {
    fn new() -> Self {
        Self {
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
        }
    }

    fn demand<'a>(&'a self, prompt: &'a [PromptPart]) -> Demand<'a> {
        Demand {
            service: &self.service,
            prompt,
            route: "route",
            tenant: None,
            yields: false,
            zone: &self.zone,
            avoid: &[],
            draw: 1,
        }
    }

    fn choose(&self, directory: &Directory, prompt: &[PromptPart], need: &Need) -> Option<String> {
        let worker = directory.select(NOW, self.demand(prompt), need)?;
        Some(worker.id.to_string())
    }
}

/// Whether a prompt is read apart.
fn reads_apart(directory: &mut Directory, prompt: &[PromptPart]) -> bool {
    let asker = Asker::new();
    let admission = directory.admit(NOW, asker.demand(prompt), OBJECTIVES);
    matches!(
        admission,
        Admission::Taken {
            read_apart: true,
            ..
        }
    )
}

/// A send to a worker begins.
fn begin(directory: &mut Directory, id: &str, prompt: &[PromptPart], need: &Need) -> SendTicket {
    let demand = Asker::new();
    directory.send_began(NOW, &WorkerId::from(id), demand.demand(prompt), need)
}

/// Has a worker read a prompt from its begin to its end.
fn read(directory: &mut Directory, id: &str, prompt: &[PromptPart]) {
    let mut ticket = begin(directory, id, prompt, &Need::ReadPrompt);
    let latency = Duration::from_millis(100);
    directory.prompt_was_read(NOW, &mut ticket, prompt, latency);
    directory.send_ended(NOW, &ticket, prompt, SendResult::Answered { latency });
}

#[test]
fn only_workers_that_take_requests_of_the_service_are_chosen() {
    let asker = Asker::new();
    let mut leaving = worker("a", "z", None);
    leaving.state = WorkerState::Draining;
    let mut foreign = worker("b", "z", None);
    foreign.service = ServiceName::new("t");
    let directory = directory(vec![leaving, foreign, worker("c", "far", None)]);
    assert_eq!(asker.choose(&directory, &[], &Need::Run), Some("c".into()));
    let demand = Demand {
        avoid: &[WorkerId::from("c")],
        ..asker.demand(&[])
    };
    let none = directory.select(NOW, demand, &Need::Run);
    assert!(none.is_none());
}

#[test]
fn equal_workers_of_the_own_zone_come_first_until_they_fail() {
    let asker = Asker::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    assert_eq!(
        asker.choose(&directory, &[], &Need::Run),
        Some("near".into())
    );
    for _ in 0..6 {
        let ticket = begin(&mut directory, "near", &[], &Need::Run);
        directory.send_ended(NOW, &ticket, &[], SendResult::Failed);
    }
    assert_eq!(
        asker.choose(&directory, &[], &Need::Run),
        Some("far".into())
    );
}

#[test]
fn a_worker_that_refuses_rests_unless_there_is_no_other() {
    let asker = Asker::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let ticket = begin(&mut directory, "near", &[], &Need::Run);
    directory.send_ended(NOW, &ticket, &[], SendResult::Refused);
    assert_eq!(
        asker.choose(&directory, &[], &Need::Run),
        Some("far".into())
    );
    directory.announce(vec![worker("near", "z", None)]);
    assert_eq!(
        asker.choose(&directory, &[], &Need::Run),
        Some("near".into())
    );
}

#[test]
fn a_long_prompt_is_read_apart_and_a_cached_one_is_not() {
    let asker = Asker::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let long = prompt("doc", 15_000);
    assert!(reads_apart(&mut directory, &long));
    assert_eq!(
        asker.choose(&directory, &long, &Need::ReadPrompt),
        Some("reader".into())
    );
    assert_eq!(
        asker.choose(&directory, &long, &Need::Run),
        Some("decoder".into())
    );
    read(&mut directory, "decoder", &long);
    assert!(!reads_apart(&mut directory, &long));
}

#[test]
fn the_reader_that_holds_a_part_reads_the_next_prompt_with_it() {
    let asker = Asker::new();
    let readers = ["a", "b", "c", "d"].map(|id| worker(id, "z", Some(Role::Prefill)));
    let mut directory = directory(readers.to_vec());
    let long = prompt("doc", 15_000);
    for holder in ["a", "b", "c", "d"] {
        let mut directory = Directory::new(GatewayKey(1));
        directory.announce(readers.to_vec());
        read(&mut directory, holder, &long);
        let chosen = asker.choose(&directory, &long, &Need::ReadPrompt);
        assert_eq!(chosen.as_deref(), Some(holder));
    }
    // A holder that is busy is fetched from.
    read(&mut directory, "a", &long);
    let busy = prompt("other", 60_000);
    begin(&mut directory, "a", &busy, &Need::ReadPrompt);
    let chosen = asker
        .choose(&directory, &long, &Need::ReadPrompt)
        .expect("a reader");
    assert_ne!(chosen, "a");
    let ticket = begin(&mut directory, &chosen, &long, &Need::ReadPrompt);
    assert!(ticket.fetch_from().is_some());
    assert!(ticket.reading_tokens() < 15_000);
}

#[test]
fn what_other_gateways_have_under_way_counts_until_it_is_stale() {
    let asker = Asker::new();
    let mut directory = directory(vec![
        worker("a", "z", Some(Role::Prefill)),
        worker("b", "y", Some(Role::Prefill)),
    ]);
    let long = prompt("doc", 15_000);
    let report = |sequence, reading_tokens| LoadReport {
        sender: GatewayKey(2),
        sequence,
        loads: vec![LoadEntry {
            worker: WorkerKey::of(&WorkerId::from("a")),
            load: Load {
                sends: 1,
                reading_tokens,
            },
        }],
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
    };
    directory.hear(NOW, &report(2, 40_000));
    assert_eq!(
        asker.choose(&directory, &long, &Need::ReadPrompt),
        Some("b".into())
    );
    // An older report changes nothing.
    directory.hear(NOW, &report(1, 0));
    assert_eq!(
        asker.choose(&directory, &long, &Need::ReadPrompt),
        Some("b".into())
    );
    directory.report_due(NOW + Duration::from_secs(2));
    assert_eq!(
        asker.choose(&directory, &long, &Need::ReadPrompt),
        Some("a".into())
    );
}

#[test]
fn a_prompt_that_would_wait_too_long_is_refused_but_not_for_its_own_length() {
    let asker = Asker::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let huge = prompt("huge", 90_000);
    let taken = directory.admit(NOW, asker.demand(&huge), OBJECTIVES);
    assert!(matches!(taken, Admission::Taken { .. }));
    begin(&mut directory, "reader", &huge, &Need::ReadPrompt);
    begin(
        &mut directory,
        "decoder",
        &prompt("second", 90_000),
        &Need::Run,
    );
    let next = prompt("doc", 15_000);
    let refused = directory.admit(NOW, asker.demand(&next), OBJECTIVES);
    assert!(matches!(refused, Admission::Refused { retry_after, .. } if !retry_after.is_zero()));
    let without_prompt = directory.admit(NOW, asker.demand(&[]), OBJECTIVES);
    assert!(matches!(without_prompt, Admission::Taken { .. }));
}

/// Found on the airport: prompts were refused while engines that decode had most of their places free.
#[test]
fn a_prompt_that_no_reader_has_time_for_is_read_beside_streams_that_can_bear_it() {
    let asker = Asker::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let busy = prompt("busy", 4_000);
    begin(&mut directory, "reader", &busy, &Need::ReadPrompt);
    for _ in 0..6 {
        begin(&mut directory, "decoder", &[], &Need::Run);
    }
    let hasty = Objectives {
        latency: Duration::from_millis(200),
        ..OBJECTIVES
    };
    let part = [PromptPart {
        id: "short".into(),
        tokens: 700,
    }];
    let taken = directory.admit(NOW, asker.demand(&part), hasty);
    assert!(matches!(
        taken,
        Admission::Taken {
            read_apart: false,
            ..
        }
    ));
    let streams_without_bound = Objectives {
        pause: None,
        ..hasty
    };
    let refused = directory.admit(NOW, asker.demand(&part), streams_without_bound);
    assert!(matches!(refused, Admission::Refused { .. }));
    let long = prompt("doc", 15_000);
    let refused = directory.admit(NOW, asker.demand(&long), hasty);
    assert!(matches!(refused, Admission::Refused { .. }));
}

/// Found on the airport: callers came back when told and were refused again.
#[test]
fn the_more_is_asked_the_later_refused_callers_come_back() {
    let asker = Asker::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let huge = prompt("huge", 30_000);
    begin(&mut directory, "reader", &huge, &Need::ReadPrompt);
    begin(&mut directory, "decoder", &huge, &Need::Run);
    let next = prompt("doc", 15_000);
    let mut told = Vec::new();
    for number in 0..12 {
        let demand = Demand {
            draw: u64::MAX / 2,
            ..asker.demand(&next)
        };
        let now = NOW + Duration::from_millis(10 * number);
        match directory.admit(now, demand, OBJECTIVES) {
            Admission::Refused { retry_after, .. } => told.push(retry_after),
            Admission::Taken { .. } => panic!("the queue is too long"),
        }
    }
    let latest = OBJECTIVES.time_left - OBJECTIVES.latency;
    assert!(told[0] < told[11], "{told:?}");
    assert!(told.iter().all(|after| *after <= latest), "{told:?}");
}

#[test]
fn an_engine_whose_role_is_to_change_gets_no_new_work() {
    let asker = Asker::new();
    let engines = ["a", "b"].map(|id| worker(id, "z", Some(Role::Decode)));
    let mut directory = directory(engines.to_vec());
    directory.set_desired_roles(HashMap::from([("a".to_owned(), Role::Prefill)]));
    assert_eq!(asker.choose(&directory, &[], &Need::Run), Some("b".into()));
    let mut changed = engines.to_vec();
    changed[0].role = Some(Role::Prefill);
    directory.announce(changed);
    let long = prompt("doc", 15_000);
    assert_eq!(
        asker.choose(&directory, &long, &Need::ReadPrompt),
        Some("a".into())
    );
}

#[derive(Debug, Clone)]
enum Step {
    Begin(usize, u64),
    Read(usize),
    End(usize),
    Announce(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_usize, 0_u64..30_000).prop_map(|(worker, tokens)| Step::Begin(worker, tokens)),
        any::<usize>().prop_map(Step::Read),
        any::<usize>().prop_map(Step::End),
        (0..5_usize).prop_map(Step::Announce),
    ]
}

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// However sends begin and end and workers come and go, nothing stays counted once all sends
    /// have ended.
    #[test]
    fn loads_return_to_nothing(steps in prop::collection::vec(step(), 0..80)) {
        let all: Vec<Worker> =
            (0..4).map(|n| worker(&format!("w{n}"), "z", Some(Role::Prefill))).collect();
        let asker = Asker::new();
        let mut directory = directory(all.clone());
        let mut open = Vec::new();
        for step in steps {
            match step {
                Step::Begin(number, tokens) => {
                    let prompt = prompt(&format!("p{tokens}"), tokens);
                    let id = WorkerId::from(format!("w{number}").as_str());
                    let demand = asker.demand(&prompt);
                    let ticket = directory.send_began(NOW, &id, demand, &Need::ReadPrompt);
                    open.push((ticket, prompt));
                }
                Step::Read(index) if !open.is_empty() => {
                    let index = index % open.len();
                    let (ticket, prompt) = &mut open[index];
                    directory.prompt_was_read(NOW, ticket, prompt, Duration::from_millis(9));
                }
                Step::End(index) if !open.is_empty() => {
                    let (ticket, prompt) = open.swap_remove(index % open.len());
                    directory.send_ended(NOW, &ticket, &prompt, SendResult::Failed);
                }
                Step::Announce(count) => directory.announce(all[..count.min(4)].to_vec()),
                Step::Read(_) | Step::End(_) => {}
            }
        }
        for (ticket, prompt) in open {
            directory.send_ended(NOW, &ticket, &prompt, SendResult::Failed);
        }
        directory.announce(all);
        for engine in directory.engine_loads() {
            prop_assert_eq!(engine.sends, 0);
        }
        let report = directory.report_due(NOW + Duration::from_secs(9));
        for entry in report.into_iter().flat_map(|report| report.loads) {
            prop_assert_eq!(entry.load, Load::default());
        }
    }
}

/// The fault: engines crash and come back as others, and each gateway sent to the former ones until the
/// store had forgotten them.
#[test]
fn a_worker_found_absent_is_passed_over_by_all_until_it_is_announced_anew() {
    let asker = Asker::new();
    let mut finder = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let mut told = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let ticket = begin(&mut finder, "near", &[], &Need::Run);
    finder.send_ended(NOW, &ticket, &[], SendResult::Absent);
    let mut report = finder.report_due(NOW).expect("a report");
    report.sender = GatewayKey(2);
    told.hear(NOW, &report);
    for directory in [&mut finder, &mut told] {
        let chosen = asker.choose(directory, &[], &Need::Run);
        assert_eq!(chosen, Some("far".into()));
        let mut changed = worker("near", "z", None);
        changed.slots += 1;
        directory.announce(vec![changed, worker("far", "y", None)]);
        let chosen = asker.choose(directory, &[], &Need::Run);
        assert_eq!(chosen, Some("near".into()));
    }
}

#[test]
fn a_worker_that_is_absent_is_still_tried_if_there_is_no_other() {
    let asker = Asker::new();
    let mut directory = directory(vec![worker("only", "z", None)]);
    let ticket = begin(&mut directory, "only", &[], &Need::Run);
    directory.send_ended(NOW, &ticket, &[], SendResult::Absent);
    let chosen = asker.choose(&directory, &[], &Need::Run);
    assert_eq!(chosen, Some("only".into()));
}

/// A decoding engine whose places are all taken is worse than one with a free place.
#[test]
fn a_full_engine_is_waited_for() {
    let asker = Asker::new();
    let role = Some(Role::Decode);
    let mut directory = directory(vec![worker("near", "z", role), worker("far", "y", role)]);
    let prompt = prompt("shared", 100);
    let mut ticket = begin(&mut directory, "near", &prompt, &Need::Run);
    directory.prompt_was_read(NOW, &mut ticket, &prompt, Duration::from_millis(50));
    let later = NOW + Duration::from_millis(800);
    let latency = Duration::from_millis(50);
    directory.send_ended(later, &ticket, &prompt, SendResult::Answered { latency });
    let reader = WorkerId::from("p");
    let need = Need::Continue { reader };
    let before = asker.choose(&directory, &prompt, &need);
    assert_eq!(before, Some("near".into()));
    for _ in 0..8 {
        begin(&mut directory, "near", &[], &Need::Run);
    }
    let after = asker.choose(&directory, &prompt, &need);
    assert_eq!(after, Some("far".into()));
}

/// Found on the airport: streams of a lower rank held all places, and prompts of the first rank were
/// refused.
#[test]
fn the_last_places_are_left_to_more_urgent_requests() {
    let asker = Asker::new();
    let mut engine = worker("only", "z", Some(Role::Decode));
    engine.slots = 20;
    let mut directory = directory(vec![engine]);
    let part = [PromptPart {
        id: "short".into(),
        tokens: 100,
    }];
    let mut ticket = begin(&mut directory, "only", &part, &Need::Run);
    let latency = Duration::from_millis(50);
    directory.prompt_was_read(NOW, &mut ticket, &part, latency);
    let later = NOW + Duration::from_secs(9);
    directory.send_ended(later, &ticket, &part, SendResult::Answered { latency });
    for _ in 0..19 {
        begin(&mut directory, "only", &[], &Need::Run);
    }
    let urgent = asker.demand(&part);
    let yielding = Demand {
        yields: true,
        ..urgent
    };
    let taken = directory.admit(NOW, urgent, OBJECTIVES);
    assert!(matches!(taken, Admission::Taken { .. }));
    let refused = directory.admit(NOW, yielding, OBJECTIVES);
    assert!(matches!(refused, Admission::Refused { .. }));
}

/// Found by reading: a worker that had failed for some seconds was never chosen again, as only its
/// own successes raised its share of them.
#[test]
fn a_worker_that_failed_is_used_again_after_some_minutes() {
    let asker = Asker::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    for _ in 0..40 {
        let ticket = begin(&mut directory, "near", &[], &Need::Run);
        directory.send_ended(NOW, &ticket, &[], SendResult::Failed);
    }
    let choose = |at: Timestamp| {
        let chosen = directory.select(at, asker.demand(&[]), &Need::Run);
        chosen.map(|worker| worker.id.to_string())
    };
    assert_eq!(choose(NOW), Some("far".into()));
    assert_eq!(choose(NOW + Duration::from_secs(300)), Some("near".into()));
}

#[test]
fn a_worker_that_refuses_again_and_again_is_passed_over_for_longer() {
    let asker = Asker::new();
    let mut directory = directory(vec![worker("a", "z", None), worker("b", "far", None)]);
    let chosen_at = |directory: &Directory, now: Timestamp| {
        let worker = directory.select(now, asker.demand(&[]), &Need::Run);
        worker.map(|worker| worker.id.to_string())
    };
    let refuse = |directory: &mut Directory, now: Timestamp| {
        let id = WorkerId::from("a");
        let ticket = directory.send_began(now, &id, asker.demand(&[]), &Need::Run);
        directory.send_ended(now, &ticket, &[], SendResult::Refused);
    };
    refuse(&mut directory, NOW);
    // One that was on its way together with the first does not make the pause longer.
    refuse(&mut directory, NOW);
    let later = NOW + Duration::from_millis(120);
    assert_eq!(chosen_at(&directory, later), Some("a".into()));
    refuse(&mut directory, later);
    let soon = later + Duration::from_millis(120);
    assert_eq!(chosen_at(&directory, soon), Some("b".into()));
    let long_after = later + Duration::from_millis(220);
    assert_eq!(chosen_at(&directory, long_after), Some("a".into()));
}

/// Six requests at once, each answered after `latency`; how many of them a worker gets.
fn six_at_once(directory: &mut Directory, latency: Duration, counted: &str) -> usize {
    let asker = Asker::new();
    let tickets = [(); 6].map(|()| {
        let id = asker.choose(directory, &[], &Need::Run).expect("a worker");
        begin(directory, &id, &[], &Need::Run)
    });
    for ticket in &tickets {
        let result = SendResult::Answered { latency };
        directory.send_ended(NOW, ticket, &[], result);
    }
    let reached = tickets
        .iter()
        .filter(|ticket| ticket.worker().as_str() == counted);
    reached.count()
}

#[test]
fn a_worker_that_has_just_come_is_used_beside_fast_ones() {
    for latency_ms in [2, 30, 300] {
        let latency = Duration::from_millis(latency_ms);
        let mut directory = directory(vec![worker("a", "z", None), worker("b", "z", None)]);
        for _ in 0..60 {
            six_at_once(&mut directory, latency, "a");
        }
        directory.announce_one(worker("c", "z", None));
        let rounds = (0..60).map(|_| six_at_once(&mut directory, latency, "c"));
        let reached: usize = rounds.sum();
        assert!(reached >= 90, "{reached} of 360 at {latency_ms} ms");
    }
}
