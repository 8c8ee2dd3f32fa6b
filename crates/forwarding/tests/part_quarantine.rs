//! Gateways jointly find the prompt part that crashes workers, and serve requests that do not hold it.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{ServiceName, TenantName, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::part_quarantine::{TRIAL_DELAY, TRIAL_TTL};
use tansyhall_forwarding::quarantine::SUSPECT_TTL;
use tansyhall_forwarding::{
    shared_parts, Audience, Fingerprint, PartQuarantine, PartVerdict, PromptPart, QuarantineUpdate,
    TrialTurns, WorkerKey,
};

const SEED: u64 = 64;
const GUILTY: Fingerprint = Fingerprint(1);
const SHARED: Fingerprint = Fingerprint(2);
const OTHER: Fingerprint = Fingerprint(3);
const GATEWAYS: usize = 5;
/// Time within which gateways must learn of each other's changes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);
/// Number of requests with a barred part that may reach workers.
const MAX_TRIALS: usize = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Gateways that send each other updates.
struct Fleet {
    gateways: Vec<PartQuarantine>,
    names: Vec<String>,
    now: Timestamp,
    /// Whether updates arrive.
    is_connected: bool,
    workers: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            gateways: (0..GATEWAYS).map(|_| PartQuarantine::default()).collect(),
            names: (0..GATEWAYS)
                .map(|number| format!("gateway-{number}"))
                .collect(),
            now: at(1_000),
            is_connected: true,
            workers: 0,
        }
    }

    /// Records that another worker ended, while it was running requests of several gateways.
    fn end_worker(&mut self, running: &[(usize, &[Fingerprint])]) {
        self.workers += 1;
        for (gateway, parts) in running {
            let worker = WorkerKey(self.workers);
            let parts = parts.iter().copied();
            self.gateways[*gateway].record_worker_end(self.now, worker, parts);
        }
    }

    fn exchange_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            for sender in 0..GATEWAYS {
                for outgoing in self.gateways[sender].take_due_updates(self.now) {
                    assert!(matches!(
                        outgoing.audience,
                        Audience::Listeners | Audience::All
                    ));
                    for receiver in (0..GATEWAYS).filter(|receiver| *receiver != sender) {
                        if self.is_connected {
                            self.apply_update(receiver, sender, &outgoing.update);
                        }
                    }
                }
            }
            self.now = self.now + STEP;
        }
    }

    fn apply_update(&mut self, receiver: usize, sender: usize, update: &QuarantineUpdate) {
        let applied = self.gateways[receiver].apply_update(self.now, update, true);
        self.gateways[sender].apply_update(self.now, &applied.reply, true);
    }

    fn exchange(&mut self) {
        self.exchange_for(PROPAGATION_LIMIT);
    }

    fn gateways_barring(&self, part: Fingerprint) -> usize {
        let gateways = self.gateways.iter();
        gateways.filter(|gateway| gateway.is_barred(part)).count()
    }

    fn judge(&self, gateway: usize, parts: &[Fingerprint]) -> PartVerdict {
        let turns = TrialTurns::Of {
            own: &self.names[gateway],
            listeners: &self.names,
        };
        self.gateways[gateway].judge(self.now, parts, turns)
    }

    /// Lets requests with these parts arrive at all gateways for a while. Returns how many were sent. `crashes` says whether
    /// each ends its worker; otherwise it is answered.
    fn send_for(&mut self, time: Duration, parts: &[Fingerprint], crashes: bool) -> usize {
        let until = self.now + time;
        let mut sent = 0;
        while self.now < until {
            for gateway in 0..GATEWAYS {
                match self.judge(gateway, parts) {
                    PartVerdict::Allowed => {}
                    PartVerdict::Trial => self.gateways[gateway].begin_trial(self.now, parts),
                    PartVerdict::Held | PartVerdict::Barred => continue,
                }
                sent += 1;
                match crashes {
                    true => {
                        self.now = self.now + Duration::from_millis(1);
                        self.end_worker(&[(gateway, parts)]);
                    }
                    false => self.gateways[gateway].record_answer(self.now, parts),
                }
            }
            self.exchange_for(STEP);
        }
        sent
    }
}

#[test]
fn the_last_part_is_not_shared_and_tenants_and_services_are_told_apart() {
    let part = |id: &str| PromptPart {
        id: id.to_owned(),
        tokens: 10,
    };
    let (one, other) = (ServiceName::new("one"), ServiceName::new("other"));
    let tenant = TenantName::new("t");
    let prompt = [part("a"), part("b"), part("own")];
    let parts = shared_parts(&one, None, &prompt);
    assert_eq!(parts.len(), 2);
    assert_eq!(
        parts,
        shared_parts(&one, None, &[part("b"), part("a"), part("x")])
    );
    let separate = [
        shared_parts(&other, None, &prompt),
        shared_parts(&one, Some(&tenant), &prompt),
    ];
    for others in &separate {
        assert!(others.iter().all(|part| !parts.contains(part)));
    }
    assert!(shared_parts(&one, None, &prompt[..1]).is_empty());
    assert!(shared_parts(&one, None, &[]).is_empty());
}

#[test]
fn a_part_at_every_ended_worker_is_barred_and_those_beside_it_are_not() {
    let mut fleet = Fleet::new();
    for gateway in 0..4 {
        let shared: &[Fingerprint] = if gateway < 3 { &[SHARED] } else { &[] };
        fleet.end_worker(&[(gateway, &[GUILTY]), (gateway + 1, shared)]);
    }
    fleet.exchange_for(STEP * 2);
    assert_eq!(fleet.gateways_barring(GUILTY), GATEWAYS);
    assert_eq!(fleet.gateways_barring(SHARED), 0);
}

// Guards against popular parts that are barred because many workers end at once for another reason.
#[test]
fn a_part_at_fewer_than_half_of_the_ended_workers_is_not_barred() {
    let mut fleet = Fleet::new();
    for number in 0..8_u64 {
        let varied = [Fingerprint(100 + number)];
        let parts: &[Fingerprint] = if number < 3 { &[SHARED] } else { &varied };
        fleet.end_worker(&[(number as usize % GATEWAYS, parts)]);
    }
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(SHARED), 0);
}

// Guards against gateways of large fleets that hear of few ends of the guilty part and of many others, and go on sending it.
#[test]
fn a_gateway_that_does_not_hear_of_all_ends_adopts_the_bars_of_others() {
    let mut listener = PartQuarantine::default();
    for worker in 0..30 {
        listener.record_worker_end(at(worker), WorkerKey(worker), [GUILTY]);
    }
    let mut other = PartQuarantine::default();
    for outgoing in listener.take_due_updates(at(40)) {
        other.apply_update(at(40), &outgoing.update, false);
    }
    for worker in 0..30 {
        let seen = [Fingerprint(100 + worker)];
        other.record_worker_end(at(50 + worker), WorkerKey(worker), seen);
    }
    assert!(other.is_barred(GUILTY));
}

#[test]
fn an_answer_at_any_gateway_clears_a_part() {
    let mut fleet = Fleet::new();
    for gateway in 0..3 {
        fleet.end_worker(&[(gateway, &[SHARED])]);
    }
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(SHARED), GATEWAYS);
    let now = fleet.now;
    fleet.gateways[4].record_answer(now, &[SHARED]);
    fleet.exchange();
    assert_eq!(fleet.gateways_barring(SHARED), 0);
}

// Guards against parts that are barred with the guilty one, and that nothing clears as nothing with them is sent.
#[test]
fn a_part_that_is_only_known_beside_the_guilty_one_is_tried_and_served_again() {
    let mut fleet = Fleet::new();
    for gateway in 0..4 {
        fleet.end_worker(&[(gateway, &[GUILTY, SHARED])]);
    }
    fleet.exchange_for(STEP * 2);
    assert_eq!(fleet.gateways_barring(SHARED), GATEWAYS);
    let crashing = fleet.send_for(PROPAGATION_LIMIT, &[GUILTY, SHARED], true);
    assert_eq!(crashing, 0, "no request with all suspected parts is tried");
    let sound = fleet.send_for(PROPAGATION_LIMIT, &[SHARED], false);
    assert!(sound > GATEWAYS);
    assert_eq!(fleet.gateways_barring(SHARED), 0);
    let crashing = fleet.send_for(PROPAGATION_LIMIT, &[GUILTY, SHARED], true);
    assert!(crashing <= 1, "{crashing} requests");
    assert_eq!(fleet.gateways_barring(GUILTY), GATEWAYS);
    assert_eq!(fleet.gateways_barring(SHARED), 0);
}

#[test]
fn a_guilty_part_is_tried_once_by_the_fleet() {
    let mut fleet = Fleet::new();
    for gateway in 0..3 {
        fleet.end_worker(&[(gateway, &[GUILTY])]);
    }
    fleet.exchange_for(STEP * 2);
    assert_eq!(fleet.judge(0, &[GUILTY]), PartVerdict::Held);
    let sent = fleet.send_for(TRIAL_DELAY * 5 + TRIAL_TTL, &[GUILTY], true);
    assert_eq!(sent, 1);
    for gateway in 0..GATEWAYS {
        assert_eq!(fleet.judge(gateway, &[GUILTY]), PartVerdict::Barred);
    }
}

#[test]
fn gateways_that_do_not_hear_of_each_other_send_few_trials() {
    let mut fleet = Fleet::new();
    for gateway in 0..3 {
        fleet.end_worker(&[(gateway, &[GUILTY])]);
    }
    fleet.exchange_for(STEP * 2);
    fleet.is_connected = false;
    let sent = fleet.send_for(TRIAL_TTL * 3, &[GUILTY], true);
    assert!((1..=MAX_TRIALS).contains(&sent), "{sent} trials");
}

#[test]
fn a_trial_that_reached_no_worker_is_given_back() {
    let mut fleet = Fleet::new();
    let mut granted = None;
    for gateway in 0..3 {
        fleet.end_worker(&[(gateway, &[SHARED])]);
    }
    fleet.exchange_for(TRIAL_DELAY + STEP);
    while granted.is_none() {
        granted = (0..GATEWAYS).find(|own| fleet.judge(*own, &[SHARED]) == PartVerdict::Trial);
        fleet.exchange_for(STEP);
    }
    let (own, now) = (granted.unwrap_or_default(), fleet.now);
    fleet.gateways[own].begin_trial(now, &[SHARED]);
    assert_ne!(fleet.judge(own, &[SHARED]), PartVerdict::Trial);
    fleet.gateways[own].cancel_trial(&[SHARED]);
    let again = fleet.gateways[own].judge(fleet.now, &[SHARED], TrialTurns::Granted);
    assert_eq!(again, PartVerdict::Trial);
}

#[test]
fn a_starting_gateway_bars_what_the_store_lists_and_does_not_try_it() {
    let mut gateway = PartQuarantine::default();
    let listed = BTreeSet::from([GUILTY]);
    assert_eq!(gateway.set_listed(at(0), &listed), [GUILTY]);
    let late = at(0) + TRIAL_TTL * 2;
    let verdict = gateway.judge(late, &[GUILTY, SHARED], TrialTurns::Granted);
    assert_eq!(verdict, PartVerdict::Barred);
    gateway.record_answer(late, &[GUILTY]);
    assert!(!gateway.is_barred(GUILTY));
    assert_eq!(gateway.stale_listings().collect::<Vec<_>>(), [GUILTY]);
}

#[test]
fn a_barred_part_is_listed_and_expires_after_the_last_end() {
    let mut fleet = Fleet::new();
    for gateway in 0..3 {
        fleet.end_worker(&[(gateway, &[GUILTY])]);
    }
    fleet.exchange();
    let gateway = &mut fleet.gateways[4];
    assert_eq!(gateway.unlisted().count(), 1);
    gateway.set_listed(fleet.now, &BTreeSet::from([GUILTY]));
    assert_eq!(gateway.unlisted().count(), 0);
    gateway.set_listed(fleet.now, &BTreeSet::new());
    gateway.expire(fleet.now + SUSPECT_TTL + PROPAGATION_LIMIT);
    assert!(!gateway.is_barred(GUILTY));
}

// Guards against requests with one body, some of which hold the guilty part: they have one fingerprint as a whole.
#[test]
fn a_barred_part_explains_the_ends_of_requests_beside_it() {
    const REQUEST: Fingerprint = Fingerprint(90);
    let mut gateway = PartQuarantine::default();
    let ends = [1, 2, 3, 4].map(WorkerKey);
    for worker in ends {
        gateway.record_worker_end(at(0), worker, [GUILTY]);
    }
    gateway.record_parts_of_request(REQUEST, [GUILTY, SHARED]);
    assert!(gateway.explains(REQUEST, &[SHARED], &ends));
    assert!(!gateway.explains(REQUEST, &[SHARED], &[5, 6, 7].map(WorkerKey)));
    assert!(!gateway.explains(REQUEST, &[SHARED], &[]));
    assert!(!gateway.explains(REQUEST, &[GUILTY, SHARED], &ends));
}

// Guards against a request that crashes workers and is sent again, because parts of requests beside it are barred.
#[test]
fn a_barred_part_of_other_requests_explains_nothing() {
    const REQUEST: Fingerprint = Fingerprint(90);
    let mut gateway = PartQuarantine::default();
    let ends = [1, 2, 3].map(WorkerKey);
    for worker in ends {
        gateway.record_worker_end(at(0), worker, [SHARED]);
    }
    gateway.record_parts_of_request(REQUEST, [OTHER]);
    assert!(gateway.is_barred(SHARED));
    assert!(!gateway.explains(REQUEST, &[OTHER], &ends));
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Whatever else ended workers were running, the guilty part is barred at all gateways, and in the end no other part
    /// is: requests without the guilty part are sent, or tried, and answered.
    #[test]
    fn the_guilty_part_alone_stays_barred(
        ends in prop::collection::vec(
            (0_usize..GATEWAYS, prop::collection::vec(2_u64..8, 0..4), any::<bool>()), 4..12),
    ) {
        let mut fleet = Fleet::new();
        for (gateway, others, beside) in &ends {
            let others: Vec<Fingerprint> = others.iter().copied().map(Fingerprint).collect();
            let mut guilty = vec![GUILTY];
            if !beside {
                guilty.extend(&others);
            }
            fleet.end_worker(&[(*gateway, &guilty), ((gateway + 1) % GATEWAYS, &others)]);
            fleet.exchange_for(STEP);
        }
        fleet.exchange_for(STEP * 2);
        prop_assert_eq!(fleet.gateways_barring(GUILTY), GATEWAYS);
        for other in 2..8 {
            fleet.send_for(PROPAGATION_LIMIT, &[Fingerprint(other)], false);
        }
        for other in 2..8 {
            prop_assert_eq!(fleet.gateways_barring(Fingerprint(other)), 0);
        }
        let crashing = fleet.send_for(PROPAGATION_LIMIT, &[GUILTY, OTHER], true);
        prop_assert!(crashing <= MAX_TRIALS);
        prop_assert_eq!(fleet.gateways_barring(GUILTY), GATEWAYS);
    }
}
