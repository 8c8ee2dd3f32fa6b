//! Settings of the dissemination of configuration revisions.

use tansyhall_core::Duration;

/// Timeouts, delays and limits of the dissemination.
#[derive(Debug, Clone)]
pub struct DisseminationSettings {
    /// The number of members to which each member announces a new revision when it puts it in
    /// force.
    pub announce_fanout: usize,
    /// The time after which a pull without an answer has failed.
    pub pull_timeout: Duration,
    /// The delay before a peer is queried again after a failed pull.
    pub retry_delay: Duration,
    /// The number of peers that a node which has just started queries at once.
    pub recovery_parallelism: usize,
    /// The time after its start from which a node that is still recovering also follows the store.
    pub store_query_delay: Duration,
    /// The maximum number of deltas kept for peers that hold an older revision. Peers further
    /// behind receive the full document.
    pub max_deltas: usize,
    /// The maximum number of peers whose revision is kept.
    pub max_peers: usize,
}

impl Default for DisseminationSettings {
    fn default() -> Self {
        Self {
            announce_fanout: 4,
            pull_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(500),
            recovery_parallelism: 4,
            store_query_delay: Duration::from_secs(1),
            max_deltas: 64,
            max_peers: 1_024,
        }
    }
}
