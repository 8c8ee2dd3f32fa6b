//! Monotonic time for the decision crates. Callers pass a timestamp with each event. Decisions never read a clock, so
//! the emulator can run the same code in virtual time.

pub use std::time::Duration;

use std::ops::{Add, Sub};

use rustix::time::{clock_gettime, ClockId};

/// A time of the monotonic clock of one process, in microseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the timestamp `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}

/// The monotonic clock of the process. Only the code that drives the decision crates reads it.
///
/// It includes the time during which the machine was suspended, like the clocks of other machines do. The clock of the
/// standard library does not: with it, the holder of a lease that expired while its machine was suspended would
/// continue to act.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Duration,
}

impl MonotonicClock {
    /// The kernel clock that is read.
    pub const SOURCE: ClockId = ClockId::Boottime;

    /// Creates a clock whose current timestamp is zero.
    pub fn start() -> Self {
        Self {
            start: Self::since_boot(),
        }
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + Self::since_boot().saturating_sub(self.start)
    }

    fn since_boot() -> Duration {
        let time = clock_gettime(Self::SOURCE);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanoseconds)
    }
}
