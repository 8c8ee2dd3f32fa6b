//! A rate per second, measured with an exponentially decaying sum.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time after which a recorded amount counts half. Equal to the shortest time for which the mix of requests usually
/// stays the same.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A rate per second in which older amounts count less.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    sum: f64,
    updated_at: Timestamp,
}

impl Rate {
    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Adds an amount that occurred at `now`.
    pub(crate) fn record(&mut self, now: Timestamp, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.updated_at = now;
    }

    /// Returns the rate per second. For a constant rate, the decaying sum equals the rate times the mean lifetime of an
    /// amount, which is `HALF_LIFE` / ln 2.
    pub(crate) fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}
