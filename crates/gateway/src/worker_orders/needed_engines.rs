//! Estimate of the number of engines that the demand needs.

use tansyhall_core::Timestamp;
use tansyhall_planner::RecentPeak;

/// Utilization of the engines at the recent peak of the demand if there are exactly as many as needed. At 0.8, a prompt
/// waits twice its own service time on average (M/D/1): it is late, but it is served until spot workers are available
/// again.
const TARGET_UTILIZATION: f64 = 0.8;

/// The result is lowered only if the current need is below this fraction of the previous result. The demand varies by
/// less than that from one second to the next, so each order for one worker less would be followed by an order for one
/// more.
const DECREASE_THRESHOLD: f64 = 0.75;

/// Number of engines that the demand on a service needs.
#[derive(Debug, Default)]
pub struct NeededEngines {
    peak: RecentPeak,
    needed: f64,
}

impl NeededEngines {
    /// Returns the number of needed engines, at least `min_needed`, given that the demand keeps `busy` engines busy
    /// now.
    pub fn update(&mut self, now: Timestamp, busy: f64, min_needed: f64) -> u32 {
        let needed = (self.peak.observe(now, busy) / TARGET_UTILIZATION).max(min_needed);
        if needed > self.needed || needed < self.needed * DECREASE_THRESHOLD {
            self.needed = needed;
        }
        self.needed.ceil() as u32
    }
}
