//! Load reports as a lagging engine publishes them: the figures of a while ago, with their age.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_engine::protocol::LoadReport;

/// How often the load is sampled.
pub(super) const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Samples kept; with [`SAMPLE_PERIOD`] it bounds the longest lag at about 20 seconds.
const MAX_SAMPLES: usize = 1_000;

/// The latest samples of an engine's load.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Timestamp, LoadReport)>,
}

impl LoadHistory {
    /// Adds a sample.
    pub(super) fn push(&mut self, now: Timestamp, report: LoadReport) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, report));
    }

    /// The newest sample that is at least `lag` old, or the oldest there is.
    pub(super) fn report(&self, now: Timestamp, lag: Duration) -> Option<LoadReport> {
        let old_enough = |(at, _): &&(Timestamp, LoadReport)| now.since(*at) >= lag;
        let sample = self.samples.iter().rev().find(old_enough);
        let (at, report) = sample.or(self.samples.front())?;
        let age_ms = u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX);
        Some(LoadReport { age_ms, ..*report })
    }
}
