//! What a scale run found.

use serde::Serialize;

/// A figure over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PerNode {
    /// The mean.
    pub mean: f64,
    /// The largest.
    pub max: f64,
}

impl PerNode {
    /// Mean and largest of some figures; zero if there are none.
    pub fn of(figures: &[f64]) -> Self {
        let count = figures.len().max(1) as f64;
        Self {
            mean: figures.iter().sum::<f64>() / count,
            max: figures.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// What a scale run found.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleReport {
    /// Hollow nodes.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Time until all nodes knew their zone, from a start of all at once, in milliseconds.
    pub join_ms: u64,
    /// Bytes sent to and received from peers by a node in a second, datagrams and pulls.
    pub control_bytes_per_s: PerNode,
    /// Processor time of the hollow nodes' threads per node, in percent of one core. The stand-in
    /// and the harness run in other threads and are not counted.
    pub control_cpu_percent: f64,
    /// Growth of the process's resident memory from before the nodes were made until the end of
    /// the measurement, per node, in megabytes.
    pub memory_mb: f64,
    /// Calls to the platform in a second, by all nodes together.
    pub store_ops_per_s: f64,
    /// Time from the store's answer to a change until it was in force at each node, in
    /// milliseconds.
    pub config_in_force_ms: PerNode,
    /// Time from the death of one node of the first zone until each other member of the zone
    /// counted it as dead, in milliseconds.
    pub detect_ms: PerNode,
}
