//! Usage accounting: the number of requests of each tenant that started in each time window.
//!
//! 1. Each gateway counts the requests that start through it ([`UsageMeter`]). The counts only grow and are kept
//!    under the gateway's current incarnation.
//! 2. A collector, one gateway for several dozen, merges the counts of the other gateways ([`Collection`]). A
//!    merge keeps the larger of two counts from the same source, so counts that arrive twice, late or over two
//!    paths are counted once. The collector writes its counts to the store, where they outlive every gateway.
//! 3. One gateway at a time sums up a closed window and decides what is reported for it ([`next_step`]). The
//!    decision is made once, before anything is sent, so that a repeated report has the same content.
//!
//! Windows follow the time that the fleet agrees on ([`FleetClock`]), not the clock of a single machine. The
//! crate is deterministic: callers pass the time to each call.

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
