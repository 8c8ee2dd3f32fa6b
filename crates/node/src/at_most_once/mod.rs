//! Replicated at-most-once records: this node's replica, the view in which it votes, changes of
//! view, and the attempts of this node's requests. The journal crate makes the decisions.

mod attempts;
mod members;
mod metrics;
mod replica;
mod view_manager;
mod views;

pub use attempts::{record_attempt, record_key, Denied, RecordedAttempt};
pub use metrics::JournalMetrics;
pub use replica::Journal;
pub use view_manager::JournalViewManager;
pub use views::{MemberWithAddress, ViewRecord, ViewWithAddresses};
