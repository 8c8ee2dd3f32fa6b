//! The placements that a scheduler has made for other gateways. Each counts in the scheduler's directory
//! like a send of its own.

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

/// How long after its request's time is over a placement that nobody ended is closed.
const OVERDUE: Duration = Duration::from_millis(500);
/// How long after its last message a gateway without open placements is remembered, so that its messages
/// are still told apart from older ones.
const GATEWAY_MEMORY: Duration = Duration::from_secs(30);
/// How a placement ended whose gateway said nothing of it: this speaks neither for nor against its worker.
const UNTOLD: SendResult = SendResult::Abandoned { silent: false };

/// A placement under way.
#[derive(Debug)]
struct OpenPlacement {
    ticket: SendTicket,
    prompt: Vec<PromptPart>,
    over: Timestamp,
}

/// One gateway that asks.
#[derive(Debug, Default)]
struct Account {
    sequence: u64,
    heard: Timestamp,
    open: BTreeMap<PlacementId, OpenPlacement>,
}

/// The placements of all gateways that ask this one.
#[derive(Debug, Default)]
pub struct PlacementLedger {
    accounts: HashMap<GatewayKey, Account>,
}

impl PlacementLedger {
    /// Takes a message in and answers its request, if it has one. `zone` is the scheduler's, and the
    /// gateway's as well.
    pub fn take(
        &mut self,
        now: Timestamp,
        directory: &mut Directory,
        zone: &ZoneName,
        message: PlacementMessage,
    ) -> Option<PlacementAnswer> {
        let account = self.accounts.entry(message.sender).or_default();
        account.heard = now;
        for notice in message.notices {
            account.note(now, directory, notice);
        }
        if message.sequence > account.sequence {
            account.sequence = message.sequence;
            account.close_others(now, directory, &message.open);
        }
        let request = message.request?;
        Some(account.place(now, directory, zone, request))
    }

    /// The worker of a placement that a gateway holds open.
    pub fn worker_of(&self, sender: GatewayKey, id: PlacementId) -> Option<&WorkerId> {
        let open = self.accounts.get(&sender)?.open.get(&id)?;
        Some(open.ticket.worker())
    }

    /// Whether some gateway has asked lately.
    pub fn is_asked(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Closes placements whose time is over, and forgets gateways that ask no more.
    pub fn expire(&mut self, now: Timestamp, directory: &mut Directory) {
        for account in self.accounts.values_mut() {
            let overdue = |open: &OpenPlacement| now > open.over + OVERDUE;
            let ids = account.open.iter().filter(|(_, open)| overdue(open));
            let ids: Vec<PlacementId> = ids.map(|(id, _)| *id).collect();
            for id in ids {
                account.end(now, directory, id, UNTOLD);
            }
        }
        self.accounts.retain(|_, account| {
            !account.open.is_empty() || now.since(account.heard) < GATEWAY_MEMORY
        });
    }
}

impl Account {
    fn note(&mut self, now: Timestamp, directory: &mut Directory, notice: PlacementNotice) {
        match notice {
            PlacementNotice::PromptRead { id, latency } => {
                if let Some(open) = self.open.get_mut(&id) {
                    directory.record_prompt_read(now, &mut open.ticket, &open.prompt, latency);
                }
            }
            PlacementNotice::Ended { id, result, .. } => self.end(now, directory, id, result),
        }
    }

    /// Closes what the gateway does not hold open any more.
    fn close_others(&mut self, now: Timestamp, directory: &mut Directory, open: &[PlacementId]) {
        let ended = self.open.keys().filter(|id| !open.contains(id));
        let ended: Vec<PlacementId> = ended.copied().collect();
        for id in ended {
            self.end(now, directory, id, UNTOLD);
        }
    }

    fn end(
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
            service: &request.service,
            prompt: &request.prompt,
            route: &request.route,
            tenant: request.tenant,
            yields: request.yields,
            zone,
            avoid: &request.avoid,
            draw: request.draw,
        };
        let need = match &request.need {
            PlacementNeed::Worker { need } => need.clone(),
            PlacementNeed::Admission => match directory.admit(now, demand, request.objectives) {
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
            },
        };
        let worker = directory.select(now, demand, &need);
        let Some(worker) = worker.map(|worker| worker.id.clone()) else {
            return no_worker(now, directory, &request.service, &need);
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
            expected: ticket.expected_latency(),
            has_rate_token,
            rate_limit: directory.stated_rate_limit(now, &worker),
        };
        let open = OpenPlacement {
            ticket,
            over: now + request.objectives.time_left,
            prompt: request.prompt,
        };
        self.open.insert(request.id, open);
        PlacementAnswer::Placed(placement)
    }
}

/// The answer if no worker takes a request.
fn no_worker(
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
