//! Switches for individual routing mechanisms, so that operators can turn off one that they suspect of a fault, and so
//! that the benefit of each can be measured. All are on by default. Requests are served with any of them off.
//!
//! The last group plans for capacity that is lost all at once. It takes effect only where the settings state that the
//! deployment has to bear the loss of a zone ([`Decisions::with_tolerated_zones`]).

use serde::Deserialize;

/// The routing mechanisms that are enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Decisions {
    /// Prompts are read on other engines than those that decode them (disaggregated prefill).
    pub reading_apart: bool,
    /// An engine fetches the KV cache of prompt parts from engines that hold them.
    pub fetches: bool,
    /// The choice of an engine considers the estimated contents of its cache.
    pub caches: bool,
    /// The cost of work on engines is learnt; otherwise the initial estimates are used throughout.
    pub learnt_costs: bool,
    /// Engines that are slower than others of their service are detected.
    pub slowness: bool,
    /// In a large fleet, schedulers place the requests of all gateways.
    pub schedulers: bool,
    /// The choice of an engine considers the load that other gateways report.
    pub reported_load: bool,
    /// The choice of an engine considers how much reading a prompt slows down the streams on the same engine.
    pub harm: bool,
    /// The choice of an engine considers what a further copy of a prompt part evicts from its cache.
    pub displacement: bool,
    /// Prompts that would wait too long are refused immediately.
    pub refusal: bool,
    /// In overload, tenants that have used more than their share are refused before others.
    pub tenant_shares: bool,
    /// If no prefill engine has capacity for a prompt, a decoding engine may read it while it serves streams.
    pub beside_streams: bool,
    /// The retry delay that refused callers are given grows with the demand.
    pub later_return: bool,
    /// The last free slots of an engine are reserved for more urgent routes.
    pub yielded_places: bool,
    /// Prompts that cost very little to read are read before all others.
    pub short_first: bool,
    /// Workers that this gateway cannot reach itself are reached through other gateways.
    pub worker_relays: bool,
    /// Workers that were found absent are not selected.
    pub absence: bool,
    /// Requests that crash workers are no longer sent to any worker.
    pub quarantine: bool,
    /// Notices in workers' answers are respected: that a worker is leaving, is backing off, or limits its requests per
    /// second.
    pub worker_notices: bool,
    /// Engines are ordered to change their roles.
    pub role_orders: bool,
    /// Workers are ordered on platforms that allow a choice of their number.
    pub worker_orders: bool,
    /// Requests of the most urgent routes are expected to wait only for each other, because engines serve them before
    /// others, and in a shortage of engines their demand is met first.
    pub urgent_first: bool,
    /// Engines that neither role needs are divided between both roles by the recent peaks of their demand.
    pub balanced_spares: bool,
    /// Rate limits of workers are divided between gateways by their demand.
    pub demand_shares: bool,
    /// In overload, the shares of tenants follow from what they have used at all gateways.
    pub fleet_tenant_shares: bool,
    /// The choice of a decode engine considers the pauses that its streams make, as observed by all gateways.
    pub stream_pauses: bool,
    /// In a shortage, workers that are about to leave still get requests that they finish in time.
    pub leaving_workers: bool,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            reading_apart: true,
            fetches: true,
            caches: true,
            learnt_costs: true,
            slowness: true,
            schedulers: true,
            reported_load: true,
            harm: true,
            displacement: true,
            refusal: true,
            tenant_shares: true,
            beside_streams: true,
            later_return: true,
            yielded_places: true,
            short_first: true,
            worker_relays: true,
            absence: true,
            quarantine: true,
            worker_notices: true,
            role_orders: true,
            worker_orders: true,
            urgent_first: true,
            balanced_spares: true,
            demand_shares: true,
            fleet_tenant_shares: true,
            stream_pauses: true,
            leaving_workers: true,
        }
    }
}

impl Decisions {
    /// Returns the mechanisms that are enabled in a deployment that has to bear the loss of `zones` zones. If it does
    /// not have to bear the loss of any, the mechanisms that plan for it are off.
    pub fn with_tolerated_zones(self, zones: u32) -> Self {
        if zones > 0 {
            return self;
        }
        Self {
            urgent_first: false,
            balanced_spares: false,
            demand_shares: false,
            fleet_tenant_shares: false,
            stream_pauses: false,
            leaving_workers: false,
            ..self
        }
    }
}
