//! The wall-clock time that a fleet agrees on.
//!
//! The clock of a single machine may be wrong, or jump by seconds and jump back. A gateway therefore follows its
//! own wall clock at a limited rate, a few times the drift of a clock ([`MAX_SLEW`]), and uses the median of its own
//! time and the times of the gateways that report to it. A gateway that reports to a collector adopts the collector's
//! time.

use std::collections::HashMap;
use std::time::Duration;

use tansyhall_core::Timestamp;

use crate::collection::Source;
use crate::window::UnixMillis;

/// Maximum rate at which the local offset follows the wall clock, as a fraction of the elapsed time. It is several
/// times the drift of a clock that is synchronized over the network (at most 0.0005), and low enough that a clock
/// that is wrong by ten seconds for ten seconds shifts the time by only 20 ms.
const MAX_SLEW: f64 = 0.002;
/// How long a reading from another gateway is used. A running gateway sends several a second.
const READING_TTL: Duration = Duration::from_secs(10);
/// How long the time received from the collector is used. A gateway that has received no time for this long uses
/// its own clock again, whose offset may have followed a wrong clock all that time.
const COLLECTOR_TIME_TTL: Duration = Duration::from_secs(60);

/// A wall clock and the local monotonic clock, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock of this gateway.
    pub monotonic: Timestamp,
    /// The wall-clock time, of this gateway or of the gateway that sent it.
    pub wall: UnixMillis,
}

impl ClockReading {
    /// Returns the wall-clock time, in milliseconds, at which the monotonic clock was zero.
    fn offset(&self) -> i64 {
        let monotonic_ms = i64::try_from(self.monotonic.0 / MICROS_PER_MILLI).unwrap_or(i64::MAX);
        let wall_ms = i64::try_from(self.wall.0).unwrap_or(i64::MAX);
        wall_ms.saturating_sub(monotonic_ms)
    }
}

const MICROS_PER_MILLI: u64 = 1_000;

/// The offset of a wall clock from the local monotonic clock.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    offset: i64,
    at: Timestamp,
}

/// A gateway's estimate of the wall-clock time of the fleet.
#[derive(Debug, Default)]
pub struct FleetClock {
    local: Option<ClockOffset>,
    gateways: HashMap<Source, ClockOffset>,
    collector: Option<ClockOffset>,
}

impl FleetClock {
    /// Updates the local offset from a reading of this gateway's clocks, by at most [`MAX_SLEW`].
    pub fn record_local_reading(&mut self, reading: ClockReading) {
        let observed = reading.offset();
        let offset = match self.local {
            None => observed,
            Some(previous) => {
                let elapsed_ms = reading.monotonic.since(previous.at).as_millis() as f64;
                let max_change = (elapsed_ms * MAX_SLEW).ceil() as i64;
                previous.offset + (observed - previous.offset).clamp(-max_change, max_change)
            }
        };
        self.local = Some(ClockOffset {
            offset,
            at: reading.monotonic,
        });
    }

    /// Records the time of a gateway that reports to this one.
    pub fn record_gateway_reading(&mut self, source: Source, reading: ClockReading) {
        let received = ClockOffset {
            offset: reading.offset(),
            at: reading.monotonic,
        };
        self.gateways.insert(source, received);
    }

    /// Records the time received from the collector, the gateway that this one reports to.
    pub fn record_collector_reading(&mut self, reading: ClockReading) {
        self.collector = Some(ClockOffset {
            offset: reading.offset(),
            at: reading.monotonic,
        });
    }

    /// Returns this gateway's own time, to be sent to other gateways, or `None` if its clock has not been read yet.
    pub fn local_time(&self, now: Timestamp) -> Option<UnixMillis> {
        Some(time_at(now, self.local?.offset))
    }

    /// Returns the time that the fleet agrees on, or `None` if no clock has been read yet.
    pub fn time(&mut self, now: Timestamp) -> Option<UnixMillis> {
        self.gateways
            .retain(|_, reading| now.since(reading.at) < READING_TTL);
        let collector = self
            .collector
            .filter(|time| now.since(time.at) < COLLECTOR_TIME_TTL);
        let offset = match collector {
            Some(time) => time.offset,
            None => self.median()?,
        };
        Some(time_at(now, offset))
    }

    fn median(&self) -> Option<i64> {
        let readings = self.gateways.values().chain(&self.local);
        let mut offsets: Vec<i64> = readings.map(|reading| reading.offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}

fn time_at(now: Timestamp, offset: i64) -> UnixMillis {
    let monotonic_ms = i64::try_from(now.0 / MICROS_PER_MILLI).unwrap_or(i64::MAX);
    UnixMillis(u64::try_from(monotonic_ms.saturating_add(offset)).unwrap_or_default())
}
