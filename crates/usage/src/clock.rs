//! The time of day that a fleet agrees on.
//!
//! Single clocks may be wrong, or jump by seconds and jump back. So a gateway follows its own clock of
//! the day only as fast as a clock can drift ([`MAX_SLEW`]), and takes the median of what the gateways
//! that report to it say. A gateway that reports to another takes over that one's time.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::collection::Source;
use crate::window::UnixMillis;

/// The fastest that a clock of the day is followed, as a part of the time that passes: several times
/// what a clock drifts that is disciplined over the network (at most 0.0005), and slow enough that a
/// jump of ten seconds for ten seconds moves the time by 20 ms.
const MAX_SLEW: f64 = 0.002;
/// Time for which a reading of another gateway counts; one that lives sends several a second.
const READING_LIFE: Duration = Duration::from_secs(10);
/// Time for which the time told by another gateway counts. After it, a gateway that nobody tells the
/// time goes by its own clock, which may have been followed wrongly for as long.
const TOLD_LIFE: Duration = Duration::from_secs(60);

/// A clock of the day and a steady clock, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The steady clock of this gateway.
    pub steady: Timestamp,
    /// The time of day.
    pub day: UnixMillis,
}

impl ClockReading {
    /// Milliseconds of the day's clock at the start of the steady one.
    fn offset(&self) -> i64 {
        let steady = i64::try_from(self.steady.0 / MICROS_PER_MILLI).unwrap_or(i64::MAX);
        let day = i64::try_from(self.day.0).unwrap_or(i64::MAX);
        day.saturating_sub(steady)
    }
}

const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
struct Heard {
    offset: i64,
    at: Timestamp,
}

/// The time of day as a gateway believes it.
#[derive(Debug, Default)]
pub struct FleetClock {
    own: Option<Heard>,
    others: HashMap<Source, Heard>,
    told: Option<Heard>,
}

impl FleetClock {
    /// The gateway reads its own clocks.
    pub fn read_own(&mut self, reading: ClockReading) {
        let observed = reading.offset();
        let offset = match self.own {
            None => observed,
            Some(before) => {
                let passed = reading.steady.since(before.at).as_millis() as f64;
                let most = (passed * MAX_SLEW).ceil() as i64;
                before.offset + (observed - before.offset).clamp(-most, most)
            }
        };
        self.own = Some(Heard {
            offset,
            at: reading.steady,
        });
    }

    /// Another gateway that reports to this one says what time it is.
    pub fn hear(&mut self, source: Source, reading: ClockReading) {
        let heard = Heard {
            offset: reading.offset(),
            at: reading.steady,
        };
        self.others.insert(source, heard);
    }

    /// The gateway that this one reports to says what time it is.
    pub fn be_told(&mut self, reading: ClockReading) {
        self.told = Some(Heard {
            offset: reading.offset(),
            at: reading.steady,
        });
    }

    /// This gateway's own time, for others; none before its clock was read.
    pub fn own_time(&self, now: Timestamp) -> Option<UnixMillis> {
        Some(time_at(now, self.own?.offset))
    }

    /// The time that the fleet agrees on; none before any clock was read.
    pub fn time(&mut self, now: Timestamp) -> Option<UnixMillis> {
        self.others
            .retain(|_, heard| now.since(heard.at) < READING_LIFE);
        let told = self.told.filter(|told| now.since(told.at) < TOLD_LIFE);
        let offset = match told {
            Some(told) => told.offset,
            None => self.median()?,
        };
        Some(time_at(now, offset))
    }

    fn median(&self) -> Option<i64> {
        let heard = self.others.values().chain(&self.own);
        let mut offsets: Vec<i64> = heard.map(|one| one.offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

fn time_at(now: Timestamp, offset: i64) -> UnixMillis {
    let steady = i64::try_from(now.0 / MICROS_PER_MILLI).unwrap_or(i64::MAX);
    UnixMillis(u64::try_from(steady.saturating_add(offset)).unwrap_or_default())
}
