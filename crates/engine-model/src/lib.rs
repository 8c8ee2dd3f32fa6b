//! Model of an engine: continuous batching with a cost for each iteration, and the control state with
//! its fence token. The stand-in runs this model in real time and the emulator runs it in virtual time,
//! so that their figures can be compared.

#![forbid(unsafe_code)]

pub mod batch;
pub mod control;
pub mod prefix_cache;

pub use batch::{Batch, CostModel, Progress, SubmitError, Work};
pub use control::{Control, ControlTiming};
pub use prefix_cache::PrefixCache;
