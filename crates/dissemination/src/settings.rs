//! Times and bounds of the spread of configuration revisions.

use tansyhall_core::Duration;

/// Times and bounds.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// Members told of a new revision at once by each member that puts it in force.
    pub announce_fanout: usize,
    /// After this long without an answer, a pull has failed.
    pub pull_timeout: Duration,
    /// Wait before a peer is asked again after a failed pull.
    pub retry_delay: Duration,
    /// Peers that a node which has just started asks at once.
    pub recovery_parallelism: usize,
    /// After this long a node that has just started also asks the store.
    pub store_patience: Duration,
    /// Differences kept for peers that are behind; those further behind get everything.
    pub max_deltas: usize,
    /// Most peers whose revision is remembered.
    pub max_peers: usize,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            announce_fanout: 4,
            pull_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(500),
            recovery_parallelism: 4,
            store_patience: Duration::from_secs(1),
            max_deltas: 64,
            max_peers: 1_024,
        }
    }
}
