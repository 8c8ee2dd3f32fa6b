//! Estimates how long a refused caller should wait before it retries, based on the number of requests in
//! progress and the observed rate at which requests complete.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Half-life of the weight of past observations.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum advised wait.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Maximum advised wait.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Advised wait before any served request has been observed.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// An event in the life cycle of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceEvent {
    /// A request was admitted.
    Admitted,
    /// An admitted request ended after being served.
    Served,
    /// An admitted request ended without being served.
    Abandoned,
}

/// Counts the requests in progress and measures the rate at which requests are served.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    in_progress: u64,
    weighted_served: f64,
    weighted_busy_seconds: f64,
    observed_at: Timestamp,
}

impl ServiceRate {
    /// Processes one event and returns the wait that refused callers are now advised.
    pub fn step(&mut self, now: Timestamp, event: ServiceEvent) -> Duration {
        self.decay_to(now);
        match event {
            ServiceEvent::Admitted => self.in_progress += 1,
            ServiceEvent::Served => {
                self.weighted_served += 1.0;
                self.in_progress = self.in_progress.saturating_sub(1);
            }
            ServiceEvent::Abandoned => self.in_progress = self.in_progress.saturating_sub(1),
        }
        self.advised_wait()
    }

    /// Returns the advised wait: the time in which the requests in progress and one more request are expected
    /// to complete at the observed rate.
    pub fn advised_wait(&self) -> Duration {
        let Some(rate) = self.rate() else {
            return DEFAULT_WAIT;
        };
        let seconds = (self.in_progress as f64 + 1.0) / rate;
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())).max(MIN_WAIT)
    }

    /// Returns the requests served per second while any were in progress, or `None` before the first.
    pub fn rate(&self) -> Option<f64> {
        let observed = self.weighted_served > 0.0 && self.weighted_busy_seconds > 0.0;
        observed.then(|| self.weighted_served / self.weighted_busy_seconds)
    }

    fn decay_to(&mut self, now: Timestamp) {
        let elapsed = now.since(self.observed_at).as_secs_f64();
        self.observed_at = self.observed_at.max(now);
        if self.in_progress == 0 || elapsed <= 0.0 {
            return;
        }
        let decay = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.weighted_served *= decay;
        self.weighted_busy_seconds = self.weighted_busy_seconds * decay + elapsed;
    }
}
