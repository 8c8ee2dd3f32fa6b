//! Simulates the dissemination of revisions between many nodes in virtual time: its duration, that
//! no node returns to an older revision, and what a restarted node does before it serves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::*;
use tansyhall_core::{Duration, Timestamp};
use tansyhall_dissemination::{
    Action, Dissemination, DisseminationSettings, MembershipView, Peer, PullOutcome, RevisionStatus,
};
use tansyhall_fixed_cases::config_with_seed;

const TICK: Duration = Duration::from_millis(100);
/// The ticks between the probes of a node. In a probe, both nodes report the revision that they
/// have in force.
const TICKS_PER_PROBE: u64 = 10;
const DELIVERY_TIME: Duration = Duration::from_millis(2);

fn peer(index: usize) -> Peer {
    Peer {
        name: format!("node-{index:03}").as_str().into(),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16)),
    }
}

#[derive(Debug, Clone)]
enum Event {
    StatusReceived {
        from: usize,
        status: RevisionStatus,
    },
    PullEnded {
        from: usize,
        status: Option<RevisionStatus>,
    },
}

struct Zone {
    now: Timestamp,
    nodes: Vec<Dissemination>,
    running: BTreeSet<usize>,
    in_force: Vec<u64>,
    /// The newest revision of the store, or `None` while the store is down.
    store: Option<u64>,
    events: BTreeMap<(Timestamp, u64), (usize, Event)>,
    order: u64,
    ticks: u64,
    announcements: usize,
    has_decreased: bool,
}

impl Zone {
    fn new(size: usize) -> Self {
        let node = |seed| Dissemination::new(DisseminationSettings::default(), seed as u64);
        Self {
            now: Timestamp::from_millis(1_000),
            nodes: (0..size).map(node).collect(),
            running: (0..size).collect(),
            in_force: vec![0; size],
            store: Some(1),
            events: BTreeMap::new(),
            order: 0,
            ticks: 0,
            announcements: 0,
            has_decreased: false,
        }
    }

    fn watcher(&self) -> Option<usize> {
        self.running.first().copied()
    }

    fn restart(&mut self, index: usize, seed: u64) {
        self.nodes[index] = Dissemination::new(DisseminationSettings::default(), seed);
        self.in_force[index] = 0;
        self.running.insert(index);
    }

    fn step(&mut self) {
        let running: Vec<usize> = self.running.iter().copied().collect();
        for index in running.iter().copied() {
            let others = running.iter().filter(|other| **other != index);
            let view = MembershipView {
                is_watcher: self.watcher() == Some(index),
                is_settled: true,
                neighbours: others.map(|other| peer(*other)).collect(),
            };
            let actions = self.nodes[index].tick(self.now, view);
            self.execute(index, actions);
            if let Some(revision) = self.store.filter(|_| self.nodes[index].follows_store()) {
                let actions = self.nodes[index].handle_store_revision(self.now, revision);
                self.execute(index, actions);
            }
        }
        self.ticks += 1;
        if self.ticks % TICKS_PER_PROBE == 0 {
            self.probe(self.ticks / TICKS_PER_PROBE);
        }
        let end = self.now + TICK;
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 < end) {
            self.now = self.now.max(next.key().0);
            let (to, event) = next.remove();
            self.deliver(to, event);
        }
        self.now = end;
    }

    /// Each node exchanges the revision in force with one other node. The other node changes from
    /// round to round.
    fn probe(&mut self, round: u64) {
        let size = self.nodes.len();
        let distance = 1 + round as usize % (size - 1);
        for from in self.running.clone() {
            let to = (from + distance) % size;
            if self.running.contains(&to) {
                let status = self.nodes[from].status(self.now);
                self.schedule(to, Event::StatusReceived { from, status });
                let status = self.nodes[to].status(self.now);
                self.schedule(from, Event::StatusReceived { from: to, status });
            }
        }
    }

    fn deliver(&mut self, to: usize, event: Event) {
        if !self.running.contains(&to) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[to];
        let actions = match event {
            Event::StatusReceived { from, status } => node.handle_status(now, &peer(from), status),
            Event::PullEnded { from, status } => {
                let outcome = status.map_or(PullOutcome::Failed, PullOutcome::Held);
                node.handle_pull_outcome(now, &peer(from), outcome)
            }
        };
        self.execute(to, actions);
    }

    fn schedule(&mut self, to: usize, event: Event) {
        self.order += 1;
        let key = (self.now + DELIVERY_TIME, self.order);
        self.events.insert(key, (to, event));
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Pull { peer, .. } => {
                    let from = peer.address.port() as usize - 7_000;
                    let answers = self.running.contains(&from);
                    let status = answers.then(|| self.nodes[from].status(self.now));
                    self.schedule(index, Event::PullEnded { from, status });
                }
                Action::PutInForce => self.put_in_force(index),
                Action::Announce { peers } => {
                    let status = self.nodes[index].status(self.now);
                    for peer in peers {
                        self.announcements += 1;
                        let to = peer.address.port() as usize - 7_000;
                        self.schedule(
                            to,
                            Event::StatusReceived {
                                from: index,
                                status,
                            },
                        );
                    }
                }
            }
        }
    }

    fn put_in_force(&mut self, index: usize) {
        let revision = self.nodes[index].revision_held();
        self.has_decreased |= revision < self.in_force[index];
        self.in_force[index] = revision;
        let actions = self.nodes[index].handle_put_in_force(revision);
        self.execute(index, actions);
    }

    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            let limit = Duration::from_secs(30);
            assert!(
                self.now.since(start) < limit,
                "condition did not hold within {limit:?}"
            );
            self.step();
        }
        self.now.since(start)
    }

    fn all_have_in_force(&self, revision: u64) -> bool {
        let mut running = self.running.iter();
        running.all(|index| self.in_force[*index] == revision)
    }
}

#[test]
fn a_change_is_in_force_at_all_nodes_within_five_seconds() {
    let mut zone = Zone::new(64);
    zone.run_until(|zone| zone.all_have_in_force(1));
    zone.announcements = 0;
    zone.store = Some(2);
    let took = zone.run_until(|zone| zone.all_have_in_force(2));
    println!(
        "in force at 64 nodes after {took:?}, {} announcements",
        zone.announcements
    );
    assert!(took < Duration::from_secs(5));
    assert!(!zone.has_decreased);
}

#[test]
fn a_restarted_node_uses_the_newest_revision_of_its_peers_while_the_store_is_down() {
    let mut zone = Zone::new(9);
    zone.run_until(|zone| zone.all_have_in_force(1));
    zone.store = None;
    // Three nodes have a newer revision than the others and have not announced it yet.
    for index in [6, 7, 8] {
        let actions = zone.nodes[index].handle_store_revision(zone.now, 5);
        zone.execute(index, actions);
    }
    zone.events.clear();
    zone.restart(3, 99);
    zone.run_until(|zone| zone.nodes[3].is_recovered());
    assert_eq!(zone.in_force[3], 5);
}

#[test]
fn nodes_that_all_restarted_without_a_store_do_not_complete_recovery() {
    let mut zone = Zone::new(5);
    zone.store = None;
    for _ in 0..200 {
        zone.step();
    }
    assert!(zone.nodes.iter().all(|node| !node.is_recovered()));
    zone.store = Some(3);
    zone.run_until(|zone| zone.all_have_in_force(3));
}

#[test]
fn an_invalid_revision_is_not_pulled_again() {
    let mut node = Dissemination::new(DisseminationSettings::default(), 1);
    let now = Timestamp::from_millis(1);
    let view = MembershipView {
        is_watcher: true,
        is_settled: true,
        neighbours: vec![peer(1)],
    };
    node.tick(now, view.clone());
    node.handle_store_revision(now, 4);
    node.handle_put_in_force(4);
    let status = RevisionStatus {
        revision: 5,
        confirmation_age: Duration::ZERO,
    };
    let actions = node.handle_status(now, &peer(1), status);
    assert!(matches!(actions[..], [Action::Pull { .. }]));
    node.handle_pull_outcome(now, &peer(1), PullOutcome::Refused { revision: 5 });
    let later = now + Duration::from_secs(60);
    assert_eq!(node.handle_status(later, &peer(1), status), Vec::new());
    assert_eq!(node.tick(later, view), Vec::new());
    assert_eq!(node.revision_in_force(), 4);
}

#[test]
fn staleness_is_reset_by_the_confirmations_of_peers() {
    let mut zone = Zone::new(3);
    zone.run_until(|zone| zone.all_have_in_force(1));
    let status = RevisionStatus {
        revision: 1,
        confirmation_age: Duration::from_secs(1),
    };
    let later = zone.now + Duration::from_secs(40);
    assert!(zone.nodes[2].staleness(later) >= Some(Duration::from_secs(40)));
    zone.nodes[2].handle_status(later, &peer(0), status);
    assert_eq!(zone.nodes[2].staleness(later), Some(Duration::from_secs(1)));
}

#[derive(Debug, Clone)]
enum Fault {
    Change,
    StoreDown,
    StoreUp,
    Stop(usize),
    Restart(usize),
    Wait,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Change),
        1 => Just(Fault::StoreDown),
        1 => Just(Fault::StoreUp),
        2 => (0..7_usize).prop_map(Fault::Stop),
        2 => (0..7_usize).prop_map(Fault::Restart),
        3 => Just(Fault::Wait),
    ]
}

proptest! {
    #![proptest_config(config_with_seed(1))]

    /// No node returns to an older revision after any sequence of stops, restarts and changes. Once
    /// all nodes and the store run again, every node has the newest revision in force.
    #[test]
    fn no_node_returns_to_an_older_revision(faults in vec(fault(), 1..30)) {
        let mut zone = Zone::new(7);
        let mut newest = 1;
        for (seed, fault) in faults.into_iter().enumerate() {
            match fault {
                Fault::Change => {
                    newest += u64::from(zone.store.is_some());
                    zone.store = zone.store.map(|_| newest);
                }
                Fault::StoreDown => zone.store = None,
                Fault::StoreUp => zone.store = Some(newest),
                Fault::Stop(index) => {
                    zone.running.remove(&index);
                }
                Fault::Restart(index) => zone.restart(index, seed as u64 + 100),
                Fault::Wait => (0..20).for_each(|_| zone.step()),
            }
            zone.step();
            prop_assert!(!zone.has_decreased);
        }
        zone.store = Some(newest);
        zone.running = (0..7).collect();
        zone.run_until(|zone| zone.all_have_in_force(newest));
    }
}

/// Returns the peers of all pulls, each with the revision that the pull states as held.
fn pulls(actions: &[Action]) -> Vec<(Peer, u64)> {
    let pull = |action: &Action| match action {
        Action::Pull {
            peer,
            held_revision,
        } => Some((peer.clone(), *held_revision)),
        _ => None,
    };
    actions.iter().filter_map(pull).collect()
}

#[test]
fn a_node_without_a_document_pulls_from_one_peer_at_a_time() {
    let mut node = Dissemination::new(DisseminationSettings::default(), 1);
    let view = MembershipView {
        is_watcher: false,
        is_settled: true,
        neighbours: (1..7).map(peer).collect(),
    };
    let status = |revision| RevisionStatus {
        revision,
        confirmation_age: Duration::ZERO,
    };
    let now = Timestamp::from_millis(1_000);
    let first = pulls(&node.tick(now, view.clone()));
    assert_eq!(first, [(peer(1), 0)]);
    // The first peer is itself recovering.
    node.handle_pull_outcome(now, &peer(1), PullOutcome::Held(status(0)));
    let second = pulls(&node.tick(now, view.clone()));
    assert_eq!(second, [(peer(2), 0)]);
    node.handle_pull_outcome(now, &peer(2), PullOutcome::Held(status(5)));
    let remaining = pulls(&node.tick(now, view));
    assert_eq!(
        remaining.len(),
        DisseminationSettings::default().recovery_parallelism
    );
    assert!(remaining
        .iter()
        .all(|(_, held_revision)| *held_revision == 5));
}
