//! A simulated fleet of share nodes in virtual time. Each node has its own clock, and the test controls
//! the network.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::{NodeId, Timestamp};
use tansyhall_shares::{
    Action, Amount, Event, FleetView, LimitKey, Message, ShareNode, ShareSettings,
};

/// A message in transit.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// Metadata of a message that was sent.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub from: usize,
    pub bytes: usize,
}

struct Process {
    node: ShareNode,
    incarnation: u64,
    /// How far the process's clock is ahead of the fleet's time, in microseconds.
    clock_offset_micros: u64,
    running: bool,
}

/// A simulated fleet.
pub struct Fleet {
    pub now: Timestamp,
    pub in_flight: Vec<Envelope>,
    pub sent: Vec<Sent>,
    limits: BTreeMap<LimitKey, Amount>,
    processes: Vec<Process>,
}

pub fn node_name(index: usize) -> NodeId {
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
            let process = fleet.new_process(index, 1, size);
            fleet.processes.push(process);
        }
        fleet
    }

    fn new_process(&self, index: usize, incarnation: u64, size: usize) -> Process {
        let clock_offset_micros = (index as u64 * 7 + incarnation * 13) * 1_000_000;
        let now = Timestamp(self.now.0 + clock_offset_micros);
        let settings = ShareSettings::default();
        let mut node = ShareNode::new(settings, node_name(index), incarnation, size as u64, now);
        node.step(now, Event::Limits(self.limits.clone()));
        let live = (0..size).map(node_name).collect();
        let fleet_size = size as u64;
        node.step(now, Event::View(FleetView { live, fleet_size }));
        Process {
            node,
            incarnation,
            clock_offset_micros,
            running: true,
        }
    }

    /// Restarts a node. The new incarnation has none of the previous one's state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation + 1;
        self.processes[index] = self.new_process(index, incarnation, self.processes.len());
    }

    /// Sets whether a node is running. A node that is paused or has crashed processes no events and uses
    /// no shares.
    pub fn set_running(&mut self, index: usize, running: bool) {
        self.processes[index].running = running;
    }

    /// Passes an event to a node and puts the messages that it sends in transit.
    pub fn step(&mut self, index: usize, event: Event) {
        let process = &mut self.processes[index];
        if !process.running {
            return;
        }
        let now = Timestamp(self.now.0 + process.clock_offset_micros);
        for Action::Send { to, message } in process.node.step(now, event) {
            let to = to
                .as_str()
                .strip_prefix("node-")
                .expect("node name without the prefix node-");
            let to = to.parse().expect("node name without an index");
            let from = index;
            let bytes = message.encoded_bytes();
            self.sent.push(Sent { from, bytes });
            self.in_flight.push(Envelope { from, to, message });
        }
    }

    pub fn set_view(&mut self, index: usize, live: &[usize]) {
        let live = live.iter().copied().map(node_name).collect();
        let fleet_size = self.processes.len() as u64;
        self.step(index, Event::View(FleetView { live, fleet_size }));
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let from = node_name(envelope.from);
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

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    /// Simulates one second with the given demands, on a network that loses no messages.
    pub fn run_second(&mut self, demands: &[(usize, LimitKey, Amount)]) {
        self.advance(Duration::from_secs(1));
        for (index, key, amount) in demands.iter().copied() {
            self.step(index, Event::Demand { key, amount });
        }
        for index in 0..self.processes.len() {
            self.step(index, Event::Tick);
        }
        self.deliver_all();
    }

    pub fn run_seconds(&mut self, seconds: usize, demands: &[(usize, LimitKey, Amount)]) {
        for _ in 0..seconds {
            self.run_second(demands);
        }
    }

    pub fn usable(&self, index: usize, key: LimitKey) -> Amount {
        let process = &self.processes[index];
        if !process.running {
            return 0;
        }
        let now = Timestamp(self.now.0 + process.clock_offset_micros);
        process.node.usable(now, key)
    }

    pub fn total_usable(&self, key: LimitKey) -> Amount {
        let nodes = 0..self.processes.len();
        nodes.map(|index| self.usable(index, key)).sum()
    }
}
