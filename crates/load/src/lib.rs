//! A load generator that checks every answer. Requests arrive at the rates of the phases of a workload,
//! drawn from a seeded random number generator. The expected answer to each prompt is known, so that a
//! wrong, truncated or mismatched answer is detected.

#![forbid(unsafe_code)]

pub mod fleet;
pub mod generator;
pub mod summary;
pub mod workload;

pub use fleet::Fleet;
pub use generator::{arrivals, run_workload};
pub use summary::Summary;
pub use workload::{Phase, RequestShape, Workload};
