//! Gateways jointly count the workers that end while running a request.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::Timestamp;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::quarantine::{SUSPECT_TTL, WORKER_ENDS_TO_BAR};
use tansyhall_forwarding::{Audience, Fingerprint, Quarantine, QuarantineUpdate, WorkerKey};

const SEED: u64 = 34;
const CRASHING: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
/// Time within which gateways must learn of each other's changes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Gateways that send each other updates. The first `listeners` of them also receive load reports.
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

    fn record_worker_end(&mut self, gateway: usize, worker: u64, requests: &[Fingerprint]) {
        let requests = requests.iter().copied();
        self.gateways[gateway].record_worker_end(self.now, WorkerKey(worker), requests);
    }

    /// Lets gateways exchange updates for `time`. `arrives` decides for each message whether it arrives.
    fn exchange_for(&mut self, time: Duration, arrives: &mut dyn FnMut() -> bool) {
        let until = self.now + time;
        while self.now < until {
            for sender in 0..self.gateways.len() {
                self.send_updates(sender, arrives);
            }
            self.now = self.now + STEP;
        }
    }

    fn exchange(&mut self) {
        self.exchange_for(PROPAGATION_LIMIT, &mut || true);
    }

    fn send_updates(&mut self, sender: usize, arrives: &mut dyn FnMut() -> bool) {
        for outgoing in self.gateways[sender].take_due_updates(self.now) {
            let receivers = match outgoing.audience {
                Audience::Listeners => self.listeners,
                Audience::All => self.gateways.len(),
            };
            for receiver in (0..receivers).filter(|receiver| *receiver != sender) {
                if arrives() {
                    self.apply_update(receiver, sender, &outgoing.update);
                }
            }
        }
    }

    fn apply_update(&mut self, receiver: usize, sender: usize, update: &QuarantineUpdate) {
        let relays = receiver < self.listeners;
        let applied = self.gateways[receiver].apply_update(self.now, update, relays);
        let relays = sender < self.listeners;
        self.gateways[sender].apply_update(self.now, &applied.reply, relays);
    }

    fn gateways_barring(&self, fingerprint: Fingerprint) -> usize {
        let gateways = self.gateways.iter();
        gateways
            .filter(|gateway| gateway.is_barred(fingerprint))
            .count()
    }
}

#[test]
fn worker_ends_observed_by_different_gateways_add_up() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..WORKER_ENDS_TO_BAR {
        assert_eq!(fleet.gateways_barring(CRASHING), 0);
        fleet.record_worker_end(gateway, gateway as u64, &[CRASHING]);
        fleet.exchange_for(STEP, &mut || true);
    }
    assert_eq!(fleet.gateways_barring(CRASHING), 5);
}

#[test]
fn in_a_large_fleet_listeners_combine_worker_ends_for_all_gateways() {
    let mut fleet = Fleet::new(200, 6);
    for number in 0..WORKER_ENDS_TO_BAR {
        fleet.record_worker_end(100 + number, number as u64, &[CRASHING]);
    }
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(CRASHING), 200);
}

#[test]
fn a_worker_end_observed_by_several_gateways_counts_once() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..5 {
        fleet.record_worker_end(gateway, 7, &[CRASHING, HARMLESS]);
        fleet.record_worker_end(gateway, 8, &[CRASHING]);
    }
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(CRASHING), 0);
}

#[test]
fn an_answer_resets_the_count_of_a_request_on_all_gateways() {
    let mut fleet = Fleet::new(5, 5);
    for gateway in 0..2 {
        fleet.record_worker_end(gateway, gateway as u64, &[CRASHING, HARMLESS]);
    }
    fleet.exchange();
    let now = fleet.now;
    fleet.gateways[4].record_answer(now, HARMLESS);
    fleet.exchange();
    fleet.record_worker_end(3, 3, &[CRASHING, HARMLESS]);
    fleet.exchange();
    assert_eq!(
        (
            fleet.gateways_barring(CRASHING),
            fleet.gateways_barring(HARMLESS)
        ),
        (5, 0)
    );
}

#[test]
fn a_request_that_another_gateway_saw_answered_recently_is_not_barred() {
    let mut fleet = Fleet::new(5, 5);
    let now = fleet.now;
    fleet.gateways[4].record_answer(now, HARMLESS);
    for worker in 0..3 {
        fleet.record_worker_end(0, worker, &[CRASHING, HARMLESS]);
    }
    fleet.exchange();
    assert_eq!(
        (
            fleet.gateways_barring(CRASHING),
            fleet.gateways_barring(HARMLESS)
        ),
        (5, 0)
    );
}

#[test]
fn an_earlier_answer_clears_a_request_only_once() {
    let mut fleet = Fleet::new(5, 5);
    let now = fleet.now;
    fleet.gateways[4].record_answer(now, CRASHING);
    for worker in 0..6 {
        fleet.record_worker_end(0, worker, &[CRASHING]);
        fleet.exchange_for(STEP, &mut || true);
    }
    assert_eq!(fleet.gateways_barring(CRASHING), 5);
}

#[test]
fn an_answer_that_arrives_after_the_bar_lifts_it() {
    let mut fleet = Fleet::new(5, 5);
    for worker in 0..3 {
        fleet.record_worker_end(0, worker, &[HARMLESS]);
    }
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(HARMLESS), 5);
    let now = fleet.now;
    fleet.gateways[2].record_answer(now, HARMLESS);
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(HARMLESS), 0);
}

#[test]
fn a_restarted_gateway_learns_of_a_bar_after_its_first_worker_end() {
    let mut fleet = Fleet::new(3, 3);
    for worker in 0..3 {
        fleet.record_worker_end(0, worker, &[CRASHING]);
    }
    fleet.exchange();
    fleet.gateways[2] = Quarantine::default();
    fleet.record_worker_end(2, 9, &[CRASHING]);
    fleet.exchange_for(STEP, &mut || true);
    assert!(fleet.gateways[2].is_barred(CRASHING));
}

#[test]
fn a_request_that_the_store_lists_is_barred_until_it_is_no_longer_listed() {
    let mut gateway = Quarantine::default();
    let listed = BTreeSet::from([CRASHING]);
    assert_eq!(gateway.set_listed(at(0), &listed), [CRASHING]);
    assert!(gateway.set_listed(at(1), &listed).is_empty());
    assert!(gateway.is_barred(CRASHING));
    gateway.set_listed(at(2), &BTreeSet::new());
    assert!(!gateway.is_barred(CRASHING));
}

#[test]
fn a_lifted_bar_is_to_be_removed_from_the_list_unless_it_returns() {
    let mut gateway = Quarantine::default();
    let listed = BTreeSet::from([CRASHING]);
    gateway.set_listed(at(0), &listed);
    gateway.record_answer(at(1), CRASHING);
    gateway.set_listed(at(2), &listed);
    assert!(!gateway.is_barred(CRASHING));
    assert_eq!(gateway.stale_listings().collect::<Vec<_>>(), [CRASHING]);
    for worker in 0..3 {
        gateway.record_worker_end(at(3), WorkerKey(worker), [CRASHING]);
    }
    assert!(gateway.is_barred(CRASHING));
    assert_eq!(gateway.stale_listings().count(), 0);
}

#[test]
fn a_barred_request_is_reported_as_unlisted_until_it_is_listed() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        assert_eq!(gateway.unlisted().count(), 0);
        gateway.record_worker_end(at(worker), WorkerKey(worker), [CRASHING]);
    }
    let unlisted: Vec<_> = gateway.unlisted().collect();
    assert_eq!(unlisted.len(), 1);
    assert_eq!((unlisted[0].since, unlisted[0].ends), (at(2), 3));
    gateway.set_listed(at(4), &BTreeSet::from([CRASHING]));
    assert_eq!(gateway.unlisted().count(), 0);
}

#[test]
fn worker_ends_expire_after_the_last_one() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        gateway.record_worker_end(at(0), WorkerKey(worker), [CRASHING]);
    }
    gateway.expire(at(0) + SUSPECT_TTL);
    assert!(gateway.is_barred(CRASHING));
    gateway.expire(at(1) + SUSPECT_TTL);
    assert!(!gateway.is_barred(CRASHING));
}

#[test]
fn callers_that_vary_their_bodies_do_not_evict_a_barred_request() {
    let mut gateway = Quarantine::default();
    for worker in 0..3 {
        gateway.record_worker_end(at(0), WorkerKey(worker), [CRASHING]);
    }
    for number in 0..20_000 {
        let varied = Fingerprint(1_000 + number);
        gateway.record_worker_end(at(1 + number), WorkerKey(number), [varied]);
        gateway.record_answer(at(1 + number), Fingerprint(1_000_000 + number));
    }
    assert!(gateway.is_barred(CRASHING));
    assert_eq!(gateway.barred_count(), 1);
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// One message in three is lost: all gateways still bar the request within the time limit.
    #[test]
    fn repeated_messages_make_up_for_lost_ones(
        observers in prop::collection::vec(0_usize..6, WORKER_ENDS_TO_BAR),
        lost in prop::collection::vec(prop::bool::weighted(0.33), 64),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut number = 0;
        let mut arrives = || {
            number += 1;
            !lost[number % lost.len()]
        };
        for (worker, gateway) in observers.into_iter().enumerate() {
            fleet.record_worker_end(gateway, worker as u64, &[CRASHING]);
            fleet.exchange_for(STEP, &mut arrives);
        }
        fleet.exchange_for(PROPAGATION_LIMIT, &mut arrives);
        prop_assert_eq!(fleet.gateways_barring(CRASHING), 6);
    }

    /// Updates that are repeated and reordered do not bar a request with fewer worker ends than needed.
    #[test]
    fn repeated_and_reordered_updates_add_nothing(
        order in prop::collection::vec((0_usize..6, 0_usize..4), 1..60),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut messages = Vec::new();
        for worker in 0..(WORKER_ENDS_TO_BAR - 1) {
            fleet.record_worker_end(worker, worker as u64, &[CRASHING]);
            let now = fleet.now;
            let due = fleet.gateways[worker].take_due_updates(now);
            messages.extend(due.into_iter().map(|outgoing| outgoing.update));
        }
        for (receiver, message) in order {
            let update = messages[message % messages.len()].clone();
            fleet.apply_update(receiver, 0, &update);
        }
        prop_assert_eq!(fleet.gateways_barring(CRASHING), 0);
    }
}

#[test]
fn gateways_that_know_many_ends_of_different_workers_stop_answering_each_other() {
    let mut fleet = Fleet::new(2, 2);
    for worker in 0..20 {
        fleet.record_worker_end(0, worker, &[CRASHING]);
        fleet.record_worker_end(1, 100 + worker, &[CRASHING]);
    }
    let mut update = fleet.gateways[0]
        .take_due_updates(fleet.now)
        .remove(0)
        .update;
    for answers in 0..3 {
        let applied = fleet.gateways[1 - answers % 2].apply_update(fleet.now, &update, true);
        if applied.reply.is_empty() {
            return;
        }
        update = applied.reply;
    }
    panic!("the gateways still answer each other after three messages");
}
