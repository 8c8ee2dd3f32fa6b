//! Engines as the system sees them: the wire types of their published protocol, and clients that
//! turn every failure into a verdict on whether the work may have run.

#![forbid(unsafe_code)]

pub mod blocks;
pub mod client;
pub mod protocol;
pub mod sse;
pub mod transport;

pub use client::{EngineClient, EngineError, EngineStream};
