//! Choosing a worker. See the module doc of the directory for how workers are compared.

use tansyhall_core::hash::rendezvous_weight;
use tansyhall_core::{Role, ServiceName, Timestamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use super::prediction::Comparison;
use super::sampling::is_drawn;
use super::tracked::Tracked;
use super::Directory;
use crate::selection::{affinity_part, Need, PromptPart};
use crate::tenant_shares::TenantKey;
use crate::worker::{Worker, WorkerId};

/// Engines count as nearly equal if they differ by less than this many seconds,
const NEARLY_EQUAL_SECONDS: f64 = 0.004;
/// or by this part of the time of the best.
const NEARLY_EQUAL_PART: f64 = 0.1;

/// What a worker is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for model engines.
    pub prompt: &'a [PromptPart],
    /// The name of the route.
    pub route: &'a str,
    /// Whether the service has more urgent routes than this one.
    pub yields: bool,
    /// The tenant whose request it is, if it is one's.
    pub tenant: Option<TenantKey>,
    /// The zone of the gateway.
    pub zone: &'a ZoneName,
    /// A random number, by which the compared workers, and one of nearly equal engines, are drawn.
    pub draw: u64,
}

/// Names a route in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RouteKey(u64);

impl RouteKey {
    /// The key of a route.
    pub(super) fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()))
    }
}

impl Directory {
    /// Chooses a worker for a gateway in the demand's zone.
    pub fn select(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Option<&Worker> {
        let comparison = self.comparison(now, demand);
        let affinity = affinity_part(demand.prompt);
        let rank = |tracked: &Tracked| {
            let key = affinity.map_or(&[][..], |part| part.id.as_bytes());
            rendezvous_weight(key, tracked.worker.id.as_str().as_bytes())
        };
        let candidates: Vec<(f64, &Tracked)> = self
            .compared(now, demand, need, avoid)
            .into_iter()
            .map(|tracked| (self.expected_seconds(tracked, need, &comparison), tracked))
            .collect();
        let best = candidates.iter().min_by(|left, right| {
            let by_time = left.0.total_cmp(&right.0);
            by_time.then_with(|| rank(right.1).cmp(&rank(left.1)))
        });
        let (least, best) = best.copied()?;
        if demand.prompt.is_empty() || !comparison.costs.is_short(comparison.prompt_tokens) {
            return Some(&best.worker);
        }
        draw_nearly_equal(&candidates, least, demand.draw).map(|tracked| &tracked.worker)
    }

    /// The worker that is best for a need, and what it counts for in seconds.
    pub(super) fn best<'a>(
        &'a self,
        now: Timestamp,
        comparison: &Comparison<'_>,
        need: &Need,
    ) -> Option<(f64, &'a Tracked)> {
        let candidates = self.compared(now, comparison.demand, need, &[]);
        candidates
            .into_iter()
            .map(|worker| (self.expected_seconds(worker, need, comparison), worker))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
    }

    /// The workers that are compared for a demand: all that may be chosen, or a part (see `sampling`).
    pub(super) fn compared(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Vec<&Tracked> {
        let candidates = self.candidates(now, demand.service, need, avoid);
        let part = self.sampling.part(now, candidates.len());
        if part >= 1.0 {
            return candidates;
        }
        let is_compared = |tracked: &&Tracked| {
            is_drawn(tracked.key, demand.draw, part) || tracked.cache.kept_tokens(demand.prompt) > 0
        };
        let compared: Vec<&Tracked> = candidates.iter().copied().filter(is_compared).collect();
        match compared.is_empty() {
            true => candidates,
            false => compared,
        }
    }

    pub(super) fn candidates(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
        avoid: &[WorkerId],
    ) -> Vec<&Tracked> {
        let fits = |tracked: &&Tracked| {
            tracked.takes_new_requests()
                && tracked.worker.service == *service
                && serves(tracked.worker.role, need)
                && !avoid.contains(&tracked.worker.id)
        };
        let fitting: Vec<&Tracked> = self.workers.values().filter(fits).collect();
        let is_rested = |tracked: &&Tracked| !tracked.is_paused(now) && !tracked.is_absent(now);
        let rested: Vec<&Tracked> = fitting.iter().copied().filter(is_rested).collect();
        if !rested.is_empty() {
            return rested;
        }
        let is_there = |tracked: &&Tracked| !tracked.is_absent(now);
        let there: Vec<&Tracked> = fitting.iter().copied().filter(is_there).collect();
        match there.is_empty() {
            true => fitting,
            false => there,
        }
    }
}

/// One of the workers that take hardly longer than `least` seconds.
fn draw_nearly_equal<'a>(
    candidates: &[(f64, &'a Tracked)],
    least: f64,
    draw: u64,
) -> Option<&'a Tracked> {
    let most = least * (1.0 + NEARLY_EQUAL_PART) + NEARLY_EQUAL_SECONDS;
    let near = candidates.iter().filter(|(seconds, _)| *seconds <= most);
    let drawn = near.max_by_key(|(_, tracked)| tracked.key.0 ^ draw);
    drawn.map(|(_, tracked)| *tracked)
}

fn serves(role: Option<Role>, need: &Need) -> bool {
    match need {
        Need::ReadPrompt => role == Some(Role::Prefill),
        Need::Run | Need::Continue { .. } => role != Some(Role::Prefill),
    }
}
