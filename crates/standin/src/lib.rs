//! Stand-ins for the systems around tansyhall, for tests and trials: the platform, a model engine
//! and an application worker. Each speaks the published protocol of what it stands for, and has
//! switches below `/standin` that bring about faults at run time.

#![forbid(unsafe_code)]

pub mod app;
pub mod engine;
pub mod platform;
