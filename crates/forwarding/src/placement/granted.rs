//! Placements that a scheduler has made for other gateways. The scheduler's directory counts each of them
//! like a send of the scheduler itself.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};

use super::{
    Placement, PlacementAnswer, PlacementId, PlacementMessage, PlacementNeed, PlacementNotice,
    PlacementRequest,
};
use crate::directory::{
    Admission, Demand, Directory, RateToken, RefusalCause, SendResult, SendTicket,
};
use crate::load_exchange::GatewayKey;
use crate::selection::{Need, PromptPart};
use crate::worker::WorkerId;

/// Delay after the deadline of its request at which a placement that was not reported as ended is closed.
const EXPIRY_DELAY: Duration = Duration::from_millis(500);
/// How long a gateway without open placements is kept after its last message, so that delayed older messages
/// are still recognized by their sequence number.
const IDLE_GATEWAY_TTL: Duration = Duration::from_secs(30);
/// Result of a placement whose end the gateway did not report. It counts neither for nor against the worker.
const UNREPORTED_RESULT: SendResult = SendResult::Abandoned { silent: false };

/// A placement that has not ended.
#[derive(Debug)]
struct OpenPlacement {
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    deadline: Timestamp,
}

/// State of one gateway that requests placements.
#[derive(Debug, Default)]
struct RequestingGateway {
    sequence: u64,
    last_message_at: Timestamp,
    open: BTreeMap<PlacementId, OpenPlacement>,
}

/// Placements made for all gateways that request them from this one.
#[derive(Debug, Default)]
pub struct GrantedPlacements {
    gateways: HashMap<GatewayKey, RequestingGateway>,
}

impl GrantedPlacements {
    /// Applies a message and answers its request, if it contains one. `zone` is the zone of both the
    /// scheduler and the sending gateway.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        directory: &mut Directory,
        zone: &ZoneName,
        message: PlacementMessage,
    ) -> Option<PlacementAnswer> {
        let gateway = self.gateways.entry(message.sender).or_default();
        gateway.last_message_at = now;
        for notice in message.notices {
            gateway.apply_notice(now, directory, notice);
        }
        if message.sequence > gateway.sequence {
            gateway.sequence = message.sequence;
            gateway.close_unlisted(now, directory, &message.open);
        }
        let request = message.request?;
        Some(gateway.place(now, directory, zone, request))
    }

    /// Returns the worker of an open placement of a gateway.
    pub fn worker_of(&self, sender: GatewayKey, id: PlacementId) -> Option<&WorkerId> {
        let open = self.gateways.get(&sender)?.open.get(&id)?;
        Some(open.ticket.worker())
    }

    /// Returns whether any gateway has sent a message recently or has an open placement.
    pub fn has_requesting_gateways(&self) -> bool {
        !self.gateways.is_empty()
    }

    /// Closes placements whose time has run out, and removes gateways that have stopped sending messages.
    pub fn expire(&mut self, now: Timestamp, directory: &mut Directory) {
        for gateway in self.gateways.values_mut() {
            let is_overdue = |open: &OpenPlacement| now > open.deadline + EXPIRY_DELAY;
            let ids = gateway.open.iter().filter(|(_, open)| is_overdue(open));
            let ids: Vec<PlacementId> = ids.map(|(id, _)| *id).collect();
            for id in ids {
                gateway.close(now, directory, id, UNREPORTED_RESULT);
            }
        }
        self.gateways.retain(|_, gateway| {
            !gateway.open.is_empty() || now.since(gateway.last_message_at) < IDLE_GATEWAY_TTL
        });
    }
}

impl RequestingGateway {
    fn apply_notice(&mut self, now: Timestamp, directory: &mut Directory, notice: PlacementNotice) {
        match notice {
            PlacementNotice::PromptRead { id, latency } => {
                if let Some(open) = self.open.get_mut(&id) {
                    directory.record_prompt_read(now, &mut open.ticket, &open.prompt, latency);
                }
            }
            PlacementNotice::Ended {
                id, result, pause, ..
            } => {
                if let (Some(open), Some(pause)) = (self.open.get_mut(&id), pause) {
                    open.ticket.record_pause(pause);
                }
                self.close(now, directory, id, result);
            }
        }
    }

    /// Closes placements that the gateway no longer lists as open.
    fn close_unlisted(&mut self, now: Timestamp, directory: &mut Directory, open: &[PlacementId]) {
        let ended = self.open.keys().filter(|id| !open.contains(id));
        let ended: Vec<PlacementId> = ended.copied().collect();
        for id in ended {
            self.close(now, directory, id, UNREPORTED_RESULT);
        }
    }

    fn close(
        &mut self,
        now: Timestamp,
        directory: &mut Directory,
        id: PlacementId,
        result: SendResult,
    ) {
        if let Some(open) = self.open.remove(&id) {
            directory.end_send(now, &open.ticket, &open.prompt, result);
        }
    }

    fn place(
        &mut self,
        now: Timestamp,
        directory: &mut Directory,
        zone: &ZoneName,
        request: PlacementRequest,
    ) -> PlacementAnswer {
        let mut demand = Demand {
            version: None,
            service: &request.service,
            prompt: &request.prompt,
            route: &request.route,
            tenant: request.tenant,
            yields: request.yields,
            pause: request.objectives.pause,
            zone,
            avoid: &request.avoid,
            draw: request.draw,
        };
        let mut leaving_worker = None;
        let need = match &request.need {
            PlacementNeed::Worker { need } => need.clone(),
            PlacementNeed::Admission | PlacementNeed::AdmissionOrLeaving => {
                let may_use_leaving = request.need == PlacementNeed::AdmissionOrLeaving;
                let first = directory.admit_first(now, demand, request.objectives, may_use_leaving);
                leaving_worker = first.leaving_worker;
                match first.admission {
                    Admission::Admitted { read_apart, draw } => {
                        demand.draw = draw;
                        match read_apart {
                            true => Need::ReadPrompt,
                            false => Need::Run,
                        }
                    }
                    Admission::Refused {
                        cause,
                        waiting,
                        retry_after,
                    } => {
                        return PlacementAnswer::Refused {
                            cause,
                            waiting,
                            retry_after,
                        }
                    }
                }
            }
        };
        let select = || directory.select(now, demand, &need);
        let worker = leaving_worker.or_else(|| select().map(|worker| worker.id.clone()));
        let Some(worker) = worker else {
            return no_worker_answer(now, directory, &request.service, &need);
        };
        let has_rate_token = directory.take_rate_token(now, &worker) == RateToken::Taken;
        let ticket = directory.begin_send(now, &worker, demand, &need);
        let placement = Placement {
            id: request.id,
            worker: worker.clone(),
            read_apart: need == Need::ReadPrompt,
            fetch_from: ticket.fetch_from(),
            reading_tokens: ticket.reading_tokens(),
            short_reading: ticket.is_short_reading(),
            expected_latency: ticket.expected_latency(),
            has_rate_token,
            rate_limit: directory.stated_rate_limit(now, &worker),
        };
        let open = OpenPlacement {
            ticket,
            deadline: now + request.objectives.time_left,
            prompt: request.prompt,
        };
        self.open.insert(request.id, open);
        PlacementAnswer::Placed(placement)
    }
}

/// Returns the answer for a request that no worker accepts.
fn no_worker_answer(
    now: Timestamp,
    directory: &Directory,
    service: &ServiceName,
    need: &Need,
) -> PlacementAnswer {
    match directory.rate_limited_for(now, service, need) {
        Some(retry_after) => PlacementAnswer::Refused {
            cause: RefusalCause::RateLimit,
            waiting: retry_after,
            retry_after,
        },
        None => PlacementAnswer::NoWorker,
    }
}
