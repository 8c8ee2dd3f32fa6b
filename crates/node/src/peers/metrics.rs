//! Counters and gauges of the traffic between nodes.

use std::time::Duration;

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Counters and gauges of the traffic between nodes.
pub struct PeerMetrics {
    /// Members of the zone, by state.
    pub members: IntGaugeVec,
    /// Changes of members' states, by the new state.
    pub member_changes: IntCounterVec,
    /// Back ends of the zone that get no new work because they are leaving.
    pub leaving_backends: IntGauge,
    /// Bytes of datagrams, by direction.
    pub datagram_bytes: IntCounterVec,
    /// Bytes of the requests that this node sends to peers over TCP, such as configuration pulls, and
    /// of their answers, by direction.
    pub pull_bytes: IntCounterVec,
    /// Datagrams and requests that do not decode, and requests that were not served in time.
    pub malformed: IntCounter,
    /// Messages from nodes of other fleets.
    pub foreign: IntCounter,
    /// Datagrams that the operating system did not accept for sending.
    pub unsent: IntCounter,
    /// Configuration pulls by this node, by outcome.
    pub pulls: IntCounterVec,
    /// Configuration pulls served to peers.
    pub pulls_served: IntCounter,
    /// Whether this node follows the configuration store.
    pub follows_store: IntGauge,
    /// Seconds since the configuration was last known to be the newest; infinite before the first time.
    pub staleness_seconds: Gauge,
}

impl PeerMetrics {
    /// Registers every metric.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let members = Opts::new("tansyhall_members", "Members of the zone by state");
        let changes = Opts::new(
            "tansyhall_member_changes_total",
            "Changes of members' states by the new state",
        );
        let bytes = Opts::new(
            "tansyhall_peer_datagram_bytes_total",
            "Bytes of membership datagrams by direction",
        );
        let pull_bytes = Opts::new(
            "tansyhall_peer_pull_bytes_total",
            "Bytes of configuration pulls by direction",
        );
        let pulls = Opts::new(
            "tansyhall_configuration_pulls_total",
            "Configuration pulls from peers by outcome",
        );
        let metrics = Self {
            members: IntGaugeVec::new(members, &["state"])?,
            member_changes: IntCounterVec::new(changes, &["state"])?,
            leaving_backends: IntGauge::new(
                "tansyhall_leaving_backends",
                "Back ends that get no new work because they are leaving",
            )?,
            datagram_bytes: IntCounterVec::new(bytes, &["direction"])?,
            pull_bytes: IntCounterVec::new(pull_bytes, &["direction"])?,
            malformed: IntCounter::new(
                "tansyhall_peer_malformed_total",
                "Messages of peers that do not decode",
            )?,
            foreign: IntCounter::new(
                "tansyhall_peer_foreign_total",
                "Messages of nodes of other fleets, which are passed over",
            )?,
            unsent: IntCounter::new(
                "tansyhall_peer_unsent_total",
                "Datagrams that could not be sent",
            )?,
            pulls: IntCounterVec::new(pulls, &["outcome"])?,
            pulls_served: IntCounter::new(
                "tansyhall_configuration_pulls_served_total",
                "Configuration pulls served to peers",
            )?,
            follows_store: IntGauge::new(
                "tansyhall_configuration_follows_store",
                "Whether this node follows the configuration store",
            )?,
            staleness_seconds: Gauge::new(
                "tansyhall_configuration_staleness_seconds",
                "Time since the configuration was last known to be the newest",
            )?,
        };
        metrics.staleness_seconds.set(f64::INFINITY);
        registry.register(Box::new(metrics.members.clone()))?;
        registry.register(Box::new(metrics.member_changes.clone()))?;
        registry.register(Box::new(metrics.leaving_backends.clone()))?;
        registry.register(Box::new(metrics.datagram_bytes.clone()))?;
        registry.register(Box::new(metrics.pull_bytes.clone()))?;
        registry.register(Box::new(metrics.malformed.clone()))?;
        registry.register(Box::new(metrics.foreign.clone()))?;
        registry.register(Box::new(metrics.unsent.clone()))?;
        registry.register(Box::new(metrics.pulls.clone()))?;
        registry.register(Box::new(metrics.pulls_served.clone()))?;
        registry.register(Box::new(metrics.follows_store.clone()))?;
        registry.register(Box::new(metrics.staleness_seconds.clone()))?;
        Ok(metrics)
    }
}

impl PeerMetrics {
    /// Returns the milliseconds since the configuration in force was last known to be the newest, or
    /// `None` before the first time.
    pub fn staleness_millis(&self) -> Option<u64> {
        let age = Duration::try_from_secs_f64(self.staleness_seconds.get()).ok()?;
        u64::try_from(age.as_millis()).ok()
    }

    /// Returns the bytes of all kinds that this node has sent to its peers and received from them.
    pub fn total_bytes(&self) -> u64 {
        let kinds = [&self.datagram_bytes, &self.pull_bytes];
        let directions = kinds.iter().flat_map(|bytes| {
            ["sent", "received"].map(|direction| bytes.with_label_values(&[direction]).get())
        });
        directions.sum()
    }
}
