//! The wire types of the published engine protocol, and a client that classifies every failure by
//! whether the work may have run.

#![forbid(unsafe_code)]

pub mod blocks;
pub mod client;
pub mod protocol;
pub mod sse;
pub mod transport;

pub use client::{EngineClient, EngineError, EngineStream};
