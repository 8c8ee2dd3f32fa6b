//! When a failed call to the platform may be made again, and after how long. A call that may have
//! taken effect is never simply repeated: its caller must first read what became of it.

use tansyhall_core::Duration;

use crate::store::StoreError;

/// How calls are retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most tries, the first included.
    pub max_tries: u32,
    /// Upper bound of the wait before the second try; it doubles with each further one.
    pub first_wait: Duration,
    /// Upper bound of any wait.
    pub longest_wait: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_tries: 5,
            first_wait: Duration::from_millis(100),
            longest_wait: Duration::from_secs(5),
        }
    }
}

/// Whether repeating a call can do harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// It can be made any number of times, as a read can.
    Repeatable,
    /// It must not take effect twice.
    Once,
}

/// What to do after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try again after this wait.
    Retry(Duration),
    /// The call may have taken effect: find out by reading.
    ReadBack,
    /// Report the error.
    GiveUp,
}

impl RetryPolicy {
    /// What to do after try number `tries`, counted from one, failed. `jitter` is drawn from 0 to
    /// 1 by the caller, so that many nodes whose calls failed together come back apart.
    pub fn after_failure(
        &self,
        error: &StoreError,
        repeatability: Repeatability,
        tries: u32,
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
        if tries >= self.max_tries {
            return NextStep::GiveUp;
        }
        step(
            self.longest_wait_before(tries)
                .mul_f64(jitter.clamp(0.0, 1.0)),
        )
    }

    /// Upper bound of the wait after try number `tries`.
    fn longest_wait_before(&self, tries: u32) -> Duration {
        let doublings = tries.saturating_sub(1).min(u32::BITS - 1);
        let wait = self.first_wait.saturating_mul(1 << doublings);
        wait.min(self.longest_wait)
    }
}
