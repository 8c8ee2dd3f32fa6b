//! Rate limits of workers: all gateways together stay below a limit, a limit ends when the worker no longer states it,
//! and the cost of enforcing it does not depend on the size of the fleet.

mod sample;

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Directory, FirstAvailable, GatewayKey, GrantedPlacements, LimitSharers,
    LimitStatement, LoadReport, Need, Objectives, PlacementAnswer, PlacementNeed, PlacementRequest,
    RateLimit, RateToken, RefusalCause, RequestedPlacements, StatedLimit, Unavailable, WorkerId,
    WorkerKey, WorkerNotice,
};

use sample::ready_worker;

const START: Timestamp = Timestamp::from_millis(100_000);
const STEP: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(4);
/// Longer than a stated limit is kept if it is not repeated.
const AFTER_EXPIRY: Duration = Duration::from_secs(120);
/// Longer than the interval at which gateways repeat reported limits.
const AFTER_REPETITION: Duration = Duration::from_secs(6);
const SCHEDULER: &str = "scheduler";

fn limit(requests_per_second: f64) -> RateLimit {
    RateLimit::from_requests_per_second(requests_per_second).expect("a rate")
}

/// The number of requests that may reach a worker within [`SPAN`].
fn allowed(limit: RateLimit) -> usize {
    let in_span = limit.requests_per_second() * SPAN.as_secs_f64();
    (in_span * 1.5) as usize + 5
}

fn limit_notice(limit: RateLimit) -> WorkerNotice {
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

/// The directory of a gateway that is alone in the fleet.
fn alone(workers: &[&str]) -> Directory {
    let mut directory = directory_of(1, workers);
    directory.set_limit_sharers(LimitSharers::new("gateway", ["gateway"]));
    directory
}

/// Gateways that divide limits among each other.
struct Fleet {
    gateways: Vec<Directory>,
}

impl Fleet {
    /// Creates `size` gateways that all know each other and one worker.
    fn new(size: usize) -> Self {
        Self::with_views(size, |_| size)
    }

    /// Creates `size` gateways. The gateway with index `own` knows the first `known(own)` gateways and itself.
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

    fn state_limit(&mut self, limit: RateLimit) {
        for gateway in &mut self.gateways {
            gateway.apply_notice(START, &WorkerId::from("a"), limit_notice(limit));
        }
    }

    /// All gateways send as many requests as they may for `duration`. Returns the time of each request.
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

fn max_in_span(sent: &[Timestamp]) -> usize {
    let end = |first: &Timestamp| sent.partition_point(|at| *at < *first + SPAN);
    let in_span = sent
        .iter()
        .enumerate()
        .map(|(index, first)| end(first) - index);
    in_span.max().unwrap_or(0)
}

// Guards against shares whose sum exceeds the limit as the fleet grows.
#[test]
fn gateways_together_stay_below_a_limit_in_fleets_of_any_size() {
    for size in [1, 3, 9, 12, 40, 200] {
        for rate in [0.0, 0.3, 1.0, 6.3, 25.0, 300.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::new(size);
            fleet.state_limit(limit);
            let duration = Duration::from_secs(30);
            let sent = fleet.send_all(START, duration);
            let max_sent = max_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                max_sent <= bound,
                "{size} gateways, {rate}: {max_sent}, {bound} allowed"
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

// Guards against tokens that accumulate while no requests are sent and are then used by all gateways at once.
#[test]
fn after_an_idle_time_gateways_together_stay_below_a_limit() {
    for size in [1, 9, 40, 200] {
        for rate in [0.3, 1.0, 6.3, 25.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::new(size);
            fleet.state_limit(limit);
            let sent = fleet.send_all(START + AFTER_EXPIRY / 4, Duration::from_secs(8));
            let max_sent = max_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                max_sent <= bound,
                "{size} gateways, {rate}: {max_sent}, {bound} allowed"
            );
        }
    }
}

// Guards against a limit that is kept only while all gateways know the same fleet.
#[test]
fn gateways_that_know_different_fleets_stay_below_a_limit_together() {
    for size in [4, 12, 40] {
        for rate in [1.0, 6.3, 25.0] {
            let limit = limit(rate);
            let mut fleet = Fleet::with_views(size, |own| size - own % 2);
            fleet.state_limit(limit);
            let sent = fleet.send_all(START, Duration::from_secs(20));
            let max_sent = max_in_span(&sent);
            let bound = allowed(limit);
            assert!(
                max_sent <= bound,
                "{size} gateways, {rate}: {max_sent}, {bound} allowed"
            );
        }
    }
}

fn demand<'a>(service: &'a ServiceName, zone: &'a ZoneName) -> Demand<'a> {
    Demand {
        version: None,
        service,
        prompt: &[],
        route: "route",
        yields: false,
        pause: None,
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

// Guards against the selection of workers to which this gateway has no token to send.
#[test]
fn a_worker_at_its_limit_is_not_selected_and_if_all_are_requests_are_refused_immediately() {
    let (service, zone) = (ServiceName::new("s"), ZoneName::new("z"));
    let demand = demand(&service, &zone);
    let mut directory = alone(&["a", "b"]);
    let chosen = |directory: &Directory, now| {
        let chosen = directory.select(now, demand, &Need::Run);
        chosen.map(|worker| worker.id.as_str().to_owned())
    };
    let (a, b) = (WorkerId::from("a"), WorkerId::from("b"));
    directory.apply_notice(START, &a, limit_notice(limit(2.0)));
    assert_eq!(chosen(&directory, START), Some("b".into()));
    assert_eq!(directory.first_available(START, &service, &Need::Run), None);

    directory.apply_notice(START, &b, limit_notice(limit(1.0)));
    assert_eq!(chosen(&directory, START), None);
    let half = Duration::from_millis(500);
    let first = FirstAvailable {
        after: half,
        blocked_by: Unavailable::RateLimited,
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
    directory.return_rate_token(later, &a);
    assert_eq!(chosen(&directory, later), Some("a".into()));
}

// Guards against answers that arrive out of order on different connections: an older answer without a limit must not
// end a limit that a newer answer stated.
#[test]
fn an_answer_without_a_limit_ends_the_limit_only_if_its_request_was_sent_later() {
    let mut directory = alone(&["a"]);
    let a = WorkerId::from("a");
    let sent_earlier = START;
    let stated_at = START + STEP;
    let now = stated_at + STEP;
    directory.apply_notice(stated_at, &a, limit_notice(limit(2.0)));
    assert!(!directory.record_no_rate_limit(now, &a, sent_earlier));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    assert!(directory.record_no_rate_limit(now, &a, stated_at + STEP));
    assert_eq!(directory.rate_limit_of(&a), None);
    assert_eq!(directory.take_rate_token(now, &a), RateToken::Unlimited);
}

// Guards against a limit that is applied to a later incarnation of the worker that stated it.
#[test]
fn a_limit_does_not_apply_to_another_incarnation_of_the_worker() {
    let mut directory = alone(&[]);
    let incarnation = |started_at| WorkerId::of_incarnation("a", Some(started_at));
    directory.apply_notice(START, &incarnation(1), limit_notice(limit(2.0)));
    assert_eq!(directory.rate_limit_of(&incarnation(1)), Some(limit(2.0)));
    assert_eq!(directory.rate_limit_of(&incarnation(2)), None);
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
        shares: None,
        tenants: Vec::new(),
    }
}

// Guards against older reports of other gateways that restore an ended limit or end a current one.
#[test]
fn the_newest_report_of_a_limit_applies() {
    let mut directory = alone(&["a"]);
    let a = WorkerId::from("a");
    let statement = |limit, age| LimitStatement {
        worker: WorkerKey::of(&a),
        stated: StatedLimit { limit, age },
    };
    let now = START + AFTER_EXPIRY;
    directory.receive_report(now, &report(2, 1, statement(Some(limit(2.0)), STEP)));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    directory.receive_report(now, &report(3, 1, statement(None, STEP * 2)));
    assert_eq!(directory.rate_limit_of(&a), Some(limit(2.0)));
    directory.receive_report(now, &report(3, 2, statement(None, Duration::ZERO)));
    assert_eq!(directory.rate_limit_of(&a), None);
    directory.receive_report(
        now + STEP,
        &report(2, 2, statement(Some(limit(2.0)), STEP * 2)),
    );
    assert_eq!(directory.rate_limit_of(&a), None);
}

// Guards against gateways without a share of a limit that never learn that the limit has ended.
#[test]
fn gateways_report_limits_and_their_end_to_each_other() {
    let a = WorkerId::from("a");
    let mut sender = alone(&["a"]);
    let mut receiver = directory_of(2, &["a"]);
    let mut exchange = |sender: &mut Directory, now| {
        let report = sender.report_due(now);
        if let Some(report) = &report {
            receiver.receive_report(now, report);
        }
        (report.is_some(), receiver.rate_limit_of(&a))
    };
    sender.report_due(START);
    sender.apply_notice(START, &a, limit_notice(limit(2.0)));
    assert_eq!(exchange(&mut sender, START), (true, Some(limit(2.0))));
    let soon = START + STEP;
    sender.apply_notice(soon, &a, limit_notice(limit(2.1)));
    assert_eq!(exchange(&mut sender, soon), (false, Some(limit(2.0))));
    let later = START + AFTER_REPETITION;
    assert_eq!(exchange(&mut sender, later), (true, Some(limit(2.1))));
    assert!(sender.record_no_rate_limit(later + STEP, &a, later));
    assert_eq!(exchange(&mut sender, later + STEP), (true, None));
}

// Guards against schedulers that never learn of a limit, or of its end, which a worker has stated to a gateway that sends
// no load reports: that gateway tells only the scheduler that places its requests.
#[test]
fn a_scheduler_reports_limits_that_it_learned_with_placements() {
    let a = WorkerId::from("a");
    let mut scheduler = alone(&["a"]);
    let mut other = directory_of(2, &["a"]);
    let mut pass_on = |scheduler: &mut Directory, now, stated: StatedLimit| {
        scheduler.receive_rate_limit(now, &a, stated);
        if let Some(report) = scheduler.report_due(now) {
            other.receive_report(now, &report);
        }
        other.rate_limit_of(&a)
    };
    let stated = |limit| StatedLimit {
        limit,
        age: Duration::ZERO,
    };
    scheduler.report_due(START);
    let soon = START + STEP;
    let known = pass_on(&mut scheduler, soon, stated(Some(limit(2.0))));
    assert_eq!(known, Some(limit(2.0)));
    let known = pass_on(&mut scheduler, soon + STEP, stated(None));
    assert_eq!(known, None);
}

// Guards against memory use and reports that grow with the number of workers that ever stated a limit.
#[test]
fn limits_are_kept_only_as_long_as_they_are_needed_and_reported_a_few_at_a_time() {
    for fleet in [20, 2_000] {
        let ids: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut directory = alone(&ids);
        for id in &ids {
            directory.apply_notice(START, &WorkerId::from(*id), limit_notice(limit(2.0)));
        }
        let report = directory.report_due(START).expect("a report");
        assert_eq!(report.rate_limits.len(), fleet.min(64));
        directory.expire_notices(START + STEP);
        assert_eq!(directory.rate_limit_count(), fleet);
        directory.expire_notices(START + AFTER_EXPIRY);
        assert_eq!(directory.rate_limit_count(), 0);
    }
}

/// Returns a scheduler's answers to `gateways` gateways, each of which requests one placement on the same rate-limited
/// worker.
fn placement_answers(gateways: u64) -> Vec<PlacementAnswer> {
    let mut directory = alone(&["a"]);
    directory.apply_notice(START, &WorkerId::from("a"), limit_notice(limit(6.0)));
    let mut ledger = GrantedPlacements::default();
    let zone = ZoneName::new("z");
    let now = START + SPAN;
    let answers = (0..gateways).map(|number| {
        let mut book = RequestedPlacements::new(GatewayKey(10 + number));
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
        let message = book.request_message(SCHEDULER, request);
        let answer = ledger.handle_message(now, &mut directory, &zone, message);
        answer.expect("an answer")
    });
    answers.collect()
}

// Guards against a scheduler whose placements exceed the limit as the number of requesting gateways grows.
#[test]
fn a_scheduler_places_within_a_limit_however_many_gateways_request_placements() {
    for gateways in [20, 2_000] {
        let answers = placement_answers(gateways);
        let is_placed_with_token = |answer: &&PlacementAnswer| match answer {
            PlacementAnswer::Placed(placement) => placement.has_rate_token,
            _ => false,
        };
        let is_refused = |answer: &&PlacementAnswer| {
            let cause = RefusalCause::RateLimit;
            matches!(answer, PlacementAnswer::Refused { cause: actual, .. } if *actual == cause)
        };
        assert_eq!(answers.iter().filter(is_placed_with_token).count(), 6);
        let others = gateways as usize - 6;
        assert_eq!(answers.iter().filter(is_refused).count(), others);
    }
}
