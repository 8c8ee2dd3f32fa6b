//! The seconds that a demand is expected to take at a worker. See the module documentation of the
//! directory.

use std::net::SocketAddr;

use tansyhall_core::{ServiceName, Timestamp};

use super::choice::Demand;
use super::costs::{ContinuingWork, EngineCosts, EngineWork, PrefillWork};
use super::tracked::TrackedWorker;
use super::Directory;
use crate::selection::{prompt_tokens, Need};
use crate::urgency::UrgencyGroup;

/// Copying tokens into a full cache evicts as many: the fraction of the time to read those again
/// that is added as a cost.
const EVICTION_WEIGHT: f64 = 0.3;
/// Factor by which a transfer between zones takes longer.
const OTHER_ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Weight of a transfer when it is compared with reading: transfers wait for each other, and the
/// link bandwidth that they use is lacking elsewhere.
const TRANSFER_WEIGHT: f64 = 2.0;

/// A demand with what is the same for all workers compared for it.
#[derive(Clone)]
pub(super) struct Comparison<'a> {
    pub(super) now: Timestamp,
    pub(super) demand: Demand<'a>,
    pub(super) costs: EngineCosts,
    pub(super) hold_seconds: f64,
    /// Latency in seconds that is usual for requests without a prompt at the service.
    pub(super) promptless_latency: f64,
    pub(super) holders: Vec<Holder<'a>>,
    pub(super) prompt_tokens: u64,
    /// Whether the demand leaves a few slots to more urgent ones.
    pub(super) yields: bool,
    /// The group whose waits apply to the demand.
    pub(super) waits_as: UrgencyGroup,
}

impl Comparison<'_> {
    /// Returns the seconds that the demand waits for a slot of a worker.
    pub(super) fn slot_wait_seconds(&self, tracked: &TrackedWorker) -> f64 {
        tracked.slot_wait_seconds(self.hold_seconds, self.yields, self.waits_as)
    }
}

/// A worker that has the start of a prompt in its cache.
#[derive(Clone)]
pub(super) struct Holder<'a> {
    tracked: &'a TrackedWorker,
    tokens: u64,
}

/// What it takes to read a prompt at a worker.
pub(super) struct PrefillEstimate {
    /// Tokens that must be read: they are neither in the worker's cache nor fetched from another.
    pub(super) missing_tokens: u64,
    /// Seconds to fetch cached tokens from another worker over an idle link.
    pub(super) transfer_seconds: f64,
    /// Cost of the fetch in seconds, including what the copy evicts.
    pub(super) fetch_seconds: f64,
    /// Address of the worker to fetch from.
    pub(super) source: Option<SocketAddr>,
}

impl Directory {
    /// Returns what is the same for all workers compared for a demand that waits for all requests
    /// before it.
    pub(super) fn comparison<'a>(&'a self, now: Timestamp, demand: Demand<'a>) -> Comparison<'a> {
        self.comparison_as(now, demand, UrgencyGroup::LessUrgent)
    }

    /// Returns the same for a demand with the waits of a group.
    pub(super) fn comparison_as<'a>(
        &'a self,
        now: Timestamp,
        demand: Demand<'a>,
        waits_as: UrgencyGroup,
    ) -> Comparison<'a> {
        let tokens = prompt_tokens(demand.prompt);
        let costs = self.costs_for(demand.service, waits_as);
        let holders = match costs.is_short(tokens) || !self.decisions.fetches {
            true => Vec::new(),
            false => self.holders(demand),
        };
        Comparison {
            now,
            demand,
            costs,
            hold_seconds: self.hold_seconds_for(demand.service, waits_as),
            promptless_latency: self.promptless_latency(demand.service),
            holders,
            prompt_tokens: tokens,
            yields: demand.yields && self.decisions.yielded_places,
            waits_as,
        }
    }

    fn holders<'a>(&'a self, demand: Demand<'a>) -> Vec<Holder<'a>> {
        let holders = self.part_holders.of_prompt(demand.prompt, demand.draw);
        let announced = holders
            .into_iter()
            .inspect(|_| self.count_examined())
            .filter_map(|key| self.workers.get(&key))
            .filter(|tracked| tracked.announced && tracked.worker.service == *demand.service);
        announced
            .map(|tracked| Holder {
                tracked,
                tokens: tracked.cache.ready_tokens(demand.prompt),
            })
            .filter(|holder| holder.tokens > 0)
            .collect()
    }

    /// Returns the seconds until a worker is expected to answer, with all penalties for the
    /// demand's gateway.
    pub(super) fn expected_seconds(
        &self,
        tracked: &TrackedWorker,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> f64 {
        let demand = &comparison.demand;
        match need {
            Need::Run if demand.prompt.is_empty() => {
                let service_latency = comparison.promptless_latency;
                let seconds = tracked.promptless_seconds_from(demand.zone, service_latency);
                tracked.penalize_failures(comparison.now, seconds)
            }
            Need::Run | Need::ReadPrompt => {
                let estimate = self.prefill_estimate(tracked, comparison);
                let work = self.prefill_work(tracked, &estimate, comparison);
                let work = EngineWork::prefill(tracked.worker.role, work);
                let seconds = comparison.costs.seconds(&work)
                    * tracked.slowness(comparison.waits_as)
                    + self.stream_delay_seconds(tracked, &estimate, comparison)
                    + comparison.slot_wait_seconds(tracked)
                    + estimate.fetch_seconds;
                tracked.penalize_failures(comparison.now, seconds)
            }
            Need::Continue { .. } => {
                let copied = comparison.prompt_tokens - tracked.cache.cached_tokens(demand.prompt);
                let eviction_seconds = self.eviction_seconds(copied, comparison);
                let work = self.engine_work(tracked, need, comparison);
                let seconds = comparison.costs.seconds(&work)
                    * tracked.slowness(comparison.waits_as)
                    + comparison.slot_wait_seconds(tracked)
                    + eviction_seconds;
                tracked.penalize_failures(comparison.now, seconds)
            }
        }
    }

    /// Returns the seconds of delay that reading a prompt causes to the streams on the same engine.
    pub(super) fn stream_delay_seconds(
        &self,
        tracked: &TrackedWorker,
        estimate: &PrefillEstimate,
        comparison: &Comparison<'_>,
    ) -> f64 {
        match self.decisions.harm {
            true => tracked.stream_delay_seconds(
                estimate.missing_tokens,
                &comparison.costs,
                comparison.waits_as,
            ),
            false => 0.0,
        }
    }

    /// Returns the cost in seconds of copying so many tokens into a cache, which evicts others.
    fn eviction_seconds(&self, tokens: u64, comparison: &Comparison<'_>) -> f64 {
        match self.decisions.displacement {
            true => comparison.costs.separate_prefill_seconds(tokens) * EVICTION_WEIGHT,
            false => 0.0,
        }
    }

    /// Returns the work that a demand means for an engine.
    pub(super) fn engine_work(
        &self,
        tracked: &TrackedWorker,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> EngineWork {
        let load = tracked.load().ahead_of(comparison.waits_as);
        let demand = &comparison.demand;
        if let Need::Continue { reader } = need {
            let reader = self.tracked(reader).map(|reader| &reader.worker.zone);
            let other_zone = reader.is_some_and(|zone| *zone != tracked.worker.zone);
            let copied = comparison.prompt_tokens - tracked.cache.cached_tokens(demand.prompt);
            let zone_factor = if other_zone {
                OTHER_ZONE_TRANSFER_FACTOR
            } else {
                1.0
            };
            return EngineWork::Continue(ContinuingWork {
                requests: load.sends,
                transfer_seconds: self.transfer_seconds(demand.service, copied) * zone_factor,
                other_zone,
            });
        }
        let estimate = self.prefill_estimate(tracked, comparison);
        let work = self.prefill_work(tracked, &estimate, comparison);
        EngineWork::prefill(tracked.worker.role, work)
    }

    /// Returns the work of reading the demand's prompt at an engine.
    pub(super) fn prefill_work(
        &self,
        tracked: &TrackedWorker,
        estimate: &PrefillEstimate,
        comparison: &Comparison<'_>,
    ) -> PrefillWork {
        let load = tracked.load().ahead_of(comparison.waits_as);
        PrefillWork {
            requests: load.sends,
            waiting_tokens: load.reading_tokens,
            missing_tokens: estimate.missing_tokens,
            fetches: estimate.source.is_some(),
            prompt_tokens: comparison.prompt_tokens,
            other_zone: tracked.worker.zone != *comparison.demand.zone,
        }
    }

    /// Returns what it takes to read the demand's prompt at a worker.
    pub(super) fn prefill_estimate(
        &self,
        tracked: &TrackedWorker,
        comparison: &Comparison<'_>,
    ) -> PrefillEstimate {
        let kept = tracked.cache.cached_tokens(comparison.demand.prompt);
        let uncached = comparison.prompt_tokens - kept;
        let same_zone = |holder: &&Holder<'_>| holder.tracked.worker.zone == tracked.worker.zone;
        let source = comparison
            .holders
            .iter()
            .filter(|holder| holder.tracked.key != tracked.key)
            .filter(|holder| holder.tokens > kept)
            .max_by_key(|holder| (holder.tokens, same_zone(holder)));
        let without_fetch = PrefillEstimate {
            missing_tokens: uncached,
            transfer_seconds: 0.0,
            fetch_seconds: 0.0,
            source: None,
        };
        let Some(holder) = source else {
            return without_fetch;
        };
        let fetched = holder.tokens - kept;
        let zone_factor = match same_zone(&holder) {
            true => 1.0,
            false => OTHER_ZONE_TRANSFER_FACTOR,
        };
        let transfer = self.transfer_seconds(comparison.demand.service, fetched) * zone_factor;
        let prefill_seconds = comparison.costs.separate_prefill_seconds(fetched);
        let eviction_seconds = self.eviction_seconds(fetched, comparison);
        let fetch = transfer * TRANSFER_WEIGHT + eviction_seconds;
        if prefill_seconds <= fetch + comparison.costs.fetch_overhead_seconds() {
            return without_fetch;
        }
        PrefillEstimate {
            missing_tokens: uncached - fetched,
            transfer_seconds: transfer,
            fetch_seconds: fetch,
            source: Some(holder.tracked.worker.address),
        }
    }

    /// Returns the seconds to transfer tokens between two engines of a zone.
    pub(super) fn transfer_seconds(&self, service: &ServiceName, tokens: u64) -> f64 {
        self.engines.get(service).map_or(0.0, |engine| {
            tokens as f64 * engine.token_bytes / engine.link_bytes_per_second.max(1.0)
        })
    }
}
