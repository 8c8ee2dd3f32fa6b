//! The highest of what was observed lately, forgotten slowly.
//!
//! A mix of requests may swing back before an engine has changed its role. Engines that were needed a moment
//! ago will be needed again, so that the need counts as its recent peak.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time in which a peak counts half: some times as long as engines take to be told, emptied and changed.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A peak.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentPeak {
    value: f64,
    at: Timestamp,
}

impl RecentPeak {
    /// Takes in what is observed now, and returns the recent peak.
    pub fn observe(&mut self, now: Timestamp, value: f64) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let left = self.value * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.value = left.max(value);
        self.at = now;
        self.value
    }
}
