//! The replicated at-most-once records in a node: its replica, the view it votes by, the change of
//! views, and the tries of its own requests. The decisions are those of the journal crate.

mod attempts;
mod members;
mod metrics;
mod replica;
mod view_manager;
mod views;

pub use attempts::{record, record_key, Denied, RecordedTry};
pub use metrics::JournalMetrics;
pub use replica::Journal;
pub use view_manager::JournalKeeper;
pub use views::{PlacedMember, PlacedView, ViewRecord};
