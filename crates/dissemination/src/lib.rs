//! Dissemination of configuration revisions from the members that follow the store to all other
//! members: which node pulls which revision from which peer, when a node that has just started may
//! serve, and how a revision is encoded as a delta from an earlier one.
//!
//! This crate reads no clock and opens no socket. The caller passes the time, events and a seed,
//! and executes the returned actions.

#![forbid(unsafe_code)]

pub mod dissemination;
pub mod document;
pub mod history;
mod recovery;
pub mod settings;

pub use dissemination::{Action, Dissemination, MembershipView, Peer, PullOutcome, RevisionStatus};
pub use document::{ApplyError, Delta, Document, ResourceChange};
pub use history::{History, PullBody};
pub use settings::DisseminationSettings;
