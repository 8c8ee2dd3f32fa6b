//! Where a request goes: a scheduler says so, or this gateway decides by itself.

use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Need, Objectives, PlacementNeed, PlacementRequest, RefusalCause, TenantKey,
    Unavailable, WorkerId,
};

use super::Exchange;
use crate::placement::{self, Answered, OpenPlacement};

/// The part of the time until a worker takes requests again by which callers come later at the most.
const RETURN_SPREAD: f64 = 0.25;

impl Exchange {
    /// Whether the request is taken: a scheduler says so, and where it goes first, or this gateway
    /// decides by itself.
    pub(super) async fn admit(&mut self, now: Timestamp) -> Admission {
        match self.ask_scheduler(PlacementNeed::Admission, &[]).await {
            Some(Answered::Placed(placed)) => {
                let read_apart = placed.placement().read_apart;
                // One that is not available is chosen anew with the first send.
                self.placed = Some(placed).filter(OpenPlacement::is_available);
                let draw = self.draw;
                return Admission::Admitted { read_apart, draw };
            }
            Some(Answered::Refused {
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
        directory.admit(now, self.demand(&zone, &[]), objectives)
    }

    fn demand<'a>(&'a self, zone: &'a ZoneName, avoid: &'a [WorkerId]) -> Demand<'a> {
        Demand {
            service: &self.request.routed.service,
            prompt: &self.request.terms.prompt,
            route: &self.route().name,
            tenant: self.tenant_key(),
            yields: self.request.routed.yields,
            zone,
            avoid,
            draw: self.draw,
        }
    }

    fn tenant_key(&self) -> Option<TenantKey> {
        self.request.routed.tenant.as_ref().map(TenantKey::of)
    }

    fn objectives(&self) -> Objectives {
        Objectives {
            latency: self.route().latency_objective,
            pause: self.route().pause_objective,
            time_left: self.time_left(),
        }
    }

    async fn ask_scheduler(&self, need: PlacementNeed, tried: &[WorkerId]) -> Option<Answered> {
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
        placement::ask(&self.shared, request).await
    }

    /// The worker for the next send. The first one has been chosen with the admission, if a scheduler
    /// has said that.
    pub(super) async fn select(&mut self, need: Need, avoid: Vec<WorkerId>) -> Option<WorkerId> {
        let fits = |placed: &OpenPlacement| {
            let placement = placed.placement();
            let reads = need == Need::ReadPrompt;
            avoid.is_empty() && need.reads_prompt() && placement.read_apart == reads
        };
        if let Some(placed) = self.placed.take().filter(fits) {
            return Some(self.go_to(placed));
        }
        let asked = PlacementNeed::Worker { need: need.clone() };
        match self.ask_scheduler(asked, &avoid).await {
            Some(Answered::Placed(placed)) if placed.is_available() => Some(self.go_to(placed)),
            Some(Answered::Refused {
                cause: RefusalCause::RateLimit,
                ..
            }) => None,
            _ => self.select_by_itself(&need, &avoid),
        }
    }

    fn go_to(&mut self, placed: OpenPlacement) -> WorkerId {
        let worker = placed.placement().worker.clone();
        self.placed = Some(placed);
        worker
    }

    fn select_by_itself(&self, need: &Need, avoid: &[WorkerId]) -> Option<WorkerId> {
        let now = self.shared.now();
        let zone = self.shared.zone();
        let directory = self.shared.directory.lock();
        let worker = directory.select(now, self.demand(&zone, avoid), need)?;
        Some(worker.id.clone())
    }

    /// No worker is left for a need. If that is for what all have said of themselves, the caller learns when the first
    /// is back; a little later for some, so that they do not come all at once.
    pub(super) fn note_no_worker(&mut self, need: &Need) {
        let now = self.shared.now();
        let service = &self.request.routed.service;
        let directory = self.shared.directory.lock();
        let first = directory.first_available(now, service, need);
        drop(directory);
        self.cause = match first.map(|first| first.blocked_by) {
            None => "no_worker",
            Some(Unavailable::RateLimited) => "rate_limit",
            Some(Unavailable::BackingOff | Unavailable::Leaving) => "workers_rest",
        };
        if let Some(first) = first {
            let later = rand::random_range(0.0..RETURN_SPREAD);
            self.retry_after = first.after.mul_f64(1.0 + later);
        }
    }
}
