//! Sending of a request to a worker that runs it, and replacement of a silent worker by another one.
//!
//! The attempt of a silent worker stays open until its replacement begins to answer: the worker may go on, and the
//! replacement may refuse or fail.

use std::time::Duration;

use tansyhall_forwarding::{
    EventFramer, EventId, Need, PromptHandle, RequestEvent, RequestMachine, SendFailure,
    SendResult, WorkerId,
};
use tokio::time::{sleep_until, Instant};

use super::attempt::{Attempt, Received, ReceivedBody};
use super::order::last_event_of_caller;
use super::{failed, Exchange};
use crate::connection_losses::Loss;
use crate::connections::{NotSentReason, SendError, WorkerAnswer};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::unsent_result;
use crate::worker_request::RequestKind;

/// How long the attempt of a silent worker stays open after another worker has sent the head of a successful stream. A
/// model worker begins to run a request with its first token, and its head comes then.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// The statuses of successful answers that never have a body.
const BODILESS_STATUSES: [u16; 2] = [204, 205];

/// Which workers may replace the one that runs a request.
pub(super) struct ReplacementRule {
    is_allowed: bool,
    avoid: Vec<WorkerId>,
}

impl ReplacementRule {
    pub(super) fn of(machine: &RequestMachine) -> Self {
        Self {
            is_allowed: machine.may_retry_on_another_worker(),
            avoid: machine.avoided_workers().to_vec(),
        }
    }
}

/// Result of waiting for an attempt.
enum Waited {
    Received(Received),
    /// The worker is silent, and another one may get the request.
    Silent,
    DeadlinePassed,
}

impl Exchange {
    /// Sends the request to a worker and delivers the answer as far as possible. If the worker is silent for too long
    /// and `replacement` allows it, another worker may get the request.
    pub(super) async fn run_on(
        &mut self,
        id: &WorkerId,
        source: Option<PromptHandle>,
        resume_after: Option<EventId>,
        replacement: &ReplacementRule,
    ) -> RequestEvent {
        match self.begin_attempt(id, source, resume_after) {
            Some(attempt) => self.follow(attempt, replacement).await,
            None => self.failed_send(SendFailure::NotSent),
        }
    }

    /// Waits for the stalled worker, which no other worker replaces.
    pub(super) async fn await_stalled(&mut self, replacement: &ReplacementRule) -> RequestEvent {
        match self.stalled.take() {
            Some(mut attempt) => {
                attempt.is_awaited = true;
                self.follow(attempt, replacement).await
            }
            None => failed(SendFailure::MayHaveRun),
        }
    }

    fn begin_attempt(
        &mut self,
        id: &WorkerId,
        source: Option<PromptHandle>,
        resume_after: Option<EventId>,
    ) -> Option<Attempt> {
        // The entry may have changed since the worker was chosen.
        let worker = self.worker(id).filter(|worker| self.may_run_at(worker))?;
        self.doubt_unseen_incarnation(id);
        let need = match &source {
            Some(source) => Need::Continue {
                reader: source.worker.clone(),
            },
            None => Need::Run,
        };
        let guard = self.begin_send(&worker, RequestKind::Run, need);
        let is_continuation =
            resume_after.is_some() || last_event_of_caller(&self.request).is_some();
        let work = Work::Run {
            source,
            resume_after,
        };
        let request = self.worker_request(&worker, work, &guard);
        let destination = self.destination(&worker, &guard);
        let max_silence = self.max_silence(&guard);
        let connections = &self.shared.connections;
        let mut attempt = Attempt::new(connections, destination, request, guard, max_silence);
        attempt.is_continuation = is_continuation;
        Some(attempt)
    }

    /// Delivers the answer of an attempt until it ends or the worker stalls. If a stalled worker goes on before this
    /// attempt has answered in its place, its answer is delivered instead.
    async fn follow(
        &mut self,
        mut attempt: Attempt,
        replacement: &ReplacementRule,
    ) -> RequestEvent {
        loop {
            let ended = match self.wait(&mut attempt, replacement).await {
                Waited::Received(Received::Head(answer)) => {
                    self.handle_head(&mut attempt, *answer).err()
                }
                Waited::Received(Received::Bytes(bytes)) => {
                    self.handle_bytes(&mut attempt, bytes).await.err()
                }
                Waited::Received(Received::End) => Some(self.handle_body_end(&mut attempt).await),
                Waited::Received(Received::Failed(error)) => {
                    Some(self.handle_failed(&mut attempt, error))
                }
                Waited::Silent => return self.stall(attempt),
                Waited::DeadlinePassed => Some(self.handle_deadline(&mut attempt)),
            };
            if let Some(event) = ended {
                self.record_attempt_end(&mut attempt, &event);
                return event;
            }
        }
    }

    /// Keeps the attempt of a silent worker open while another worker is selected.
    fn stall(&mut self, attempt: Attempt) -> RequestEvent {
        let losses = &self.shared.connections.losses;
        losses.report(Loss::Silent, &attempt.destination);
        let (answer_started, last_event) = attempt.delivered();
        self.replace_stalled();
        self.has_silent_deliverer |= answer_started;
        self.stalled = Some(attempt);
        RequestEvent::Stalled {
            answer_started,
            last_event,
        }
    }

    /// Ends the attempt of the stalled worker, if any, because another worker answers in its place.
    pub(super) fn replace_stalled(&mut self) {
        if let Some(stalled) = self.stalled.take() {
            stalled.end_as_replaced();
        }
    }

    /// Waits for what happens next in an attempt, or in that of the stalled worker. If the stalled worker goes on, its
    /// attempt takes the place of `attempt`, which ends.
    async fn wait(&mut self, attempt: &mut Attempt, replacement: &ReplacementRule) -> Waited {
        // A worker that always has more to send would otherwise be received from beyond the deadline.
        if self.time_left().is_zero() {
            return Waited::DeadlinePassed;
        }
        let deadline = self.deadline();
        let began = Instant::now();
        let mut silent_since = began;
        loop {
            let silence_limit = attempt.silence_limit(replacement.is_allowed);
            let silence_end = silence_limit.map_or(deadline, |limit| silent_since + limit);
            let overlap_end = self.overlap_end(attempt);
            let wake_at = overlap_end
                .unwrap_or(deadline)
                .min(silence_end)
                .min(deadline);
            tokio::select! {
                biased;
                received = receive_stalled(&mut self.stalled) => {
                    if let Some(received) = self.handle_stalled(received).await {
                        if self.continue_stalled(attempt) {
                            return Waited::Received(received);
                        }
                    }
                }
                received = attempt.receive() => {
                    attempt.is_awaited = false;
                    return Waited::Received(received);
                }
                () = sleep_until(wake_at) => {
                    let now = Instant::now();
                    if now >= deadline {
                        return Waited::DeadlinePassed;
                    }
                    if overlap_end.is_some_and(|end| now >= end) {
                        self.replace_stalled();
                    }
                    if let Some(limit) = silence_limit.filter(|_| now >= silence_end) {
                        if silent_since == began {
                            let connections = &self.shared.connections;
                            connections.close_silent_connections(limit);
                            connections.want_path_probe(&attempt.destination.worker);
                        }
                        if replacement.is_allowed && self.has_replacement(attempt, &replacement.avoid) {
                            return Waited::Silent;
                        }
                        silent_since = now;
                    }
                }
            }
        }
    }

    /// Returns when the attempt of the stalled worker, if there is one, ends because `attempt` has begun to answer in its
    /// place, although no complete event has arrived.
    fn overlap_end(&self, attempt: &Attempt) -> Option<Instant> {
        let answering_since = attempt.answering_since()?;
        self.stalled.as_ref().map(|_| answering_since + MAX_OVERLAP)
    }

    /// Puts the attempt of the stalled worker in the place of the one that should replace it. Returns whether there is
    /// one.
    fn continue_stalled(&mut self, attempt: &mut Attempt) -> bool {
        let Some(stalled) = self.stalled.take() else {
            return false;
        };
        std::mem::replace(attempt, stalled).end_as_unneeded();
        true
    }

    /// Returns whether another worker is available to replace this one, and the retry budget allows it.
    fn has_replacement(&self, attempt: &Attempt, avoid: &[WorkerId]) -> bool {
        let mut avoid = avoid.to_vec();
        avoid.push(attempt.destination.worker.clone());
        self.retries_left(self.shared.now()) > 0 && self.has_available_worker(&avoid)
    }

    /// Handles what arrived from the stalled worker. Returns it if a part of the answer can be delivered with it, so that
    /// the worker needs no replacement any more.
    async fn handle_stalled(&mut self, received: Received) -> Option<Received> {
        let mut stalled = self.stalled.take()?;
        let is_deliverable = stalled.is_deliverable_with(&received, self.sink.has_begun());
        let is_end = matches!(received, Received::End);
        if is_deliverable && !(is_end && self.is_stalled_end_unproven(&mut stalled).await) {
            self.stalled = Some(stalled);
            return Some(received);
        }
        let is_open = match received {
            Received::Head(answer) => self.handle_head(&mut stalled, *answer).is_ok(),
            Received::Bytes(bytes) => stalled.buffer(&bytes),
            Received::Failed(error) if stalled.awaits_head() => {
                self.handle_failed(&mut stalled, error);
                false
            }
            Received::End | Received::Failed(_) => false,
        };
        match is_open {
            true => self.stalled = Some(stalled),
            false if stalled.awaits_head() || stalled.is_error() => {}
            false => stalled
                .guard
                .set_result(SendResult::Failed, "answer was cut off"),
        }
        None
    }

    /// Handles the head of an answer. Returns the event if the attempt ends with it.
    fn handle_head(
        &mut self,
        attempt: &mut Attempt,
        mut answer: WorkerAnswer,
    ) -> Result<(), RequestEvent> {
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers);
        let detail = format!("status {}", answer.status);
        attempt.guard.record_framing(answer.body.framing());
        let is_stream_route = self.route().repeatability.is_stream();
        match kind {
            AnswerKind::Unusable => {
                attempt.guard.set_result(
                    SendResult::Failed,
                    format!("{detail}, answer is not signed"),
                );
                Err(self.failed_send(SendFailure::MayHaveRun))
            }
            AnswerKind::NotRun => {
                attempt.guard.set_result(SendResult::Refused, detail);
                Err(self.failed_send(SendFailure::NotRun))
            }
            AnswerKind::Misdirected => {
                attempt.guard.set_result(SendResult::Absent, detail);
                Err(self.failed_send(SendFailure::NotRun))
            }
            AnswerKind::Failure => {
                if !is_stream_route {
                    self.count_usage(attempt.guard.started_at());
                }
                attempt.guard.set_result(SendResult::Failed, detail);
                attempt.begin_body(answer, ReceivedBody::Error(Default::default()));
                Ok(())
            }
            AnswerKind::Success => {
                self.unused_handle = None;
                attempt.guard.record_answer_start();
                match is_stream_route {
                    true if self.has_no_body(answer.status) => {}
                    true => answer.body.expect_events(attempt.is_continuation),
                    false => {
                        self.count_usage(attempt.guard.started_at());
                        self.replace_stalled();
                    }
                }
                attempt.begin_body(answer, self.success_body());
                Ok(())
            }
        }
    }

    /// Returns whether an answer with this status never has a body.
    fn has_no_body(&self, status: u16) -> bool {
        self.request.method == "HEAD" || BODILESS_STATUSES.contains(&status)
    }

    /// Returns how the body of a successful answer is handled.
    fn success_body(&self) -> ReceivedBody {
        let repeatability = self.route().repeatability;
        if !repeatability.is_stream() {
            return ReceivedBody::Whole(Default::default());
        }
        match repeatability.allows_second_run() {
            true => ReceivedBody::Events {
                framer: EventFramer::default(),
                has_delivered: false,
                last_event: None,
            },
            false => ReceivedBody::UnstartedStream,
        }
    }

    /// Handles the failure of an attempt, or the break of its answer.
    fn handle_failed(&mut self, attempt: &mut Attempt, error: SendError) -> RequestEvent {
        if !attempt.awaits_head() {
            if let SendError::NoAnswer(reason) = error {
                attempt.break_reason = Some(reason);
            }
            return self.broken_answer(attempt);
        }
        match error {
            SendError::NotSent(reason) => {
                let result = unsent_result(&reason);
                attempt.guard.set_result(result, reason.to_string());
                match reason {
                    NotSentReason::NoPath => {
                        self.record_no_path();
                        self.failed_send(SendFailure::NoPath)
                    }
                    _ => self.failed_send(SendFailure::NotSent),
                }
            }
            SendError::NoAnswer(reason) => {
                self.count_unanswered_usage(attempt);
                attempt.guard.set_result(SendResult::Failed, reason);
                self.failed_send(SendFailure::MayHaveRun)
            }
        }
    }

    fn handle_deadline(&mut self, attempt: &mut Attempt) -> RequestEvent {
        if attempt.awaits_head() {
            self.count_unanswered_usage(attempt);
        }
        match attempt.open_answer().map(|open| &open.body) {
            Some(ReceivedBody::Parts { .. }) => RequestEvent::Interrupted(None),
            _ => RequestEvent::DeadlinePassed,
        }
    }

    fn count_unanswered_usage(&mut self, attempt: &Attempt) {
        if !self.route().repeatability.is_stream() {
            self.count_usage(attempt.guard.started_at());
        }
    }

    /// Returns the event for a send that failed before any part of its answer was delivered.
    pub(super) fn failed_send(&self, failure: SendFailure) -> RequestEvent {
        match self.stalled {
            Some(_) => RequestEvent::ReplacementFailed(failure),
            None => failed(failure),
        }
    }

    /// Records how the answer of an attempt has ended.
    fn record_attempt_end(&mut self, attempt: &mut Attempt, event: &RequestEvent) {
        let is_error = attempt.is_error();
        let Some(open) = attempt.open_answer() else {
            return;
        };
        // If only the end of the connection marks the end of the body, a crash of the worker may have cut it off.
        let has_explicit_end = open.answer.body.has_explicit_end();
        let is_complete = match is_error {
            true => *event == self.failed_send(SendFailure::ErrorAnswer),
            false => *event == RequestEvent::Completed,
        };
        match event {
            _ if is_complete && has_explicit_end => attempt.guard.record_complete_answer(),
            RequestEvent::Completed | RequestEvent::DeadlinePassed => {}
            _ if is_error => {}
            _ => {
                let reason = attempt.break_reason.take();
                let detail = reason.map_or("answer was cut off".into(), |reason| {
                    format!("answer was cut off: {reason}")
                });
                attempt.guard.set_result(SendResult::Failed, detail);
            }
        }
    }
}

/// Waits for what arrives from the stalled worker, or forever if there is none. An error of the worker is kept for the
/// case that no other worker answers.
async fn receive_stalled(stalled: &mut Option<Attempt>) -> Received {
    match stalled {
        Some(stalled) if !stalled.is_error() => stalled.receive().await,
        _ => std::future::pending().await,
    }
}
