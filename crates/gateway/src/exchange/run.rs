//! Sending of a request to a worker that runs it, and handling of the answer by its status.

use std::sync::Arc;
use std::time::Duration;

use tansyhall_forwarding::{
    EventId, Need, PromptHandle, RequestEvent, SendFailure, SendResult, WorkerId,
};
use tokio::time::{timeout_at, Instant};

use super::{failed, Exchange};
use crate::connection_losses::Loss;
use crate::connections::{NotSentReason, SendError, WorkerAnswer};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::{unsent_result, SendGuard};
use crate::worker_request::RequestKind;

impl Exchange {
    /// Sends the request to a worker and delivers the answer as far as possible. With `wait_until_deadline`, a silent
    /// worker is waited for until the request's deadline.
    pub(super) async fn run_on(
        &mut self,
        id: &WorkerId,
        source: Option<PromptHandle>,
        resume_after: Option<EventId>,
        wait_until_deadline: bool,
    ) -> RequestEvent {
        let Some(worker) = self.worker(id) else {
            return failed(SendFailure::NotSent);
        };
        let need = match &source {
            Some(source) => Need::Continue {
                reader: source.worker.clone(),
            },
            None => Need::Run,
        };
        let mut guard = self.begin_send(&worker, RequestKind::Run, need);
        let work = Work::Run {
            source,
            resume_after,
        };
        let request = self.worker_request(&worker, work, &guard);
        let destination = self.shared.destination(&worker);
        let connections = self.shared.connections.clone();
        let used_relay = Arc::clone(&guard.used_relay);
        let sending = connections.send_recording_relay(&destination, &request, &used_relay);
        let mut sending = std::pin::pin!(sending);
        let deadline = self.deadline();
        let max_silence = self.max_silence(&guard);
        let silence_deadline = Instant::now() + max_silence;
        let mut sent = None;
        if silence_deadline < deadline {
            sent = timeout_at(silence_deadline, &mut sending).await.ok();
            if sent.is_none() {
                self.shared
                    .connections
                    .close_silent_connections(max_silence);
                connections.want_path_probe(&worker.id);
            }
            let may_retry_elsewhere =
                !wait_until_deadline && self.retries_left(self.shared.now()) > 0;
            if sent.is_none() && may_retry_elsewhere {
                self.shared
                    .connections
                    .losses
                    .report(Loss::Silent, &destination);
                guard.set_result(
                    SendResult::Abandoned { silent: true },
                    "worker did not answer in time",
                );
                return failed(SendFailure::MayHaveRun);
            }
        }
        if sent.is_none() {
            sent = timeout_at(deadline, &mut sending).await.ok();
        }
        let is_stream_route = self.route().repeatability.is_stream();
        let may_have_run = !matches!(&sent, Some(Ok(_) | Err(SendError::NotSent(_))));
        if may_have_run && !is_stream_route {
            self.count_usage(guard.started_at());
        }
        match sent {
            None => RequestEvent::DeadlinePassed,
            Some(Ok(answer)) => {
                let max_silence = (!wait_until_deadline).then_some(max_silence);
                self.handle_answer(answer, guard, max_silence).await
            }
            Some(Err(SendError::NotSent(reason))) => {
                guard.set_result(unsent_result(&reason), reason.to_string());
                match reason {
                    NotSentReason::NoPath => {
                        self.record_no_path();
                        failed(SendFailure::NoPath)
                    }
                    _ => failed(SendFailure::NotSent),
                }
            }
            Some(Err(SendError::NoAnswer(reason))) => {
                guard.set_result(SendResult::Failed, reason);
                failed(SendFailure::MayHaveRun)
            }
        }
    }

    async fn handle_answer(
        &mut self,
        answer: WorkerAnswer,
        mut guard: SendGuard,
        max_silence: Option<Duration>,
    ) -> RequestEvent {
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers);
        let detail = format!("status {}", answer.status);
        // If only the end of the connection marks the end of the body, a crash of the worker may have cut it off.
        let has_explicit_end = answer.body.has_explicit_end();
        match kind {
            AnswerKind::Unusable => {
                guard.set_result(
                    SendResult::Failed,
                    format!("{detail}, answer is not signed"),
                );
                failed(SendFailure::MayHaveRun)
            }
            AnswerKind::NotRun => {
                guard.set_result(SendResult::Refused, detail);
                failed(SendFailure::NotRun)
            }
            AnswerKind::Misdirected => {
                guard.set_result(SendResult::Absent, detail);
                failed(SendFailure::NotRun)
            }
            AnswerKind::Failure => {
                if !self.route().repeatability.is_stream() {
                    self.count_usage(guard.started_at());
                }
                guard.set_result(SendResult::Failed, detail);
                let event = self.keep_error_answer(answer, max_silence).await;
                if event == failed(SendFailure::ErrorAnswer) && has_explicit_end {
                    guard.record_complete_answer();
                }
                event
            }
            AnswerKind::Success => {
                self.unused_handle = None;
                guard.record_answer_start();
                let event = match self.route().repeatability.is_stream() {
                    true => self.deliver_stream(answer, &mut guard).await,
                    false => {
                        self.count_usage(guard.started_at());
                        self.deliver_complete(answer, max_silence).await
                    }
                };
                match event {
                    RequestEvent::Completed if has_explicit_end => guard.record_complete_answer(),
                    RequestEvent::Completed | RequestEvent::DeadlinePassed => {}
                    _ => guard.set_result(SendResult::Failed, "answer was cut off"),
                }
                event
            }
        }
    }
}
