//! Emulates a pool in virtual time: engines that run the engine model, nodes that route by delayed
//! reports and by the requests they sent themselves, and one lease holder that plans roles. All
//! randomness comes from the seed, so the same seed reproduces a run event by event.

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
