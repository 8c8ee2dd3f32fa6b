//! Durations of the protocol.

use std::time::Duration;

/// Durations of the protocol. They must be the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareSettings {
    /// How long a base share is lent. A node that starts also waits this long before it uses its base
    /// share, because its previous incarnation may have lent it.
    pub loan_ttl: Duration,
    /// How long a grant is usable. Must be longer than `renewal_interval`. `loan_ttl` must be at least
    /// `grant_ttl` plus two renewal intervals, so that a loan backs grants until it is renewed.
    pub grant_ttl: Duration,
    /// Time between regular requests of a node to the owner of a group.
    pub renewal_interval: Duration,
    /// Time after which an unanswered request is repeated.
    pub retry_interval: Duration,
    /// Minimum time between requests to the owner of a group when demand has grown or when the owner
    /// is a new incarnation.
    pub urgent_interval: Duration,
    /// Subtracted from the end of a received grant and added to the end of a given loan, because the
    /// clocks of the nodes may run at different rates.
    pub clock_drift_margin: Duration,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            loan_ttl: Duration::from_secs(30),
            grant_ttl: Duration::from_secs(12),
            renewal_interval: Duration::from_secs(8),
            retry_interval: Duration::from_secs(2),
            urgent_interval: Duration::from_secs(1),
            clock_drift_margin: Duration::from_millis(500),
        }
    }
}
