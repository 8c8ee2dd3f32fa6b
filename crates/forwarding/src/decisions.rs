//! Switches of single mechanisms that decide, for operators who suspect one and for measuring what each
//! is worth. All are on unless settings say otherwise; a request is served with any of them off.

use serde::Deserialize;

/// Which mechanisms decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Decisions {
    /// Prompts are read apart from the engines that decode them.
    pub reading_apart: bool,
    /// Parts of prompts are fetched from engines that hold them.
    pub fetches: bool,
    /// What caches are believed to hold counts.
    pub caches: bool,
    /// What engines' work costs is learnt; otherwise it stays as assumed at the start.
    pub learnt_costs: bool,
    /// Single engines that are slower than others of their service are noticed.
    pub slowness: bool,
    /// In a large fleet, schedulers place the requests of all gateways.
    pub schedulers: bool,
    /// Load that other gateways report counts.
    pub reported_load: bool,
    /// Harm that readings do to streams beside them counts.
    pub harm: bool,
    /// What a copy pushes out of a cache counts.
    pub displacement: bool,
    /// Prompts that would wait too long are refused at once.
    pub refusal: bool,
    /// In overload, tenants that took more than their share are refused before others.
    pub tenant_shares: bool,
    /// Prompts that no reader has time for may be read beside streams.
    pub beside_streams: bool,
    /// Refused callers are told a later time the more is asked.
    pub later_return: bool,
    /// The last places of an engine are left to more urgent routes.
    pub yielded_places: bool,
    /// Readings that cost hardly anything go before all others.
    pub short_first: bool,
    /// Workers that proved not to be there are passed over.
    pub absence: bool,
    /// Requests under which workers end are sent to no worker any more.
    pub quarantine: bool,
    /// What workers say of themselves in answers, that they leave, want rest or take so many requests a second, is
    /// kept to.
    pub worker_notices: bool,
    /// Engines are ordered to change their roles.
    pub role_orders: bool,
    /// Workers are ordered where the platform lets their number be chosen.
    pub worker_orders: bool,
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
            absence: true,
            quarantine: true,
            worker_notices: true,
            role_orders: true,
            worker_orders: true,
        }
    }
}
