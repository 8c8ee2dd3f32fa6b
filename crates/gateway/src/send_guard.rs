//! Accounting for one send to a worker. It also takes place if the task of the send is dropped before the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_forwarding::{
    Demand, Fingerprint, Need, Placement, PromptPart, SendId, SendResult, SendTicket,
    SoftwareVersion, Unavailable, WorkerId, WorkerState,
};

use crate::answer_body::Framing;
use crate::connections::{NotSentReason, SendProgress};
use crate::events::{Event, Priority};
use crate::placement::OpenPlacement;
use crate::state::{saturating_millis, Shared};
use crate::stream_pause::StreamPause;
use crate::worker_request::RequestKind;

/// Returns the result of a send that failed before anything was sent.
pub fn unsent_result(reason: &NotSentReason) -> SendResult {
    match reason {
        NotSentReason::ConnectionRefused => SendResult::ConnectionRefused,
        NotSentReason::WorkerUnavailable(Unavailable::RateLimited) => SendResult::Withheld,
        NotSentReason::TooManyConnections | NotSentReason::WorkerUnavailable(_) => {
            SendResult::Refused
        }
        NotSentReason::NoPath => SendResult::Abandoned { silent: false },
        NotSentReason::Failed(_) => SendResult::Unreachable,
    }
}

/// What is sent, and to which worker.
pub struct SendDetails {
    /// The id that the caller gave the request.
    pub request_id: String,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The fingerprints of the shared parts of its prompt.
    pub shared_parts: Arc<[Fingerprint]>,
    /// The name of its route.
    pub route: String,
    /// Whether its service has more urgent routes.
    pub yields: bool,
    /// The longest pause that the route allows its streams.
    pub max_pause: Option<Duration>,
    /// The worker.
    pub worker: WorkerId,
    /// The service of the worker.
    pub service: ServiceName,
    /// The software version of the worker.
    pub version: SoftwareVersion,
    /// The kind of the request to the worker: running the request, or reading its prompt.
    pub kind: RequestKind,
    /// The prompt of a request to a model engine.
    pub prompt: Vec<PromptPart>,
    /// What the worker is needed for.
    pub need: Need,
}

/// A send in progress. Dropping the guard records the end of the send.
pub struct SendGuard {
    shared: Arc<Shared>,
    details: SendDetails,
    ticket: SendTicket,
    /// The placement by a scheduler, if one has selected the worker.
    placement: Option<OpenPlacement>,
    planned_tokens: u64,
    started_at: Timestamp,
    /// What was known of the worker's entry at the start.
    entry: &'static str,
    /// Milliseconds since the store's last answer at the start.
    store_age_ms: u64,
    send_id: SendId,
    result: SendResult,
    /// Whether the worker has answered completely and therefore no longer runs the request.
    is_answer_complete: bool,
    detail: String,
    head_latency: Option<Duration>,
    /// What marks the end of the answer's body; `None` before the head has arrived.
    framing: Option<Framing>,
    /// How far the send has come.
    pub progress: Arc<SendProgress>,
    /// The pauses of the stream that the worker answers with.
    pub pause: StreamPause,
}

impl SendGuard {
    /// Records the start of a send. `placement` is set if a scheduler has selected the worker.
    pub fn begin(
        shared: &Arc<Shared>,
        details: SendDetails,
        placement: Option<OpenPlacement>,
    ) -> Self {
        let now = shared.now();
        let zone = shared.zone();
        let demand = Demand {
            version: None,
            service: &details.service,
            prompt: &details.prompt,
            route: &details.route,
            tenant: None,
            yields: details.yields,
            pause: details.max_pause,
            zone: &zone,
            avoid: &[],
            draw: 0,
        };
        let mut directory = shared.directory.lock();
        let ticket = directory.begin_send(now, &details.worker, demand, &details.need);
        let entry = directory.get(&details.worker).map(|worker| worker.state);
        drop(directory);
        let is_lapsed = shared.lapsed_workers.lock().contains(&details.worker);
        let send_id = shared.sends.lock().begin(
            &details.worker,
            details.fingerprint,
            Arc::clone(&details.shared_parts),
        );
        let scheduled = placement.as_ref().map(OpenPlacement::placement);
        let planned_tokens = scheduled.map(|placement| placement.reading_tokens);
        Self {
            shared: Arc::clone(shared),
            planned_tokens: planned_tokens.unwrap_or(ticket.reading_tokens()),
            details,
            ticket,
            placement,
            started_at: now,
            entry: entry_name(entry, is_lapsed),
            store_age_ms: shared.store_age_ms(),
            send_id,
            is_answer_complete: false,
            result: SendResult::Abandoned { silent: true },
            detail: String::new(),
            head_latency: None,
            framing: None,
            progress: Arc::default(),
            pause: StreamPause::default(),
        }
    }

    /// Returns the address of the worker from which the selected one should fetch prompt parts that it lacks.
    pub fn fetch_from(&self) -> Option<SocketAddr> {
        match self.scheduled_placement() {
            Some(placement) => placement.fetch_from,
            None => self.ticket.fetch_from(),
        }
    }

    /// Returns whether reading the remaining prompt tokens costs an engine hardly more than any prompt does.
    pub fn is_short_reading(&self) -> bool {
        match self.scheduled_placement() {
            Some(placement) => placement.short_reading,
            None => self.ticket.is_short_reading(),
        }
    }

    /// Returns whether the scheduler that placed it has taken a token of the worker's rate limit for it.
    pub fn has_rate_token(&self) -> bool {
        self.scheduled_placement()
            .is_some_and(|placement| placement.has_rate_token)
    }

    /// Returns whether a scheduler has placed it.
    pub fn is_placed(&self) -> bool {
        self.scheduled_placement().is_some()
    }

    /// Returns the latency of the answer that was expected when the send began.
    pub fn expected_latency(&self) -> Duration {
        match self.scheduled_placement() {
            Some(placement) => placement.expected_latency,
            None => self.ticket.expected_latency(),
        }
    }

    /// Returns the kind of the request to the worker.
    pub fn kind(&self) -> RequestKind {
        self.details.kind
    }

    /// Returns the software version of the worker.
    pub fn version(&self) -> &SoftwareVersion {
        &self.details.version
    }

    /// Returns when the send began.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Returns whether the worker may still be running the request.
    fn may_run(&self) -> bool {
        let is_unsent = matches!(
            self.result,
            SendResult::Refused
                | SendResult::Withheld
                | SendResult::Unreachable
                | SendResult::ConnectionRefused
                | SendResult::Absent
        );
        !self.is_answer_complete && !is_unsent
    }

    fn update_send_tracker(&self, now: Timestamp) {
        let mut sends = self.shared.sends.lock();
        match self.may_run() {
            true => sends.abandon(now, &self.details.worker, self.send_id),
            false => sends.finish(&self.details.worker, self.send_id),
        }
    }

    fn scheduled_placement(&self) -> Option<&Placement> {
        self.placement.as_ref().map(OpenPlacement::placement)
    }

    /// Records that the answer has begun, which means that the prompt has been read.
    pub fn record_answer_start(&mut self) {
        let now = self.shared.now();
        let latency = now.since(self.started_at);
        let mut directory = self.shared.directory.lock();
        directory.record_prompt_read(now, &mut self.ticket, &self.details.prompt, latency);
        drop(directory);
        if let Some(placement) = &self.placement {
            placement.report_prompt_read(latency);
        }
        self.head_latency = Some(latency);
        self.result = SendResult::Answered { latency };
    }

    /// Records what marks the end of the answer's body.
    pub fn record_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
    }

    /// Records what was concluded from the end of an event stream that only the end of the connection marks.
    pub fn record_unproven_end(&mut self, conclusion: &str) {
        let ends = &self.shared.metrics.unproven_stream_ends;
        let service = self.details.service.as_str();
        ends.with_label_values(&[service, conclusion]).inc();
        self.detail = format!("stream ended with its connection: {conclusion}");
    }

    /// Records that the worker has answered completely, even with an error.
    pub fn record_complete_answer(&mut self) {
        self.is_answer_complete = true;
        if self.details.kind == RequestKind::Run {
            let now = self.shared.now();
            let mut quarantine = self.shared.quarantine.lock();
            quarantine.record_answer(now, self.details.fingerprint);
            drop(quarantine);
            // A worker may answer with an error before it starts the work that crashes it.
            if matches!(self.result, SendResult::Answered { .. }) {
                let parts = &self.details.shared_parts;
                self.shared.part_quarantine.lock().record_answer(now, parts);
            }
        }
    }

    /// Sets the result of the send, and the detail that the worker or the connection reported.
    pub fn set_result(&mut self, result: SendResult, detail: impl Into<String>) {
        self.result = result;
        self.detail = detail.into();
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let pause = self.pause.longest();
        if let Some(pause) = pause {
            self.ticket.record_pause(pause);
            self.shared
                .metrics
                .stream_pause
                .with_label_values(&[self.details.service.as_str()])
                .observe(pause.as_secs_f64());
        }
        let mut directory = self.shared.directory.lock();
        directory.end_send(now, &self.ticket, &self.details.prompt, self.result);
        drop(directory);
        self.update_send_tracker(now);
        if let Some(placement) = &mut self.placement {
            placement.report_end(self.result, pause);
        }
        let outcome = outcome_name(self.result);
        self.shared
            .metrics
            .sends
            .with_label_values(&[self.details.service.as_str(), outcome])
            .inc();
        let priority = match self.result {
            SendResult::Answered { .. } => Priority::Routine,
            _ => Priority::Important,
        };
        let relay = self.progress.relay();
        let event = Event::Send {
            request: &self.details.request_id,
            fingerprint: &self.details.fingerprint.to_string(),
            worker: self.details.worker.as_str(),
            scheduler: self.placement.as_ref().map_or("", OpenPlacement::scheduler),
            relay: relay.as_deref().unwrap_or_default(),
            work: self.details.kind.name(),
            outcome,
            detail: &self.detail,
            reading_tokens: self.planned_tokens,
            fetched: self.fetch_from().is_some(),
            expected_ms: saturating_millis(self.expected_latency()),
            head_ms: self.head_latency.map_or(0, saturating_millis),
            took_ms: saturating_millis(now.since(self.started_at)),
            pause_ms: pause.map_or(0, saturating_millis),
            version: self.details.version.as_str(),
            framing: self.framing.map_or("", Framing::name),
            entry: self.entry,
            store_age_ms: self.store_age_ms,
            sent_ms: self
                .progress
                .sent_at()
                .map(|sent_at| saturating_millis(sent_at.since(self.started_at))),
        };
        self.shared.log.record(priority, &event);
    }
}

/// Returns the name of a worker's entry in logs, from the state that it announces.
fn entry_name(state: Option<WorkerState>, is_lapsed: bool) -> &'static str {
    match state {
        _ if is_lapsed => "lapsed",
        Some(WorkerState::Ready) => "ready",
        Some(WorkerState::Draining) => "draining",
        None => "none",
    }
}

fn outcome_name(result: SendResult) -> &'static str {
    match result {
        SendResult::Answered { .. } => "answered",
        SendResult::Failed => "failed",
        SendResult::Refused => "refused",
        SendResult::Withheld => "withheld",
        SendResult::Unreachable => "unreachable",
        SendResult::ConnectionRefused => "connection_refused",
        SendResult::Absent => "absent",
        SendResult::Abandoned { silent: true } => "abandoned_silent",
        SendResult::Abandoned { silent: false } => "abandoned",
    }
}
