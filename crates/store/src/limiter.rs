//! Keeps this node within its share of the platform's rate limit. The token bucket reads no clock,
//! so that it can be tested in virtual time; [`RateLimit`] joins it to one.

use std::sync::Arc;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::{Duration, Timestamp};

/// One token, in the parts that the bucket counts by; a part is earned in a microsecond at a rate
/// of one token a second.
const PARTS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket. A call takes a token; tokens come back at a steady rate, up to a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens_per_second: u32,
    burst: u32,
    parts: u64,
    counted_at: Timestamp,
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may, and its token is taken.
    Now,
    /// It may not; after this wait a token will be there, unless others take it.
    After(Duration),
    /// It never may: the rate or the burst is zero.
    Never,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(tokens_per_second: u32, burst: u32, now: Timestamp) -> Self {
        Self {
            tokens_per_second,
            burst,
            parts: u64::from(burst) * PARTS_PER_TOKEN,
            counted_at: now,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Timestamp) -> Admission {
        if self.tokens_per_second == 0 || self.burst == 0 {
            return Admission::Never;
        }
        self.refill(now);
        if self.parts >= PARTS_PER_TOKEN {
            self.parts -= PARTS_PER_TOKEN;
            return Admission::Now;
        }
        let missing = PARTS_PER_TOKEN - self.parts;
        let micros = missing.div_ceil(u64::from(self.tokens_per_second));
        Admission::After(Duration::from_micros(micros))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.counted_at).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let earned = elapsed.saturating_mul(self.tokens_per_second.into());
        let capacity = u64::from(self.burst) * PARTS_PER_TOKEN;
        self.parts = self.parts.saturating_add(earned).min(capacity);
        self.counted_at = self.counted_at.max(now);
    }
}

/// One process's share of the platform's rate limit, used by all of its threads.
#[derive(Debug, Clone)]
pub struct RateLimit {
    bucket: Arc<Mutex<TokenBucket>>,
    clock: MonotonicClock,
}

/// The share is used up for longer than the caller can wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("this process's share of the platform's rate limit is used up")]
pub struct ShareUsedUp;

impl RateLimit {
    /// A share of this many calls a second, saved up for at most one second.
    pub fn new(calls_per_second: u32) -> Self {
        let clock = MonotonicClock::start();
        let bucket = TokenBucket::new(calls_per_second, calls_per_second, clock.now());
        Self {
            bucket: Arc::new(Mutex::new(bucket)),
            clock,
        }
    }

    /// Waits until a call may be made, for at most `patience`.
    pub async fn admit(&self, patience: Duration) -> Result<(), ShareUsedUp> {
        let deadline = self.clock.now() + patience;
        loop {
            let now = self.clock.now();
            let admission = self.bucket.lock().take(now);
            match admission {
                Admission::Now => return Ok(()),
                Admission::After(wait) if now + wait <= deadline => {
                    actix_rt::time::sleep(wait).await;
                }
                Admission::After(_) | Admission::Never => return Err(ShareUsedUp),
            }
        }
    }
}
