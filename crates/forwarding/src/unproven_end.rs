//! Decides what the end of an event stream means if nothing but the end of its connection marks it.
//!
//! The connection ends with the stream, or with the worker's process. A process that is killed closes its listener as
//! well, so that its address refuses connections a moment later. A worker that leaves may refuse connections, too, while
//! it finishes its answers, and a device on the path may refuse them in the place of a worker that runs.

use crate::worker_evidence::{ConnectionRefusalCause, Reachability};

/// What a worker has announced when a stream of it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStanding {
    /// It serves.
    Serving,
    /// It is leaving or has left.
    Departing,
    /// It has started again since the stream began.
    Restarted,
}

/// What is known of a worker a moment after a stream of it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEvidence {
    /// What it has announced.
    pub standing: WorkerStanding,
    /// Whether it accepts connections.
    pub reachability: Reachability,
    /// Why it refuses connections, if it does and this has been found out.
    pub refusal: Option<ConnectionRefusalCause>,
    /// Whether this gateway knows that it is partitioned from its workers.
    pub is_partitioned: bool,
}

/// What the end of a stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndConclusion {
    /// The worker's process lives, so that the stream is whole.
    Whole,
    /// The worker's process has ended, and the stream with it.
    CutOff,
    /// The worker was leaving, and has finished or was ended before it had finished.
    Doubtful,
    /// Nothing speaks against the stream.
    Unknown,
}

impl EndConclusion {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CutOff => "cut_off",
            Self::Doubtful => "doubtful",
            Self::Unknown => "unknown",
        }
    }
}

impl EndEvidence {
    /// Returns what follows from the evidence.
    pub fn conclusion(self) -> EndConclusion {
        // Workers that end together look like a fault of the path: only a known partition excuses a refusal.
        let has_ended =
            self.refusal == Some(ConnectionRefusalCause::WorkerEnded) || !self.is_partitioned;
        match (self.standing, self.reachability) {
            (WorkerStanding::Restarted, _) => EndConclusion::CutOff,
            (_, Reachability::Connected) => EndConclusion::Whole,
            (WorkerStanding::Departing, Reachability::Refused) => EndConclusion::Doubtful,
            (WorkerStanding::Serving, Reachability::Refused) if has_ended => EndConclusion::CutOff,
            _ => EndConclusion::Unknown,
        }
    }
}
