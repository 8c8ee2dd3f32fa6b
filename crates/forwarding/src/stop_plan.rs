//! Planned stop of a gateway: which requests it still accepts after SIGTERM, when requests in progress are ended, and when
//! its process may exit.
//!
//! A load balancer needs some seconds to detect that a gateway is shutting down, so new requests are still served for a
//! while. After that, a request is refused immediately, because it might not end before the process is killed. So is a
//! request that usually takes longer than what is left, if another gateway can serve it. A refused request has not run.
//! Requests that are still in progress shortly before the exit are ended, so that their callers receive an answer.

use std::time::Duration;

/// Time after SIGTERM during which a load balancer may still send new callers to the gateway.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(3_300);
/// Maximum time after SIGTERM during which new requests are served.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_900);
/// Maximum fraction of the grace period during which new requests are served.
const MAX_ACCEPT_FRACTION: f64 = 0.4;
/// Time before the end of the grace period at which the process exits by itself, so that it is not killed.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Maximum time in which the last answers are sent before the exit.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(400);
/// Maximum fraction of the grace period in which the last answers are sent before the exit.
const MAX_FLUSH_FRACTION: f64 = 0.05;

/// Rules for a planned stop with a given grace period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    grace: Duration,
}

impl StopPlan {
    /// Creates the plan for a process that is killed after the grace period `grace`.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns whether a request that arrives `elapsed` after SIGTERM is served, if nothing is known of its length.
    pub fn accepts(&self, elapsed: Duration) -> bool {
        elapsed < MAX_ACCEPT_TIME.min(self.grace.mul_f64(MAX_ACCEPT_FRACTION))
    }

    /// Returns whether a request that takes `length` from now, `elapsed` after SIGTERM, ends before the process exits.
    pub fn can_finish(&self, elapsed: Duration, length: Duration) -> bool {
        elapsed.saturating_add(length) < self.end_of_requests()
    }

    /// Returns the time after SIGTERM at which requests in progress are ended and answered.
    pub fn end_of_requests(&self) -> Duration {
        self.latest_exit().saturating_sub(self.flush_time())
    }

    /// Returns whether the process may exit `elapsed` after SIGTERM, with `in_flight` requests in progress.
    pub fn may_exit(&self, elapsed: Duration, in_flight: u64) -> bool {
        let latest_exit = self.latest_exit();
        let earliest_exit = LOAD_BALANCER_DELAY.min(latest_exit);
        elapsed >= latest_exit || (elapsed >= earliest_exit && in_flight == 0)
    }

    /// Returns for how long a process that may exit `elapsed` after SIGTERM still sends what its servers have buffered.
    pub fn flush_time_left(&self, elapsed: Duration) -> Duration {
        let left = self.latest_exit().saturating_sub(elapsed);
        left.min(self.flush_time())
    }

    fn latest_exit(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }

    fn flush_time(&self) -> Duration {
        MAX_FLUSH_TIME.min(self.grace.mul_f64(MAX_FLUSH_FRACTION))
    }
}
