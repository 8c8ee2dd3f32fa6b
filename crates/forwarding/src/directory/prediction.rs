//! The seconds that a demand is expected to take at a worker. See the module doc of the directory.

use std::net::SocketAddr;

use tansyhall_core::{ServiceName, Timestamp};

use super::choice::Demand;
use super::costs::{ContinuingWork, EngineCosts, EngineWork, ReadingWork};
use super::length_biased_mean::UsualSeconds;
use super::tracked::Tracked;
use super::Directory;
use crate::selection::{prompt_tokens, Need};

/// A copy pushes as many tokens out of a full cache: the part of the time to read them again that
/// this counts for.
const DISPLACEMENT: f64 = 0.3;
/// How many times longer a transfer between zones takes.
const OTHER_ZONE_FETCH: f64 = 2.0;
/// How many times over a transfer counts when it is weighed against reading: moves wait for each
/// other, and what they take of a link others lack.
const TRANSFER_WEIGHT: f64 = 2.0;

/// A demand with what is the same for every worker that is compared for it.
pub(super) struct Comparison<'a> {
    pub(super) now: Timestamp,
    pub(super) demand: Demand<'a>,
    pub(super) costs: EngineCosts,
    pub(super) hold: f64,
    /// Seconds in which the workers of the service usually answer a request without a prompt.
    pub(super) plain_latency: f64,
    pub(super) holders: Vec<Holder<'a>>,
    pub(super) prompt_tokens: u64,
    /// Whether the demand leaves a few places to more urgent ones.
    pub(super) yields: bool,
}

/// A worker that holds the start of a prompt.
pub(super) struct Holder<'a> {
    tracked: &'a Tracked,
    tokens: u64,
}

/// What reading a prompt at a worker takes.
pub(super) struct Reading {
    /// Tokens that neither the worker nor another holds.
    pub(super) missing_tokens: u64,
    /// Seconds to fetch what another holds over an idle link.
    pub(super) transfer_seconds: f64,
    /// Seconds that the fetch counts for, with what the copy displaces.
    pub(super) fetch_seconds: f64,
    /// The worker to fetch from.
    pub(super) source: Option<SocketAddr>,
}

impl Directory {
    /// What is the same for every worker that is compared for a demand.
    pub(super) fn comparison<'a>(&'a self, now: Timestamp, demand: Demand<'a>) -> Comparison<'a> {
        let tokens = prompt_tokens(demand.prompt);
        let costs = self.costs.get(demand.service).cloned().unwrap_or_default();
        let holders = match costs.is_short(tokens) || !self.decisions.fetches {
            true => Vec::new(),
            false => self.holders(demand),
        };
        Comparison {
            now,
            demand,
            costs,
            hold: self
                .hold_seconds
                .get(demand.service)
                .map_or(0.0, UsualSeconds::seconds),
            plain_latency: self.plain_latency(demand.service),
            holders,
            prompt_tokens: tokens,
            yields: demand.yields && self.decisions.yielded_places,
        }
    }

    fn holders<'a>(&'a self, demand: Demand<'a>) -> Vec<Holder<'a>> {
        let holders = self.part_holders.of_prompt(demand.prompt, demand.draw);
        let members = holders
            .into_iter()
            .inspect(|_| self.look())
            .filter_map(|key| self.workers.get(&key))
            .filter(|tracked| tracked.announced && tracked.worker.service == *demand.service);
        members
            .map(|tracked| Holder {
                tracked,
                tokens: tracked.cache.ready_tokens(demand.prompt),
            })
            .filter(|holder| holder.tokens > 0)
            .collect()
    }

    /// Seconds until a worker is expected to answer, as they count for the demand's gateway.
    pub(super) fn expected_seconds(
        &self,
        tracked: &Tracked,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> f64 {
        let demand = &comparison.demand;
        match need {
            Need::Run if demand.prompt.is_empty() => {
                let usual = comparison.plain_latency;
                let seconds = tracked.plain_seconds_from(demand.zone, usual);
                tracked.weigh(comparison.now, seconds)
            }
            Need::Run | Need::ReadPrompt => {
                let reading = self.reading(tracked, comparison);
                let work = self.reading_work(tracked, &reading, comparison);
                let work = EngineWork::reading(tracked.worker.role, work);
                let seconds = comparison.costs.seconds(&work) * tracked.slowness
                    + self.harm_seconds(tracked, &reading, comparison)
                    + tracked.place_seconds(comparison.hold, comparison.yields)
                    + reading.fetch_seconds;
                tracked.weigh(comparison.now, seconds)
            }
            Need::Continue { .. } => {
                let copied = comparison.prompt_tokens - tracked.cache.cached_tokens(demand.prompt);
                let displaced = self.displaced_seconds(copied, comparison);
                let work = self.engine_work(tracked, need, comparison);
                let seconds = comparison.costs.seconds(&work) * tracked.slowness
                    + tracked.place_seconds(comparison.hold, comparison.yields)
                    + displaced;
                tracked.weigh(comparison.now, seconds)
            }
        }
    }

    /// Seconds that a reading costs the streams beside it.
    fn harm_seconds(
        &self,
        tracked: &Tracked,
        reading: &Reading,
        comparison: &Comparison<'_>,
    ) -> f64 {
        match self.decisions.harm {
            true => tracked.harm_seconds(reading.missing_tokens, &comparison.costs),
            false => 0.0,
        }
    }

    /// Seconds that a copy of so many tokens counts for, as it pushes others out.
    fn displaced_seconds(&self, tokens: u64, comparison: &Comparison<'_>) -> f64 {
        match self.decisions.displacement {
            true => comparison.costs.tokens_apart(tokens) * DISPLACEMENT,
            false => 0.0,
        }
    }

    /// What a demand asks of an engine.
    pub(super) fn engine_work(
        &self,
        tracked: &Tracked,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> EngineWork {
        let load = tracked.load();
        let demand = &comparison.demand;
        if let Need::Continue { reader } = need {
            let reader = self.tracked(reader).map(|reader| &reader.worker.zone);
            let other_zone = reader.is_some_and(|zone| *zone != tracked.worker.zone);
            let copied = comparison.prompt_tokens - tracked.cache.cached_tokens(demand.prompt);
            let way = if other_zone { OTHER_ZONE_FETCH } else { 1.0 };
            return EngineWork::Continue(ContinuingWork {
                requests: load.sends,
                move_seconds: self.transfer_seconds(demand.service, copied) * way,
                other_zone,
            });
        }
        let reading = self.reading(tracked, comparison);
        let work = self.reading_work(tracked, &reading, comparison);
        EngineWork::reading(tracked.worker.role, work)
    }

    /// What reading the demand's prompt asks of an engine.
    pub(super) fn reading_work(
        &self,
        tracked: &Tracked,
        reading: &Reading,
        comparison: &Comparison<'_>,
    ) -> ReadingWork {
        let load = tracked.load();
        ReadingWork {
            requests: load.sends,
            waiting_tokens: load.reading_tokens,
            missing_tokens: reading.missing_tokens,
            fetches: reading.source.is_some(),
            prompt_tokens: comparison.prompt_tokens,
            other_zone: tracked.worker.zone != *comparison.demand.zone,
        }
    }

    /// What reading the demand's prompt at a worker takes.
    pub(super) fn reading(&self, tracked: &Tracked, comparison: &Comparison<'_>) -> Reading {
        let kept = tracked.cache.cached_tokens(comparison.demand.prompt);
        let lacking = comparison.prompt_tokens - kept;
        let same_zone = |holder: &&Holder<'_>| holder.tracked.worker.zone == tracked.worker.zone;
        let source = comparison
            .holders
            .iter()
            .filter(|holder| holder.tracked.key != tracked.key)
            .filter(|holder| holder.tokens > kept)
            .max_by_key(|holder| (holder.tokens, same_zone(holder)));
        let whole = Reading {
            missing_tokens: lacking,
            transfer_seconds: 0.0,
            fetch_seconds: 0.0,
            source: None,
        };
        let Some(holder) = source else {
            return whole;
        };
        let fetched = holder.tokens - kept;
        let way = match same_zone(&holder) {
            true => 1.0,
            false => OTHER_ZONE_FETCH,
        };
        let transfer = self.transfer_seconds(comparison.demand.service, fetched) * way;
        let read = comparison.costs.tokens_apart(fetched);
        let displaced = self.displaced_seconds(fetched, comparison);
        let fetch = transfer * TRANSFER_WEIGHT + displaced;
        if read <= fetch + comparison.costs.any_fetch() {
            return whole;
        }
        Reading {
            missing_tokens: lacking - fetched,
            transfer_seconds: transfer,
            fetch_seconds: fetch,
            source: Some(holder.tracked.worker.address),
        }
    }

    /// Seconds for tokens to move between two engines of a zone.
    pub(super) fn transfer_seconds(&self, service: &ServiceName, tokens: u64) -> f64 {
        self.engines.get(service).map_or(0.0, |engine| {
            tokens as f64 * engine.token_bytes / engine.link_bytes_per_second.max(1.0)
        })
    }
}
