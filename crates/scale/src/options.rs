//! What a scale run is to do.

use std::path::PathBuf;
use std::time::Duration;

/// What is brought about while the costs are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing; one node is killed after the costs were measured.
    #[default]
    None,
    /// All nodes of the first zone end at once and stay away.
    Zone,
    /// A tenth of all nodes end at once and start again with nothing.
    RestartStorm,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 3] = [Fault::None, Fault::Zone, Fault::RestartStorm];

    /// The fault's name in options and reports.
    pub const fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Zone => "zone",
            Fault::RestartStorm => "restart-storm",
        }
    }

    /// The fault with this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// A scale run.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    /// Hollow nodes.
    pub nodes: usize,
    /// Hollow engines.
    pub workers: usize,
    /// Zones that both are spread over, as evenly as can be.
    pub zones: usize,
    /// Models; each has at most one pool in a zone.
    pub models: usize,
    /// Tenants in the configuration.
    pub tenants: usize,
    /// Nodes of each zone that run the authority; all if absent. A node that does has a connection
    /// to every engine of its zone, and one process may hold only so many descriptors.
    pub authority_nodes_per_zone: Option<usize>,
    /// What is brought about.
    pub fault: Fault,
    /// Wait between the moment when all know each other and the measurement.
    pub warm_up: Duration,
    /// Length of the measurement.
    pub duration: Duration,
    /// Longest wait for a condition; reaching it fails the run.
    pub patience: Duration,
    /// Program that serves the stand-ins, called with `scale --stand-ins N`; they run in this
    /// process if absent, and their memory counts as that of the nodes.
    pub stand_ins: Option<PathBuf>,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        Self {
            nodes: 320,
            workers: 630,
            zones: 5,
            models: 18,
            tenants: 300,
            authority_nodes_per_zone: None,
            fault: Fault::None,
            warm_up: Duration::from_secs(60),
            duration: Duration::from_secs(30),
            patience: Duration::from_secs(120),
            stand_ins: None,
        }
    }
}
