//! How much of something comes in a second: a sum that forgets.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time in which what has come counts half: as long as a mix of requests usually lasts at the least.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// An amount for each second, decaying.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    sum: f64,
    at: Timestamp,
}

impl Rate {
    fn decayed(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// So much has come.
    pub(crate) fn record(&mut self, now: Timestamp, amount: f64) {
        self.sum = self.decayed(now) + amount;
        self.at = now;
    }

    /// A constant rate adds up to itself times the mean age at which it is forgotten.
    pub(crate) fn a_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}
