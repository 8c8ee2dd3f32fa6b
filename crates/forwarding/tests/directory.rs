//! Tests which worker is chosen, given the requests in progress, the contents of caches, and how
//! workers have answered.

mod sample;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use tansyhall_fixed_cases::config_with_seed;
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

struct Caller {
    service: ServiceName,
    zone: ZoneName,
}

impl Caller {
    fn new() -> Self {
        Self {
            service: ServiceName::new("s"),
            zone: ZoneName::new("z"),
        }
    }

    fn demand<'a>(&'a self, prompt: &'a [PromptPart]) -> Demand<'a> {
        Demand {
            version: None,
            service: &self.service,
            prompt,
            route: "route",
            tenant: None,
            yields: false,
            pause: None,
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

/// Returns whether a prompt is read apart.
fn reads_apart(directory: &mut Directory, prompt: &[PromptPart]) -> bool {
    let caller = Caller::new();
    let admission = directory.admit(NOW, caller.demand(prompt), OBJECTIVES);
    matches!(
        admission,
        Admission::Admitted {
            read_apart: true,
            ..
        }
    )
}

/// Begins a send to a worker.
fn begin_send(
    directory: &mut Directory,
    id: &str,
    prompt: &[PromptPart],
    need: &Need,
) -> SendTicket {
    let demand = Caller::new();
    directory.begin_send(NOW, &WorkerId::from(id), demand.demand(prompt), need)
}

/// Lets a worker read a prompt from beginning to end.
fn read_prompt(directory: &mut Directory, id: &str, prompt: &[PromptPart]) {
    let mut ticket = begin_send(directory, id, prompt, &Need::ReadPrompt);
    let latency = Duration::from_millis(100);
    directory.record_prompt_read(NOW, &mut ticket, prompt, latency);
    directory.end_send(NOW, &ticket, prompt, SendResult::Answered { latency });
}

#[test]
fn only_workers_that_take_requests_of_the_service_are_chosen() {
    let caller = Caller::new();
    let mut leaving = worker("a", "z", None);
    leaving.state = WorkerState::Draining;
    let mut other_service = worker("b", "z", None);
    other_service.service = ServiceName::new("t");
    let directory = directory(vec![leaving, other_service, worker("c", "far", None)]);
    assert_eq!(caller.choose(&directory, &[], &Need::Run), Some("c".into()));
    let demand = Demand {
        avoid: &[WorkerId::from("c")],
        ..caller.demand(&[])
    };
    let none = directory.select(NOW, demand, &Need::Run);
    assert!(none.is_none());
}

#[test]
fn workers_in_the_zone_of_the_gateway_are_preferred_until_they_fail() {
    let caller = Caller::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    assert_eq!(
        caller.choose(&directory, &[], &Need::Run),
        Some("near".into())
    );
    for _ in 0..6 {
        let ticket = begin_send(&mut directory, "near", &[], &Need::Run);
        directory.end_send(NOW, &ticket, &[], SendResult::Failed);
    }
    assert_eq!(
        caller.choose(&directory, &[], &Need::Run),
        Some("far".into())
    );
}

#[test]
fn a_worker_that_refuses_is_paused_unless_there_is_no_other() {
    let caller = Caller::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let ticket = begin_send(&mut directory, "near", &[], &Need::Run);
    directory.end_send(NOW, &ticket, &[], SendResult::Refused);
    assert_eq!(
        caller.choose(&directory, &[], &Need::Run),
        Some("far".into())
    );
    directory.announce(vec![worker("near", "z", None)]);
    assert_eq!(
        caller.choose(&directory, &[], &Need::Run),
        Some("near".into())
    );
}

#[test]
fn a_long_prompt_is_read_by_a_prefill_engine_and_a_cached_one_is_not() {
    let caller = Caller::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let long = prompt("doc", 15_000);
    assert!(reads_apart(&mut directory, &long));
    assert_eq!(
        caller.choose(&directory, &long, &Need::ReadPrompt),
        Some("reader".into())
    );
    assert_eq!(
        caller.choose(&directory, &long, &Need::Run),
        Some("decoder".into())
    );
    read_prompt(&mut directory, "decoder", &long);
    assert!(!reads_apart(&mut directory, &long));
}

#[test]
fn the_prefill_engine_that_caches_a_part_reads_the_next_prompt_with_it() {
    let caller = Caller::new();
    let readers = ["a", "b", "c", "d"].map(|id| worker(id, "z", Some(Role::Prefill)));
    let mut directory = directory(readers.to_vec());
    let long = prompt("doc", 15_000);
    for holder in ["a", "b", "c", "d"] {
        let mut directory = Directory::new(GatewayKey(1));
        directory.announce(readers.to_vec());
        read_prompt(&mut directory, holder, &long);
        let chosen = caller.choose(&directory, &long, &Need::ReadPrompt);
        assert_eq!(chosen.as_deref(), Some(holder));
    }
    // The part is fetched from a holder that is busy.
    read_prompt(&mut directory, "a", &long);
    let busy = prompt("other", 60_000);
    begin_send(&mut directory, "a", &busy, &Need::ReadPrompt);
    let chosen = caller
        .choose(&directory, &long, &Need::ReadPrompt)
        .expect("a reader");
    assert_ne!(chosen, "a");
    let ticket = begin_send(&mut directory, &chosen, &long, &Need::ReadPrompt);
    assert!(ticket.fetch_from().is_some());
    assert!(ticket.reading_tokens() < 15_000);
}

#[test]
fn load_reported_by_other_gateways_counts_until_it_is_stale() {
    let caller = Caller::new();
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
            load: Load::all_urgent(1, reading_tokens),
        }],
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: Vec::new(),
        shares: None,
        tenants: Vec::new(),
    };
    directory.receive_report(NOW, &report(2, 40_000));
    assert_eq!(
        caller.choose(&directory, &long, &Need::ReadPrompt),
        Some("b".into())
    );
    // An older report has no effect.
    directory.receive_report(NOW, &report(1, 0));
    assert_eq!(
        caller.choose(&directory, &long, &Need::ReadPrompt),
        Some("b".into())
    );
    directory.report_due(NOW + Duration::from_secs(2));
    assert_eq!(
        caller.choose(&directory, &long, &Need::ReadPrompt),
        Some("a".into())
    );
}

#[test]
fn a_prompt_that_would_wait_too_long_is_refused_but_not_for_its_own_length() {
    let caller = Caller::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let huge = prompt("huge", 90_000);
    let taken = directory.admit(NOW, caller.demand(&huge), OBJECTIVES);
    assert!(matches!(taken, Admission::Admitted { .. }));
    begin_send(&mut directory, "reader", &huge, &Need::ReadPrompt);
    begin_send(
        &mut directory,
        "decoder",
        &prompt("second", 90_000),
        &Need::Run,
    );
    let next = prompt("doc", 15_000);
    let refused = directory.admit(NOW, caller.demand(&next), OBJECTIVES);
    assert!(matches!(refused, Admission::Refused { retry_after, .. } if !retry_after.is_zero()));
    let without_prompt = directory.admit(NOW, caller.demand(&[]), OBJECTIVES);
    assert!(matches!(without_prompt, Admission::Admitted { .. }));
}

/// Guards against refusing prompts while decode engines have most of their slots free.
#[test]
fn a_prompt_no_prefill_engine_has_time_for_is_read_by_a_decode_engine_within_its_pause_limit() {
    let caller = Caller::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let busy = prompt("busy", 4_000);
    begin_send(&mut directory, "reader", &busy, &Need::ReadPrompt);
    for _ in 0..6 {
        begin_send(&mut directory, "decoder", &[], &Need::Run);
    }
    let strict = Objectives {
        latency: Duration::from_millis(200),
        ..OBJECTIVES
    };
    let part = [PromptPart {
        id: "short".into(),
        tokens: 700,
    }];
    let taken = directory.admit(NOW, caller.demand(&part), strict);
    assert!(matches!(
        taken,
        Admission::Admitted {
            read_apart: false,
            ..
        }
    ));
    let streams_without_bound = Objectives {
        pause: None,
        ..strict
    };
    let refused = directory.admit(NOW, caller.demand(&part), streams_without_bound);
    assert!(matches!(refused, Admission::Refused { .. }));
    let long = prompt("doc", 15_000);
    let refused = directory.admit(NOW, caller.demand(&long), strict);
    assert!(matches!(refused, Admission::Refused { .. }));
}

/// Guards against callers that retry at the time they were given and are refused again.
#[test]
fn refused_callers_are_told_to_retry_later_as_demand_grows() {
    let caller = Caller::new();
    let mut directory = directory(vec![
        worker("reader", "z", Some(Role::Prefill)),
        worker("decoder", "z", Some(Role::Decode)),
    ]);
    let huge = prompt("huge", 30_000);
    begin_send(&mut directory, "reader", &huge, &Need::ReadPrompt);
    begin_send(&mut directory, "decoder", &huge, &Need::Run);
    let next = prompt("doc", 15_000);
    let mut retry_times = Vec::new();
    for number in 0..12 {
        let demand = Demand {
            draw: u64::MAX / 2,
            ..caller.demand(&next)
        };
        let now = NOW + Duration::from_millis(10 * number);
        match directory.admit(now, demand, OBJECTIVES) {
            Admission::Refused { retry_after, .. } => retry_times.push(retry_after),
            Admission::Admitted { .. } => panic!("the queue is too long"),
        }
    }
    let latest = OBJECTIVES.time_left - OBJECTIVES.latency;
    assert!(retry_times[0] < retry_times[11], "{retry_times:?}");
    assert!(
        retry_times.iter().all(|after| *after <= latest),
        "{retry_times:?}"
    );
}

#[test]
fn an_engine_whose_role_is_to_change_gets_no_new_work() {
    let caller = Caller::new();
    let engines = ["a", "b"].map(|id| worker(id, "z", Some(Role::Decode)));
    let mut directory = directory(engines.to_vec());
    directory.set_desired_roles(HashMap::from([("a".to_owned(), Role::Prefill)]));
    assert_eq!(caller.choose(&directory, &[], &Need::Run), Some("b".into()));
    let mut changed = engines.to_vec();
    changed[0].role = Some(Role::Prefill);
    directory.announce(changed);
    let long = prompt("doc", 15_000);
    assert_eq!(
        caller.choose(&directory, &long, &Need::ReadPrompt),
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
    #![proptest_config(config_with_seed(SEED))]

    /// Whatever the order in which sends begin and end and workers are announced and withdrawn, no
    /// load remains once all sends have ended.
    #[test]
    fn load_returns_to_zero_after_all_sends_end(steps in prop::collection::vec(step(), 0..80)) {
        let all: Vec<Worker> =
            (0..4).map(|n| worker(&format!("w{n}"), "z", Some(Role::Prefill))).collect();
        let caller = Caller::new();
        let mut directory = directory(all.clone());
        let mut open = Vec::new();
        for step in steps {
            match step {
                Step::Begin(number, tokens) => {
                    let prompt = prompt(&format!("p{tokens}"), tokens);
                    let id = WorkerId::from(format!("w{number}").as_str());
                    let demand = caller.demand(&prompt);
                    let ticket = directory.begin_send(NOW, &id, demand, &Need::ReadPrompt);
                    open.push((ticket, prompt));
                }
                Step::Read(index) if !open.is_empty() => {
                    let index = index % open.len();
                    let (ticket, prompt) = &mut open[index];
                    directory.record_prompt_read(NOW, ticket, prompt, Duration::from_millis(9));
                }
                Step::End(index) if !open.is_empty() => {
                    let (ticket, prompt) = open.swap_remove(index % open.len());
                    directory.end_send(NOW, &ticket, &prompt, SendResult::Failed);
                }
                Step::Announce(count) => directory.announce(all[..count.min(4)].to_vec()),
                Step::Read(_) | Step::End(_) => {}
            }
        }
        for (ticket, prompt) in open {
            directory.end_send(NOW, &ticket, &prompt, SendResult::Failed);
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

/// Guards against sends to engines that have crashed and were replaced by new ones: each gateway
/// sent to the former ones until the store had removed their entries.
#[test]
fn a_worker_found_absent_is_passed_over_by_all_gateways_until_its_entry_changes() {
    let caller = Caller::new();
    let mut finder = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let mut informed = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let ticket = begin_send(&mut finder, "near", &[], &Need::Run);
    finder.end_send(NOW, &ticket, &[], SendResult::Absent);
    let mut report = finder.report_due(NOW).expect("a report");
    report.sender = GatewayKey(2);
    informed.receive_report(NOW, &report);
    for directory in [&mut finder, &mut informed] {
        let chosen = caller.choose(directory, &[], &Need::Run);
        assert_eq!(chosen, Some("far".into()));
        let mut changed = worker("near", "z", None);
        changed.slots += 1;
        directory.announce(vec![changed, worker("far", "y", None)]);
        let chosen = caller.choose(directory, &[], &Need::Run);
        assert_eq!(chosen, Some("near".into()));
    }
}

/// The failure: gateways that were separated from all workers told the others that these were absent.
#[test]
fn a_refused_connection_is_not_told_to_other_gateways_before_the_end_of_the_worker_is_known() {
    let caller = Caller::new();
    let mut finder = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let mut informed = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    let ticket = begin_send(&mut finder, "near", &[], &Need::Run);
    finder.end_send(NOW, &ticket, &[], SendResult::ConnectionRefused);
    assert_eq!(finder.report_due(NOW), None);
    let chosen = caller.choose(&finder, &[], &Need::Run);
    assert_eq!(chosen, Some("far".into()), "this gateway avoids it");
    finder.record_absence(NOW, &"near".into());
    let mut report = finder.report_due(NOW).expect("a report");
    report.sender = GatewayKey(2);
    informed.receive_report(NOW, &report);
    let chosen = caller.choose(&informed, &[], &Need::Run);
    assert_eq!(chosen, Some("far".into()));
}

#[test]
fn a_worker_that_is_absent_is_still_tried_if_there_is_no_other() {
    let caller = Caller::new();
    let mut directory = directory(vec![worker("only", "z", None)]);
    let ticket = begin_send(&mut directory, "only", &[], &Need::Run);
    directory.end_send(NOW, &ticket, &[], SendResult::Absent);
    let chosen = caller.choose(&directory, &[], &Need::Run);
    assert_eq!(chosen, Some("only".into()));
}

/// A decode engine whose slots are all occupied is worse than one with a free slot.
#[test]
fn a_full_engine_is_passed_over_for_one_with_a_free_slot() {
    let caller = Caller::new();
    let role = Some(Role::Decode);
    let mut directory = directory(vec![worker("near", "z", role), worker("far", "y", role)]);
    let prompt = prompt("shared", 100);
    let mut ticket = begin_send(&mut directory, "near", &prompt, &Need::Run);
    directory.record_prompt_read(NOW, &mut ticket, &prompt, Duration::from_millis(50));
    let later = NOW + Duration::from_millis(800);
    let latency = Duration::from_millis(50);
    directory.end_send(later, &ticket, &prompt, SendResult::Answered { latency });
    let reader = WorkerId::from("p");
    let need = Need::Continue { reader };
    let before = caller.choose(&directory, &prompt, &need);
    assert_eq!(before, Some("near".into()));
    for _ in 0..8 {
        begin_send(&mut directory, "near", &[], &Need::Run);
    }
    let after = caller.choose(&directory, &prompt, &need);
    assert_eq!(after, Some("far".into()));
}

/// Guards against refusing prompts of the most urgent rank because streams of a lower rank hold all
/// slots.
#[test]
fn the_last_slots_are_left_to_more_urgent_requests() {
    let caller = Caller::new();
    let mut engine = worker("only", "z", Some(Role::Decode));
    engine.slots = 20;
    let mut directory = directory(vec![engine]);
    let part = [PromptPart {
        id: "short".into(),
        tokens: 100,
    }];
    let mut ticket = begin_send(&mut directory, "only", &part, &Need::Run);
    let latency = Duration::from_millis(50);
    directory.record_prompt_read(NOW, &mut ticket, &part, latency);
    let later = NOW + Duration::from_secs(9);
    directory.end_send(later, &ticket, &part, SendResult::Answered { latency });
    for _ in 0..19 {
        begin_send(&mut directory, "only", &[], &Need::Run);
    }
    let urgent = caller.demand(&part);
    let yielding = Demand {
        yields: true,
        ..urgent
    };
    let taken = directory.admit(NOW, urgent, OBJECTIVES);
    assert!(matches!(taken, Admission::Admitted { .. }));
    let refused = directory.admit(NOW, yielding, OBJECTIVES);
    assert!(matches!(refused, Admission::Refused { .. }));
}

/// Guards against never choosing a worker again after it failed for some seconds: only its own
/// successes raised its success rate.
#[test]
fn a_worker_that_failed_is_used_again_after_some_minutes() {
    let caller = Caller::new();
    let mut directory = directory(vec![worker("near", "z", None), worker("far", "y", None)]);
    for _ in 0..40 {
        let ticket = begin_send(&mut directory, "near", &[], &Need::Run);
        directory.end_send(NOW, &ticket, &[], SendResult::Failed);
    }
    let choose = |at: Timestamp| {
        let chosen = directory.select(at, caller.demand(&[]), &Need::Run);
        chosen.map(|worker| worker.id.to_string())
    };
    assert_eq!(choose(NOW), Some("far".into()));
    assert_eq!(choose(NOW + Duration::from_secs(300)), Some("near".into()));
}

#[test]
fn a_worker_that_refuses_again_and_again_is_passed_over_for_longer() {
    let caller = Caller::new();
    let mut directory = directory(vec![worker("a", "z", None), worker("b", "far", None)]);
    let chosen_at = |directory: &Directory, now: Timestamp| {
        let worker = directory.select(now, caller.demand(&[]), &Need::Run);
        worker.map(|worker| worker.id.to_string())
    };
    let refuse = |directory: &mut Directory, now: Timestamp| {
        let id = WorkerId::from("a");
        let ticket = directory.begin_send(now, &id, caller.demand(&[]), &Need::Run);
        directory.end_send(now, &ticket, &[], SendResult::Refused);
    };
    refuse(&mut directory, NOW);
    // A refusal of a request that was in progress together with the first does not lengthen the
    // pause.
    refuse(&mut directory, NOW);
    let later = NOW + Duration::from_millis(120);
    assert_eq!(chosen_at(&directory, later), Some("a".into()));
    refuse(&mut directory, later);
    let soon = later + Duration::from_millis(120);
    assert_eq!(chosen_at(&directory, soon), Some("b".into()));
    let long_after = later + Duration::from_millis(220);
    assert_eq!(chosen_at(&directory, long_after), Some("a".into()));
}

/// Sends six requests at once, each answered after `latency`; returns how many of them a worker
/// gets.
fn send_six_at_once(directory: &mut Directory, latency: Duration, counted_worker: &str) -> usize {
    let caller = Caller::new();
    let tickets = [(); 6].map(|()| {
        let id = caller.choose(directory, &[], &Need::Run).expect("a worker");
        begin_send(directory, &id, &[], &Need::Run)
    });
    for ticket in &tickets {
        let result = SendResult::Answered { latency };
        directory.end_send(NOW, ticket, &[], result);
    }
    let received = tickets
        .iter()
        .filter(|ticket| ticket.worker().as_str() == counted_worker);
    received.count()
}

#[test]
fn a_new_worker_is_used_alongside_fast_ones() {
    for latency_ms in [2, 30, 300] {
        let latency = Duration::from_millis(latency_ms);
        let mut directory = directory(vec![worker("a", "z", None), worker("b", "z", None)]);
        for _ in 0..60 {
            send_six_at_once(&mut directory, latency, "a");
        }
        directory.announce_one(worker("c", "z", None));
        let rounds = (0..60).map(|_| send_six_at_once(&mut directory, latency, "c"));
        let received: usize = rounds.sum();
        assert!(received >= 90, "{received} of 360 at {latency_ms} ms");
    }
}
