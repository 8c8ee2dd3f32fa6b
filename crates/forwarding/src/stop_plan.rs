//! A planned stop: what a gateway still accepts after SIGTERM, and when its process may end.
//!
//! Whoever distributes callers needs some seconds to notice that a gateway leaves, so new requests
//! are served for a while. After that a request is refused at once, since it might not end before
//! the process is killed: it has not run, and another gateway can serve it.

use std::time::Duration;

/// Time in which new callers may still be sent to a gateway that leaves.
const LEAVING: Duration = Duration::from_millis(3_300);
/// Time in which new requests are still served.
const ACCEPTING: Duration = Duration::from_millis(2_900);
/// The largest part of the grace in which new requests are still served.
const ACCEPTING_PART: f64 = 0.4;
/// How long before it would be killed the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(300);

/// The plan of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    grace: Duration,
}

impl StopPlan {
    /// A stop whose process is killed after `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Whether a request that arrives this long after SIGTERM is served.
    pub fn accepts(&self, elapsed: Duration) -> bool {
        elapsed < ACCEPTING.min(self.grace.mul_f64(ACCEPTING_PART))
    }

    /// Whether the process may end this long after SIGTERM.
    pub fn may_end(&self, elapsed: Duration, in_flight: u64) -> bool {
        let last_moment = self.grace.saturating_sub(END_MARGIN);
        let first_moment = LEAVING.min(last_moment);
        elapsed >= last_moment || (elapsed >= first_moment && in_flight == 0)
    }
}
