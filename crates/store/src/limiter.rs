//! Limits the calls of this process to its share of the platform's rate limit. The token bucket reads no clock, so
//! that it can be tested in virtual time; [`RateLimit`] combines it with a clock.

use std::sync::Arc;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{Duration, Timestamp};

/// Number of microtokens, the unit of the bucket, in a token. A rate of one token per second adds one microtoken per
/// microsecond.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket. Each call takes a token. Tokens are added at a constant rate, up to the burst size.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens_per_second: u32,
    burst: u32,
    microtokens: u64,
    refilled_at: Timestamp,
}

/// Whether a call is allowed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call is allowed, and its token has been taken.
    Now,
    /// The call is not allowed yet. A token will be available after this wait, unless another call takes it.
    After(Duration),
    /// No call is ever allowed: the rate or the burst size is zero.
    Never,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(tokens_per_second: u32, burst: u32, now: Timestamp) -> Self {
        Self {
            tokens_per_second,
            burst,
            microtokens: u64::from(burst) * MICROTOKENS_PER_TOKEN,
            refilled_at: now,
        }
    }

    /// Takes a token if one is available.
    pub fn take(&mut self, now: Timestamp) -> Admission {
        if self.tokens_per_second == 0 || self.burst == 0 {
            return Admission::Never;
        }
        self.refill(now);
        if self.microtokens >= MICROTOKENS_PER_TOKEN {
            self.microtokens -= MICROTOKENS_PER_TOKEN;
            return Admission::Now;
        }
        let missing = MICROTOKENS_PER_TOKEN - self.microtokens;
        let micros = missing.div_ceil(u64::from(self.tokens_per_second));
        Admission::After(Duration::from_micros(micros))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let earned = elapsed.saturating_mul(self.tokens_per_second.into());
        let capacity = u64::from(self.burst) * MICROTOKENS_PER_TOKEN;
        self.microtokens = self.microtokens.saturating_add(earned).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// The share of the platform's rate limit that one process has, shared by all of its threads.
#[derive(Debug, Clone)]
pub struct RateLimit {
    bucket: Arc<Mutex<TokenBucket>>,
    clock: MonotonicClock,
}

/// The share is exhausted for longer than the caller can wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("this process's share of the platform's rate limit is used up")]
pub struct RateLimitExhausted;

impl RateLimit {
    /// Creates a limit of this many calls per second. Unused calls accumulate for at most one second.
    pub fn new(calls_per_second: u32) -> Self {
        let clock = MonotonicClock::start();
        let bucket = TokenBucket::new(calls_per_second, calls_per_second, clock.now());
        Self {
            bucket: Arc::new(Mutex::new(bucket)),
            clock,
        }
    }

    /// Waits until a call is allowed, for at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns [`RateLimitExhausted`] if the call would not be allowed within that time.
    pub async fn admit(&self, max_wait: Duration) -> Result<(), RateLimitExhausted> {
        let deadline = self.clock.now() + max_wait;
        loop {
            let now = self.clock.now();
            let admission = self.bucket.lock().take(now);
            match admission {
                Admission::Now => return Ok(()),
                Admission::After(wait) if now + wait <= deadline => {
                    actix_rt::time::sleep(wait).await;
                }
                Admission::After(_) | Admission::Never => return Err(RateLimitExhausted),
            }
        }
    }
}
