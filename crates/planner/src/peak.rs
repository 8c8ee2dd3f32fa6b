//! The recent maximum of an observed value, which decays exponentially.
//!
//! The mix of requests may shift back before an engine has changed its role. Engines that were needed a moment
//! ago are likely to be needed again, so the planner uses the recent peak of the demand.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time in which a peak decays to half: several times as long as an engine takes to receive an order, drain and
/// change its role.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A maximum that decays with a half-life, by default of 10 s.
#[derive(Debug, Clone, Copy)]
pub struct RecentPeak {
    half_life: Duration,
    value: f64,
    observed_at: Timestamp,
}

impl Default for RecentPeak {
    fn default() -> Self {
        Self::with_half_life(HALF_LIFE)
    }
}

impl RecentPeak {
    /// Creates a peak that decays to half within `half_life`, and is 0 until a value is observed.
    pub fn with_half_life(half_life: Duration) -> Self {
        Self {
            half_life,
            value: 0.0,
            observed_at: Timestamp::default(),
        }
    }

    /// Records the value observed at `now` and returns the recent peak.
    pub fn observe(&mut self, now: Timestamp, value: f64) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64();
        let decayed = self.value * 0.5_f64.powf(age / self.half_life.as_secs_f64());
        self.value = decayed.max(value);
        self.observed_at = now;
        self.value
    }
}
