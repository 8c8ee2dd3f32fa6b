//! Requests under which workers end.
//!
//! A request may end each worker that begins to run it, and it comes again: sent on by a gateway, repeated
//! by its caller, at any gateway. Its tries have nothing in common but what they ask for, the
//! [`Fingerprint`]. The [`SendLedger`] tells which requests a worker may have been running when it ended.

mod fingerprint;
mod send_ledger;

pub use fingerprint::{Fingerprint, RequestContent};
pub use send_ledger::{SendLedger, SendNumber};
