//! Monotonic time as the decision crates see it. A timestamp is handed in with each event; no
//! decision reads a clock itself, so the emulator can run the same code in virtual time.

pub use std::time::Duration;

use std::ops::{Add, Sub};

use rustix::time::{clock_gettime, ClockId};

/// A point on one process's monotonic clock, in microseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The timestamp `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
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

/// The process's monotonic clock, for wiring code only.
///
/// It counts the time for which the machine was suspended, as the clocks of others do. The standard library's
/// clock doesn't: by it, a holder whose lease ran out while its machine was suspended would go on to act.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Duration,
}

impl MonotonicClock {
    /// The kernel's clock that it reads.
    pub const SOURCE: ClockId = ClockId::Boottime;

    /// Starts a clock at timestamp zero.
    pub fn start() -> Self {
        Self {
            start: Self::since_boot(),
        }
    }

    /// The current timestamp.
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
