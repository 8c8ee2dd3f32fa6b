//! The faults of an episode, which are planned before it starts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_core::{Duration, Timestamp};

use crate::cluster::{ENGINE_COUNT, NODE_COUNT};

/// Number of faults in an episode.
const FAULTS_PER_EPISODE: usize = 24;
/// Maximum duration of a pause, outage or partition, in milliseconds.
const MAX_FAULT_MILLIS: u64 = 15_000;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node is killed and started again without any of its state.
    Kill,
    /// A node is paused and continues later.
    Pause,
    /// A node is cut off from the store, the engines and the other nodes.
    Partition,
    /// The store answers no node.
    Outage,
    /// The next answers of the store are lost after it has executed the requests.
    LostAnswers,
    /// An engine crashes and starts again.
    EngineCrash,
    /// An operator requests another role for an engine, possibly while a change is in progress.
    OperatorChange,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the node or engine that is affected.
    pub target: usize,
    /// Duration of the fault. Ignored for kinds that have no duration.
    pub lasts: Duration,
}

/// A fault and the time at which it occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Time since the start of the episode, in microseconds.
    pub at_micros: u64,
    /// The fault.
    pub fault: Fault,
}

/// Plans the faults of an episode, ordered by time.
pub fn plan_faults(random: &mut ChaCha8Rng, length: Duration) -> Vec<PlannedFault> {
    let mut faults: Vec<PlannedFault> = (0..FAULTS_PER_EPISODE)
        .map(|_| random_fault(random, length))
        .collect();
    faults.sort_by_key(|planned| planned.at_micros);
    faults
}

fn random_fault(random: &mut ChaCha8Rng, length: Duration) -> PlannedFault {
    let kind = match random.random_range(0..10) {
        0 => FaultKind::Kill,
        1 => FaultKind::Pause,
        2 => FaultKind::Partition,
        3 => FaultKind::Outage,
        4 => FaultKind::LostAnswers,
        5 => FaultKind::EngineCrash,
        _ => FaultKind::OperatorChange,
    };
    let targets = match kind {
        FaultKind::EngineCrash | FaultKind::OperatorChange => ENGINE_COUNT,
        _ => NODE_COUNT,
    };
    let at = Timestamp::default() + length.mul_f64(random.random_range(0.0..1.0));
    let lasts = Duration::from_millis(random.random_range(1..MAX_FAULT_MILLIS));
    PlannedFault {
        at_micros: at.0,
        fault: Fault {
            kind,
            target: random.random_range(0..targets),
            lasts,
        },
    }
}
