//! Usage by tenant: each gateway counts requests, one gateway for several dozen collects the counts and writes them to
//! the store, and the holder of the authority reports them. [`tansyhall_usage`] contains the decisions.

mod collector;
mod exchange;
mod message;
mod reporter;
mod state;

pub use collector::write_collected;
pub use exchange::{receive_acknowledgement, receive_counts, send_to_collector};
pub use message::{AcknowledgementMessage, RowsMessage, UsageMessage};
pub use reporter::report;
pub use state::Usage;

/// Prefix of the keys under which collectors write the collected counts. Copies of the store exclude them, because only
/// the reporter reads them and they change several times per second.
pub const ROWS_PREFIX: &str = "tansyhall/usage/rows/";
/// Prefix of the keys under which the decided counts of each window are written.
const REPORTS_PREFIX: &str = "tansyhall/usage/reports/";
/// Key of the last window that is no longer reported.
const CLOSED_KEY: &str = "tansyhall/usage/closed";
