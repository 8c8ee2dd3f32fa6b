//! Reports in which gateways inform each other of the load that they put on workers.
//!
//! A report contains the requests and prompt tokens that its sender has in flight at each worker, and
//! the prompt parts that engines have recently read for it. Loads are absolute, so that the next
//! report makes up for a lost one. A change of many tokens is reported at the next flush. A change
//! of the number of requests alone is reported at a longer interval. Loads other than zero are
//! repeated, since receivers drop loads that are not repeated as stale.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::cache_view::PartKey;
use crate::demand_shares::ShareReport;
use crate::fleet_tenants::ServiceTenants;
use crate::rate_limit::StatedLimit;
use crate::worker::WorkerId;

/// A change of at least this many tokens is reported at the next flush.
const URGENT_TOKENS: u64 = 256;
/// Minimum interval between reports of small changes.
const SMALL_CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which loads other than zero are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The most prompt parts in one report, so that it fits into a datagram.
const MAX_REPORTED_PARTS: usize = 40;
/// Age at which a reported load is dropped.
pub const STALE_AFTER: Duration = Duration::from_millis(1_600);

/// Identifies one incarnation of a worker in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub u64);

impl WorkerKey {
    /// Returns the key of an incarnation of a worker.
    pub fn of(worker: &WorkerId) -> Self {
        Self(xxh3_64(worker.qualified_name().as_bytes()))
    }
}

/// Identifies one incarnation of a gateway in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayKey(pub u64);

impl GatewayKey {
    /// Returns the key of an incarnation of a gateway. Each incarnation under the same name has a different key.
    pub fn of(name: &str, incarnation: u64) -> Self {
        Self(xxh3_64(name.as_bytes()) ^ incarnation)
    }
}

/// Identifies a service in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// Returns the key of a service.
    pub fn of(service: &ServiceName) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()))
    }
}

/// The demand of one gateway's callers for a service's engines, including requests that were refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineDemand {
    /// The service.
    pub service: ServiceKey,
    /// The number of prefill-only engines that its long prompts would keep busy.
    pub prefill_engines: f64,
    /// The number of decoding engines that reading its short prompts would keep busy.
    pub decode_engines: f64,
    /// The number of slots of decoding engines that its streams would occupy.
    pub decode_slots: f64,
    /// The part of `prefill_engines` that the urgent group needs: requests whose service has no more urgent routes.
    pub urgent_prefill_engines: f64,
    /// The part of `decode_engines` that the urgent group needs.
    pub urgent_decode_engines: f64,
    /// The part of `decode_slots` that the urgent group needs.
    pub urgent_decode_slots: f64,
}

/// The load that one gateway has in flight at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests in flight.
    pub sends: u32,
    /// Prompt tokens that the worker has yet to read.
    pub reading_tokens: u64,
    /// The requests of `sends` that belong to the urgent group: their service has no more urgent routes.
    pub urgent_sends: u32,
    /// The tokens of `reading_tokens` that belong to the urgent group.
    pub urgent_reading_tokens: u64,
}

/// The load of the sending gateway at one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEntry {
    /// The worker.
    pub worker: WorkerKey,
    /// The load.
    pub load: Load,
}

/// A part of a prompt that a worker has read or is reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRead {
    /// The worker.
    pub worker: WorkerKey,
    /// The part.
    pub part: PartKey,
    /// The part's length in tokens.
    pub tokens: u64,
    /// Whether the worker has finished reading it.
    pub ready: bool,
}

/// An announced worker that is absent: it has ended, or a different worker answers at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// The worker.
    pub worker: WorkerKey,
}

/// The rate limit that a worker has stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitStatement {
    /// The worker.
    pub worker: WorkerKey,
    /// The stated limit.
    pub stated: StatedLimit,
}

/// A report from one gateway to the others.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The reporting gateway.
    pub sender: GatewayKey,
    /// Increases with each report of a sender. Receivers ignore reports older than the last one.
    pub sequence: u64,
    /// Loads that have changed or are repeated.
    pub loads: Vec<LoadEntry>,
    /// Parts read since the last report.
    pub parts: Vec<PartRead>,
    /// Workers found absent since the last report.
    pub absences: Vec<Absence>,
    /// Demand for services; empty in reports between repetitions.
    pub demands: Vec<EngineDemand>,
    /// Rate limits of workers that are new, have ended, or are repeated.
    pub rate_limits: Vec<LimitStatement>,
    /// Demands and leases of the division of rate limits by demand.
    pub shares: Option<ShareReport>,
    /// Rates of tenants' work; empty while nothing is refused and in reports between repetitions.
    pub tenants: Vec<ServiceTenants>,
}

/// Collects the changes to report to other gateways.
#[derive(Debug)]
pub struct LoadReporter {
    sender: GatewayKey,
    sequence: u64,
    loads: BTreeMap<WorkerKey, Load>,
    urgent_changes: BTreeSet<WorkerKey>,
    small_changes: BTreeSet<WorkerKey>,
    /// Application workers whose loads have not been reported since they were zero.
    unreported_applications: BTreeSet<WorkerKey>,
    parts: Vec<PartRead>,
    absences: Vec<Absence>,
    tenants: Vec<ServiceTenants>,
    small_changes_reported_at: Timestamp,
    loads_repeated_at: Timestamp,
}

impl LoadReporter {
    /// Creates a reporter with nothing to report.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            sender,
            sequence: 0,
            loads: BTreeMap::new(),
            urgent_changes: BTreeSet::new(),
            small_changes: BTreeSet::new(),
            unreported_applications: BTreeSet::new(),
            parts: Vec::new(),
            absences: Vec::new(),
            tenants: Vec::new(),
            small_changes_reported_at: Timestamp::default(),
            loads_repeated_at: Timestamp::default(),
        }
    }

    /// Records the load that this gateway now has in flight at a worker.
    pub fn record_load(&mut self, worker: WorkerKey, load: Load) {
        let before = self.loads.insert(worker, load).unwrap_or_default();
        let difference = before.reading_tokens.abs_diff(load.reading_tokens);
        match difference >= URGENT_TOKENS {
            true => self.urgent_changes.insert(worker),
            false => self.small_changes.insert(worker),
        };
    }

    /// Records the load that this gateway now has in flight at an application worker. Its requests are short: a load that
    /// ends before it was reported is not reported.
    pub fn record_application_load(&mut self, worker: WorkerKey, load: Load) {
        if !self.loads.contains_key(&worker) {
            self.unreported_applications.insert(worker);
        }
        self.record_load(worker, load);
        if load == Load::default() && self.unreported_applications.remove(&worker) {
            self.loads.remove(&worker);
            self.small_changes.remove(&worker);
        }
    }

    /// Records that a worker has read or is reading a part.
    pub fn record_part(&mut self, part: PartRead) {
        self.parts.push(part);
    }

    /// Records that a worker was found absent.
    pub fn record_absence(&mut self, worker: WorkerKey) {
        self.absences.push(Absence { worker });
    }

    /// Records the rates of tenants that the next report contains. They replace those recorded before.
    pub fn record_tenants(&mut self, tenants: Vec<ServiceTenants>) {
        self.tenants = tenants;
    }

    /// Returns the report that is due now, if any. It contains `rate_limits` and `shares`; `demands` is called and included only
    /// when loads are repeated.
    pub fn flush(
        &mut self,
        now: Timestamp,
        rate_limits: Vec<LimitStatement>,
        shares: Option<ShareReport>,
        demands: impl Fn() -> Vec<EngineDemand>,
    ) -> Option<LoadReport> {
        let mut due_demands = Vec::new();
        let mut due_loads = std::mem::take(&mut self.urgent_changes);
        if now.since(self.small_changes_reported_at) >= SMALL_CHANGE_INTERVAL {
            self.small_changes_reported_at = now;
            due_loads.append(&mut self.small_changes);
        }
        if now.since(self.loads_repeated_at) >= REPEAT_INTERVAL {
            self.loads_repeated_at = now;
            due_loads.extend(self.loads.keys().copied());
            due_demands = demands();
        }
        let has_no_events =
            self.parts.is_empty() && self.absences.is_empty() && rate_limits.is_empty();
        let has_no_events = has_no_events && shares.is_none();
        let has_no_events = has_no_events && self.tenants.is_empty();
        if due_loads.is_empty() && has_no_events && due_demands.is_empty() {
            return None;
        }
        let loads = due_loads.iter().map(|worker| LoadEntry {
            worker: *worker,
            load: self.loads.get(worker).copied().unwrap_or_default(),
        });
        let loads = loads.collect();
        self.unreported_applications
            .retain(|worker| !due_loads.contains(worker));
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
            demands: due_demands,
            rate_limits,
            shares,
            tenants: std::mem::take(&mut self.tenants),
        })
    }
}
