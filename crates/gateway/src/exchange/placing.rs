//! Admission of a request and selection of its workers, by a scheduler or by this gateway itself.

use std::time::Duration;

use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Need, Objectives, PlacementNeed, PlacementRequest, RefusalCause,
    Repeatability, TenantKey, Unavailable, WorkerId,
};

use super::Exchange;
use crate::placement::{self, OpenPlacement, SchedulerAnswer};

/// Maximum random addition to a caller's retry time, as a fraction of the time until a worker is available again.
const MAX_RETRY_JITTER: f64 = 0.25;

/// Time after which a caller whose request found no path to workers should retry.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Exchange {
    /// Decides whether the request is admitted. A scheduler decides and also places the first send; without an answer
    /// of a scheduler, this gateway decides.
    pub(super) async fn admit(&mut self, now: Timestamp) -> Admission {
        let may_use_leaving = self.may_use_leaving();
        let need = match may_use_leaving {
            true => PlacementNeed::AdmissionOrLeaving,
            false => PlacementNeed::Admission,
        };
        match self.ask_scheduler(need, &[]).await {
            Some(SchedulerAnswer::Placed(placed)) => {
                let read_apart = placed.placement().read_apart;
                // If this worker is not available, the first send selects another one.
                self.placed = Some(placed).filter(OpenPlacement::is_available);
                let draw = self.draw;
                return Admission::Admitted { read_apart, draw };
            }
            Some(SchedulerAnswer::Refused {
                cause,
                waiting,
                retry_after,
            }) => {
                return Admission::Refused {
                    cause,
                    waiting,
                    retry_after,
                }
            }
            None => {}
        }
        let zone = self.shared.zone();
        let objectives = self.objectives();
        let mut directory = self.shared.directory.lock();
        let demand = self.demand(&zone, &[]);
        let first = directory.admit_first(now, demand, objectives, may_use_leaving);
        drop(directory);
        self.leaving_worker = first.leaving_worker;
        first.admission
    }

    /// Returns whether the first send may go to a worker that is leaving. A request other than a stream that runs at most
    /// once may not: it could be lost with the worker, and no other worker may repeat it.
    fn may_use_leaving(&self) -> bool {
        let is_enabled = self.shared.settings.read().decisions.leaving_workers;
        is_enabled && self.route().repeatability != Repeatability::AtMostOnce
    }

    fn demand<'a>(&'a self, zone: &'a ZoneName, avoid: &'a [WorkerId]) -> Demand<'a> {
        Demand {
            version: self.version.as_ref(),
            service: &self.request.routed.service,
            prompt: &self.request.terms.prompt,
            route: &self.route().name,
            tenant: self.tenant_key(),
            yields: self.request.routed.yields,
            pause: self.route().pause_objective,
            zone,
            avoid,
            draw: self.draw,
        }
    }

    pub(super) fn tenant_key(&self) -> Option<TenantKey> {
        self.request.routed.tenant.as_ref().map(TenantKey::of)
    }

    fn objectives(&self) -> Objectives {
        Objectives {
            latency: self.route().latency_objective,
            pause: self.route().pause_objective,
            time_left: self.time_left(),
        }
    }

    async fn ask_scheduler(
        &self,
        need: PlacementNeed,
        tried: &[WorkerId],
    ) -> Option<SchedulerAnswer> {
        if self.version.is_some() {
            // Requests for placement name no version.
            return None;
        }
        let now = self.shared.now();
        let mut avoid = self.shared.directory.lock().unavailable_workers(now);
        avoid.extend_from_slice(tried);
        let request = |id| PlacementRequest {
            id,
            service: self.request.routed.service.clone(),
            route: self.route().name.clone(),
            prompt: self.request.terms.prompt.clone(),
            tenant: self.tenant_key(),
            yields: self.request.routed.yields,
            objectives: self.objectives(),
            draw: self.draw,
            need: need.clone(),
            avoid: avoid.clone(),
        };
        placement::request_placement(&self.shared, request).await
    }

    /// Selects the worker for the next send. If a scheduler admitted the request, it has selected the first worker
    /// already.
    pub(super) async fn select(&mut self, need: Need, avoid: Vec<WorkerId>) -> Option<WorkerId> {
        let fits = |placed: &OpenPlacement| {
            let placement = placed.placement();
            let is_prompt_read = need == Need::ReadPrompt;
            avoid.is_empty() && need.reads_prompt() && placement.read_apart == is_prompt_read
        };
        if let Some(placed) = self.placed.take().filter(fits) {
            return Some(self.use_placement(placed));
        }
        let leaving = self.leaving_worker.take();
        if let Some(worker) = leaving.filter(|_| avoid.is_empty() && need == Need::Run) {
            return Some(worker);
        }
        let placement_need = PlacementNeed::Worker { need: need.clone() };
        match self.ask_scheduler(placement_need, &avoid).await {
            Some(SchedulerAnswer::Placed(placed)) if placed.is_available() => {
                Some(self.use_placement(placed))
            }
            Some(SchedulerAnswer::Refused {
                cause: RefusalCause::RateLimit,
                ..
            }) => None,
            _ => self.select_locally(&need, &avoid),
        }
    }

    fn use_placement(&mut self, placed: OpenPlacement) -> WorkerId {
        let worker = placed.placement().worker.clone();
        self.placed = Some(placed);
        worker
    }

    pub(super) fn select_locally(&self, need: &Need, avoid: &[WorkerId]) -> Option<WorkerId> {
        let now = self.shared.now();
        let zone = self.shared.zone();
        let directory = self.shared.directory.lock();
        let worker = directory.select(now, self.demand(&zone, avoid), need)?;
        Some(worker.id.clone())
    }

    /// Returns whether a worker outside `avoid` is available to run the request, as far as this gateway knows.
    pub(super) fn has_available_worker(&self, avoid: &[WorkerId]) -> bool {
        self.select_locally(&Need::Run, avoid).is_some()
    }

    /// Records that this gateway reaches no worker. The caller is asked to retry after the direct path has been probed a
    /// few times; a random part is added, so that not all callers retry at once.
    pub(super) fn record_no_path(&mut self) {
        let jitter = rand::random_range(0.0..MAX_RETRY_JITTER);
        self.cause = "no_path";
        self.retry_after = NO_PATH_RETRY_AFTER.mul_f64(1.0 + jitter);
    }

    /// Records that no worker is available for `need`. If the reason is that all workers are leaving, backing off or
    /// at their rate limits, the caller is asked to retry when the first one is available again. A random part
    /// is added to that time, so that not all callers retry at once.
    pub(super) fn record_no_worker(&mut self, need: &Need) {
        if self.version.is_some() {
            return self.record_no_version("no_worker_of_version");
        }
        let now = self.shared.now();
        let service = &self.request.routed.service;
        let directory = self.shared.directory.lock();
        let first = directory.first_available(now, service, need);
        drop(directory);
        self.cause = match first.map(|first| first.blocked_by) {
            None => "no_worker",
            Some(Unavailable::RateLimited) => "rate_limit",
            Some(Unavailable::BackingOff | Unavailable::Leaving | Unavailable::Unannounced) => {
                "workers_rest"
            }
        };
        if let Some(first) = first {
            let jitter = rand::random_range(0.0..MAX_RETRY_JITTER);
            self.retry_after = first.after.mul_f64(1.0 + jitter);
        }
    }
}
