//! The replicated at-most-once records in a node: its replica, the view it votes by, the change of
//! views, and the tries of its own requests. The decisions are those of the journal crate.

mod keeper;
mod members;
mod metrics;
mod replica;
mod tries;
mod views;

pub use keeper::JournalKeeper;
pub use metrics::JournalMetrics;
pub use replica::Journal;
pub use tries::{record, record_key, Denied, RecordedTry};
pub use views::{PlacedMember, PlacedView, ViewRecord};
