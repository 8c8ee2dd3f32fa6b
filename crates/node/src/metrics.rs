//! Counters and gauges of a node, rendered in the Prometheus text format.

use crate::at_most_once::JournalMetrics;
use crate::peers::PeerMetrics;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Every counter and gauge of a node.
pub struct Metrics {
    registry: Registry,
    /// Answered requests, by verdict.
    pub requests: IntCounterVec,
    /// Attempts at back ends, by outcome.
    pub attempts: IntCounterVec,
    /// Chunks that belonged to another request; each one ended an attempt.
    pub mismatches: IntCounter,
    /// Requests resumed at another engine.
    pub resumed: IntCounter,
    /// Retries requested from the retry budget, by its decision.
    pub retries: IntCounterVec,
    /// Circuit breakers opened.
    pub breakers_opened: IntCounter,
    /// Requests answered with an error before any attempt, by reason.
    pub refused: IntCounterVec,
    /// Callers that disconnected before their answers were complete.
    pub callers_gone: IntCounter,
    /// Callers that were disconnected because they stopped reading their answers.
    pub callers_stalled: IntCounter,
    /// Requests that had not ended by their deadlines.
    pub late: IntCounter,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Revision of the configuration in force.
    pub configuration_revision: IntGauge,
    /// Configurations refused because they do not validate.
    pub configuration_refused: IntCounter,
    /// Changes that operators requested through this node, by outcome.
    pub changes: IntCounterVec,
    /// Orders sent to engines, by reply.
    pub orders: IntCounterVec,
    /// Pools over which this node has authority.
    pub pools_held: IntGauge,
    /// Whether this node considers its lease valid: 1 or 0.
    pub lease_valid: IntGauge,
    /// Pools that this node has acquired; a pool counts each time it is acquired.
    pub pools_acquired: IntCounter,
    /// Rounds of a held pool in which no order was sent because the lease was not valid.
    pub orders_withheld: IntCounter,
    /// Changes given up because requests of a draining engine did not end in time.
    pub changes_given_up: IntCounter,
    /// Rollouts that stopped because an engine crashed on the same load again.
    pub rollouts_stopped: IntCounter,
    /// Failed calls to the platform.
    pub platform_errors: IntCounter,
    /// Traffic between nodes.
    pub peers: PeerMetrics,
    /// Choices of engines for completions, by placement or reason of refusal.
    pub choices: IntCounterVec,
    /// Actual over predicted time of answers that were not interrupted.
    pub prediction_ratio: Histogram,
    /// KV caches transferred from prefill to decode engines, by outcome.
    pub kv_transfers: IntCounterVec,
    /// Load reports of engines, by outcome.
    pub load_reports: IntCounterVec,
    /// The at-most-once records.
    pub journal: JournalMetrics,
}

/// Upper bounds of the buckets of [`Metrics::prediction_ratio`].
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.75, 0.9, 1.0, 1.1, 1.33, 2.0, 4.0, 8.0];

impl Metrics {
    /// Registers every metric.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let ratio = HistogramOpts::new(
            "tansyhall_prediction_ratio",
            "Actual over predicted time of whole answers",
        );
        let prediction_ratio = Histogram::with_opts(ratio.buckets(RATIO_BUCKETS.to_vec()))?;
        registry.register(Box::new(prediction_ratio.clone()))?;
        Ok(Self {
            requests: counters("tansyhall_requests_total", "Requests by verdict", "verdict")?,
            attempts: counters("tansyhall_attempts_total", "Attempts by outcome", "outcome")?,
            mismatches: counter("tansyhall_mismatches_total", "Chunks of the wrong request")?,
            resumed: counter("tansyhall_resumed_total", "Requests resumed elsewhere")?,
            retries: counters("tansyhall_retries_total", "Retries by decision", "decision")?,
            breakers_opened: counter("tansyhall_breakers_opened_total", "Circuit breakers opened")?,
            refused: counters(
                "tansyhall_refused_total",
                "Requests refused before any attempt, by reason",
                "reason",
            )?,
            callers_gone: counter(
                "tansyhall_callers_gone_total",
                "Callers gone before their answers were whole",
            )?,
            callers_stalled: counter(
                "tansyhall_callers_stalled_total",
                "Callers cut off because they stopped reading",
            )?,
            late: counter(
                "tansyhall_late_total",
                "Requests that passed their deadlines",
            )?,
            in_progress: gauge("tansyhall_requests_in_progress", "Requests in progress")?,
            configuration_revision: gauge(
                "tansyhall_configuration_revision",
                "Revision of the configuration in force",
            )?,
            configuration_refused: counter(
                "tansyhall_configuration_refused_total",
                "Configurations refused as invalid",
            )?,
            changes: counters(
                "tansyhall_configuration_changes_total",
                "Changes asked for by operators, by outcome",
                "outcome",
            )?,
            orders: counters("tansyhall_orders_total", "Orders by reply", "reply")?,
            pools_held: gauge("tansyhall_pools_held", "Pools under this node's authority")?,
            lease_valid: gauge("tansyhall_lease_valid", "Whether the node's lease is valid")?,
            pools_acquired: counter("tansyhall_pools_acquired_total", "Pools acquired")?,
            orders_withheld: counter(
                "tansyhall_orders_withheld_total",
                "Rounds without orders for want of a valid lease",
            )?,
            changes_given_up: counter("tansyhall_changes_given_up_total", "Changes given up")?,
            rollouts_stopped: counter("tansyhall_rollouts_stopped_total", "Rollouts stopped")?,
            platform_errors: counter("tansyhall_store_errors_total", "Failed platform calls")?,
            peers: PeerMetrics::register(&registry)?,
            choices: counters(
                "tansyhall_choices_total",
                "Choices of engines, by placement or refusal",
                "choice",
            )?,
            prediction_ratio,
            kv_transfers: counters(
                "tansyhall_kv_transfers_total",
                "KV caches handed between engines, by outcome",
                "outcome",
            )?,
            load_reports: counters(
                "tansyhall_load_reports_total",
                "Load reports of engines, by outcome",
                "outcome",
            )?,
            journal: JournalMetrics::register(&registry)?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
