//! The recent maximum of an observed value, which decays exponentially.
//!
//! The mix of requests may shift back before an engine has changed its role. Engines that were needed a moment
//! ago are likely to be needed again, so the planner uses the recent peak of the demand.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time in which a peak decays to half: several times as long as an engine takes to receive an order, drain and
/// change its role.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A maximum that decays with a half-life of 10 s.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentPeak {
    value: f64,
    observed_at: Timestamp,
}

impl RecentPeak {
    /// Records the value observed at `now` and returns the recent peak.
    pub fn observe(&mut self, now: Timestamp, value: f64) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64();
        let decayed = self.value * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.value = decayed.max(value);
        self.observed_at = now;
        self.value
    }
}
