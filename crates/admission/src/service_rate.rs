//! Estimates when a refused caller should come back, from the requests in progress and the rate
//! at which requests were seen to end.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Time over which an observed rate loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Shortest wait advised.
const LEAST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait advised.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Wait advised before anything has been observed.
pub const UNOBSERVED_WAIT: Duration = Duration::from_secs(1);

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceEvent {
    /// A request was admitted.
    Admitted,
    /// An admitted request ended after being served.
    Served,
    /// An admitted request ended without being served.
    Abandoned,
}

/// The requests in progress and the rate of those served.
#[derive(Debug, Clone, Default)]
pub struct ServiceRate {
    in_progress: u64,
    weighted_served: f64,
    weighted_busy_seconds: f64,
    observed_at: Timestamp,
}

impl ServiceRate {
    /// Takes one event and returns the wait now advised to callers that are refused.
    pub fn step(&mut self, now: Timestamp, event: ServiceEvent) -> Duration {
        self.pass_time(now);
        match event {
            ServiceEvent::Admitted => self.in_progress += 1,
            ServiceEvent::Served => {
                self.weighted_served += 1.0;
                self.in_progress = self.in_progress.saturating_sub(1);
            }
            ServiceEvent::Abandoned => self.in_progress = self.in_progress.saturating_sub(1),
        }
        self.wait()
    }

    /// The wait advised: the time in which the requests in progress, and one more, will end at
    /// the observed rate.
    pub fn wait(&self) -> Duration {
        let Some(rate) = self.rate() else {
            return UNOBSERVED_WAIT;
        };
        let seconds = (self.in_progress as f64 + 1.0) / rate;
        Duration::from_secs_f64(seconds.min(MOST_WAIT.as_secs_f64())).max(LEAST_WAIT)
    }

    /// Requests served a second while any were in progress, or `None` before the first.
    pub fn rate(&self) -> Option<f64> {
        let observed = self.weighted_served > 0.0 && self.weighted_busy_seconds > 0.0;
        observed.then(|| self.weighted_served / self.weighted_busy_seconds)
    }

    fn pass_time(&mut self, now: Timestamp) {
        let elapsed = now.since(self.observed_at).as_secs_f64();
        self.observed_at = self.observed_at.max(now);
        if self.in_progress == 0 || elapsed <= 0.0 {
            return;
        }
        let kept = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        self.weighted_served *= kept;
        self.weighted_busy_seconds = self.weighted_busy_seconds * kept + elapsed;
    }
}
