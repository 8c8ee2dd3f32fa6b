//! Exponential backoff with full jitter: a retry waits a random part of a bound that doubles.

use std::time::Duration;

/// Doublings after which the bound no longer grows on its own.
const MAX_DOUBLINGS: u32 = 16;

/// The bounds of a wait between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Bound of the wait before the first retry.
    pub base: Duration,
    /// Largest bound.
    pub most: Duration,
}

impl Backoff {
    /// The wait before retry number `retry`, counted from zero. `jitter` is a random number from 0
    /// to 1, which the caller draws; values outside are clamped.
    pub fn wait(&self, retry: u32, jitter: f64) -> Duration {
        let doublings = retry.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.most);
        bound.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
