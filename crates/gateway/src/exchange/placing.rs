//! Where a request goes: a scheduler says so, or this gateway decides by itself.

use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_forwarding::{
    Admission, Demand, Need, Objectives, PlacementNeed, PlacementRequest, TenantKey, WorkerId,
};

use super::Exchange;
use crate::placement::{self, Answered, OpenPlacement};

impl Exchange {
    /// Whether the request is taken: a scheduler says so, and where it goes first, or this gateway
    /// decides by itself.
    pub(super) async fn admit(&mut self, now: Timestamp) -> Admission {
        match self.ask_scheduler(PlacementNeed::Admission).await {
            Some(Answered::Placed(placed)) => {
                let read_apart = placed.placement().read_apart;
                self.placed = Some(placed);
                let draw = self.draw;
                return Admission::Taken { read_apart, draw };
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
        directory.admit(now, self.demand(&zone), objectives)
    }

    fn demand<'a>(&'a self, zone: &'a ZoneName) -> Demand<'a> {
        Demand {
            service: &self.request.routed.service,
            prompt: &self.request.terms.prompt,
            route: &self.route().name,
            tenant: self.tenant_key(),
            yields: self.request.routed.yields,
            zone,
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

    async fn ask_scheduler(&self, need: PlacementNeed) -> Option<Answered> {
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
        };
        placement::ask(&self.shared, request).await
    }

    /// The worker for the next send. The first one has been chosen with the admission, if a scheduler
    /// has said that.
    pub(super) async fn select(&mut self, need: Need, avoid: Vec<WorkerId>) -> Option<WorkerId> {
        let fits = |placed: &OpenPlacement| {
            let placement = placed.placement();
            let reads = need == Need::ReadPrompt;
            avoid.is_empty() && need.reads() && placement.read_apart == reads
        };
        if let Some(placed) = self.placed.take().filter(fits) {
            return Some(self.go_to(placed));
        }
        let asked = PlacementNeed::Worker {
            need: need.clone(),
            avoid: avoid.clone(),
        };
        match self.ask_scheduler(asked).await {
            Some(Answered::Placed(placed)) => Some(self.go_to(placed)),
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
        let worker = directory.select(now, self.demand(&zone), need, avoid)?;
        Some(worker.id.clone())
    }
}
