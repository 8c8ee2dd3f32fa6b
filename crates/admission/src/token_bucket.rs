//! A token bucket whose rate may change at any time, as the share behind it does. A request that
//! costs more than the bucket holds is admitted on a full bucket and leaves a debt, so that large
//! requests run at all and the rate still holds over time.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Parts of a unit in which the level is kept: a thousandth of a unit a second for a microsecond.
const PARTS_PER_UNIT: i128 = 1_000_000_000;
/// Time whose worth of units a bucket holds, in microseconds.
const BURST_MICROS: i128 = 1_000_000;
/// Advised wait at a bucket without a rate: a share may have been granted by then.
pub const NO_RATE_WAIT: Duration = Duration::from_secs(1);

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketEvent {
    /// A request asks for this many units.
    Take(u64),
    /// A request had taken this many units too many.
    GiveBack(u64),
    /// A request used this many units more than it had taken.
    Charge(u64),
}

/// The bucket's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BucketDecision {
    /// The units are taken, or corrected.
    Admitted,
    /// There are too few units; nothing is taken.
    Refused {
        /// Time until the same request would be admitted if no other comes before it.
        retry_after: Duration,
    },
}

/// The bucket. It holds one second's worth of its rate, but at least one unit, and starts full unless it is made empty.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    /// Parts held; negative for a debt; absent before the first event.
    level: Option<i128>,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket that holds nothing yet.
    pub fn empty(now: Timestamp) -> Self {
        Self {
            level: Some(0),
            filled_at: now,
        }
    }

    /// Time until so many units would be admitted at a rate in thousandths of a unit a second; zero if they would be now.
    pub fn wait(&self, now: Timestamp, rate: u64, units: u64) -> Duration {
        match self.clone().step(now, rate, BucketEvent::Take(units)) {
            BucketDecision::Admitted => Duration::ZERO,
            BucketDecision::Refused { retry_after } => retry_after,
        }
    }

    /// Takes one event at a rate in thousandths of a unit a second.
    pub fn step(&mut self, now: Timestamp, rate: u64, event: BucketEvent) -> BucketDecision {
        let level = self.fill(now, rate);
        match event {
            BucketEvent::Take(units) => return self.take(level, rate, units),
            BucketEvent::GiveBack(units) => {
                self.level = Some((level + parts(units)).min(capacity(rate)));
            }
            BucketEvent::Charge(units) => self.level = Some(level - parts(units)),
        }
        BucketDecision::Admitted
    }

    fn take(&mut self, level: i128, rate: u64, units: u64) -> BucketDecision {
        let needed = parts(units).min(capacity(rate));
        if rate > 0 && level >= needed {
            self.level = Some(level - parts(units));
            return BucketDecision::Admitted;
        }
        let retry_after = match i128::from(rate) {
            0 => NO_RATE_WAIT,
            rate => micros(((needed - level) + rate - 1) / rate),
        };
        BucketDecision::Refused { retry_after }
    }

    fn fill(&mut self, now: Timestamp, rate: u64) -> i128 {
        let elapsed = now.since(self.filled_at).as_micros() as i128;
        let gained = elapsed.saturating_mul(i128::from(rate));
        let level = match self.level {
            None => capacity(rate),
            Some(level) => level.saturating_add(gained).min(capacity(rate)),
        };
        self.filled_at = now.max(self.filled_at);
        self.level = Some(level);
        level
    }
}

fn parts(units: u64) -> i128 {
    i128::from(units) * PARTS_PER_UNIT
}

fn capacity(rate: u64) -> i128 {
    (i128::from(rate) * BURST_MICROS).max(PARTS_PER_UNIT)
}

fn micros(count: i128) -> Duration {
    Duration::from_micros(u64::try_from(count).unwrap_or(u64::MAX))
}
