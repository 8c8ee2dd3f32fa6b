//! Reading of a prompt by a separate worker, and release of its KV cache if no worker takes it over.

use std::time::Duration;

use tansyhall_forwarding::{
    Need, PromptHandle, PromptReadFailure, RequestEvent, SendResult, Worker, WorkerId,
};
use tokio::time::{timeout, timeout_at};

use super::Exchange;
use crate::connection_losses::Loss;
use crate::connections::{NotSentReason, SendError};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::{unsent_result, SendGuard};
use crate::worker_request::{RequestKind, WorkerRequest};

/// Maximum length of an answer to a prompt read or to a release.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// How long the release of a handle may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a prompt was not read, and the result of the send that is recorded for the worker.
struct FailedPromptRead {
    result: SendResult,
    failure: PromptReadFailure,
    detail: String,
}

impl FailedPromptRead {
    fn not_sent(reason: &NotSentReason) -> Self {
        Self {
            result: unsent_result(reason),
            failure: match reason {
                NotSentReason::NoPath => PromptReadFailure::NoPath,
                _ => PromptReadFailure::NotSent,
            },
            detail: reason.to_string(),
        }
    }

    /// The worker did not start the read, as far as is known.
    fn not_started(result: SendResult, detail: impl Into<String>) -> Self {
        Self {
            result,
            failure: PromptReadFailure::NotStarted,
            detail: detail.into(),
        }
    }

    /// The worker started the read and failed.
    fn failed_after_start(detail: impl Into<String>) -> Self {
        Self {
            result: SendResult::Failed,
            failure: PromptReadFailure::FailedAfterStart,
            detail: detail.into(),
        }
    }
}

impl Exchange {
    /// Sends the prompt to a worker that only reads it.
    pub(super) async fn read_prompt(&mut self, id: &WorkerId) -> RequestEvent {
        let Some(worker) = self.worker(id) else {
            return RequestEvent::PromptNotRead(PromptReadFailure::NotSent);
        };
        let mut guard = self.begin_send(&worker, RequestKind::ReadPrompt, Need::ReadPrompt);
        let Some(result) = self.await_prompt_read(&worker, &guard).await else {
            let destination = self.shared.destination(&worker);
            let losses = &self.shared.connections.losses;
            losses.report(Loss::Silent, &destination);
            self.shared.connections.want_path_probe(id);
            return RequestEvent::PromptNotRead(PromptReadFailure::NotStarted);
        };
        match result {
            Ok(handle) => {
                guard.record_answer_start();
                guard.record_complete_answer();
                self.unused_handle = Some(handle.clone());
                RequestEvent::PromptRead(handle)
            }
            Err(failed) => {
                if failed.failure == PromptReadFailure::NoPath {
                    self.record_no_path();
                }
                guard.set_result(failed.result, failed.detail);
                RequestEvent::PromptNotRead(failed.failure)
            }
        }
    }

    /// Reads the prompt, or returns `None` if the worker is silent for too long. Without a retry in the budget the request
    /// could not continue at another worker, so a silent worker is then waited for until the deadline.
    async fn await_prompt_read(
        &self,
        worker: &Worker,
        guard: &SendGuard,
    ) -> Option<Result<PromptHandle, FailedPromptRead>> {
        let deadline = self.deadline();
        let mut prompt_read = std::pin::pin!(self.try_read_prompt(worker, guard));
        loop {
            let limit = self.silence_deadline(guard).min(deadline);
            if let Ok(result) = timeout_at(limit, &mut prompt_read).await {
                return Some(result);
            }
            if limit >= deadline || self.retries_left(self.shared.now()) > 0 {
                return None;
            }
        }
    }

    async fn try_read_prompt(
        &self,
        worker: &Worker,
        guard: &SendGuard,
    ) -> Result<PromptHandle, FailedPromptRead> {
        let destination = self.destination(worker, guard);
        let request = self.worker_request(worker, Work::ReadPrompt, guard);
        let connections = &self.shared.connections;
        let sent = connections
            .send_with_progress(&destination, &request, &guard.progress)
            .await;
        let mut answer = sent.map_err(|error| match &error {
            SendError::NotSent(reason) => FailedPromptRead::not_sent(reason),
            SendError::NoAnswer(_) => {
                FailedPromptRead::not_started(SendResult::Failed, error.to_string())
            }
        })?;
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers);
        let detail = format!("status {}", answer.status);
        match kind {
            AnswerKind::Misdirected => {
                return Err(FailedPromptRead::not_started(SendResult::Absent, detail));
            }
            AnswerKind::NotRun => {
                return Err(FailedPromptRead::not_started(SendResult::Refused, detail))
            }
            AnswerKind::Failure => return Err(FailedPromptRead::failed_after_start(detail)),
            _ if answer.status != 200 => {
                return Err(FailedPromptRead::not_started(SendResult::Failed, detail))
            }
            _ => {}
        }
        let body = answer.body.read_whole(MAX_ANSWER_BYTES).await;
        let body =
            body.ok_or_else(|| FailedPromptRead::failed_after_start("answer was cut off"))?;
        let handle = protocol.decode_prompt_handle(&body);
        let handle =
            handle.map_err(|error| FailedPromptRead::failed_after_start(format!("{error:#}")))?;
        Ok(PromptHandle {
            worker: worker.id.clone(),
            address: worker.address.to_string(),
            handle,
        })
    }

    /// Releases the KV cache of a prompt that no worker has taken over.
    pub(super) fn release_unused_handle(&mut self) {
        let Some(handle) = self.unused_handle.take() else {
            return;
        };
        let Some(worker) = self.worker(&handle.worker) else {
            return;
        };
        let call = self.shared.protocol.release_handle_call(&handle.handle);
        let request = WorkerRequest::from_call(RequestKind::Release, call);
        let destination = self.shared.destination(&worker);
        let connections = std::sync::Arc::clone(&self.shared.connections);
        actix_rt::spawn(async move {
            let release = async {
                if let Ok(mut answer) = connections.send(&destination, &request).await {
                    let _ = answer.body.read_whole(MAX_ANSWER_BYTES).await;
                }
            };
            let _ = timeout(RELEASE_TIMEOUT, release).await;
        });
    }
}
