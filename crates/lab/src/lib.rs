//! Experiments on the system's own decisions: an emulator in virtual time, strategies to compare,
//! and the reports that show what came of them.

#![forbid(unsafe_code)]

pub mod agree;
pub mod compare;
pub mod emulator;
pub mod load;
pub mod paired;
pub mod strategy;
pub mod workload;
