//! The node process: wiring only. It serves callers and operators over HTTP, keeps the
//! configuration in force, and holds the authority over some pools; every decision is taken by a
//! crate without sockets, clocks or threads.

#![forbid(unsafe_code)]

pub mod admin;
pub mod at_most_once;
pub mod authority;
pub mod callers;
pub mod configuration;
pub mod dispatch;
pub mod limits;
pub mod metrics;
pub mod peers;
pub mod server;
pub mod state;

pub use server::{run, RunningNode};
pub use state::Node;
