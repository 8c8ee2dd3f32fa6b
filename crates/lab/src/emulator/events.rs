//! The event queue: events in order of time; events at the same time in order of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tansyhall_core::{Role, Timestamp};
use tansyhall_routing::LoadSnapshot;

/// An event of the emulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A request of the trace arrives at its node.
    Arrival {
        /// Index into the trace.
        request: usize,
    },
    /// Work reaches an engine.
    Submit {
        /// The engine.
        engine: usize,
        /// Index into the trace.
        request: usize,
        /// Whether this is the decode part of a split request, after its KV transfer.
        decode_part: bool,
    },
    /// An engine's iteration ends.
    IterationEnd {
        /// The engine.
        engine: usize,
        /// The engine's incarnation when the iteration began.
        incarnation: u32,
    },
    /// All engines send reports.
    SendReports,
    /// A report reaches a node.
    Report {
        /// The node.
        node: usize,
        /// The engine.
        engine: usize,
        /// The engine's role when the report was made.
        role: Role,
        /// Whether the engine accepted work when the report was made.
        accepts_work: bool,
        /// The engine's load when the report was made.
        snapshot: LoadSnapshot,
    },
    /// The lease holder plans roles.
    Plan,
    /// A role change ends.
    RoleChanged {
        /// The engine.
        engine: usize,
        /// The engine's incarnation when the role change began.
        incarnation: u32,
    },
    /// An engine crashes.
    Crash {
        /// The engine.
        engine: usize,
    },
    /// A crashed engine has restarted.
    Restart {
        /// The engine.
        engine: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl Eq for Entry {}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Pending events.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
