//! Usage by tenant: counted here, collected by one gateway for several dozen, kept in the store, reported by
//! the holder of the authority. What is decided stands in [`tansyhall_usage`].

mod collector;
mod exchange;
mod message;
mod reporter;
mod state;

pub use collector::write_collected;
pub use exchange::{acknowledge, take_in, tell_collector};
pub use message::{AcknowledgementMessage, RowsMessage, UsageMessage};
pub use reporter::report;
pub use state::Usage;

/// Where collectors write what they have collected. Only the reporter reads it, so that copies of the
/// store leave it out: it changes several times a second.
pub const ROWS_PREFIX: &str = "tansyhall/usage/rows/";
/// Where what was decided of each window is written.
const REPORTS_PREFIX: &str = "tansyhall/usage/reports/";
/// The last window of those that are not reported any more.
const CLOSED_KEY: &str = "tansyhall/usage/closed";
