//! Experiments on the system's decisions: an emulator that runs in virtual time, the strategies that
//! it compares, and reports of the results.

#![forbid(unsafe_code)]

pub mod agree;
pub mod compare;
pub mod emulator;
pub mod load;
pub mod paired;
pub mod strategy;
pub mod workload;
