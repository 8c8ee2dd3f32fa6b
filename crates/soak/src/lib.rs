//! Simulation of nodes, a store, engines and journal replicas in virtual time under random faults. An oracle that shares
//! no code with the mechanisms checks the result. The nodes run the lease holder, pool claim, engine orders, attempts,
//! view changes and configuration dissemination of the product. The engines are the control side of the engine model.
//!
//! An episode is determined by its seed and its list of faults, so a failing episode can be run again with fewer faults
//! until no fault can be removed.

#![forbid(unsafe_code)]

pub mod cluster;
pub mod configuration;
pub mod engines;
pub mod faults;
pub mod journal;
pub mod nodes;
pub mod oracle;
pub mod run;
pub mod store;

pub use faults::{Fault, FaultKind, PlannedFault};
pub use oracle::Violation;
pub use run::{run_episode, shrink, soak, Episode, Report, Rule};
