//! The seconds that a demand is expected to take at a worker. See the module doc of the directory.

use std::net::SocketAddr;

use tansyhall_core::{Role, ServiceName, Timestamp};

use super::choice::Demand;
use super::lanes::ShortLane;
use super::tracked::Tracked;
use super::Directory;
use crate::reading_rate::ReadingRate;
use crate::selection::{prompt_tokens, Need, PromptPart};

/// Seconds that fetching a part of a KV cache costs beside its transfer, its price included.
const FETCH_COST: f64 = 0.010;
/// A copy pushes as many tokens out of a full cache: the part of the time to read them again that
/// this counts for.
const DISPLACEMENT: f64 = 0.3;
/// How many times longer a transfer between zones takes.
const OTHER_ZONE_FETCH: f64 = 2.0;
/// Shorter parts are read again rather than fetched.
pub(super) const MIN_FETCHED_TOKENS: u64 = 1_000;

/// A demand with what is the same for every worker that is compared for it.
pub(super) struct Comparison<'a> {
    pub(super) now: Timestamp,
    pub(super) demand: Demand<'a>,
    pub(super) rate: ReadingRate,
    pub(super) hold: f64,
    pub(super) holders: Vec<Holder<'a>>,
    pub(super) short_lane: ShortLane,
    pub(super) prompt_tokens: u64,
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
    /// Seconds to fetch what another holds, with what the copy displaces.
    pub(super) fetch_seconds: f64,
    /// The worker to fetch from.
    pub(super) source: Option<SocketAddr>,
}

impl Directory {
    /// What reading a prompt at a worker takes.
    pub(super) fn reading_of(
        &self,
        now: Timestamp,
        tracked: &Tracked,
        prompt: &[PromptPart],
    ) -> Reading {
        let demand = Demand {
            service: &tracked.worker.service,
            prompt,
            zone: &tracked.worker.zone,
            draw: 0,
        };
        let comparison = self.comparison(now, demand);
        self.reading(tracked, &comparison)
    }

    /// What is the same for every worker that is compared for a demand.
    pub(super) fn comparison<'a>(&'a self, now: Timestamp, demand: Demand<'a>) -> Comparison<'a> {
        let tokens = prompt_tokens(demand.prompt);
        let holders = match tokens < MIN_FETCHED_TOKENS {
            true => Vec::new(),
            false => self.holders(demand),
        };
        Comparison {
            now,
            demand,
            rate: self.rates.get(demand.service).copied().unwrap_or_default(),
            hold: self
                .hold_seconds
                .get(demand.service)
                .copied()
                .unwrap_or_default(),
            holders,
            short_lane: self.short_lane(demand),
            prompt_tokens: tokens,
        }
    }

    fn short_lane(&self, demand: Demand<'_>) -> ShortLane {
        let Some(mix) = self.mixes.get(demand.service) else {
            return ShortLane::default();
        };
        let readers = self.workers.values().filter(|tracked| {
            let reads = tracked.worker.role == Some(Role::Prefill);
            reads && tracked.takes_new_requests() && tracked.worker.service == *demand.service
        });
        ShortLane::of(*mix, readers.map(|tracked| tracked.key))
    }

    fn holders<'a>(&'a self, demand: Demand<'a>) -> Vec<Holder<'a>> {
        let members = self
            .workers
            .values()
            .filter(|tracked| tracked.announced && tracked.worker.service == *demand.service);
        members
            .map(|tracked| Holder {
                tracked,
                tokens: tracked.cache.ready_tokens(demand.prompt),
            })
            .filter(|holder| holder.tokens >= MIN_FETCHED_TOKENS)
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
                tracked.weigh(comparison.now, tracked.plain_seconds(), demand.zone)
            }
            Need::Run | Need::ReadPrompt => {
                let reading = self.reading(tracked, comparison);
                let missing = reading.missing_tokens;
                let detour = match tracked.worker.role {
                    Some(Role::Prefill) => comparison
                        .short_lane
                        .detour_seconds(tracked.key, comparison.prompt_tokens),
                    _ => 0.0,
                };
                let seconds = tracked.reading_seconds(missing, comparison.rate)
                    + tracked.harm_seconds(missing, comparison.rate)
                    + tracked.place_seconds(comparison.hold)
                    + detour
                    + reading.fetch_seconds;
                tracked.weigh(comparison.now, seconds, demand.zone)
            }
            Need::Continue { reader } => {
                let reader = self.workers.get(reader).map(|reader| &reader.worker.zone);
                let copied = comparison.prompt_tokens - tracked.cache.kept_tokens(demand.prompt);
                let displaced = comparison.rate.apart(copied) * DISPLACEMENT;
                let transfer = self.transfer_seconds(demand.service, copied);
                let seconds = tracked.reading_seconds(0, comparison.rate)
                    + tracked.place_seconds(comparison.hold)
                    + displaced
                    + transfer;
                tracked.weigh(comparison.now, seconds, reader.unwrap_or(demand.zone))
            }
        }
    }

    /// What reading the demand's prompt at a worker takes.
    pub(super) fn reading(&self, tracked: &Tracked, comparison: &Comparison<'_>) -> Reading {
        let kept = tracked.cache.kept_tokens(comparison.demand.prompt);
        let lacking = comparison.prompt_tokens - kept;
        let same_zone = |holder: &&Holder<'_>| holder.tracked.worker.zone == tracked.worker.zone;
        let source = comparison
            .holders
            .iter()
            .filter(|holder| holder.tracked.key != tracked.key)
            .filter(|holder| holder.tokens >= kept + MIN_FETCHED_TOKENS)
            .max_by_key(|holder| (holder.tokens, same_zone(holder)));
        let Some(holder) = source else {
            return Reading {
                missing_tokens: lacking,
                fetch_seconds: 0.0,
                source: None,
            };
        };
        let fetched = holder.tokens - kept;
        let displaced = comparison.rate.apart(fetched) * DISPLACEMENT;
        let transfer = self.transfer_seconds(comparison.demand.service, fetched);
        let way = match same_zone(&holder) {
            true => 1.0,
            false => OTHER_ZONE_FETCH,
        };
        Reading {
            missing_tokens: lacking - fetched,
            fetch_seconds: FETCH_COST + transfer * way + displaced,
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
