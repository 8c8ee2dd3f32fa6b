//! What gateways tell each other of the load that they put on model engines.
//!
//! Each report carries absolute figures, so that a lost one is made good by the next: the sends and
//! the prompt tokens that its sender has under way at each engine, and the parts of prompts that
//! it has had read lately. A change of many tokens is reported at the next flush; a change of sends
//! alone waits for a slower pace; and what is not zero is repeated, since figures that are not
//! repeated are dropped as stale.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::cache_view::PartKey;
use crate::rate_limit::StatedLimit;
use crate::worker::WorkerId;

/// A change of this many tokens is reported at once.
const URGENT_TOKENS: u64 = 256;
/// Pace of reports on small changes.
const SMALL_CHANGE_PACE: Duration = Duration::from_millis(150);
/// Pace at which figures that are not zero are repeated.
const REPEAT_PACE: Duration = Duration::from_millis(500);
/// Parts in one report, so that it fits a datagram.
const MAX_REPORTED_PARTS: usize = 40;
/// Age at which a figure is dropped.
pub const STALE_AFTER: Duration = Duration::from_millis(1_600);

/// Names one life of a worker in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub u64);

impl WorkerKey {
    /// The key of one life of a worker.
    pub fn of(worker: &WorkerId) -> Self {
        Self(xxh3_64(worker.life().as_bytes()))
    }
}

/// Names a gateway in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayKey(pub u64);

impl GatewayKey {
    /// The key of one life of a gateway: another life of the same name has another.
    pub fn of(name: &str, life: u64) -> Self {
        Self(xxh3_64(name.as_bytes()) ^ life)
    }
}

/// Names a service in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of a service.
    pub fn of(service: &ServiceName) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()))
    }
}

/// What the callers of one gateway ask of a service's engines, what was refused included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineDemand {
    /// The service.
    pub service: ServiceKey,
    /// Engines that do nothing but read which its long prompts would keep busy.
    pub readers: f64,
    /// Engines that decode which reading its short prompts would keep busy.
    pub decoders: f64,
    /// Places of engines that decode which its streams would hold.
    pub places: f64,
}

/// What one gateway has under way at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Sends.
    pub sends: u32,
    /// Prompt tokens that are still to be read there.
    pub reading_tokens: u64,
}

impl Load {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            sends: self.sends.saturating_add(other.sends),
            reading_tokens: self.reading_tokens.saturating_add(other.reading_tokens),
        }
    }

    /// What is left without the other.
    pub fn minus(self, other: Self) -> Self {
        Self {
            sends: self.sends.saturating_sub(other.sends),
            reading_tokens: self.reading_tokens.saturating_sub(other.reading_tokens),
        }
    }
}

/// A load at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEntry {
    /// Where.
    pub worker: WorkerKey,
    /// How much.
    pub load: Load,
}

/// A part of a prompt that a worker has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRead {
    /// Where.
    pub worker: WorkerKey,
    /// What.
    pub part: PartKey,
    /// Its length.
    pub tokens: u64,
    /// Whether the reading has ended.
    pub ready: bool,
}

/// A worker that is announced and proved not to be there: nothing listens at its address, or another
/// answers in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// The worker.
    pub worker: WorkerKey,
}

/// What a worker has stated of its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitStatement {
    /// The worker.
    pub worker: WorkerKey,
    /// What it has stated.
    pub stated: StatedLimit,
}

/// What a gateway tells the others.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Who.
    pub sender: GatewayKey,
    /// Grows with each report of a sender; older ones are passed over.
    pub sequence: u64,
    /// Loads.
    pub loads: Vec<LoadEntry>,
    /// Parts read since the last report.
    pub parts: Vec<PartRead>,
    /// Workers found absent since the last report.
    pub absences: Vec<Absence>,
    /// What is asked of services, when it is due.
    pub demands: Vec<EngineDemand>,
    /// Rate limits of workers that are new, have ended or are repeated.
    pub rate_limits: Vec<LimitStatement>,
}

/// Gathers what is to be told.
#[derive(Debug)]
pub struct LoadReporter {
    sender: GatewayKey,
    sequence: u64,
    loads: BTreeMap<WorkerKey, Load>,
    urgent: BTreeSet<WorkerKey>,
    small: BTreeSet<WorkerKey>,
    parts: Vec<PartRead>,
    absences: Vec<Absence>,
    small_reported: Timestamp,
    repeated: Timestamp,
}

impl LoadReporter {
    /// Nothing to tell yet.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            sender,
            sequence: 0,
            loads: BTreeMap::new(),
            urgent: BTreeSet::new(),
            small: BTreeSet::new(),
            parts: Vec::new(),
            absences: Vec::new(),
            small_reported: Timestamp::default(),
            repeated: Timestamp::default(),
        }
    }

    /// What this gateway has under way at a worker now.
    pub fn record_load(&mut self, worker: WorkerKey, load: Load) {
        let before = self.loads.insert(worker, load).unwrap_or_default();
        let difference = before.reading_tokens.abs_diff(load.reading_tokens);
        match difference >= URGENT_TOKENS {
            true => self.urgent.insert(worker),
            false => self.small.insert(worker),
        };
    }

    /// A worker has read a part.
    pub fn record_part(&mut self, part: PartRead) {
        self.parts.push(part);
    }

    /// A worker was found absent.
    pub fn record_absence(&mut self, worker: WorkerKey) {
        self.absences.push(Absence { worker });
    }

    /// The report that is due now, if any, with these limits; `demands` are told at the pace of repetitions.
    pub fn flush(
        &mut self,
        now: Timestamp,
        rate_limits: Vec<LimitStatement>,
        demands: impl Fn() -> Vec<EngineDemand>,
    ) -> Option<LoadReport> {
        let mut told = Vec::new();
        let mut due = std::mem::take(&mut self.urgent);
        if now.since(self.small_reported) >= SMALL_CHANGE_PACE {
            self.small_reported = now;
            due.append(&mut self.small);
        }
        if now.since(self.repeated) >= REPEAT_PACE {
            self.repeated = now;
            due.extend(self.loads.keys().copied());
            told = demands();
        }
        let nothing_happened =
            self.parts.is_empty() && self.absences.is_empty() && rate_limits.is_empty();
        if due.is_empty() && nothing_happened && told.is_empty() {
            return None;
        }
        let loads = due.iter().map(|worker| LoadEntry {
            worker: *worker,
            load: self.loads.get(worker).copied().unwrap_or_default(),
        });
        let loads = loads.collect();
        self.loads.retain(|_, load| *load != Load::default());
        self.sequence += 1;
        Some(LoadReport {
            sender: self.sender,
            sequence: self.sequence,
            loads,
            parts: self
                .parts
                .drain(..self.parts.len().min(MAX_REPORTED_PARTS))
                .collect(),
            absences: std::mem::take(&mut self.absences),
            demands: told,
            rate_limits,
        })
    }
}
