//! Workers that the store announces as leaving, which still get requests in a shortage.
//!
//! A withdrawal announces many workers of a zone as leaving at once, in the seconds in which the others have the most
//! to do, although the leaving ones continue to serve for a while. They accept no new requests in general (`eligible`),
//! but a first send that would otherwise be refused may go to one of them if the request is expected to finish there.
//!
//! This requires that the gateway knew the worker as ready before: only then is the age of the entry known. A worker
//! that has stated in an answer that it is leaving gets nothing (`notices`).

use std::collections::BTreeMap;
use std::time::Duration;

use tansyhall_core::{Role, Timestamp};

use super::admission::{bounded_duration, Admission, Objectives, RefusalCause, ON_TIME_FRACTION};
use super::choice::{Demand, RouteKey};
use super::length_biased_mean::LengthBiasedMean;
use super::prediction::Comparison;
use super::tracked::TrackedWorker;
use super::Directory;
use crate::departure::Departure;
use crate::load_exchange::WorkerKey;
use crate::selection::Need;
use crate::worker::{WorkerId, WorkerState};

/// Maximum number of leaving workers that are compared for a request, so that its cost does not grow with a withdrawal.
/// Where many gateways place requests, comparing few also keeps them from all choosing the same worker.
const MAX_COMPARED: usize = 8;
/// Maximum number of leaving workers that are examined to find these: leaving workers of other services are among them.
const MAX_EXAMINED: usize = 64;

/// The workers that are announced as leaving, as far as they may still get requests.
#[derive(Debug, Default)]
pub(super) struct LeavingWorkers {
    drain_time: Duration,
    departures: BTreeMap<WorkerKey, Departure>,
}

impl LeavingWorkers {
    /// Removes a worker that is ready or is no longer announced.
    pub(super) fn remove(&mut self, key: WorkerKey) {
        self.departures.remove(&key);
    }
}

/// The decision on a request that has not been sent to any worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstAdmission {
    /// Whether it is admitted.
    pub admission: Admission,
    /// The leaving worker that runs it, because no other worker has time for it.
    pub leaving_worker: Option<WorkerId>,
}

impl Directory {
    /// Sets the time within which requests must have reached a worker after the store has accepted an entry that
    /// announces its departure. With zero, leaving workers get no requests.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.leaving.drain_time = drain_time;
    }

    /// Records that a worker's entry announces its departure after `remaining`. The entry was learned now, at most
    /// `max_delay` after the store accepted it. Must be called before the worker is announced as draining: a departure
    /// of a worker that was not known as ready is not recorded, since its entry may be old.
    pub fn record_departure(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        remaining: Duration,
        max_delay: Duration,
    ) {
        if !self.decisions.leaving_workers {
            return;
        }
        let key = WorkerKey::of(id);
        let drain_time = self.leaving.drain_time;
        let stated = Departure::new(now, remaining, max_delay, drain_time);
        let Some(tracked) = self.workers.get(&key).filter(|tracked| tracked.announced) else {
            return;
        };
        let departures = &mut self.leaving.departures;
        departures.retain(|_, departure| departure.permits_sends(now));
        let departure = match (departures.get(&key), tracked.worker.state) {
            (Some(known), _) => stated.map(|stated| known.restated(stated)),
            (None, WorkerState::Ready) => stated,
            (None, WorkerState::Draining) => return,
        };
        match departure {
            Some(departure) => departures.insert(key, departure),
            None => departures.remove(&key),
        };
    }

    /// Returns whether a worker is announced as ready, or as leaving and may still get requests.
    pub(super) fn accepts_work(&self, now: Timestamp, id: &WorkerId) -> bool {
        let Some(worker) = self.get(id) else {
            return false;
        };
        let departure = self.leaving.departures.get(&WorkerKey::of(id));
        worker.state == WorkerState::Ready
            || departure.is_some_and(|departure| departure.permits_sends(now))
    }

    /// Decides on a request that has not been sent to any worker, like [`Self::admit`]. If no other worker has time for
    /// it, it is admitted to a leaving worker that has. `may_use_leaving` states whether it may run there: requests
    /// other than streams that run at most once may not.
    pub fn admit_first(
        &mut self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
        may_use_leaving: bool,
    ) -> FirstAdmission {
        let admission = self.admit(now, demand, objectives);
        let is_short = match admission {
            Admission::Refused { cause, .. } => cause == RefusalCause::Overload,
            Admission::Admitted { .. } => {
                self.eligible.serving(demand.service, &Need::Run).is_empty()
                    || demand.version.is_some()
                        && self.candidates(now, demand, &Need::Run).is_empty()
            }
        };
        let leaving_worker = match is_short && may_use_leaving {
            true => self.leaving_worker(now, demand, objectives),
            false => None,
        };
        let admission = match leaving_worker {
            Some(_) => Admission::Admitted {
                read_apart: false,
                draw: demand.draw,
            },
            None => admission,
        };
        FirstAdmission {
            admission,
            leaving_worker,
        }
    }

    /// Returns the leaving worker that would begin the answer soonest, of those at which it is in time and is expected
    /// to finish before the worker leaves.
    fn leaving_worker(
        &self,
        now: Timestamp,
        demand: Demand<'_>,
        objectives: Objectives,
    ) -> Option<WorkerId> {
        if !self.decisions.leaving_workers || self.leaving.departures.is_empty() {
            return None;
        }
        let comparison = self.comparison(now, demand);
        let max_begin_seconds = objectives.latency.as_secs_f64() * ON_TIME_FRACTION;
        let departures = &self.leaving.departures;
        let start = WorkerKey(demand.draw);
        let from_start = departures.range(start..).chain(departures.range(..start));
        let usable = from_start
            .take(MAX_EXAMINED)
            .inspect(|_| self.count_examined())
            .filter(|(_, departure)| departure.permits_sends(now))
            .filter_map(|(key, departure)| Some((self.workers.get(key)?, departure)))
            .filter(|(tracked, _)| self.may_use_leaving(now, tracked, demand))
            .take(MAX_COMPARED);
        let in_time = usable.filter_map(|(tracked, departure)| {
            let expected = self.expected_run(tracked, &comparison)?;
            let finishes = departure.leaves_time_for(now, bounded_duration(expected.total_seconds));
            let is_in_time = expected.begin_seconds <= max_begin_seconds;
            (finishes && is_in_time).then_some((expected.begin_seconds, tracked))
        });
        let best = in_time.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, tracked)| tracked.worker.id.clone())
    }

    /// Returns whether a worker runs requests of the demand's service and has not asked for none.
    fn may_use_leaving(&self, now: Timestamp, tracked: &TrackedWorker, demand: Demand<'_>) -> bool {
        let worker = &tracked.worker;
        let role_stays = tracked.desired_role.is_none() || tracked.desired_role == worker.role;
        worker.service == *demand.service
            && worker.state == WorkerState::Draining
            && worker.role != Some(Role::Prefill)
            && role_stays
            && tracked.announced
            && !self.notices.is_leaving(tracked.key)
            && self.is_preferred(now, tracked)
            && self.is_allowed(now, tracked)
            && demand.allows(worker)
    }

    /// Returns what a demand is expected to take at a worker; `None` if no stream of the service has ended yet, so that
    /// the length of one is not known.
    fn expected_run(
        &self,
        tracked: &TrackedWorker,
        comparison: &Comparison<'_>,
    ) -> Option<ExpectedRun> {
        let demand = &comparison.demand;
        if demand.prompt.is_empty() {
            let seconds = tracked.promptless_seconds(comparison.promptless_latency);
            return Some(ExpectedRun {
                begin_seconds: seconds,
                total_seconds: seconds,
            });
        }
        let begin_seconds = self.colocated_seconds(tracked, comparison);
        let of_route = self.route_hold_seconds.get(&RouteKey::of(demand.route));
        let of_service = self.hold_seconds.get(demand.service);
        let hold_seconds = of_route
            .copied()
            .or_else(|| of_service.map(LengthBiasedMean::seconds))?;
        Some(ExpectedRun {
            begin_seconds,
            total_seconds: begin_seconds + hold_seconds,
        })
    }
}

/// What a request is expected to take at a worker.
struct ExpectedRun {
    /// Seconds until its answer begins.
    begin_seconds: f64,
    /// Seconds until its answer ends.
    total_seconds: f64,
}
