//! Scale runs: many hollow nodes in one process, over real loopback sockets. A hollow node runs
//! the node's own membership, configuration and authority code, but serves no callers and no
//! operators. The platform and the engines are stand-ins, in a process of their own if one is
//! named, so that the memory of this process is that of the nodes.

#![forbid(unsafe_code)]

mod cost;
mod engines;
mod fleet;
mod holders;
mod options;
mod relay;
mod report;
mod resources;
mod run;
mod stand_ins;
mod usage;

pub use options::{Fault, ScaleOptions};
pub use report::{PerNode, ScaleReport};
pub use run::run;
pub use stand_ins::serve_stand_ins;
