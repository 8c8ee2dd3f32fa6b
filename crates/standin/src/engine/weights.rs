//! The store of model weights: everyone who fetches shares its rate, first come first served.

use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;

/// A rate-limited store. Engines of one process may share one; separate processes cannot.
#[derive(Debug)]
pub struct WeightsStore {
    bytes_per_second: u64,
    clock: MonotonicClock,
    free_at: Mutex<Timestamp>,
}

impl WeightsStore {
    /// A store that hands out `bytes_per_second` in all.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            clock: MonotonicClock::start(),
            free_at: Mutex::new(Timestamp::default()),
        }
    }

    /// Queues a fetch of `bytes`, and returns how long it takes from now, the wait for those
    /// before it included.
    pub fn fetch(&self, bytes: u64) -> Duration {
        let now = self.clock.now();
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + takes;
        free_at.since(now)
    }
}
