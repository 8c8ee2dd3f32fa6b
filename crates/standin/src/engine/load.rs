//! Load reports of an engine whose figures may lag: past samples of the load with their age.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_engine::protocol::LoadReport;

/// How often the load is sampled.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of samples. With [`SAMPLE_INTERVAL`] it limits the lag to about 20 seconds.
const MAX_SAMPLES: usize = 1_000;

/// The latest load samples of an engine.
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

    /// Returns the newest sample that is at least `lag` old, or the oldest sample if none is.
    pub(super) fn report(&self, now: Timestamp, lag: Duration) -> Option<LoadReport> {
        let old_enough = |(at, _): &&(Timestamp, LoadReport)| now.since(*at) >= lag;
        let sample = self.samples.iter().rev().find(old_enough);
        let (at, report) = sample.or(self.samples.front())?;
        let age_ms = u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX);
        Some(LoadReport { age_ms, ..*report })
    }
}
