//! Notices in workers' answers and their effect in the directory: which workers are selected, how long a notice
//! applies, and how many notices are kept and sent to schedulers.

mod sample;

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Demand, Directory, FirstAvailable, GatewayKey, GrantedPlacements, Need, Objectives,
    PlacementAnswer, PlacementId, PlacementNeed, PlacementNotice, PlacementRequest,
    RequestedPlacements, SendResult, SendTicket, Unavailable, Worker, WorkerId, WorkerNotice,
    MAX_BACKOFF,
};

use sample::ready_worker;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const BACKOFF: Duration = Duration::from_secs(3);
const LATENCY: Duration = Duration::from_millis(20);
/// How long a back-off is kept after its end.
const ENDED_BACKOFF_RETENTION: Duration = Duration::from_secs(30);
/// Longer than any notice is kept that is no longer needed.
const AFTER_EXPIRY: Duration = Duration::from_secs(700);
const SCHEDULER: &str = "scheduler";

fn worker(id: WorkerId) -> Worker {
    Worker {
        id,
        ..ready_worker("")
    }
}

fn named(name: &str) -> WorkerId {
    WorkerId::from(name)
}

fn directory(names: &[&str]) -> Directory {
    let mut directory = Directory::new(GatewayKey(1));
    directory.announce(names.iter().map(|name| worker(named(name))).collect());
    directory
}

fn leaving_notice() -> WorkerNotice {
    WorkerNotice {
        is_leaving: true,
        ..WorkerNotice::default()
    }
}

fn backoff_notice(backoff: Duration) -> WorkerNotice {
    WorkerNotice {
        backoff: Some(backoff),
        ..WorkerNotice::default()
    }
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

    fn demand(&self) -> Demand<'_> {
        Demand {
            version: None,
            service: &self.service,
            prompt: &[],
            route: "route",
            yields: false,
            pause: None,
            tenant: None,
            zone: &self.zone,
            avoid: &[],
            draw: 1,
        }
    }

    fn select(&self, directory: &Directory, now: Timestamp) -> Option<String> {
        let chosen = directory.select(now, self.demand(), &Need::Run)?;
        Some(chosen.id.as_str().to_owned())
    }

    fn send(&self, directory: &mut Directory, now: Timestamp, name: &str) -> SendTicket {
        directory.begin_send(now, &named(name), self.demand(), &Need::Run)
    }
}

#[test]
fn a_leaving_worker_is_not_selected_even_if_it_is_announced_again() {
    let caller = Caller::new();
    let mut directory = directory(&["a"]);
    assert!(
        directory
            .apply_notice(NOW, &named("a"), leaving_notice())
            .is_leaving
    );
    assert!(
        !directory
            .apply_notice(NOW, &named("a"), leaving_notice())
            .is_leaving
    );
    assert_eq!(caller.select(&directory, NOW), None);
    assert_eq!(directory.ready_workers(), 0);
    directory.announce_one(worker(named("a")));
    assert_eq!(caller.select(&directory, NOW), None);
    directory.withdraw(&named("a"));
    directory.announce_one(worker(named("a")));
    assert_eq!(caller.select(&directory, NOW), None);
    let unavailable = directory.unavailable(NOW, &named("a"));
    assert_eq!(unavailable, Some(Unavailable::Leaving));
}

#[test]
fn notices_of_one_incarnation_do_not_apply_to_the_next() {
    let caller = Caller::new();
    let [first, second] = [1, 2].map(|started_at| WorkerId::of_incarnation("a", Some(started_at)));
    let mut directory = Directory::new(GatewayKey(1));
    directory.announce_one(worker(first.clone()));
    directory.apply_notice(NOW, &first, leaving_notice());
    directory.apply_notice(NOW, &first, backoff_notice(BACKOFF));
    directory.withdraw(&first);
    directory.announce_one(worker(second.clone()));
    assert_eq!(caller.select(&directory, NOW), Some("a".into()));
    assert_eq!(directory.unavailable(NOW, &second), None);
}

#[test]
fn a_notice_of_an_unknown_worker_applies_once_it_is_announced() {
    let caller = Caller::new();
    let mut directory = directory(&[]);
    directory.apply_notice(NOW, &named("a"), leaving_notice());
    directory.announce_one(worker(named("a")));
    assert_eq!(caller.select(&directory, NOW), None);
}

#[test]
fn a_worker_that_is_backing_off_is_not_selected_even_if_it_is_the_only_one() {
    let caller = Caller::new();
    let mut directory = directory(&["a"]);
    let update = directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
    assert_eq!(update.backoff, Some(BACKOFF));
    assert_eq!(caller.select(&directory, NOW), None);
    let unavailable = directory.unavailable(NOW, &named("a"));
    assert_eq!(unavailable, Some(Unavailable::BackingOff));
    let just_before_end = NOW + BACKOFF - Duration::from_millis(1);
    assert_eq!(caller.select(&directory, just_before_end), None);
    assert_eq!(caller.select(&directory, NOW + BACKOFF), Some("a".into()));
}

#[test]
fn a_later_shorter_backoff_does_not_shorten_the_first() {
    let mut directory = directory(&["a"]);
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
    let update = directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF / 2));
    assert_eq!(update.backoff, None);
    let longest = directory.current_notice(NOW, &named("a")).backoff;
    assert_eq!(longest, Some(BACKOFF));
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF * 2));
    let longer = directory.current_notice(NOW, &named("a")).backoff;
    assert_eq!(longer, Some(BACKOFF * 2));
}

#[test]
fn a_backoff_repeated_soon_is_not_reported_again_but_extends_its_end() {
    let mut directory = directory(&["a"]);
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
    let soon = NOW + Duration::from_millis(20);
    let again = directory.apply_notice(soon, &named("a"), backoff_notice(BACKOFF));
    assert_eq!(again.backoff, None);
    let left = directory.current_notice(soon, &named("a")).backoff;
    assert_eq!(left, Some(BACKOFF));
    let later = NOW + Duration::from_secs(1);
    let anew = directory.apply_notice(later, &named("a"), backoff_notice(BACKOFF));
    assert_eq!(anew.backoff, Some(BACKOFF));
}

#[test]
fn after_its_backoff_a_worker_gets_two_trial_requests_until_one_is_answered() {
    let caller = Caller::new();
    let mut directory = directory(&["a", "b"]);
    // The other worker is slow, so that all requests would go to the first one.
    let ticket = caller.send(&mut directory, NOW, "a");
    directory.end_send(NOW, &ticket, &[], SendResult::Answered { latency: LATENCY });
    let slow = SendResult::Answered {
        latency: Duration::from_secs(5),
    };
    let ticket = caller.send(&mut directory, NOW, "b");
    directory.end_send(NOW, &ticket, &[], slow);
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
    assert_eq!(caller.select(&directory, NOW), Some("b".into()));

    let backoff_end = NOW + BACKOFF;
    assert_eq!(caller.select(&directory, backoff_end), Some("a".into()));
    let mut trials = [(); 2].map(|()| caller.send(&mut directory, backoff_end, "a"));
    assert_eq!(caller.select(&directory, backoff_end), Some("b".into()));
    directory.end_send(backoff_end, &trials[0], &[], SendResult::Unreachable);
    let later = backoff_end + Duration::from_secs(5);
    assert_eq!(caller.select(&directory, later), Some("a".into()));
    let third = caller.send(&mut directory, later, "a");
    assert_eq!(caller.select(&directory, later), Some("b".into()));
    directory.record_prompt_read(later, &mut trials[1], &[], LATENCY);
    assert_eq!(caller.select(&directory, later), Some("a".into()));
    directory.end_send(later, &third, &[], SendResult::Refused);
}

#[test]
fn a_worker_on_trial_is_selected_if_it_is_the_only_one() {
    let caller = Caller::new();
    let mut directory = directory(&["a"]);
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
    let backoff_end = NOW + BACKOFF;
    for _ in 0..4 {
        assert_eq!(caller.select(&directory, backoff_end), Some("a".into()));
        caller.send(&mut directory, backoff_end, "a");
    }
}

#[test]
fn first_available_is_known_only_if_all_workers_are_backing_off() {
    let mut directory = directory(&["a", "b"]);
    let service = ServiceName::new("s");
    directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF * 2));
    assert_eq!(directory.first_available(NOW, &service, &Need::Run), None);
    directory.apply_notice(NOW, &named("b"), backoff_notice(BACKOFF));
    let first = directory.first_available(NOW, &service, &Need::Run);
    let expected = FirstAvailable {
        after: BACKOFF,
        blocked_by: Unavailable::BackingOff,
    };
    assert_eq!(first, Some(expected));
    let later = directory.first_available(NOW + BACKOFF, &service, &Need::Run);
    assert_eq!(later, None);
}

#[test]
fn invalid_seconds_request_no_backoff() {
    for seconds in [0.0, -0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(WorkerNotice::backoff_from_seconds(seconds), None);
    }
    let backoff = WorkerNotice::backoff_from_seconds;
    assert_eq!(backoff(0.25), Some(Duration::from_millis(250)));
    assert_eq!(backoff(f64::MAX), Some(MAX_BACKOFF));
}

#[test]
fn notices_are_kept_only_as_long_as_they_are_needed() {
    for fleet in [10, 1_000] {
        let names: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut directory = directory(&names);
        for name in &names {
            directory.apply_notice(NOW, &named(name), leaving_notice());
            directory.apply_notice(NOW, &named(name), backoff_notice(BACKOFF));
        }
        let (gone, announced) = names.split_at(fleet / 2);
        for name in gone {
            directory.withdraw(&named(name));
        }
        directory.expire_notices(NOW + BACKOFF);
        assert_eq!(directory.notice_count(), 2 * fleet);
        directory.expire_notices(NOW + BACKOFF + ENDED_BACKOFF_RETENTION);
        assert_eq!(directory.notice_count(), fleet);
        directory.expire_notices(NOW + AFTER_EXPIRY);
        assert_eq!(directory.notice_count(), announced.len());
        assert!(directory.has_stated_leaving(&named(announced[0])));
        assert!(!directory.has_stated_leaving(&named(gone[0])));
    }
}

#[test]
fn unavailable_workers_reported_to_a_scheduler_fit_into_a_datagram() {
    for fleet in [20, 2_000] {
        let names: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut directory = directory(&names);
        for name in &names {
            directory.apply_notice(NOW, &named(name), backoff_notice(BACKOFF));
        }
        let reported = directory.unavailable_workers(NOW).len();
        assert_eq!(reported, fleet.min(64));
        assert!(directory.unavailable_workers(NOW + BACKOFF).is_empty());
        for name in &names {
            directory.apply_notice(NOW, &self::named(name), leaving_notice());
        }
        let reported = directory.unavailable_workers(NOW + BACKOFF).len();
        assert_eq!(reported, fleet.min(64));
        for name in &names {
            directory.withdraw(&self::named(name));
        }
        assert!(directory.unavailable_workers(NOW + BACKOFF).is_empty());
    }
}

fn admission(id: PlacementId) -> PlacementRequest {
    PlacementRequest {
        id,
        service: ServiceName::new("s"),
        route: "route".into(),
        prompt: Vec::new(),
        tenant: None,
        yields: false,
        objectives: Objectives {
            latency: Duration::from_millis(500),
            pause: None,
            time_left: Duration::from_secs(3),
        },
        draw: 1,
        need: PlacementNeed::Admission,
        avoid: Vec::new(),
    }
}

/// A scheduler and two gateways that request placements from it.
struct Fleet {
    directory: Directory,
    ledger: GrantedPlacements,
    books: [RequestedPlacements; 2],
}

impl Fleet {
    fn new(names: &[&str]) -> Self {
        Self {
            directory: directory(names),
            ledger: GrantedPlacements::default(),
            books: [2, 3].map(|key| RequestedPlacements::new(GatewayKey(key))),
        }
    }

    fn ask(&mut self, gateway: usize, need: PlacementNeed, avoid: &[WorkerId]) -> PlacementAnswer {
        let book = &mut self.books[gateway];
        let request = PlacementRequest {
            need,
            avoid: avoid.to_vec(),
            ..admission(book.next_id())
        };
        let message = book.request_message(SCHEDULER, request);
        let zone = ZoneName::new("z");
        let answer = self
            .ledger
            .handle_message(NOW, &mut self.directory, &zone, message);
        answer.expect("an answer")
    }
}

#[test]
fn a_scheduler_does_not_place_requests_on_workers_that_the_gateway_avoids() {
    let mut fleet = Fleet::new(&["a", "b"]);
    let run = PlacementNeed::Worker { need: Need::Run };
    for need in [PlacementNeed::Admission, run] {
        for (avoided, other) in [("a", "b"), ("b", "a")] {
            let answer = fleet.ask(0, need.clone(), &[named(avoided)]);
            let PlacementAnswer::Placed(placement) = answer else {
                panic!("not placed: {answer:?}");
            };
            assert_eq!(placement.worker, named(other));
        }
        let none = fleet.ask(0, need, &[named("a"), named("b")]);
        assert_eq!(none, PlacementAnswer::NoWorker);
    }
}

#[test]
fn the_worker_of_a_placement_is_known_until_the_placement_ends() {
    let mut fleet = Fleet::new(&["a"]);
    let answer = fleet.ask(0, PlacementNeed::Admission, &[]);
    let PlacementAnswer::Placed(placement) = answer else {
        panic!("not placed: {answer:?}");
    };
    let id = placement.id;
    let worker = fleet.ledger.worker_of(GatewayKey(2), id);
    assert_eq!(worker, Some(&named("a")));
    assert_eq!(fleet.ledger.worker_of(GatewayKey(3), id), None);
    let ended = PlacementNotice::Ended {
        id,
        result: SendResult::Refused,
        worker_notice: backoff_notice(BACKOFF),
        rate_limit: None,
        pause: None,
    };
    fleet.books[0].queue_notice(SCHEDULER, ended);
    for (_, message) in fleet.books[0].take_notice_messages() {
        let zone = ZoneName::new("z");
        fleet
            .ledger
            .handle_message(NOW, &mut fleet.directory, &zone, message);
    }
    assert_eq!(fleet.ledger.worker_of(GatewayKey(2), id), None);
}

#[test]
fn a_backoff_costs_one_placement_however_many_gateways_ask_the_scheduler() {
    for gateways in [4, 400] {
        let mut directory = directory(&["a", "b"]);
        let mut ledger = GrantedPlacements::default();
        let zone = ZoneName::new("z");
        let mut placed_on_a = 0;
        for number in 0..gateways {
            let sender = GatewayKey(10 + number);
            let mut book = RequestedPlacements::new(sender);
            let request = PlacementRequest {
                draw: number,
                ..admission(book.next_id())
            };
            let message = book.request_message(SCHEDULER, request);
            let answer = ledger.handle_message(NOW, &mut directory, &zone, message);
            let Some(PlacementAnswer::Placed(placement)) = answer else {
                panic!("not placed: {answer:?}");
            };
            if placement.worker == named("a") {
                placed_on_a += 1;
                directory.apply_notice(NOW, &named("a"), backoff_notice(BACKOFF));
            }
        }
        assert_eq!(placed_on_a, 1, "{gateways} gateways");
    }
}
