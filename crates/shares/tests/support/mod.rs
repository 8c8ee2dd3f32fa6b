//! A fleet of share nodes in virtual time, with clocks of their own and a network that the test
//! commands.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::{NodeId, Timestamp};
use tansyhall_shares::{Action, Amount, Event, LimitKey, Message, ShareNode, ShareSettings, View};

/// A message under way.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A message that was sent.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub from: usize,
    pub bytes: usize,
}

struct Process {
    node: ShareNode,
    incarnation: u64,
    /// The process's clock reads the fleet's time plus this.
    clock_ahead: u64,
    running: bool,
}

/// A fleet.
pub struct Fleet {
    pub now: Timestamp,
    pub in_flight: Vec<Envelope>,
    pub sent: Vec<Sent>,
    limits: BTreeMap<LimitKey, Amount>,
    processes: Vec<Process>,
}

pub fn name_of(index: usize) -> NodeId {
    NodeId::new(format!("node-{index}"))
}

impl Fleet {
    pub fn new(size: usize, limits: BTreeMap<LimitKey, Amount>) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            in_flight: Vec::new(),
            sent: Vec::new(),
            limits,
            processes: Vec::new(),
        };
        for index in 0..size {
            let process = fleet.process(index, 1, size);
            fleet.processes.push(process);
        }
        fleet
    }

    fn process(&self, index: usize, incarnation: u64, size: usize) -> Process {
        let clock_ahead = (index as u64 * 7 + incarnation * 13) * 1_000_000;
        let now = Timestamp(self.now.0 + clock_ahead);
        let settings = ShareSettings::default();
        let mut node = ShareNode::new(settings, name_of(index), incarnation, size as u64, now);
        node.step(now, Event::Limits(self.limits.clone()));
        let live = (0..size).map(name_of).collect();
        let fleet_size = size as u64;
        node.step(now, Event::View(View { live, fleet_size }));
        Process {
            node,
            incarnation,
            clock_ahead,
            running: true,
        }
    }

    /// A new run of a node, which has forgotten everything.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation + 1;
        self.processes[index] = self.process(index, incarnation, self.processes.len());
    }

    /// A node that is paused or dead takes no step and uses nothing.
    pub fn set_running(&mut self, index: usize, running: bool) {
        self.processes[index].running = running;
    }

    /// Gives a node an event, and puts what it sends under way.
    pub fn step(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        if !process.running {
            return;
        }
        let now = Timestamp(self.now.0 + process.clock_ahead);
        for Action::Send { to, message } in process.node.step(now, event) {
            let to = to.as_str().strip_prefix("node-").expect("a node's name");
            let to = to.parse().expect("an index");
            let from = index;
            let bytes = message.encoded_bytes();
            self.sent.push(Sent { from, bytes });
            self.in_flight.push(Envelope { from, to, message });
        }
    }

    pub fn view(&mut self, index: usize, live: &[usize]) {
        let live = live.iter().copied().map(name_of).collect();
        let fleet_size = self.processes.len() as u64;
        self.step(index, Event::View(View { live, fleet_size }));
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let from = name_of(envelope.from);
        let message = envelope.message;
        self.step(envelope.to, Event::Received { from, message });
    }

    pub fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            for envelope in std::mem::take(&mut self.in_flight) {
                self.deliver(envelope);
            }
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Lets a second pass with the same wants, on a network that loses nothing.
    pub fn second(&mut self, wants: &[(usize, LimitKey, Amount)]) {
        self.advance(Duration::from_secs(1));
        for (index, key, amount) in wants.iter().copied() {
            self.step(index, Event::Want { key, amount });
        }
        for index in 0..self.processes.len() {
            self.step(index, Event::Tick);
        }
        self.deliver_all();
    }

    pub fn seconds(&mut self, seconds: usize, wants: &[(usize, LimitKey, Amount)]) {
        for _ in 0..seconds {
            self.second(wants);
        }
    }

    pub fn usable(&self, index: usize, key: LimitKey) -> Amount {
        let process = &self.processes[index];
        if !process.running {
            return 0;
        }
        let now = Timestamp(self.now.0 + process.clock_ahead);
        process.node.usable(now, key)
    }

    pub fn usable_in_all(&self, key: LimitKey) -> Amount {
        let nodes = 0..self.processes.len();
        nodes.map(|index| self.usable(index, key)).sum()
    }
}
