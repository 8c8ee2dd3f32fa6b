//! Stand-ins for the systems that tansyhall works with, for tests and trials: the platform, a model
//! engine and an application worker. Each implements the published protocol of the system that it
//! replaces, and control endpoints under `/standin`. Those of the platform and the engine inject faults
//! at run time.

#![forbid(unsafe_code)]

pub mod app;
pub mod engine;
pub mod platform;
