//! What a gateway counts, has collected, and believes of the time.

use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tansyhall_core::{TenantName, Timestamp};
use tansyhall_usage::{
    ClockReading, Collection, FleetClock, Source, SourceUsage, UnixMillis, UsageMeter, UsageSender,
    WindowTiming,
};

use super::exchange::CollectorChoice;

/// Usage as this gateway knows it.
#[derive(Debug)]
pub struct Usage {
    /// Windows and when they are due.
    pub timing: WindowTiming,
    pub(super) source: Source,
    pub(super) clock: Mutex<FleetClock>,
    pub(super) collection: Mutex<Collection>,
    pub(super) telling: Mutex<Telling>,
    meter: Mutex<UsageMeter>,
}

/// What the collector is told.
#[derive(Debug, Default)]
pub(super) struct Telling {
    pub(super) sender: UsageSender,
    pub(super) choice: CollectorChoice,
}

impl Usage {
    /// Nothing is counted yet.
    pub fn new(source: Source, timing: WindowTiming) -> Self {
        Self {
            timing,
            clock: Mutex::default(),
            collection: Mutex::default(),
            telling: Mutex::default(),
            meter: Mutex::new(UsageMeter::new(source.clone(), timing)),
            source,
        }
    }

    /// Reads this machine's clocks.
    pub(super) fn read_clock(&self, now: Timestamp) {
        self.clock.lock().read_own(ClockReading {
            steady: now,
            day: time_of_day(),
        });
    }

    /// The time that the fleet agrees on.
    pub fn time(&self, now: Timestamp) -> Option<UnixMillis> {
        self.clock.lock().time(now)
    }

    /// A request of a tenant began to run at `began`.
    pub fn count(&self, began: Timestamp, tenant: &TenantName) {
        match self.time(began) {
            Some(at) => self.meter.lock().count(tenant, at),
            None => log::warn!("a request is not counted: no clock was read yet"),
        }
    }

    /// What this gateway has counted.
    pub(super) fn own(&self, now: Timestamp) -> Option<SourceUsage> {
        let time = self.time(now)?;
        Some(self.meter.lock().usage(time))
    }
}

/// The time of day as this machine says. One before 1970 counts as 1970: others outvote it.
fn time_of_day() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}
