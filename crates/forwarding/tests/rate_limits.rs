//! Rate limits of workers: all gateways together stay below them, they end when they are named no more, and keeping to
//! them costs the same in fleets of any size.

mod sample;

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Directory, FirstAvailable, GatewayKey, LimitSharers, LimitStatement,
    LoadReport, Need, Objectives, PlacementAnswer, PlacementBook, PlacementLedger, PlacementNeed,
    PlacementRequest, RateLimit, RateToken, RefusalCause, StatedLimit, Unavailable, WorkerId,
    WorkerKey, WorkerNotice,
};

use sample::ready_worker;

const START: Timestamp = Timestamp::from_millis(100_000);
const STEP: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(4);
/// Longer than any statement is kept that is not repeated.
const LONG: Duration = Duration::from_secs(120);
/// Longer than gateways wait before they repeat what they were told.
const REPEATED: Duration = Duration::from_secs(6);
const SCHEDULER: &str = "scheduler";

fn limit(requests_per_second: f64) -> RateLimit {
    RateLimit::from_requests_per_second(requests_per_second).expect("a rate")
}

/// Requests that may reach a worker in [`SPAN`].
fn allowed(limit: RateLimit) -> usize {
    let in_span = limit.requests_per_second() * SPAN.as_secs_f64();
    (in_span * 1.5) as usize + 5
}

fn names(limit: RateLimit) -> WorkerNotice {
    WorkerNotice {
        rate_limit: Some(limit),
        ..WorkerNotice::default()
    }
}

fn directory_of(gateway: u64, workers: &[&str]) -> Directory {
    let mut directory = Directory::new(GatewayKey(gateway));
    directory.announce(workers.iter().map(|id| ready_worker(id)).collect());
    directory
}

/// The directory of the only gateway there is.
fn alone(workers: &[&str]) -> Directory {
    let mut directory = directory_of(1, workers);
    directory.set_limit_sharers(LimitSharers::new("gateway", ["gateway"]));
    directory
}

/// Gateways that share limits.
struct Fleet {
    gateways: Vec<Directory>,
}

impl Fleet {
    /// So many gateways that all know each other, before one worker.
    fn new(size: usize) -> Self {
        Self::with_views(size, |_| size)
    }

    /// Gateways of which each knows the first so many, and itself.
    fn with_views(size: usize, known: impl Fn(usize) -> usize) -> Self {
        let names: Vec<String> = (0..size)
            .map(|number| format!("gateway-{number}"))
            .collect();
        let gateways = (0..size).map(|own| {
            let others = names[..known(own)].iter().map(String::as_str);
            let sharing = others.filter(|name| *name != names[own]);
            let sharing = sharing.chain([names[own].as_str()]);
            let mut directory = directory_of(own as u64, &["a"]);
            directory.set_limit_sharers(LimitSharers::new(&names[own], sharing));
            directory
        });
        Self {
            gateways: gateways.collect(),
        }
    }

    fn name_limit(&mut self, limit: RateLimit) {
        for gateway in &mut self.gateways {
            gateway.take_notice(START, &WorkerId::from("a"), names(limit));
        }
    }

    /// All gateways send all that they may from `from` on, for so long; returns when each request was sent.
    fn send_all(&mut self, from: Timestamp, duration: Duration) -> Vec<Timestamp> {
        let mut sent = Vec::new();
        let mut now = from;
        while now < from + duration {
            for gateway in &mut self.gateways {
                while gateway.take_rate_token(now, &WorkerId::from("a")) == RateToken::Taken {
                    sent.push(now);
                }
            }
            now = now + STEP;
        }
        sent
    }
}

fn most_in_span(sent: &[Timestamp]) -> usize {
    let end = |first: &Timestamp| sent.partition_point(|at| *at < *first + SPAN);
    let in_span = sent
        .iter()
        .enumerate()
        .map(|(index, first)| end(first) - index);
    in_span.max().unwrap_or(0)
}

// Guards against parts of a limit that add up to more than the limit as the fleet grows.
#[test]
fn gateways_together_stay_below_a_limit_whatever_the_size_of_the_fleet() {
    for size in [1, 3, 9, 12, 40, 200] {
        for rate in [0.0, 0.3, 1.0, 6.3, 25.0, 300.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::new(size);
            fleet.name_limit(limit);
            let duration = Duration::from_secs(30);
            let sent = fleet.send_all(START, duration);
            let most = most_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                most <= bound,
                "{size} gateways, {rate}: {most}, {bound} allowed"
            );
            let expected = rate * duration.as_secs_f64();
            let used = sent.len() as f64 + 3.0;
            assert!(
                used >= expected * 0.8,
                "{size} gateways, {rate}: {used} of {expected}"
            );
        }
    }
}

// Guards against tokens that are saved up in quiet times and spent by all gateways at once.
#[test]
fn after_a_quiet_time_gateways_together_stay_below_a_limit() {
    for size in [1, 9, 40, 200] {
        for rate in [0.3, 1.0, 6.3, 25.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::new(size);
            fleet.name_limit(limit);
            let sent = fleet.send_all(START + LONG / 4, Duration::from_secs(8));
            let most = most_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                most <= bound,
                "{size} gateways, {rate}: {most}, {bound} allowed"
            );
        }
    }
}

// Guards against a limit that holds only while all gateways agree who they are.
#[test]
fn gateways_that_know_different_fleets_stay_below_a_limit_together() {
    for size in [4, 12, 40] {
        for rate in [1.0, 6.3, 25.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::with_views(size, |own| size - own % 2);
            fleet.name_limit(limit);
            let sent = fleet.send_all(START, Duration::from_secs(20));
            let most = most_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                most <= bound,
                "{size} gateways, {rate}: {most}, {bound} allowed"
            );
        }
    }
}

fn demand<'a>(service: &'a ServiceName, zone: &'a ZoneName) -> Demand<'a> {
    Demand {
        service,
        prompt: &[],
        route: "route",
        yields: false,
        tenant: None,
        zone,
        avoid: &[],
        draw: 1,
    }
}

fn objectives() -> Objectives {
    Objectives {
        latency: Duration::from_millis(500),
        pause: None,
        time_left: Duration::from_secs(3),
    }
}

// Guards against workers that are chosen although this gateway may not send to them.
#[test]
fn a_worker_at_its_limit_is_not_chosen_and_if_all_are_callers_are_refused_at_once() {
    let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
    let demand = demand(&service, &zone);
    let mut directory = alone(&["a", "b"]);
    let chosen = |directory: &Directory, now| {
        let chosen = directory.select(now, demand, &Need::Run);
        chosen.map(|worker| worker.id.as_str().to_owned())
    };
    let (a, b) = (WorkerId::from("a"), WorkerId::from("b"));
    directory.take_notice(START, &a, names(limit(2.0)));
    assert_eq!(chosen(&directory, START), Some("b".into()));
    assert_eq!(directory.first_available(START, &service, &Need::Run), None);

    directory.take_notice(START, &b, names(limit(1.0)));
    assert_eq!(chosen(&directory, START), None);
    let half = Duration::from_millis(500);
    let first = FirstAvailable {
        after: half,
        until_then: Unavailable::RateLimited,
    };
    let known = directory.first_available(START, &service, &Need::Run);
    assert_eq!(known, Some(first));
    let refused = Admission::Refused {
        cause: RefusalCause::RateLimit,
        waiting: half,
        retry_after: half,
    };
    assert_eq!(directory.admit(START, demand, objectives()), refused);

    let later = START + half;
    assert_eq!(chosen(&directory, later), Some("a".into()));
    assert_eq!(directory.take_rate_token(later, &a), RateToken::Taken);
    assert_eq!(directory.take_rate_token(later, &a), RateToken::Missing);
    assert_eq!(chosen(&directory, later), None);
    directory.give_back_rate_token(later, &a);
    assert_eq!(chosen(&directory, later), Some("a".into()));
}

// Guards against answers that passed each other on different connections.
#[test]
fn an_answer_without_a_limit_ends_it_only_if_it_is_to_a_later_request() {
    let mut directory = alone(&["a"]);
    let a = WorkerId::from("a");
    let sent_before = START;
    let named = START + STEP;
    let now = named + STEP;
    directory.take_notice(named, &a, names(limit(2.0)));
    assert!(!directory.rate_limit_not_named(now, &a, sent_before));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    assert!(directory.rate_limit_not_named(now, &a, named + STEP));
    assert_eq!(directory.rate_limit_of(&a), None);
    assert_eq!(directory.take_rate_token(now, &a), RateToken::Unlimited);
}

// Guards against a limit that outlives the life of the worker that named it.
#[test]
fn another_life_of_a_worker_is_not_bound_by_its_limit() {
    let mut directory = alone(&[]);
    let life = |born| WorkerId::of_life("a", Some(born));
    directory.take_notice(START, &life(1), names(limit(2.0)));
    assert_eq!(directory.rate_limit_of(&life(1)), Some(limit(2.0)));
    assert_eq!(directory.rate_limit_of(&life(2)), None);
}

fn report(sender: u64, sequence: u64, statement: LimitStatement) -> LoadReport {
    LoadReport {
        sender: GatewayKey(sender),
        sequence,
        loads: Vec::new(),
        parts: Vec::new(),
        absences: Vec::new(),
        demands: Vec::new(),
        rate_limits: vec![statement],
    }
}

// Guards against older statements of other gateways that bring back a limit, or end one.
#[test]
fn of_what_gateways_tell_of_a_limit_the_newest_counts() {
    let mut directory = alone(&["a"]);
    let a = WorkerId::from("a");
    let told = |limit, age| LimitStatement {
        worker: WorkerKey::of(&a),
        stated: StatedLimit { limit, age },
    };
    let now = START + LONG;
    directory.hear(now, &report(2, 1, told(Some(limit(2.0)), STEP)));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    directory.hear(now, &report(3, 1, told(None, STEP * 2)));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    directory.hear(now, &report(3, 2, told(None, Duration::ZERO)));
    assert_eq!(directory.rate_limit_of(&a), None);
    directory.hear(now + STEP, &report(2, 2, told(Some(limit(2.0)), STEP * 2)));
    assert_eq!(directory.rate_limit_of(&a), None);
}

// Guards against gateways without a part of a limit that never learn that it has ended.
#[test]
fn gateways_tell_each_other_of_limits_and_of_their_end() {
    let a = WorkerId::from("a");
    let mut teller = alone(&["a"]);
    let mut listener = directory_of(2, &["a"]);
    let mut tell = |teller: &mut Directory, now| {
        let report = teller.report_due(now);
        if let Some(report) = &report {
            listener.hear(now, report);
        }
        (report.is_some(), listener.rate_limit_of(&a))
    };
    teller.report_due(START);
    teller.take_notice(START, &a, names(limit(2.0)));
    assert_eq!(tell(&mut teller, START), (true, Some(limit(2.0))));
    let soon = START + STEP;
    teller.take_notice(soon, &a, names(limit(2.1)));
    assert_eq!(tell(&mut teller, soon), (false, Some(limit(2.0))));
    let later = START + REPEATED;
    assert_eq!(tell(&mut teller, later), (true, Some(limit(2.1))));
    assert!(teller.rate_limit_not_named(later + STEP, &a, later));
    assert_eq!(tell(&mut teller, later + STEP), (true, None));
}

// Guards against memory and reports that grow with all workers that ever named a limit.
#[test]
fn limits_are_kept_while_they_are_of_use_and_told_a_few_at_a_time() {
    for fleet in [20, 2_000] {
        let ids: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut directory = alone(&ids);
        for id in &ids {
            directory.take_notice(START, &WorkerId::from(*id), names(limit(2.0)));
        }
        let report = directory.report_due(START).expect("a report");
        assert_eq!(report.rate_limits.len(), fleet.min(64));
        directory.expire_notices(START + STEP);
        assert_eq!(directory.kept_rate_limits(), fleet);
        directory.expire_notices(START + LONG);
        assert_eq!(directory.kept_rate_limits(), 0);
    }
}

/// Requests that a scheduler places on a worker at its limit, of one from each of so many gateways.
fn placed(gateways: u64) -> Vec<PlacementAnswer> {
    let mut directory = alone(&["a"]);
    directory.take_notice(START, &WorkerId::from("a"), names(limit(6.0)));
    let mut ledger = PlacementLedger::default();
    let zone = ZoneName::new("z");
    let now = START + SPAN;
    let answers = (0..gateways).map(|number| {
        let mut book = PlacementBook::new(GatewayKey(10 + number));
        let request = PlacementRequest {
            id: book.next_id(),
            service: ServiceName::new("s"),
            route: "route".into(),
            prompt: Vec::new(),
            tenant: None,
            yields: false,
            objectives: objectives(),
            draw: number,
            need: PlacementNeed::Worker { need: Need::Run },
            avoid: Vec::new(),
        };
        let question = book.ask(SCHEDULER, request);
        let answer = ledger.take(now, &mut directory, &zone, question);
        answer.expect("an answer")
    });
    answers.collect()
}

// Guards against schedulers whose placements grow with the gateways that ask them.
#[test]
fn a_scheduler_places_within_a_limit_however_many_gateways_ask_it() {
    for gateways in [20, 2_000] {
        let answers = placed(gateways);
        let has_token = |answer: &&PlacementAnswer| match answer {
            PlacementAnswer::Placed(placement) => placement.has_rate_token,
            _ => false,
        };
        let refused = |answer: &&PlacementAnswer| {
            let cause = RefusalCause::RateLimit;
            matches!(answer, PlacementAnswer::Refused { cause: told, .. } if *told == cause)
        };
        assert_eq!(answers.iter().filter(has_token).count(), 6);
        let others = gateways as usize - 6;
        assert_eq!(answers.iter().filter(refused).count(), others);
    }
}
