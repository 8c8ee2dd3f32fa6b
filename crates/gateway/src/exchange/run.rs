//! Sending a request to a worker and judging the head of its answer.

use std::time::Duration;

use tansyhall_forwarding::{
    EventId, Need, PromptHandle, RequestEvent, SendFailure, SendResult, WorkerId,
};
use tokio::time::{timeout_at, Instant};

use super::{failed, Exchange};
use crate::connection_losses::Loss;
use crate::connections::{SendError, WorkerAnswer};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::{result_of, SendGuard};
use crate::worker_request::Asked;

impl Exchange {
    /// Sends the request to a worker and delivers what it can of the answer. A `patient` send
    /// waits for a silent worker until the request's time is over.
    pub(super) async fn run_on(
        &mut self,
        id: &WorkerId,
        source: Option<PromptHandle>,
        resume_after: Option<EventId>,
        patient: bool,
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
        let mut guard = self.begin_send(&worker, Asked::Run, need);
        let work = Work::Run {
            source,
            resume_after,
        };
        let request = self.worker_request(&worker, work, &guard);
        let destination = self.shared.destination(&worker);
        let connections = self.shared.connections.clone();
        let mut sending = std::pin::pin!(connections.send(&destination, &request));
        let deadline = self.deadline();
        let silence = self.longest_silence(&guard);
        let silent_at = Instant::now() + silence;
        let mut sent = None;
        if silent_at < deadline {
            sent = timeout_at(silent_at, &mut sending).await.ok();
            if sent.is_none() {
                self.shared.connections.give_up_unheard_for(silence);
            }
            let leaves = !patient && self.retries_left(self.shared.now()) > 0;
            if sent.is_none() && leaves {
                self.shared
                    .connections
                    .losses
                    .tell(Loss::Silent, &destination);
                guard.ended(SendResult::Abandoned { silent: true }, "silent too long");
                return failed(SendFailure::MayHaveRun);
            }
        }
        if sent.is_none() {
            sent = timeout_at(deadline, &mut sending).await.ok();
        }
        let streams = self.route().repeatability.is_stream();
        let may_have_run = !matches!(&sent, Some(Ok(_) | Err(SendError::NotSent(_))));
        if may_have_run && !streams {
            self.count_usage(guard.began());
        }
        match sent {
            None => RequestEvent::DeadlinePassed,
            Some(Ok(answer)) => {
                let silence = (!patient).then_some(silence);
                self.judge(answer, guard, silence).await
            }
            Some(Err(SendError::NotSent(reason))) => {
                guard.ended(result_of(&reason), reason.to_string());
                failed(SendFailure::NotSent)
            }
            Some(Err(SendError::NoAnswer(reason))) => {
                guard.ended(SendResult::Failed, reason);
                failed(SendFailure::MayHaveRun)
            }
        }
    }

    async fn judge(
        &mut self,
        answer: WorkerAnswer,
        mut guard: SendGuard,
        silence: Option<Duration>,
    ) -> RequestEvent {
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers);
        let detail = format!("status {}", answer.status);
        // What ends with its connection may have been cut off by the worker's end.
        let tells_its_end = answer.body.tells_its_end();
        match kind {
            AnswerKind::Unusable => {
                guard.ended(SendResult::Failed, format!("{detail}, not signed"));
                failed(SendFailure::MayHaveRun)
            }
            AnswerKind::NotRun => {
                guard.ended(SendResult::Refused, detail);
                failed(SendFailure::NotRun)
            }
            AnswerKind::Misdirected => {
                guard.ended(SendResult::Absent, detail);
                failed(SendFailure::NotRun)
            }
            AnswerKind::Failure => {
                if !self.route().repeatability.is_stream() {
                    self.count_usage(guard.began());
                }
                guard.ended(SendResult::Failed, detail);
                let event = self.keep_error(answer, silence).await;
                if event == failed(SendFailure::ErrorAnswer) && tells_its_end {
                    guard.answered_whole();
                }
                event
            }
            AnswerKind::Success => {
                self.unused_handle = None;
                guard.answered();
                let event = match self.route().repeatability.is_stream() {
                    true => self.deliver_stream(answer).await,
                    false => {
                        self.count_usage(guard.began());
                        self.deliver_whole(answer, silence).await
                    }
                };
                match event {
                    RequestEvent::Completed if tells_its_end => guard.answered_whole(),
                    RequestEvent::Completed | RequestEvent::DeadlinePassed => {}
                    _ => guard.ended(SendResult::Failed, "the answer broke off"),
                }
                event
            }
        }
    }
}
