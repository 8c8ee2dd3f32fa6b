//! A token bucket whose rate may change at any time, because it depends on a share that changes. A request
//! that costs more than the capacity of the bucket is admitted when the bucket is full and leaves a debt, so
//! that large requests can run and the rate is still met over time.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Resolution of the level. One part is what a rate of a thousandth of a unit per second adds in a microsecond.
const PARTS_PER_UNIT: i128 = 1_000_000_000;
/// Capacity of a bucket as the time in which its rate fills it, in microseconds.
const BURST_MICROS: i128 = 1_000_000;
/// Advised wait for a bucket whose rate is zero: a share may have been granted by then.
pub const ZERO_RATE_WAIT: Duration = Duration::from_secs(1);

/// An event that changes the level of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketEvent {
    /// A request asks for this many units.
    Take(u64),
    /// A request used this many units fewer than it had taken.
    Refund(u64),
    /// A request used this many units more than it had taken.
    Charge(u64),
}

/// Decision of the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketDecision {
    /// The units were taken, or the level was corrected.
    Admitted,
    /// The bucket holds too few units; nothing was taken.
    Refused {
        /// Time until the same request would be admitted if no other request arrives before it.
        retry_after: Duration,
    },
}

/// A token bucket. It holds the units of one second at its rate, but at least one unit. It is full at the first
/// event unless it was created with [`TokenBucket::empty`].
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    /// Number of parts in the bucket; negative for a debt, `None` before the first event.
    level: Option<i128>,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn empty(now: Timestamp) -> Self {
        Self {
            level: Some(0),
            refilled_at: now,
        }
    }

    /// Returns the time until a request for `units` units would be admitted at `rate`, which is in thousandths of
    /// a unit per second. The result is zero if the request would be admitted now.
    pub fn time_until_admitted(&self, now: Timestamp, rate: u64, units: u64) -> Duration {
        match self.clone().step(now, rate, BucketEvent::Take(units)) {
            BucketDecision::Admitted => Duration::ZERO,
            BucketDecision::Refused { retry_after } => retry_after,
        }
    }

    /// Processes one event at `rate`, which is in thousandths of a unit per second.
    pub fn step(&mut self, now: Timestamp, rate: u64, event: BucketEvent) -> BucketDecision {
        let level = self.refill(now, rate);
        match event {
            BucketEvent::Take(units) => return self.take(level, rate, units),
            BucketEvent::Refund(units) => {
                self.level = Some((level + parts_of(units)).min(capacity(rate)));
            }
            BucketEvent::Charge(units) => self.level = Some(level - parts_of(units)),
        }
        BucketDecision::Admitted
    }

    fn take(&mut self, level: i128, rate: u64, units: u64) -> BucketDecision {
        let needed = parts_of(units).min(capacity(rate));
        if rate > 0 && level >= needed {
            self.level = Some(level - parts_of(units));
            return BucketDecision::Admitted;
        }
        let retry_after = match i128::from(rate) {
            0 => ZERO_RATE_WAIT,
            rate => duration_from_micros(((needed - level) + rate - 1) / rate),
        };
        BucketDecision::Refused { retry_after }
    }

    fn refill(&mut self, now: Timestamp, rate: u64) -> i128 {
        let elapsed = now.since(self.refilled_at).as_micros() as i128;
        let gained = elapsed.saturating_mul(i128::from(rate));
        let level = match self.level {
            None => capacity(rate),
            Some(level) => level.saturating_add(gained).min(capacity(rate)),
        };
        self.refilled_at = now.max(self.refilled_at);
        self.level = Some(level);
        level
    }
}

fn parts_of(units: u64) -> i128 {
    i128::from(units) * PARTS_PER_UNIT
}

fn capacity(rate: u64) -> i128 {
    (i128::from(rate) * BURST_MICROS).max(PARTS_PER_UNIT)
}

fn duration_from_micros(count: i128) -> Duration {
    Duration::from_micros(u64::try_from(count).unwrap_or(u64::MAX))
}
