//! Metrics of a gateway, served as text on its metrics address.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds in seconds of the buckets of stream pauses: steps of at most a factor of 1.6 around the limits that
/// routes usually set.
const STREAM_PAUSE_BUCKETS: [f64; 10] = [0.02, 0.05, 0.08, 0.12, 0.16, 0.2, 0.25, 0.4, 0.6, 1.0];

/// All metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    /// Requests by route, service, outcome and cause. The outcome is the one reported to the caller.
    pub requests: IntCounterVec,
    /// Seconds from the arrival of a request to the head of its answer, by route.
    pub latency: HistogramVec,
    /// Sends to workers by service and outcome.
    pub sends: IntCounterVec,
    /// Seconds of the longest pause between two events of each stream of a worker, by service.
    pub stream_pause: HistogramVec,
    /// Streams that paused for longer than their route allows, by route.
    pub long_stream_pauses: IntCounterVec,
    /// Events whose ids did not rise, by service.
    pub misordered_events: IntCounterVec,
    /// Sends to workers that are announced as leaving, by service.
    pub leaving_worker_sends: IntCounterVec,
    /// Event streams of which nothing but the end of the connection, after an event, marked the end, by service and by
    /// what was concluded from it.
    pub unproven_stream_ends: IntCounterVec,
    /// Answers that do not match the request sent before them, by kind of request.
    pub mismatched_answers: IntCounterVec,
    /// New notices of workers, by kind: `leaving`, `rest` (back-off) or `rate_limit`.
    pub worker_notices: IntCounterVec,
    /// Workers that ended while they ran requests of this gateway.
    pub worker_ends: IntCounter,
    /// Examined workers whose addresses refused connections, by cause.
    pub refused_connections: IntCounterVec,
    /// Requests that are not sent to workers because they crash workers.
    pub barred_requests: IntGauge,
    /// Prompt parts whose requests are not sent to workers because they crash workers.
    pub barred_parts: IntGauge,
    /// Placement requests to schedulers, by outcome.
    pub placements: IntCounterVec,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Workers that accept requests.
    pub ready_workers: IntGauge,
    /// Workers that are used although they have no entry, because the store was unavailable.
    pub lapsed_workers: IntGauge,
    /// The revision of the mirror of the store.
    pub mirror_revision: IntGauge,
    /// The epoch of the mirror of the store.
    pub mirror_epoch: IntGauge,
    /// The latest epoch that the store has reported to this gateway.
    pub store_epoch: IntGauge,
    /// The revision of the store when this gateway last read all of it.
    pub store_revision: IntGauge,
    /// Requests for changes of the store, by outcome: `answered`, `history_gone` or `failed`.
    pub store_reads: IntCounterVec,
    /// Whether this gateway knows which software versions have served for as long as a caller may return.
    pub version_watch_complete: IntGauge,
    /// Writes of the software versions of streams to the store, by outcome: `written` or `failed`.
    pub stream_record_writes: IntCounterVec,
    /// Writes of the software versions that serve to the store, by outcome: `written` or `failed`.
    pub served_version_writes: IntCounterVec,
    /// Gateways that share the fleet's budgets.
    pub gateways: IntGauge,
    /// Workers by service and state, as announced by the store.
    pub workers: IntGaugeVec,
    /// Whether this gateway holds the authority over roles.
    pub holds_authority: IntGauge,
    /// Orders of workers from the platform, by kind and outcome.
    pub worker_orders: IntCounterVec,
    /// Usage reports to the platform, by outcome.
    pub usage_reports: IntCounterVec,
    /// Milliseconds since the store last answered.
    pub store_age_ms: IntGauge,
    /// Whether this gateway requests changes from the store itself and not from a relay.
    pub follows_store: IntGauge,
    /// Whether the contents of caches from before the start have been recovered.
    pub caches_recovered: IntGauge,
    /// Retries that this gateway still has, by service.
    pub retries_left: IntGaugeVec,
    /// This gateway's shares of rate limits that are divided by demand, in requests per second, by service.
    pub rate_limit_shares: GaugeVec,
    /// Fraction of these shares that it uses, by service.
    pub rate_limit_used: GaugeVec,
    /// Tenants of which other gateways have reported rates.
    pub tenants_of_others: IntGauge,
    /// Connections to workers that other gateways were asked to relay, by outcome.
    pub relayed_connections: IntCounterVec,
    /// Connections that this gateway relays for others.
    pub relaying: IntGauge,
    /// Whether this gateway is partitioned from its workers.
    pub partitioned: IntGauge,
    /// Bytes that may be held for callers.
    pub memory_budget: IntGauge,
    /// Bytes that are held for callers.
    pub memory_held: IntGauge,
    /// Refusals because of too little memory, by what was refused: `body`, `slow_body`, `connection` or `head`.
    pub memory_refusals: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new(
                    "gateway_requests_total",
                    "Requests by route, service, outcome and cause",
                ),
                &["route", "service", "outcome", "cause"],
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new("gateway_latency_seconds", "Arrival to the answer's head"),
                &["route"],
            )?,
            sends: IntCounterVec::new(
                Opts::new("gateway_sends_total", "Sends to workers by outcome"),
                &["service", "outcome"],
            )?,
            stream_pause: HistogramVec::new(
                HistogramOpts::new(
                    "gateway_stream_pause_seconds",
                    "Longest pause between two events of a stream",
                )
                .buckets(STREAM_PAUSE_BUCKETS.to_vec()),
                &["service"],
            )?,
            long_stream_pauses: IntCounterVec::new(
                Opts::new(
                    "gateway_long_stream_pauses_total",
                    "Streams that paused for longer than their route allows",
                ),
                &["route"],
            )?,
            unproven_stream_ends: IntCounterVec::new(
                Opts::new(
                    "gateway_unproven_stream_ends_total",
                    "Event streams that ended after an event with only the end of the connection to mark it",
                ),
                &["service", "conclusion"],
            )?,
            misordered_events: IntCounterVec::new(
                Opts::new(
                    "gateway_misordered_events_total",
                    "Events of streams whose ids did not rise",
                ),
                &["service"],
            )?,
            leaving_worker_sends: IntCounterVec::new(
                Opts::new(
                    "gateway_leaving_worker_sends_total",
                    "Sends to workers that are announced as leaving",
                ),
                &["service"],
            )?,
            mismatched_answers: IntCounterVec::new(
                Opts::new(
                    "gateway_foreign_answers_total",
                    "Answers that do not bear the id of the request before them",
                ),
                &["work"],
            )?,
            worker_notices: IntCounterVec::new(
                Opts::new(
                    "gateway_worker_notices_total",
                    "What workers said of themselves in answers",
                ),
                &["notice"],
            )?,
            worker_ends: IntCounter::new(
                "gateway_worker_ends_total",
                "Workers that ended under requests",
            )?,
            refused_connections: IntCounterVec::new(
                Opts::new(
                    "gateway_refused_connections_total",
                    "Workers whose addresses refused connections, by cause",
                ),
                &["cause"],
            )?,
            barred_requests: IntGauge::new(
                "gateway_barred_requests",
                "Requests that workers may get no more",
            )?,
            barred_parts: IntGauge::new(
                "gateway_barred_parts",
                "Prompt parts whose requests workers may get no more",
            )?,
            placements: IntCounterVec::new(
                Opts::new(
                    "gateway_placements_total",
                    "Questions to schedulers by outcome",
                ),
                &["outcome"],
            )?,
            configuration_version: IntGauge::new(
                "gateway_configuration_version",
                "Version of the configuration in force",
            )?,
            ready_workers: IntGauge::new("gateway_ready_workers", "Workers that take requests")?,
            lapsed_workers: IntGauge::new(
                "gateway_lapsed_workers",
                "Workers that are used without an entry after an outage of the store",
            )?,
            mirror_revision: IntGauge::new(
                "gateway_mirror_revision",
                "Revision of the copy of the store",
            )?,
            mirror_epoch: IntGauge::new("gateway_mirror_epoch", "Epoch of the copy of the store")?,
            store_epoch: IntGauge::new("gateway_store_epoch", "Latest epoch that the store named")?,
            store_revision: IntGauge::new(
                "gateway_store_revision",
                "Revision of the store when it was last read whole",
            )?,
            store_reads: IntCounterVec::new(
                Opts::new(
                    "gateway_store_reads_total",
                    "Calls for changes of the store",
                ),
                &["outcome"],
            )?,
            version_watch_complete: IntGauge::new(
                "gateway_version_watch_complete",
                "Whether the software versions that have served lately are known",
            )?,
            stream_record_writes: IntCounterVec::new(
                Opts::new(
                    "gateway_stream_record_writes_total",
                    "Writes of the software versions of streams to the store",
                ),
                &["outcome"],
            )?,
            served_version_writes: IntCounterVec::new(
                Opts::new(
                    "gateway_served_version_writes_total",
                    "Writes of the software versions that serve to the store",
                ),
                &["outcome"],
            )?,
            gateways: IntGauge::new("gateway_gateways", "Gateways that share budgets")?,
            workers: IntGaugeVec::new(
                Opts::new("gateway_workers", "Workers by service and state"),
                &["service", "state"],
            )?,
            holds_authority: IntGauge::new(
                "gateway_holds_authority",
                "Whether this gateway holds the authority over roles",
            )?,
            worker_orders: IntCounterVec::new(
                Opts::new(
                    "gateway_worker_orders_total",
                    "Orders of workers by kind and outcome",
                ),
                &["kind", "outcome"],
            )?,
            usage_reports: IntCounterVec::new(
                Opts::new("gateway_usage_reports_total", "Reports of usage by outcome"),
                &["outcome"],
            )?,
            store_age_ms: IntGauge::new(
                "gateway_store_age_ms",
                "Milliseconds since the store last answered",
            )?,
            follows_store: IntGauge::new(
                "gateway_follows_store",
                "Whether this gateway asks the store itself for changes",
            )?,
            caches_recovered: IntGauge::new(
                "gateway_caches_recovered",
                "Whether what caches held before the start is known",
            )?,
            retries_left: IntGaugeVec::new(
                Opts::new("gateway_retries_left", "Retries that could still be spent"),
                &["service"],
            )?,
            rate_limit_shares: GaugeVec::new(
                Opts::new(
                    "gateway_rate_limit_shares",
                    "Requests per second that shares of rate limits divided by demand allow",
                ),
                &["service"],
            )?,
            rate_limit_used: GaugeVec::new(
                Opts::new(
                    "gateway_rate_limit_used",
                    "Fraction of the shares of rate limits that is used",
                ),
                &["service"],
            )?,
            tenants_of_others: IntGauge::new(
                "gateway_tenants_of_others",
                "Tenants whose work other gateways have reported",
            )?,
            relayed_connections: IntCounterVec::new(
                Opts::new(
                    "gateway_relayed_connections_total",
                    "Connections to workers that other gateways were asked to relay, by outcome",
                ),
                &["outcome"],
            )?,
            relaying: IntGauge::new(
                "gateway_relaying",
                "Connections to workers that are relayed for other gateways",
            )?,
            partitioned: IntGauge::new(
                "gateway_partitioned",
                "Whether this gateway reaches its workers only through other gateways",
            )?,
            memory_budget: IntGauge::new(
                "gateway_memory_budget_bytes",
                "Bytes that may be held for callers",
            )?,
            memory_held: IntGauge::new(
                "gateway_memory_held_bytes",
                "Bytes that are held for callers",
            )?,
            memory_refusals: IntCounterVec::new(
                Opts::new(
                    "gateway_memory_refusals_total",
                    "Refusals because of too little memory, by what was refused",
                ),
                &["what"],
            )?,
            in_flight: IntGauge::new("gateway_in_flight", "Requests under way")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Counts a placement request to a scheduler by its outcome.
    pub fn count_placement(&self, outcome: &str) {
        self.placements.with_label_values(&[outcome]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        text
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry
            .register(Box::new(self.leaving_worker_sends.clone()))?;
        self.registry
            .register(Box::new(self.unproven_stream_ends.clone()))?;
        self.registry.register(Box::new(self.sends.clone()))?;
        self.registry
            .register(Box::new(self.stream_pause.clone()))?;
        self.registry
            .register(Box::new(self.long_stream_pauses.clone()))?;
        self.registry
            .register(Box::new(self.misordered_events.clone()))?;
        self.registry
            .register(Box::new(self.mismatched_answers.clone()))?;
        self.registry
            .register(Box::new(self.worker_notices.clone()))?;
        self.registry.register(Box::new(self.worker_ends.clone()))?;
        self.registry
            .register(Box::new(self.refused_connections.clone()))?;
        self.registry
            .register(Box::new(self.barred_requests.clone()))?;
        self.registry
            .register(Box::new(self.barred_parts.clone()))?;
        self.registry.register(Box::new(self.placements.clone()))?;
        self.registry
            .register(Box::new(self.configuration_version.clone()))?;
        self.registry
            .register(Box::new(self.ready_workers.clone()))?;
        self.registry
            .register(Box::new(self.lapsed_workers.clone()))?;
        self.registry
            .register(Box::new(self.mirror_revision.clone()))?;
        self.registry
            .register(Box::new(self.mirror_epoch.clone()))?;
        self.registry.register(Box::new(self.store_epoch.clone()))?;
        self.registry
            .register(Box::new(self.store_revision.clone()))?;
        self.registry.register(Box::new(self.store_reads.clone()))?;
        self.registry
            .register(Box::new(self.version_watch_complete.clone()))?;
        self.registry
            .register(Box::new(self.stream_record_writes.clone()))?;
        self.registry
            .register(Box::new(self.served_version_writes.clone()))?;
        self.registry.register(Box::new(self.gateways.clone()))?;
        self.registry.register(Box::new(self.workers.clone()))?;
        self.registry
            .register(Box::new(self.holds_authority.clone()))?;
        self.registry
            .register(Box::new(self.worker_orders.clone()))?;
        self.registry
            .register(Box::new(self.usage_reports.clone()))?;
        self.registry
            .register(Box::new(self.store_age_ms.clone()))?;
        self.registry
            .register(Box::new(self.follows_store.clone()))?;
        self.registry
            .register(Box::new(self.caches_recovered.clone()))?;
        self.registry
            .register(Box::new(self.retries_left.clone()))?;
        self.registry
            .register(Box::new(self.rate_limit_shares.clone()))?;
        self.registry
            .register(Box::new(self.rate_limit_used.clone()))?;
        self.registry
            .register(Box::new(self.tenants_of_others.clone()))?;
        self.registry
            .register(Box::new(self.relayed_connections.clone()))?;
        self.registry.register(Box::new(self.relaying.clone()))?;
        self.registry.register(Box::new(self.partitioned.clone()))?;
        self.registry
            .register(Box::new(self.memory_budget.clone()))?;
        self.registry.register(Box::new(self.memory_held.clone()))?;
        self.registry
            .register(Box::new(self.memory_refusals.clone()))?;
        self.registry.register(Box::new(self.in_flight.clone()))
    }
}
