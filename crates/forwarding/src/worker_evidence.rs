//! Decides whether a worker whose address refuses connections has ended, or only this gateway's path to it is faulty.
//!
//! A refused connection alone proves neither: a device on the path may refuse connections in the place of a worker that
//! runs. Each refusal is examined before it counts. This gateway connects to a few other workers, preferably of the same
//! zone, and other gateways may say whether the worker accepts connections from them:
//!
//! - The path is faulty if another gateway reaches the worker.
//! - Otherwise the worker has ended if this gateway reaches another worker, or if there is no worker to compare with.
//! - If no other worker is reached, the path is faulty. Only if none of them refuses connections either, the refusal that
//!   another gateway confirms counts.
//!
//! A refusal that another gateway confirms does not count while all workers refuse connections, because a fault may
//! separate several gateways from the workers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::worker::WorkerId;

/// Maximum number of other workers that a gateway connects to in one examination. A request may end several of them at
/// almost the same time.
const MAX_COMPARED_WORKERS: usize = 8;
/// Maximum number of examinations in progress. More would add load when the paths to many workers fail together.
pub const MAX_EXAMINATIONS: usize = 16;
/// How long a result applies to further refusals by the same worker.
const RESULT_TTL: Duration = Duration::from_secs(1);
/// How long a worker that has ended is excluded from comparisons. This is longer than its entry remains in the store.
const ENDED_TTL: Duration = Duration::from_secs(10);

/// Whether a connection to a worker could be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It was established.
    Connected,
    /// It was refused.
    Refused,
    /// Neither was found out in time.
    Unknown,
}

/// Why an address refuses connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRefusalCause {
    /// The worker has ended.
    WorkerEnded,
    /// The path from this gateway to the worker is faulty, as far as is known.
    PathFault,
}

/// A ready worker that a refusing one can be compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ComparableWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it is in the zone of the refusing worker.
    pub is_same_zone: bool,
}

/// What to do about a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionRefusalStep {
    /// Find out whether other gateways reach the worker, and connect to these other workers.
    Examine(Vec<WorkerId>),
    /// The cause is known from a recent examination.
    Known(ConnectionRefusalCause),
    /// The refusal is not examined, because one by the same worker or too many others are.
    Ignore,
}

/// An examination in progress.
#[derive(Debug)]
struct Examination {
    by_gateways: Option<Reachability>,
    compared: BTreeMap<WorkerId, Option<Reachability>>,
}

impl Examination {
    /// Returns the cause as soon as no further answer can change it.
    fn cause(&self) -> Option<ConnectionRefusalCause> {
        let by_gateways = self.by_gateways?;
        if by_gateways == Reachability::Connected {
            return Some(ConnectionRefusalCause::PathFault);
        }
        let found = |sought| {
            let mut compared = self.compared.values();
            compared.any(|reachability| *reachability == Some(sought))
        };
        if self.compared.is_empty() || found(Reachability::Connected) {
            return Some(ConnectionRefusalCause::WorkerEnded);
        }
        if self.compared.values().any(Option::is_none) {
            return None;
        }
        let is_confirmed = by_gateways == Reachability::Refused && !found(Reachability::Refused);
        Some(match is_confirmed {
            true => ConnectionRefusalCause::WorkerEnded,
            false => ConnectionRefusalCause::PathFault,
        })
    }
}

/// Evidence about workers whose addresses refuse connections.
#[derive(Debug, Default)]
pub struct WorkerEvidence {
    examinations: HashMap<WorkerId, Examination>,
    results: HashMap<WorkerId, (ConnectionRefusalCause, Timestamp)>,
}

impl WorkerEvidence {
    /// Records that a worker's address refuses connections. `others` returns other workers that are announced as ready, in
    /// the order of preference; it is called only if the refusal is to be examined.
    pub fn record_refusal(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        others: impl FnOnce() -> Vec<ComparableWorker>,
    ) -> ConnectionRefusalStep {
        self.expire(now);
        if let Some(cause) = self.recent_cause(now, worker) {
            return ConnectionRefusalStep::Known(cause);
        }
        if self.examinations.contains_key(worker) || self.examinations.len() >= MAX_EXAMINATIONS {
            return ConnectionRefusalStep::Ignore;
        }
        let compared = self.select_compared(worker, &others());
        let examination = Examination {
            by_gateways: None,
            compared: compared.iter().map(|other| (other.clone(), None)).collect(),
        };
        self.examinations.insert(worker.clone(), examination);
        ConnectionRefusalStep::Examine(compared)
    }

    /// Returns why a worker's address refuses connections, if this was found out recently.
    pub fn recent_cause(
        &self,
        now: Timestamp,
        worker: &WorkerId,
    ) -> Option<ConnectionRefusalCause> {
        let (cause, found_at) = self.results.get(worker)?;
        (now.since(*found_at) < RESULT_TTL).then_some(*cause)
    }

    /// Records what other gateways found out about a worker that is being examined. Returns the cause once it is known.
    pub fn record_gateways_finding(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        finding: Reachability,
    ) -> Option<ConnectionRefusalCause> {
        let examination = self.examinations.get_mut(worker)?;
        examination.by_gateways = Some(finding);
        self.conclude(now, worker)
    }

    /// Records whether this gateway reaches another worker, for the examination of `worker`. Returns the cause once it is
    /// known.
    pub fn record_comparison(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        other: &WorkerId,
        finding: Reachability,
    ) -> Option<ConnectionRefusalCause> {
        let examination = self.examinations.get_mut(worker)?;
        if let Some(compared) = examination.compared.get_mut(other) {
            *compared = Some(finding);
        }
        self.conclude(now, worker)
    }

    fn conclude(&mut self, now: Timestamp, worker: &WorkerId) -> Option<ConnectionRefusalCause> {
        let cause = self.examinations.get(worker)?.cause()?;
        self.examinations.remove(worker);
        self.results.insert(worker.clone(), (cause, now));
        Some(cause)
    }

    /// Selects workers of the same zone, or of any zone if there is no other one in the same zone. Workers that have ended
    /// are left out: otherwise a request that ends one worker after another would look like a fault of the path.
    fn select_compared(&self, worker: &WorkerId, others: &[ComparableWorker]) -> Vec<WorkerId> {
        let is_usable = |other: &&ComparableWorker| {
            let result = self.results.get(&other.worker);
            let has_ended =
                result.is_some_and(|(cause, _)| *cause == ConnectionRefusalCause::WorkerEnded);
            other.worker != *worker && !has_ended
        };
        let usable: Vec<&ComparableWorker> = others.iter().filter(is_usable).collect();
        let has_same_zone = usable.iter().any(|other| other.is_same_zone);
        let selected = usable
            .into_iter()
            .filter(|other| other.is_same_zone || !has_same_zone)
            .take(MAX_COMPARED_WORKERS);
        selected.map(|other| other.worker.clone()).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.results
            .retain(|_, (_, found_at)| now.since(*found_at) < ENDED_TTL);
    }
}
