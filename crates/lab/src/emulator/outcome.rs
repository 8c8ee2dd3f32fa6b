//! What came of a run.

use hdrhistogram::Histogram;

/// Counts of one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimePoint {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests, by arrival, that met their deadlines.
    pub met: u32,
    /// Part of the offered tokens that are prompt tokens.
    pub prompt_tokens: u64,
    /// Offered answer tokens.
    pub output_tokens: u64,
    /// Changes of role begun.
    pub role_changes: u32,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that met their deadlines.
    pub met: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests refused as not run.
    pub rejected: u64,
    /// Changes of role begun.
    pub role_changes: u64,
    /// Times to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Times to the last token, in microseconds.
    pub whole: Histogram<u64>,
    /// Mean times between tokens of each answer, in microseconds.
    pub inter_token: Histogram<u64>,
    /// Second by second.
    pub timeline: Vec<TimePoint>,
}

impl Outcome {
    /// Nothing yet, over `seconds`.
    pub fn new(seconds: usize) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
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

    /// Requests that met their deadlines, as a part of those that arrived.
    pub fn goodput(&self) -> f64 {
        self.met as f64 / (self.offered as f64).max(1.0)
    }
}
