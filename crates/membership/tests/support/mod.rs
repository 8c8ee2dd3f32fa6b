//! Simulates a network in virtual time: members exchange encoded datagrams, and some datagrams are
//! lost.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tansyhall_core::{Duration, Incarnation, Timestamp};
use tansyhall_membership::{
    Action, MemberAddresses, MemberRecord, MemberState, Membership, MembershipSettings,
};
use tansyhall_proto::{decode_datagram, encode_datagram};

const TICK: Duration = Duration::from_millis(50);
const MAX_DELIVERY_MICROS: u64 = 3_000;

pub struct Host {
    pub membership: Membership,
    pub is_running: bool,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub was_asked_to_leave: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: Timestamp,
    order: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub struct Network {
    pub now: Timestamp,
    pub hosts: Vec<Host>,
    pub loss: f64,
    /// Hosts that are separated from all other hosts by a network partition.
    pub isolated: BTreeSet<usize>,
    pub false_dead_declarations: usize,
    addresses: BTreeMap<SocketAddr, usize>,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    order: u64,
    rng: ChaCha8Rng,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

pub fn record(index: usize, zone: &str, incarnation: u64) -> MemberRecord {
    let peers = address(index);
    MemberRecord {
        name: format!("node-{index:03}").as_str().into(),
        zone: zone.into(),
        addresses: MemberAddresses {
            peers,
            admin: peers,
            callers: peers,
        },
        incarnation: Incarnation(incarnation),
        state: MemberState::Alive,
        configuration_revision: 0,
    }
}

impl Network {
    /// Creates zones of these sizes. Each member has the first member of its zone as a contact, and
    /// the first member of each zone has the first member of the first zone as a contact.
    pub fn new(zones: &[(&str, usize)], seed: u64) -> Self {
        let mut network = Self {
            now: Timestamp::from_millis(1_000),
            hosts: Vec::new(),
            loss: 0.0,
            isolated: BTreeSet::new(),
            false_dead_declarations: 0,
            addresses: BTreeMap::new(),
            deliveries: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (zone, size) in zones {
            let first = network.hosts.len();
            for index in first..first + size {
                network.addresses.insert(address(index), index);
                let host = network.start(index, zone, 1_000, first);
                network.hosts.push(host);
            }
            network.hosts[first].membership.add_contact(address(0));
        }
        network
    }

    fn start(&mut self, index: usize, zone: &str, incarnation: u64, contact: usize) -> Host {
        let own = record(index, zone, incarnation);
        let seed = self.rng.random();
        let mut membership = Membership::new(MembershipSettings::default(), own, seed);
        membership.add_contact(address(contact));
        Host {
            membership,
            is_running: true,
            sent_bytes: 0,
            received_bytes: 0,
            was_asked_to_leave: false,
        }
    }

    /// Replaces a host's process with a new one that knows only `contact`.
    pub fn restart(&mut self, index: usize, zone: &str, incarnation: u64, contact: usize) {
        self.hosts[index] = self.start(index, zone, incarnation, contact);
    }

    /// Replaces a host's process with one of another name at the same address.
    pub fn replace_with_other_name(
        &mut self,
        index: usize,
        name: &str,
        zone: &str,
        incarnation: u64,
    ) {
        let own = MemberRecord {
            name: name.into(),
            ..record(index, zone, incarnation)
        };
        let host = self.start(index, zone, incarnation, 0);
        let mut membership = Membership::new(MembershipSettings::default(), own, incarnation);
        membership.add_contact(address(0));
        self.hosts[index] = Host { membership, ..host };
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds, and returns the elapsed time. Panics if that takes longer than
    /// `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now < start + limit,
                "condition did not hold within {limit:?}"
            );
            self.step();
        }
        self.now.since(start)
    }

    fn step(&mut self) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_running {
                let actions = self.hosts[index].membership.tick(self.now);
                self.execute(index, actions);
            }
        }
        let end = self.now + TICK;
        while self.deliveries.peek().is_some_and(|next| next.0.at < end) {
            let Reverse(delivery) = self.deliveries.pop().expect("queue was not empty");
            self.now = self.now.max(delivery.at);
            self.deliver(delivery);
        }
        self.now = end;
    }

    fn deliver(&mut self, delivery: Delivery) {
        let host = &mut self.hosts[delivery.to];
        if !host.is_running {
            return;
        }
        host.received_bytes += delivery.bytes.len() as u64;
        let message = decode_datagram(&delivery.bytes).expect("datagram decodes");
        let from = address(delivery.from);
        let actions = host.membership.receive(self.now, from, message);
        self.execute(delivery.to, actions);
    }

    pub fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(index, to, encode_datagram(&message)),
                Action::StateChanged { record, .. } if record.state == MemberState::Dead => {
                    let subject = self.addresses[&record.addresses.peers];
                    let is_false = self.hosts[subject].is_running && self.isolated.is_empty();
                    self.false_dead_declarations += usize::from(is_false);
                }
                Action::AskedToLeave => self.hosts[index].was_asked_to_leave = true,
                Action::ForeignSender { from } => {
                    panic!("host {index} ignored a message from {from}, which is in its fleet")
                }
                Action::StateChanged { .. }
                | Action::MessageReceived { .. }
                | Action::BackendChanged(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.hosts[from].sent_bytes += bytes.len() as u64;
        let Some(to) = self.addresses.get(&to).copied() else {
            return;
        };
        let is_separated = self.isolated.contains(&from) != self.isolated.contains(&to);
        if is_separated || self.rng.random::<f64>() < self.loss {
            return;
        }
        self.order += 1;
        let delay = self.rng.random_range(200..MAX_DELIVERY_MICROS);
        self.deliveries.push(Reverse(Delivery {
            at: self.now + Duration::from_micros(delay),
            order: self.order,
            from,
            to,
            bytes,
        }));
    }

    /// Returns the state of `subject` in the table of `observer`.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let name = self.hosts[subject].membership.own_record().name.clone();
        let mut members = self.hosts[observer].membership.members();
        let record = members.find(|record| record.name == name)?;
        Some(record.state)
    }

    /// Returns whether the subject is in one of these states in the tables of all other running
    /// hosts.
    pub fn all_have_state(&self, subject: usize, states: &[MemberState]) -> bool {
        let observers = (0..self.hosts.len()).filter(|observer| *observer != subject);
        let mut running = observers.filter(|observer| self.hosts[*observer].is_running);
        running.all(|observer| {
            self.state(observer, subject)
                .is_some_and(|state| states.contains(&state))
        })
    }

    /// Returns whether every running host has `size` alive members in its table.
    pub fn has_converged(&self, size: usize) -> bool {
        let running = self.hosts.iter().filter(|host| host.is_running);
        running.clone().all(|host| {
            let alive = host.membership.members();
            let alive = alive.filter(|record| record.state == MemberState::Alive);
            alive.count() == size
        })
    }

    /// Returns the bytes that each host sent and received per second, over the `seconds` since the
    /// counts were reset.
    pub fn bytes_per_second(&self, seconds: u64) -> Vec<u64> {
        let bytes = |host: &Host| (host.sent_bytes + host.received_bytes) / seconds;
        self.hosts.iter().map(bytes).collect()
    }

    pub fn reset_byte_counts(&mut self) {
        for host in &mut self.hosts {
            host.sent_bytes = 0;
            host.received_bytes = 0;
        }
    }
}
