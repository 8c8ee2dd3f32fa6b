//! Accounts for one send to a worker, also when its task is dropped in the middle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_forwarding::{
    Demand, Fingerprint, Need, Placement, PromptPart, SendId, SendResult, SendTicket, Unavailable,
    WorkerId,
};

use crate::connections::Unconnected;
use crate::events::{Event, Weight};
use crate::placement::OpenPlacement;
use crate::state::{whole_millis, Shared};
use crate::worker_request::Asked;

/// What a send that was not sent says of its worker.
pub fn result_of(reason: &Unconnected) -> SendResult {
    match reason {
        Unconnected::NothingListens => SendResult::Absent,
        Unconnected::Unwanted(Unavailable::RateLimited) => SendResult::Withheld,
        Unconnected::TooMany | Unconnected::Unwanted(_) => SendResult::Refused,
        Unconnected::Failed(_) => SendResult::Unreachable,
    }
}

/// What is sent where.
pub struct Sent {
    /// The caller's id of the request.
    pub request_id: String,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// The name of its route.
    pub route: String,
    /// The worker.
    pub worker: WorkerId,
    /// Its service.
    pub service: ServiceName,
    /// What is asked: running the request, or reading its prompt.
    pub asked: Asked,
    /// The prompt, for model engines.
    pub prompt: Vec<PromptPart>,
    /// What is needed of the worker.
    pub need: Need,
}

/// One send under way.
pub struct SendGuard {
    shared: Arc<Shared>,
    sent: Sent,
    ticket: SendTicket,
    /// What a scheduler said of the send, if it has chosen the worker.
    placement: Option<OpenPlacement>,
    planned_tokens: u64,
    began: Timestamp,
    number: SendId,
    result: SendResult,
    /// Whether the worker has answered whole, so that it runs the request no more.
    is_whole: bool,
    detail: String,
    head: Option<Duration>,
}

impl SendGuard {
    /// Counts a send as begun; `placement` is the scheduler's, if it has chosen the worker.
    pub fn begin(shared: &Arc<Shared>, sent: Sent, placement: Option<OpenPlacement>) -> Self {
        let now = shared.now();
        let zone = shared.zone();
        let demand = Demand {
            service: &sent.service,
            prompt: &sent.prompt,
            route: &sent.route,
            tenant: None,
            yields: false,
            zone: &zone,
            avoid: &[],
            draw: 0,
        };
        let mut directory = shared.directory.lock();
        let ticket = directory.begin_send(now, &sent.worker, demand, &sent.need);
        drop(directory);
        let number = shared.sends.lock().begin(&sent.worker, sent.fingerprint);
        let placed = placement.as_ref().map(OpenPlacement::placement);
        let planned_tokens = placed.map(|placed| placed.reading_tokens);
        Self {
            shared: Arc::clone(shared),
            planned_tokens: planned_tokens.unwrap_or(ticket.reading_tokens()),
            sent,
            ticket,
            placement,
            began: now,
            number,
            is_whole: false,
            result: SendResult::Abandoned { silent: true },
            detail: String::new(),
            head: None,
        }
    }

    /// The worker from which the chosen one should fetch what it lacks of the prompt.
    pub fn fetch_from(&self) -> Option<SocketAddr> {
        match self.placed() {
            Some(placed) => placed.fetch_from,
            None => self.ticket.fetch_from(),
        }
    }

    /// Whether reading what is still to be read costs an engine hardly more than any prompt does.
    pub fn is_short_reading(&self) -> bool {
        match self.placed() {
            Some(placed) => placed.short_reading,
            None => self.ticket.is_short_reading(),
        }
    }

    /// Whether the scheduler that placed it has taken it off the worker's rate limit.
    pub fn has_rate_token(&self) -> bool {
        self.placed().is_some_and(|placed| placed.has_rate_token)
    }

    /// The time after which the answer was expected when the send began.
    pub fn expected(&self) -> Duration {
        match self.placed() {
            Some(placed) => placed.expected_latency,
            None => self.ticket.expected_latency(),
        }
    }

    /// What is asked of the worker.
    pub fn asked(&self) -> Asked {
        self.sent.asked
    }

    /// When the send began.
    pub fn began(&self) -> Timestamp {
        self.began
    }

    /// Whether the worker may still run the request.
    fn may_run(&self) -> bool {
        let is_unsent = matches!(
            self.result,
            SendResult::Refused
                | SendResult::Withheld
                | SendResult::Unreachable
                | SendResult::Absent
        );
        !self.is_whole && !is_unsent
    }

    fn leave_ledger(&self, now: Timestamp) {
        let mut sends = self.shared.sends.lock();
        match self.may_run() {
            true => sends.abandon(now, &self.sent.worker, self.number),
            false => sends.finish(&self.sent.worker, self.number),
        }
    }

    fn placed(&self) -> Option<&Placement> {
        self.placement.as_ref().map(OpenPlacement::placement)
    }

    /// The answer begins: the prompt has been read.
    pub fn answered(&mut self) {
        let now = self.shared.now();
        let latency = now.since(self.began);
        let mut directory = self.shared.directory.lock();
        directory.record_prompt_read(now, &mut self.ticket, &self.sent.prompt, latency);
        drop(directory);
        if let Some(placement) = &self.placement {
            placement.report_prompt_read(latency);
        }
        self.head = Some(latency);
        self.result = SendResult::Answered { latency };
    }

    /// The worker has answered whole, be it with a failure.
    pub fn answered_whole(&mut self) {
        self.is_whole = true;
        if self.sent.asked == Asked::Run {
            let now = self.shared.now();
            let mut quarantine = self.shared.quarantine.lock();
            quarantine.record_answer(now, self.sent.fingerprint);
        }
    }

    /// Sets how the send ended, and what the worker or the connection said.
    pub fn ended(&mut self, result: SendResult, detail: impl Into<String>) {
        self.result = result;
        self.detail = detail.into();
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut directory = self.shared.directory.lock();
        directory.end_send(now, &self.ticket, &self.sent.prompt, self.result);
        drop(directory);
        self.leave_ledger(now);
        if let Some(placement) = &mut self.placement {
            placement.report_end(self.result);
        }
        let outcome = outcome_name(self.result);
        self.shared
            .metrics
            .sends
            .with_label_values(&[self.sent.service.as_str(), outcome])
            .inc();
        let weight = match self.result {
            SendResult::Answered { .. } => Weight::Routine,
            _ => Weight::Important,
        };
        let event = Event::Send {
            request: &self.sent.request_id,
            fingerprint: &self.sent.fingerprint.to_string(),
            worker: self.sent.worker.as_str(),
            scheduler: self.placement.as_ref().map_or("", OpenPlacement::scheduler),
            work: self.sent.asked.name(),
            outcome,
            detail: &self.detail,
            reading_tokens: self.planned_tokens,
            fetched: self.fetch_from().is_some(),
            expected_ms: whole_millis(self.expected()),
            head_ms: self.head.map_or(0, whole_millis),
            took_ms: whole_millis(now.since(self.began)),
        };
        self.shared.log.record(weight, &event);
    }
}

fn outcome_name(result: SendResult) -> &'static str {
    match result {
        SendResult::Answered { .. } => "answered",
        SendResult::Failed => "failed",
        SendResult::Refused => "refused",
        SendResult::Withheld => "withheld",
        SendResult::Unreachable => "unreachable",
        SendResult::Absent => "absent",
        SendResult::Abandoned { silent: true } => "abandoned_silent",
        SendResult::Abandoned { silent: false } => "abandoned",
    }
}
