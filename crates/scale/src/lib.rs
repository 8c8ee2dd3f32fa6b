//! Scale runs: many hollow nodes in one process, over real loopback sockets. A hollow node runs
//! the node's own membership and configuration code, but serves no callers and no operators. The
//! platform is the stand-in, in the same process.

#![forbid(unsafe_code)]

mod fleet;
mod options;
mod report;
mod run;
mod usage;

pub use options::ScaleOptions;
pub use report::{PerNode, ScaleReport};
pub use run::run;
