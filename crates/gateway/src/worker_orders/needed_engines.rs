//! How many engines what is asked needs.

use tansyhall_core::Timestamp;
use tansyhall_planner::RecentPeak;

/// The part of their time that engines are busy if there are just as many as the recent peak of what is
/// asked needs: at 0.8 a prompt waits twice its own time on the mean (M/D/1), late but served, until spot
/// workers are to be had again.
const BUSY_PART: f64 = 0.8;

/// The part of the workers that were needed lately below which fewer count as needed: what is asked varies by
/// less from one second to the next, and each order for one worker fewer would be followed by one for one more.
const FALLING_PART: f64 = 0.75;

/// What is asked of the engines of a service.
#[derive(Debug, Default)]
pub struct Asked {
    peak: RecentPeak,
    needed: f64,
}

impl Asked {
    /// How many engines are needed, at least so many, if so many are busy now.
    pub fn needed(&mut self, now: Timestamp, busy: f64, least: f64) -> u32 {
        let needed = (self.peak.observe(now, busy) / BUSY_PART).max(least);
        if needed > self.needed || needed < self.needed * FALLING_PART {
            self.needed = needed;
        }
        self.needed.ceil() as u32
    }
}
