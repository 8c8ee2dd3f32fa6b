//! Gateways count together the workers that end under a request.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::Timestamp;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::quarantine::{ENDS_TO_BAR, MEMORY};
use tansyhall_forwarding::{Audience, Fingerprint, Quarantine, QuarantineNews, WorkerKey};

const SEED: u64 = 34;
const DEADLY: Fingerprint = Fingerprint(1);
const BESIDE: Fingerprint = Fingerprint(2);
/// The time in which gateways must know.
const CONTACT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Gateways that hear each other, the first `listeners` of them the reports.
struct Fleet {
    gateways: Vec<Quarantine>,
    listeners: usize,
    now: Timestamp,
}

impl Fleet {
    fn new(gateways: usize, listeners: usize) -> Self {
        Self {
            gateways: (0..gateways).map(|_| Quarantine::default()).collect(),
            listeners,
            now: at(1_000),
        }
    }

    fn end(&mut self, gateway: usize, worker: u64, requests: &[Fingerprint]) {
        let requests = requests.iter().copied();
        self.gateways[gateway].worker_ended(self.now, WorkerKey(worker), requests);
    }

    /// Lets gateways tell each other for a while; `arrives` says which messages do.
    fn exchange_for(&mut self, time: Duration, arrives: &mut dyn FnMut() -> bool) {
        let until = self.now + time;
        while self.now < until {
            for sender in 0..self.gateways.len() {
                self.tell(sender, arrives);
            }
            self.now = self.now + STEP;
        }
    }

    fn exchange(&mut self) {
        self.exchange_for(CONTACT, &mut || true);
    }

    fn tell(&mut self, sender: usize, arrives: &mut dyn FnMut() -> bool) {
        for outgoing in self.gateways[sender].due(self.now) {
            let told = match outgoing.audience {
                Audience::Listeners => self.listeners,
                Audience::All => self.gateways.len(),
            };
            for receiver in (0..told).filter(|receiver| *receiver != sender) {
                if arrives() {
                    self.hear(receiver, sender, &outgoing.news);
                }
            }
        }
    }

    fn hear(&mut self, receiver: usize, sender: usize, news: &QuarantineNews) {
        let relays = receiver < self.listeners;
        let heard = self.gateways[receiver].hear(self.now, news, relays);
        let relays = sender < self.listeners;
        self.gateways[sender].hear(self.now, &heard.reply, relays);
    }

    fn barring(&self, fingerprint: Fingerprint) -> usize {
        let gateways = self.gateways.iter();
        gateways
            .filter(|gateway| gateway.is_barred(fingerprint))
            .count()
    }
}

#[test]
fn ends_that_different_gateways_saw_add_up() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..ENDS_TO_BAR {
        assert_eq!(fleet.barring(DEADLY), 0);
        fleet.end(gateway, gateway as u64, &[DEADLY]);
        fleet.exchange_for(STEP, &mut || true);
    }
    assert_eq!(fleet.barring(DEADLY), 5);
}

#[test]
fn in_a_large_fleet_those_that_listen_put_it_together_for_all() {
    let mut fleet = Fleet::new(200, 6);
    for number in 0..ENDS_TO_BAR {
        fleet.end(100 + number, number as u64, &[DEADLY]);
    }
    fleet.exchange();
    assert_eq!(fleet.barring(DEADLY), 200);
}

#[test]
fn one_worker_that_several_gateways_saw_end_counts_once() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..5 {
        fleet.end(gateway, 7, &[DEADLY, BESIDE]);
        fleet.end(gateway, 8, &[DEADLY]);
    }
    fleet.exchange();
    assert_eq!(fleet.barring(DEADLY), 0);
}

#[test]
fn a_request_that_was_answered_after_its_ends_starts_again_everywhere() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..2 {
        fleet.end(gateway, gateway as u64, &[DEADLY, BESIDE]);
    }
    fleet.exchange();
    let now = fleet.now;
    fleet.gateways[4].answered(now, BESIDE);
    fleet.exchange();
    fleet.end(3, 3, &[DEADLY, BESIDE]);
    fleet.exchange();
    assert_eq!((fleet.barring(DEADLY), fleet.barring(BESIDE)), (5, 0));
}

#[test]
fn a_request_that_another_gateway_saw_answered_lately_is_not_barred() {
    let mut fleet = Fleet::new(5, 5);
    let now = fleet.now;
    fleet.gateways[4].answered(now, BESIDE);
    for worker in 0..3 {
        fleet.end(0, worker, &[DEADLY, BESIDE]);
    }
    fleet.exchange();
    assert_eq!((fleet.barring(DEADLY), fleet.barring(BESIDE)), (5, 0));
}

#[test]
fn an_answer_of_before_speaks_for_a_request_once() {
    let mut fleet = Fleet::new(5, 5);
    let now = fleet.now;
    fleet.gateways[4].answered(now, DEADLY);
    for worker in 0..6 {
        fleet.end(0, worker, &[DEADLY]);
        fleet.exchange_for(STEP, &mut || true);
    }
    assert_eq!(fleet.barring(DEADLY), 5);
}

#[test]
fn an_answer_that_is_still_under_way_lifts_the_bar() {
    let mut fleet = Fleet::new(5, 5);
    for worker in 0..3 {
        fleet.end(0, worker, &[BESIDE]);
    }
    fleet.exchange();
    assert_eq!(fleet.barring(BESIDE), 5);
    let now = fleet.now;
    fleet.gateways[2].answered(now, BESIDE);
    fleet.exchange();
    assert_eq!(fleet.barring(BESIDE), 0);
}

#[test]
fn a_gateway_that_starts_learns_of_a_bar_with_its_first_end() {
    let mut fleet = Fleet::new(3, 3);
    for worker in 0..3 {
        fleet.end(0, worker, &[DEADLY]);
    }
    fleet.exchange();
    fleet.gateways[2] = Quarantine::default();
    fleet.end(2, 9, &[DEADLY]);
    fleet.exchange_for(STEP, &mut || true);
    assert!(fleet.gateways[2].is_barred(DEADLY));
}

#[test]
fn what_the_store_lists_is_barred_until_it_lists_it_no_more() {
    let mut gateway = Quarantine::default();
    let listed = BTreeSet::from([DEADLY]);
    assert_eq!(gateway.set_listed(at(0), &listed), [DEADLY]);
    assert!(gateway.set_listed(at(1), &listed).is_empty());
    assert!(gateway.is_barred(DEADLY));
    gateway.set_listed(at(2), &BTreeSet::new());
    assert!(!gateway.is_barred(DEADLY));
}

#[test]
fn a_bar_that_is_lifted_is_taken_off_the_list_unless_it_comes_back() {
    let mut gateway = Quarantine::default();
    let listed = BTreeSet::from([DEADLY]);
    gateway.set_listed(at(0), &listed);
    gateway.answered(at(1), DEADLY);
    gateway.set_listed(at(2), &listed);
    assert!(!gateway.is_barred(DEADLY));
    assert_eq!(gateway.listed_in_vain().collect::<Vec<_>>(), [DEADLY]);
    for worker in 0..3 {
        gateway.worker_ended(at(3), WorkerKey(worker), [DEADLY]);
    }
    assert!(gateway.is_barred(DEADLY));
    assert_eq!(gateway.listed_in_vain().count(), 0);
}

#[test]
fn what_is_barred_is_to_be_listed_until_it_is() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        assert_eq!(gateway.unlisted().count(), 0);
        gateway.worker_ended(at(worker), WorkerKey(worker), [DEADLY]);
    }
    let unlisted: Vec<_> = gateway.unlisted().collect();
    assert_eq!(unlisted.len(), 1);
    assert_eq!((unlisted[0].since, unlisted[0].ends), (at(2), 3));
    gateway.set_listed(at(4), &BTreeSet::from([DEADLY]));
    assert_eq!(gateway.unlisted().count(), 0);
}

#[test]
fn ends_are_forgotten_long_after_the_last() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        gateway.worker_ended(at(0), WorkerKey(worker), [DEADLY]);
    }
    gateway.expire(at(0) + MEMORY);
    assert!(gateway.is_barred(DEADLY));
    gateway.expire(at(1) + MEMORY);
    assert!(!gateway.is_barred(DEADLY));
}

#[test]
fn callers_who_vary_their_bodies_push_out_no_bar() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        gateway.worker_ended(at(0), WorkerKey(worker), [DEADLY]);
    }
    for number in 0..20_000 {
        let varied = Fingerprint(1_000 + number);
        gateway.worker_ended(at(1 + number), WorkerKey(number), [varied]);
        gateway.answered(at(1 + number), Fingerprint(1_000_000 + number));
    }
    assert!(gateway.is_barred(DEADLY));
    assert_eq!(gateway.barred(), 1);
}

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// One message in three is lost: within the time for contact all bar it all the same.
    #[test]
    fn lost_messages_are_made_good(
        saw in prop::collection::vec(0_usize..6, ENDS_TO_BAR),
        lost in prop::collection::vec(prop::bool::weighted(0.33), 64),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut number = 0;
        let mut arrives = || {
            number += 1;
            !lost[number % lost.len()]
        };
        for (worker, gateway) in saw.into_iter().enumerate() {
            fleet.end(gateway, worker as u64, &[DEADLY]);
            fleet.exchange_for(STEP, &mut arrives);
        }
        fleet.exchange_for(CONTACT, &mut arrives);
        prop_assert_eq!(fleet.barring(DEADLY), 6);
    }

    /// Whatever is told in whatever order, as often as it is: fewer ends than needed bar nothing.
    #[test]
    fn repeated_and_reordered_news_add_nothing(
        order in prop::collection::vec((0_usize..6, 0_usize..4), 1..60),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut messages = Vec::new();
        for worker in 0..(ENDS_TO_BAR - 1) {
            fleet.end(worker, worker as u64, &[DEADLY]);
            let now = fleet.now;
            let due = fleet.gateways[worker].due(now);
            messages.extend(due.into_iter().map(|outgoing| outgoing.news));
        }
        for (receiver, message) in order {
            let news = messages[message % messages.len()].clone();
            fleet.hear(receiver, 0, &news);
        }
        prop_assert_eq!(fleet.barring(DEADLY), 0);
    }
}

#[test]
fn gateways_that_know_many_ends_of_different_workers_do_not_answer_each_other_for_ever() {
    let mut fleet = Fleet::new(2, 2);
    for worker in 0..20 {
        fleet.end(0, worker, &[DEADLY]);
        fleet.end(1, 100 + worker, &[DEADLY]);
    }
    let mut news = fleet.gateways[0].due(fleet.now).remove(0).news;
    for answers in 0..3 {
        let heard = fleet.gateways[1 - answers % 2].hear(fleet.now, &news, true);
        if heard.reply.is_empty() {
            return;
        }
        news = heard.reply;
    }
    panic!("they go on");
}
