//! Decides whether and when a failed call to the platform is repeated. A call that must not take effect twice, and that
//! may have taken effect, is not repeated: its caller must first read the state to find out.

use tansyhall_core::Duration;

use crate::store::StoreError;

/// Limits and back-off of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Upper bound of the wait before the second attempt. It doubles with each further attempt.
    pub initial_backoff: Duration,
    /// Upper bound of the wait before any attempt.
    pub max_backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The call may be made any number of times, for example because it only reads.
    Repeatable,
    /// The call must not take effect twice.
    Once,
}

/// The next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Make the call again after this wait.
    Retry(Duration),
    /// The call may have taken effect. Read the state to find out.
    ReadBack,
    /// Make no further attempt and report the error.
    GiveUp,
}

impl RetryPolicy {
    /// Returns the next step after attempt number `attempts`, counted from one, has failed. `jitter` is a random number
    /// between 0 and 1 from the caller, so that nodes whose calls failed at the same time retry at different times.
    pub fn after_failure(
        &self,
        error: &StoreError,
        repeatability: Repeatability,
        attempts: u32,
        jitter: f64,
    ) -> NextStep {
        let step = match (error, repeatability) {
            (StoreError::LeaseLapsed | StoreError::Compacted | StoreError::Restored, _) => {
                return NextStep::GiveUp
            }
            (StoreError::Unknown(_), Repeatability::Once) => return NextStep::ReadBack,
            (StoreError::Unknown(_), Repeatability::Repeatable) => NextStep::Retry,
            (StoreError::NotApplied(_), _) => NextStep::Retry,
        };
        if attempts >= self.max_attempts {
            return NextStep::GiveUp;
        }
        step(
            self.max_backoff_after(attempts)
                .mul_f64(jitter.clamp(0.0, 1.0)),
        )
    }

    /// Returns the upper bound of the wait after attempt number `attempts`.
    fn max_backoff_after(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(u32::BITS - 1);
        let wait = self.initial_backoff.saturating_mul(1 << doublings);
        wait.min(self.max_backoff)
    }
}
