//! Nodes, a store, engines and journal replicas in virtual time, under random faults, judged by an
//! oracle that shares no code with the mechanisms. The nodes run the real lease keeper, claims,
//! orders, attempts, changes of view and spread of configurations; the engines are the engine model's control side.
//!
//! An episode is decided by its seed and its list of faults, so a failing one can be run again with
//! fewer faults until no fault can be dropped.

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
