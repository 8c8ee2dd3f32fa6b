//! The node process. It serves callers and operators over HTTP, keeps the newest configuration in
//! force, and holds the authority over some pools. This crate only connects the parts: decisions are
//! made by crates without sockets, clocks or threads.

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
