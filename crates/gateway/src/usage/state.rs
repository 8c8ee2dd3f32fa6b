//! The usage state of a gateway: its own counts, the counts it has collected, and its estimate of the fleet's time.

use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tansyhall_core::{TenantName, Timestamp};
use tansyhall_usage::{
    ClockReading, Collection, FleetClock, Source, SourceUsage, UnixMillis, UsageMeter, UsageSender,
    WindowTiming,
};

use super::exchange::CollectorChoice;

/// The usage state of this gateway.
#[derive(Debug)]
pub struct Usage {
    /// Length of the windows, and when their reports are due.
    pub timing: WindowTiming,
    pub(super) source: Source,
    pub(super) clock: Mutex<FleetClock>,
    pub(super) collection: Mutex<Collection>,
    pub(super) link: Mutex<CollectorLink>,
    meter: Mutex<UsageMeter>,
}

/// The connection to the collector: which gateway it is, and which counts it has acknowledged.
#[derive(Debug, Default)]
pub(super) struct CollectorLink {
    pub(super) sender: UsageSender,
    pub(super) choice: CollectorChoice,
}

impl Usage {
    /// Creates the state without any counts.
    pub fn new(source: Source, timing: WindowTiming) -> Self {
        Self {
            timing,
            clock: Mutex::default(),
            collection: Mutex::default(),
            link: Mutex::default(),
            meter: Mutex::new(UsageMeter::new(source.clone(), timing)),
            source,
        }
    }

    /// Reads this machine's clocks.
    pub(super) fn read_clock(&self, now: Timestamp) {
        self.clock.lock().record_local_reading(ClockReading {
            monotonic: now,
            wall: time_of_day(),
        });
    }

    /// Returns the wall-clock time that the fleet agrees on, or `None` before any clock was read.
    pub fn time(&self, now: Timestamp) -> Option<UnixMillis> {
        self.clock.lock().time(now)
    }

    /// Counts a request of a tenant that started to run at `began`.
    pub fn count(&self, began: Timestamp, tenant: &TenantName) {
        match self.time(began) {
            Some(at) => self.meter.lock().count(tenant, at),
            None => log::warn!(
                "request is not counted in its tenant's usage: no clock has been read yet"
            ),
        }
    }

    /// Returns the counts of this gateway.
    pub(super) fn own_usage(&self, now: Timestamp) -> Option<SourceUsage> {
        let time = self.time(now)?;
        Some(self.meter.lock().usage(time))
    }
}

/// Returns the wall-clock time of this machine. A time before 1970 counts as 1970: the clocks of other gateways outvote
/// it.
fn time_of_day() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}
