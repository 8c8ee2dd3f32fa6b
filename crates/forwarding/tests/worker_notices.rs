//! What workers say of themselves in answers, in the directory: who is chosen, for how long it holds, what it costs.

mod sample;

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::{
    Demand, Directory, FirstAvailable, GatewayKey, Need, Objectives, PlacementAnswer,
    PlacementBook, PlacementId, PlacementLedger, PlacementNeed, PlacementNotice, PlacementRequest,
    SendResult, SendTicket, Unavailable, Worker, WorkerId, WorkerNotice, MAX_REST,
};

use sample::ready_worker;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const REST: Duration = Duration::from_secs(3);
const LATENCY: Duration = Duration::from_millis(20);
/// How long a rest that is over is kept.
const REST_MEMORY: Duration = Duration::from_secs(30);
/// Longer than a word is kept that has lost its use.
const LONG: Duration = Duration::from_secs(700);
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

fn leaves() -> WorkerNotice {
    WorkerNotice {
        leaves: true,
        ..WorkerNotice::default()
    }
}

fn rests(rest: Duration) -> WorkerNotice {
    WorkerNotice {
        rest: Some(rest),
        ..WorkerNotice::default()
    }
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

    fn demand(&self) -> Demand<'_> {
        Demand {
            service: &self.service,
            prompt: &[],
            route: "route",
            yields: false,
            tenant: None,
            zone: &self.zone,
            avoid: &[],
            draw: 1,
        }
    }

    fn choose(&self, directory: &Directory, now: Timestamp) -> Option<String> {
        let chosen = directory.select(now, self.demand(), &Need::Run)?;
        Some(chosen.id.as_str().to_owned())
    }

    fn send(&self, directory: &mut Directory, now: Timestamp, name: &str) -> SendTicket {
        directory.send_began(now, &named(name), self.demand(), &Need::Run)
    }
}

#[test]
fn a_worker_that_leaves_is_not_chosen_whatever_its_entry_says_later() {
    let asker = Asker::new();
    let mut directory = directory(&["a"]);
    assert!(directory.take_notice(NOW, &named("a"), leaves()).leaves);
    assert!(!directory.take_notice(NOW, &named("a"), leaves()).leaves);
    assert_eq!(asker.choose(&directory, NOW), None);
    assert_eq!(directory.ready_workers(), 0);
    directory.announce_one(worker(named("a")));
    assert_eq!(asker.choose(&directory, NOW), None);
    directory.withdraw(&named("a"));
    directory.announce_one(worker(named("a")));
    assert_eq!(asker.choose(&directory, NOW), None);
    let unavailable = directory.unavailable(NOW, &named("a"));
    assert_eq!(unavailable, Some(Unavailable::Leaving));
}

#[test]
fn the_word_of_one_life_does_not_bind_the_next() {
    let asker = Asker::new();
    let [first, second] = [1, 2].map(|born| WorkerId::of_life("a", Some(born)));
    let mut directory = Directory::new(GatewayKey(1));
    directory.announce_one(worker(first.clone()));
    directory.take_notice(NOW, &first, leaves());
    directory.take_notice(NOW, &first, rests(REST));
    directory.withdraw(&first);
    directory.announce_one(worker(second.clone()));
    assert_eq!(asker.choose(&directory, NOW), Some("a".into()));
    assert_eq!(directory.unavailable(NOW, &second), None);
}

#[test]
fn a_word_about_a_worker_that_is_not_known_yet_holds_once_it_is() {
    let asker = Asker::new();
    let mut directory = directory(&[]);
    directory.take_notice(NOW, &named("a"), leaves());
    directory.announce_one(worker(named("a")));
    assert_eq!(asker.choose(&directory, NOW), None);
}

#[test]
fn a_worker_that_rests_is_not_chosen_even_if_no_other_is_left() {
    let asker = Asker::new();
    let mut directory = directory(&["a"]);
    let news = directory.take_notice(NOW, &named("a"), rests(REST));
    assert_eq!(news.rest, Some(REST));
    assert_eq!(asker.choose(&directory, NOW), None);
    let unavailable = directory.unavailable(NOW, &named("a"));
    assert_eq!(unavailable, Some(Unavailable::Resting));
    let just_before = NOW + REST - Duration::from_millis(1);
    assert_eq!(asker.choose(&directory, just_before), None);
    assert_eq!(asker.choose(&directory, NOW + REST), Some("a".into()));
}

#[test]
fn a_shorter_rest_told_later_does_not_shorten_the_first() {
    let mut directory = directory(&["a"]);
    directory.take_notice(NOW, &named("a"), rests(REST));
    let news = directory.take_notice(NOW, &named("a"), rests(REST / 2));
    assert_eq!(news.rest, None);
    let longest = directory.notice_of(NOW, &named("a")).rest;
    assert_eq!(longest, Some(REST));
    directory.take_notice(NOW, &named("a"), rests(REST * 2));
    let longer = directory.notice_of(NOW, &named("a")).rest;
    assert_eq!(longer, Some(REST * 2));
}

#[test]
fn a_rest_that_is_told_again_is_no_news_and_holds_to_its_last_end() {
    let mut directory = directory(&["a"]);
    directory.take_notice(NOW, &named("a"), rests(REST));
    let soon = NOW + Duration::from_millis(20);
    let again = directory.take_notice(soon, &named("a"), rests(REST));
    assert_eq!(again.rest, None);
    let left = directory.notice_of(soon, &named("a")).rest;
    assert_eq!(left, Some(REST));
    let later = NOW + Duration::from_secs(1);
    let anew = directory.take_notice(later, &named("a"), rests(REST));
    assert_eq!(anew.rest, Some(REST));
}

#[test]
fn after_its_rest_a_worker_is_tried_by_two_until_one_is_answered() {
    let asker = Asker::new();
    let mut directory = directory(&["a", "b"]);
    // The other one is slow, so that all would go to the first.
    let ticket = asker.send(&mut directory, NOW, "a");
    directory.send_ended(NOW, &ticket, &[], SendResult::Answered { latency: LATENCY });
    let slow = SendResult::Answered {
        latency: Duration::from_secs(5),
    };
    let ticket = asker.send(&mut directory, NOW, "b");
    directory.send_ended(NOW, &ticket, &[], slow);
    directory.take_notice(NOW, &named("a"), rests(REST));
    assert_eq!(asker.choose(&directory, NOW), Some("b".into()));

    let back = NOW + REST;
    assert_eq!(asker.choose(&directory, back), Some("a".into()));
    let mut tries = [(); 2].map(|()| asker.send(&mut directory, back, "a"));
    assert_eq!(asker.choose(&directory, back), Some("b".into()));
    directory.send_ended(back, &tries[0], &[], SendResult::Unreachable);
    let later = back + Duration::from_secs(5);
    assert_eq!(asker.choose(&directory, later), Some("a".into()));
    let third = asker.send(&mut directory, later, "a");
    assert_eq!(asker.choose(&directory, later), Some("b".into()));
    directory.prompt_was_read(later, &mut tries[1], &[], LATENCY);
    assert_eq!(asker.choose(&directory, later), Some("a".into()));
    directory.send_ended(later, &third, &[], SendResult::Refused);
}

#[test]
fn a_worker_that_is_tried_is_chosen_if_no_other_is_left() {
    let asker = Asker::new();
    let mut directory = directory(&["a"]);
    directory.take_notice(NOW, &named("a"), rests(REST));
    let back = NOW + REST;
    for _ in 0..4 {
        assert_eq!(asker.choose(&directory, back), Some("a".into()));
        asker.send(&mut directory, back, "a");
    }
}

#[test]
fn the_first_to_be_back_is_known_only_if_all_rest() {
    let mut directory = directory(&["a", "b"]);
    let service = ServiceName::new("s");
    directory.take_notice(NOW, &named("a"), rests(REST * 2));
    assert_eq!(directory.first_available(NOW, &service, &Need::Run), None);
    directory.take_notice(NOW, &named("b"), rests(REST));
    let first = directory.first_available(NOW, &service, &Need::Run);
    let rest = FirstAvailable {
        after: REST,
        until_then: Unavailable::Resting,
    };
    assert_eq!(first, Some(rest));
    let later = directory.first_available(NOW + REST, &service, &Need::Run);
    assert_eq!(later, None);
}

#[test]
fn seconds_that_are_no_time_ask_for_no_rest() {
    for seconds in [0.0, -0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(WorkerNotice::of_rest_seconds(seconds), None);
    }
    let rest = WorkerNotice::of_rest_seconds;
    assert_eq!(rest(0.25), Some(Duration::from_millis(250)));
    assert_eq!(rest(f64::MAX), Some(MAX_REST));
}

#[test]
fn words_are_kept_while_they_are_of_use_and_no_longer() {
    for fleet in [10, 1_000] {
        let names: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut directory = directory(&names);
        for name in &names {
            directory.take_notice(NOW, &named(name), leaves());
            directory.take_notice(NOW, &named(name), rests(REST));
        }
        let (gone, announced) = names.split_at(fleet / 2);
        for name in gone {
            directory.withdraw(&named(name));
        }
        directory.expire_notices(NOW + REST);
        assert_eq!(directory.kept_notices(), 2 * fleet);
        directory.expire_notices(NOW + REST + REST_MEMORY);
        assert_eq!(directory.kept_notices(), fleet);
        directory.expire_notices(NOW + LONG);
        assert_eq!(directory.kept_notices(), announced.len());
        assert!(directory.has_said_that_it_leaves(&named(announced[0])));
        assert!(!directory.has_said_that_it_leaves(&named(gone[0])));
    }
}

#[test]
fn no_more_workers_are_named_to_a_scheduler_than_fit_into_a_datagram() {
    for fleet in [20, 2_000] {
        let names: Vec<String> = (0..fleet).map(|number| format!("w-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut directory = directory(&names);
        for name in &names {
            directory.take_notice(NOW, &named(name), rests(REST));
        }
        let named = directory.unavailable_workers(NOW).len();
        assert_eq!(named, fleet.min(64));
        assert!(directory.unavailable_workers(NOW + REST).is_empty());
        for name in &names {
            directory.take_notice(NOW, &self::named(name), leaves());
        }
        let named = directory.unavailable_workers(NOW + REST).len();
        assert_eq!(named, fleet.min(64));
        for name in &names {
            directory.withdraw(&self::named(name));
        }
        assert!(directory.unavailable_workers(NOW + REST).is_empty());
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

/// A scheduler and two gateways that ask it.
struct Fleet {
    directory: Directory,
    ledger: PlacementLedger,
    books: [PlacementBook; 2],
}

impl Fleet {
    fn new(names: &[&str]) -> Self {
        Self {
            directory: directory(names),
            ledger: PlacementLedger::default(),
            books: [2, 3].map(|key| PlacementBook::new(GatewayKey(key))),
        }
    }

    fn ask(&mut self, gateway: usize, need: PlacementNeed, avoid: &[WorkerId]) -> PlacementAnswer {
        let book = &mut self.books[gateway];
        let request = PlacementRequest {
            need,
            avoid: avoid.to_vec(),
            ..admission(book.next_id())
        };
        let message = book.ask(SCHEDULER, request);
        let zone = ZoneName::new("z");
        let answer = self.ledger.take(NOW, &mut self.directory, &zone, message);
        answer.expect("an answer")
    }
}

#[test]
fn a_scheduler_places_nothing_where_the_asking_gateway_may_not_send() {
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
fn the_worker_of_a_placement_is_known_while_it_is_open() {
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
        said: rests(REST),
        rate_limit: None,
    };
    fleet.books[0].tell(SCHEDULER, ended);
    for (_, message) in fleet.books[0].flush() {
        let zone = ZoneName::new("z");
        fleet.ledger.take(NOW, &mut fleet.directory, &zone, message);
    }
    assert_eq!(fleet.ledger.worker_of(GatewayKey(2), id), None);
}

#[test]
fn a_worker_that_rests_is_met_once_however_many_gateways_ask_its_scheduler() {
    for gateways in [4, 400] {
        let mut directory = directory(&["a", "b"]);
        let mut ledger = PlacementLedger::default();
        let zone = ZoneName::new("z");
        let mut met = 0;
        for number in 0..gateways {
            let sender = GatewayKey(10 + number);
            let mut book = PlacementBook::new(sender);
            let request = PlacementRequest {
                draw: number,
                ..admission(book.next_id())
            };
            let question = book.ask(SCHEDULER, request);
            let answer = ledger.take(NOW, &mut directory, &zone, question);
            let Some(PlacementAnswer::Placed(placement)) = answer else {
                panic!("not placed: {answer:?}");
            };
            if placement.worker == named("a") {
                met += 1;
                directory.take_notice(NOW, &named("a"), rests(REST));
            }
        }
        assert_eq!(met, 1, "{gateways} gateways");
    }
}
