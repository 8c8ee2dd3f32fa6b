//! A pool in virtual time: engines that run the engine model, nodes that route with old reports
//! and their own requests, one holder that plans. Everything random comes from the seed, so the
//! same seed gives the same run to the last event.

mod control;
mod engine;
mod events;
mod node;
mod outcome;
mod run;
mod serve;

pub use engine::EngineMode;
pub use outcome::{Outcome, TimePoint};
pub use run::{run, Conditions};
