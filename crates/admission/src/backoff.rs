//! Exponential backoff with full jitter: a retry waits for a random fraction of a bound that doubles with each
//! retry.

use std::time::Duration;

/// Number of doublings after which the bound stops growing, even below its maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of the delay between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the delay before the first retry.
    pub base: Duration,
    /// Maximum of the bound.
    pub max_delay: Duration,
}

impl Backoff {
    /// Returns the delay before retry number `retry`, counted from zero. `jitter` is a random number from 0
    /// to 1 supplied by the caller; values outside this range are clamped.
    pub fn delay(&self, retry: u32, jitter: f64) -> Duration {
        let doublings = retry.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.max_delay);
        bound.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
