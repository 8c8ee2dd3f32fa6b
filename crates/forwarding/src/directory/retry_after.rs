//! When a refused caller should retry.
//!
//! A caller should not retry before the queue is short enough. If callers ask for more than the prefill engines can do,
//! the queue stays as long as it is for as long as they do, and callers that retry find it again.
//! Therefore the retry time grows with the demand, up to the last moment at which an answer would
//! still meet its objective. Each caller gets a slightly different time, so that they do not all
//! retry at once.

/// Largest fraction by which the retry time is randomly changed.
const JITTER_FRACTION: f64 = 0.25;

/// What is known when a caller is refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedCaller {
    /// Seconds until the queue is short enough if nothing is added to it.
    pub(super) queue_seconds: f64,
    /// Demand for prefill engines divided by their capacity.
    pub(super) utilization: f64,
    /// Seconds until the caller gives up.
    pub(super) seconds_left: f64,
    /// Seconds within which an answer meets its objective.
    pub(super) objective: f64,
    /// A random number.
    pub(super) draw: u64,
}

impl RefusedCaller {
    /// Returns the seconds after which the caller should retry.
    pub(super) fn retry_after_seconds(&self) -> f64 {
        let latest = (self.seconds_left - self.objective).max(self.queue_seconds);
        let excess_fraction = match self.utilization > 1.0 {
            true => 1.0 - 1.0 / self.utilization,
            false => 0.0,
        };
        let demand_delay = (latest - self.queue_seconds) * excess_fraction;
        let jitter = (self.draw as f64 / u64::MAX as f64 * 2.0 - 1.0) * JITTER_FRACTION;
        (self.queue_seconds + demand_delay) * (1.0 + jitter)
    }
}
