//! What a scale run found.

use serde::{Deserialize, Serialize};

/// A figure over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PerNode {
    /// The mean.
    pub mean: f64,
    /// The largest.
    pub max: f64,
}

impl PerNode {
    /// Mean and largest of some figures; absent if there are none.
    pub fn of(figures: &[f64]) -> Option<Self> {
        let largest = figures.iter().copied().reduce(f64::max)?;
        Some(Self {
            mean: figures.iter().sum::<f64>() / figures.len() as f64,
            max: largest,
        })
    }
}

/// What a scale run found. Costs are those of the measurement, and with a fault those of the time
/// that began with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Hollow nodes.
    pub nodes: usize,
    /// Those that ran the authority.
    pub authority_nodes: usize,
    /// Hollow engines.
    pub workers: usize,
    /// Zones.
    pub zones: usize,
    /// Pools that were held when the measurement began.
    pub pools_held: usize,
    /// Tenants in the configuration.
    pub tenants: usize,
    /// What was brought about.
    pub fault: String,
    /// Time until all nodes knew their zone, from a start of all at once, in milliseconds.
    pub join_ms: f64,
    /// Bytes a second to and from peers, platform and engines. The mean is that over the nodes
    /// that run the authority; the most is that of a node's peers and platform, and the mean of
    /// engines.
    pub control_bytes_per_s: Option<PerNode>,
    /// The part to and from peers, over all nodes.
    pub peer_bytes_per_s: Option<PerNode>,
    /// The part to and from the platform, the list of machines included, over all nodes.
    pub platform_bytes_per_s: Option<PerNode>,
    /// The part to and from engines, for a node that runs the authority.
    pub engine_bytes_per_s: f64,
    /// Control calls that engines had from one such node in a second.
    pub engine_calls_per_s: f64,
    /// Processor time of a node that runs the authority, in percent of one core: the threads of
    /// such nodes divided by their number. The most is that of the busiest thread.
    pub control_cpu_percent: Option<PerNode>,
    /// The same for nodes without authority.
    pub member_cpu_percent: Option<PerNode>,
    /// Growth of this process's resident memory from before the first node was made until the end
    /// of the measurement, per node, in megabytes.
    pub memory_mb: f64,
    /// Calls to the platform in a second by all nodes, reads of the list of machines included.
    pub store_ops_per_s: f64,
    /// Time from the store's answer to a change until it was in force at each node that runs, in
    /// milliseconds.
    pub config_in_force_ms: Option<PerNode>,
    /// Time from the death of one node until each other member of its zone counted it as dead, in
    /// milliseconds; absent after a fault that leaves no member of the zone to see it.
    pub detect_ms: Option<PerNode>,
    /// Time from the death of nodes until each of their pools had its next holder, in milliseconds;
    /// absent if they held none or nobody was left to take it.
    pub takeover_ms: Option<PerNode>,
    /// Time from the end of the nodes of a restart storm until each node had all members of its
    /// zone as alive in their new incarnations, in milliseconds.
    pub rejoin_ms: Option<PerNode>,
}
