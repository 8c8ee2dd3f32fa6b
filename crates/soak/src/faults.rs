//! Faults, planned before an episode begins.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tansyhall_core::{Duration, Timestamp};

use crate::cluster::{ENGINES, NODES};

/// Faults in an episode.
const FAULTS: usize = 24;
/// Longest pause of a node, and longest outage or partition, in milliseconds.
const LONGEST_MILLIS: u64 = 15_000;

/// What kind of thing goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node is killed and started again; it keeps nothing.
    Kill,
    /// A node is paused, and wakes.
    Pause,
    /// A node is cut off from the store, the engines and the other nodes.
    Partition,
    /// The store answers nobody.
    Outage,
    /// The store's next answers are lost, after the writes took effect.
    LostAnswers,
    /// An engine crashes and starts again.
    EngineCrash,
    /// An operator asks for another role of an engine, perhaps while a change is under way.
    OperatorChange,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// The node or engine it strikes.
    pub target: usize,
    /// How long it lasts, if it lasts.
    pub lasts: Duration,
}

/// A fault and when it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Microseconds since the episode's start.
    pub at_micros: u64,
    /// The fault.
    pub fault: Fault,
}

/// Plans an episode's faults, in order of time.
pub fn plan(random: &mut ChaCha8Rng, length: Duration) -> Vec<PlannedFault> {
    let mut faults: Vec<PlannedFault> = (0..FAULTS).map(|_| planned(random, length)).collect();
    faults.sort_by_key(|planned| planned.at_micros);
    faults
}

fn planned(random: &mut ChaCha8Rng, length: Duration) -> PlannedFault {
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
        FaultKind::EngineCrash | FaultKind::OperatorChange => ENGINES,
        _ => NODES,
    };
    let at = Timestamp::default() + length.mul_f64(random.random_range(0.0..1.0));
    let lasts = Duration::from_millis(random.random_range(1..LONGEST_MILLIS));
    PlannedFault {
        at_micros: at.0,
        fault: Fault {
            kind,
            target: random.random_range(0..targets),
            lasts,
        },
    }
}
