//! Which group of requests a demand is counted in and waits for, and what an urgent request costs the
//! less urgent ones that it displaces.

use std::collections::HashMap;

use tansyhall_core::{ServiceName, Timestamp};

use super::choice::{nearly_equal_limit, Demand};
use super::costs::EngineCosts;
use super::length_biased_mean::LengthBiasedMean;
use super::prediction::Comparison;
use super::tracked::TrackedWorker;
use super::Directory;
use crate::selection::Need;
use crate::urgency::UrgencyGroup;

/// Less urgent requests occupy the engines if they multiply the time of an urgent request by more than this factor.
const OCCUPIED_FACTOR: f64 = 2.0;

/// What is learned from requests of the urgent group alone. Requests that were preempted would make
/// the engines appear slower to those that are not.
#[derive(Debug, Default)]
pub(super) struct UrgentValues {
    pub(super) costs: HashMap<ServiceName, EngineCosts>,
    hold_seconds: HashMap<ServiceName, LengthBiasedMean>,
}

impl UrgentValues {
    /// Records for how long a stream of the urgent group held its slot.
    pub(super) fn record_hold(&mut self, service: &ServiceName, seconds: f64) {
        let mean = self.hold_seconds.entry(service.clone()).or_default();
        mean.record(seconds);
    }
}

impl Directory {
    /// Returns the group in which the load of a demand is counted. With the switch off, all
    /// requests count as urgent: other gateways then wait for them as for all others.
    pub(super) fn counted_group(&self, demand: Demand<'_>) -> UrgencyGroup {
        UrgencyGroup::of(demand.yields && self.decisions.urgent_first)
    }

    /// Returns the group whose waits apply to a demand. With the switch off, every request waits for
    /// all others.
    pub(super) fn waits_as(&self, demand: Demand<'_>) -> UrgencyGroup {
        UrgencyGroup::of(demand.yields || !self.decisions.urgent_first)
    }

    /// Returns the comparison with which a worker is chosen. As long as an urgent demand is served about as soon behind
    /// all requests as behind its own group, the first comparison spreads the load best. If less urgent requests occupy
    /// the engines, only the second one tells engines apart that serve urgent requests sooner or later.
    pub(super) fn comparison_for_choice<'a>(
        &'a self,
        now: Timestamp,
        demand: Demand<'a>,
        need: &Need,
    ) -> Comparison<'a> {
        let behind_all = self.comparison(now, demand);
        if self.waits_as(demand) != UrgencyGroup::Urgent || demand.prompt.is_empty() {
            return behind_all;
        }
        let behind_group = self.comparison_as(now, demand, UrgencyGroup::Urgent);
        let best = |comparison: &Comparison<'_>| self.best_worker(now, comparison, need);
        match (best(&behind_all), best(&behind_group)) {
            (Some((all, _)), Some((group, _))) if all > group * OCCUPIED_FACTOR => behind_group,
            _ => behind_all,
        }
    }

    /// Returns the costs of a service's engines that apply to requests with the waits of a group.
    pub(super) fn costs_for(&self, service: &ServiceName, waits_as: UrgencyGroup) -> EngineCosts {
        let costs = match waits_as {
            UrgencyGroup::Urgent => &self.urgent_values.costs,
            UrgencyGroup::LessUrgent => &self.costs,
        };
        costs.get(service).cloned().unwrap_or_default()
    }

    /// Returns for how long the streams that a request with the waits of a group waits for hold
    /// their slots.
    pub(super) fn hold_seconds_for(&self, service: &ServiceName, waits_as: UrgencyGroup) -> f64 {
        let known = match waits_as {
            UrgencyGroup::Urgent => &self.urgent_values.hold_seconds,
            UrgencyGroup::LessUrgent => &self.hold_seconds,
        };
        known.get(service).map_or(0.0, LengthBiasedMean::seconds)
    }

    /// Returns the candidates, each with its expected seconds, that come into question for a
    /// demand. An urgent demand is not delayed by less urgent requests, so an engine full of these
    /// looks the same to it as an idle one. Of the engines that serve it nearly equally soon, those
    /// remain, with the seconds as if it waited for all requests, so that the best one delays the
    /// fewest others.
    pub(super) fn least_delaying<'a>(
        &self,
        candidates: Vec<(f64, &'a TrackedWorker)>,
        need: &Need,
        comparison: &Comparison<'_>,
    ) -> Vec<(f64, &'a TrackedWorker)> {
        let Some(behind_all) = comparison.behind_all() else {
            return candidates;
        };
        let least = candidates.iter().map(|(seconds, _)| *seconds);
        let max_seconds = nearly_equal_limit(least.fold(f64::INFINITY, f64::min));
        let nearly_equal = candidates
            .into_iter()
            .filter(|(seconds, _)| *seconds <= max_seconds);
        let behind_all = nearly_equal.map(|(seconds, tracked)| {
            let load = tracked.load();
            let seconds = match load == load.ahead_of(comparison.waits_as) {
                true => seconds,
                false => self.expected_seconds(tracked, need, &behind_all),
            };
            (seconds, tracked)
        });
        behind_all.collect()
    }

    /// Returns the seconds of delay that reading an urgent prompt causes to the less urgent streams
    /// of a worker.
    pub(super) fn delay_of_less_urgent(
        &self,
        tracked: &TrackedWorker,
        comparison: &Comparison<'_>,
    ) -> f64 {
        let Some(behind_all) = comparison.behind_all() else {
            return 0.0;
        };
        let estimate = self.prefill_estimate(tracked, comparison);
        self.stream_delay_seconds(tracked, &estimate, &behind_all)
            - self.stream_delay_seconds(tracked, &estimate, comparison)
    }
}

impl Comparison<'_> {
    /// Returns the comparison for the same demand as if it waited for all requests, if it does not.
    pub(super) fn behind_all(&self) -> Option<Self> {
        let waits_for_its_group = self.waits_as == UrgencyGroup::Urgent;
        waits_for_its_group.then(|| Comparison {
            waits_as: UrgencyGroup::LessUrgent,
            ..self.clone()
        })
    }
}
