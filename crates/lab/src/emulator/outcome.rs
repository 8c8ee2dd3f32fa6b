//! Results of an emulated run.

use hdrhistogram::Histogram;

/// Counts for one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimePoint {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that arrived in this second and met their deadlines.
    pub met: u32,
    /// Prompt tokens of the requests that arrived.
    pub prompt_tokens: u64,
    /// Answer tokens of the requests that arrived.
    pub output_tokens: u64,
    /// Role changes started.
    pub role_changes: u32,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that met their deadlines.
    pub met: u64,
    /// Requests answered completely.
    pub completed: u64,
    /// Requests rejected as not run.
    pub rejected: u64,
    /// Role changes started.
    pub role_changes: u64,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times to the last token, in microseconds.
    pub whole: Histogram<u64>,
    /// Mean time between tokens of each answer, in microseconds.
    pub inter_token: Histogram<u64>,
    /// Counts for each second.
    pub timeline: Vec<TimePoint>,
}

impl Outcome {
    /// Creates an empty outcome of a run that lasts `seconds`.
    pub fn new(seconds: usize) -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
        Self {
            offered: 0,
            met: 0,
            completed: 0,
            rejected: 0,
            role_changes: 0,
            first_token: histogram(),
            whole: histogram(),
            inter_token: histogram(),
            timeline: vec![TimePoint::default(); seconds],
        }
    }

    /// Returns the fraction of arrived requests that met their deadlines.
    pub fn goodput(&self) -> f64 {
        self.met as f64 / (self.offered as f64).max(1.0)
    }
}
