//! Which group of requests a demand is counted in and waits for, and what an urgent request costs the
//! less urgent ones that it displaces.

use std::collections::HashMap;

use tansyhall_core::ServiceName;

use super::choice::{nearly_equal_limit, Demand};
use super::costs::EngineCosts;
use super::length_biased_mean::LengthBiasedMean;
use super::prediction::Comparison;
use super::tracked::TrackedWorker;
use super::Directory;
use crate::selection::Need;
use crate::urgency::UrgencyGroup;

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
