//! The store of model weights. All fetches share its bandwidth and are served in order of arrival.

use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;

/// A store with limited bandwidth. Engines in one process may share a store; separate processes cannot.
#[derive(Debug)]
pub struct WeightsStore {
    bytes_per_second: u64,
    clock: MonotonicClock,
    free_at: Mutex<Timestamp>,
}

impl WeightsStore {
    /// Creates a store that serves `bytes_per_second` in total.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1),
            clock: MonotonicClock::start(),
            free_at: Mutex::new(Timestamp::default()),
        }
    }

    /// Queues a fetch of `bytes` and returns how long it duration from now, including the wait for earlier
    /// fetches.
    pub fn fetch(&self, bytes: u64) -> Duration {
        let now = self.clock.now();
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + duration;
        free_at.since(now)
    }
}
