//! When a refused caller should come back.
//!
//! Not before the queue is short enough. If callers ask for more than the readers can do, the queue
//! stays as it is for as long as they do, and those who come back meet it again: then the more is
//! asked, the later they are told to come, up to the last moment at which an answer would still be
//! worth its full credit. Each is told a time a little off, so that they do not come all at once.

/// The part of the told time by which it is off at the most.
const SPREAD: f64 = 0.25;

/// What is known when a caller is refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    /// Seconds until the queue is short enough if nothing is added to it.
    pub(super) queue_seconds: f64,
    /// What is asked of readers over what they can do.
    pub(super) utilization: f64,
    /// Seconds until the caller gives up.
    pub(super) seconds_left: f64,
    /// Seconds within which an answer is worth its full credit.
    pub(super) objective: f64,
    /// A random number.
    pub(super) draw: u64,
}

impl Refusal {
    /// Seconds after which the caller should come back.
    pub(super) fn come_back_after(&self) -> f64 {
        let latest = (self.seconds_left - self.objective).max(self.queue_seconds);
        let surplus = match self.utilization > 1.0 {
            true => 1.0 - 1.0 / self.utilization,
            false => 0.0,
        };
        let later = (latest - self.queue_seconds) * surplus;
        let off = (self.draw as f64 / u64::MAX as f64 * 2.0 - 1.0) * SPREAD;
        (self.queue_seconds + later) * (1.0 + off)
    }
}
