//! Counters and gauges of the at-most-once records.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the replica and of this node's attempts.
pub struct JournalMetrics {
    /// Attempts of this node's requests, by decision.
    pub tries: IntCounterVec,
    /// Number of the view that attempts use; zero while none is known.
    pub view: IntGauge,
    /// Number of members of the view that did not answer this node's last probe, if it manages the
    /// views.
    pub members_lost: IntGauge,
    /// Number of changes of view that this node completed.
    pub view_changes: IntCounter,
    /// Number of records at this node's replica.
    pub records: IntGauge,
}

impl JournalMetrics {
    /// Registers every metric.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let tries = Opts::new(
            "tansyhall_journal_tries_total",
            "Tries of requests that are not repeatable, by what they came to",
        );
        let metrics = Self {
            tries: IntCounterVec::new(tries, &["decision"])?,
            view: IntGauge::new("tansyhall_journal_view", "View of the at-most-once records")?,
            members_lost: IntGauge::new(
                "tansyhall_journal_members_lost",
                "Members of the view that do not answer",
            )?,
            view_changes: IntCounter::new(
                "tansyhall_journal_view_changes_total",
                "Changes of view completed",
            )?,
            records: IntGauge::new("tansyhall_journal_records", "Records at this replica")?,
        };
        registry.register(Box::new(metrics.tries.clone()))?;
        registry.register(Box::new(metrics.view.clone()))?;
        registry.register(Box::new(metrics.members_lost.clone()))?;
        registry.register(Box::new(metrics.view_changes.clone()))?;
        registry.register(Box::new(metrics.records.clone()))?;
        Ok(metrics)
    }
}
