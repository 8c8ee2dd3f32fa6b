//! What a scale run is to do.

use std::time::Duration;

/// A scale run.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    /// Hollow nodes.
    pub nodes: usize,
    /// Zones that they are spread over, as evenly as can be.
    pub zones: usize,
    /// Threads that they share.
    pub threads: usize,
    /// Wait between the moment when all know each other and the measurement.
    pub warm_up: Duration,
    /// Length of the measurement.
    pub duration: Duration,
    /// Longest wait for a condition; reaching it fails the run.
    pub patience: Duration,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        Self {
            nodes: 320,
            zones: 5,
            threads: 4,
            warm_up: Duration::from_secs(60),
            duration: Duration::from_secs(30),
            patience: Duration::from_secs(120),
        }
    }
}
