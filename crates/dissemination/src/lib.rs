//! How revisions of the configuration spread from the members that follow the store to all others:
//! who asks whom for what, when a node that has just started may serve, and how a revision is
//! written down as a difference from an earlier one.
//!
//! As in the other decision crates, time, events and a seed are handed in, and actions come back.

#![forbid(unsafe_code)]

pub mod document;
pub mod history;
mod recovery;
pub mod settings;
pub mod spread;

pub use document::{ApplyError, Delta, Document, ResourceChange};
pub use history::{History, PullBody};
pub use settings::SpreadSettings;
pub use spread::{Action, Mark, Peer, PullOutcome, Spread, View};
