//! A load generator that checks every answer. Arrivals follow a workload's phases by a seeded
//! random source; the expected answer to each prompt is known, so a wrong, cut or foreign answer
//! is seen at once.

#![forbid(unsafe_code)]

pub mod fleet;
pub mod generator;
pub mod summary;
pub mod workload;

pub use fleet::Fleet;
pub use generator::{arrivals, run};
pub use summary::Summary;
pub use workload::{Phase, RequestShape, Workload};
