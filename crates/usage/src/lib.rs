//! Usage: how many requests of each tenant began to run in each window of time.
//!
//! 1. Each gateway counts what begins to run through it ([`UsageMeter`]): counts that only grow, under
//!    the name of its present incarnation.
//! 2. A collector, one gateway for several dozen, takes the counts of the others in ([`Collection`]). Merging
//!    takes the larger of two counts of one source, so that what is sent twice, late or by two ways is
//!    counted once. The collector writes what it has to the store, where it outlives every gateway.
//! 3. One gateway at a time sums a closed window up and decides what is reported of it
//!    ([`next_step`]): once, before anything is sent, so that a repeat says the same.
//!
//! Windows follow the time that the fleet agrees on ([`FleetClock`]), not a single machine's. Everything
//! here is deterministic: time comes with each call.

#![forbid(unsafe_code)]

mod clock;
mod collection;
mod counts;
mod meter;
mod report;
mod sender;
mod window;

pub use clock::{ClockReading, FleetClock};
pub use collection::{Collection, Source, SourceUsage};
pub use counts::TenantCounts;
pub use meter::UsageMeter;
pub use report::{next_step, KnownReports, ReportStep};
pub use sender::UsageSender;
pub use window::{UnixMillis, WindowNumber, WindowTiming};
