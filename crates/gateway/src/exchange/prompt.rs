//! Reading a prompt apart, and freeing what was read for nothing.

use std::time::Duration;

use tansyhall_forwarding::{
    Need, PromptHandle, PromptReadFailure, RequestEvent, SendResult, Worker, WorkerId,
};
use tokio::time::{timeout, timeout_at};

use super::Exchange;
use crate::connection_losses::Loss;
use crate::connections::{SendError, Unconnected};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::{result_of, SendGuard};
use crate::worker_request::{Asked, WorkerRequest};

/// The longest answer to the reading of a prompt.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Time for a handle to be freed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a prompt was not read, and what that says of the worker.
struct FailedReading {
    result: SendResult,
    failure: PromptReadFailure,
    detail: String,
}

impl FailedReading {
    fn not_sent(reason: &Unconnected) -> Self {
        Self {
            result: result_of(reason),
            failure: PromptReadFailure::NotSent,
            detail: reason.to_string(),
        }
    }

    /// The worker did not take it up, as far as is known.
    fn left(result: SendResult, detail: impl Into<String>) -> Self {
        Self {
            result,
            failure: PromptReadFailure::NotStarted,
            detail: detail.into(),
        }
    }

    /// The worker took it up and failed.
    fn taken_up(detail: impl Into<String>) -> Self {
        Self {
            result: SendResult::Failed,
            failure: PromptReadFailure::FailedAfterStart,
            detail: detail.into(),
        }
    }
}

impl Exchange {
    /// Has the prompt read by a worker.
    pub(super) async fn read_prompt(&mut self, id: &WorkerId) -> RequestEvent {
        let Some(worker) = self.worker(id) else {
            return RequestEvent::PromptNotRead(PromptReadFailure::NotSent);
        };
        let mut guard = self.begin_send(&worker, Asked::ReadPrompt, Need::ReadPrompt);
        let reading = self.try_read_prompt(&worker, &guard);
        let limit = self.silence_limit(&guard).min(self.deadline());
        let Ok(read) = timeout_at(limit, reading).await else {
            let destination = self.shared.destination(&worker);
            let losses = &self.shared.connections.losses;
            losses.tell(Loss::Silent, &destination);
            return RequestEvent::PromptNotRead(PromptReadFailure::NotStarted);
        };
        match read {
            Ok(handle) => {
                guard.answered();
                guard.answered_whole();
                self.unused_handle = Some(handle.clone());
                RequestEvent::PromptRead(handle)
            }
            Err(failed) => {
                guard.ended(failed.result, failed.detail);
                RequestEvent::PromptNotRead(failed.failure)
            }
        }
    }

    async fn try_read_prompt(
        &self,
        worker: &Worker,
        guard: &SendGuard,
    ) -> Result<PromptHandle, FailedReading> {
        let destination = self.shared.destination(worker);
        let request = self.worker_request(worker, Work::ReadPrompt, guard);
        let sent = self.shared.connections.send(&destination, &request).await;
        let mut answer = sent.map_err(|error| match &error {
            SendError::NotSent(reason) => FailedReading::not_sent(reason),
            SendError::NoAnswer(_) => FailedReading::left(SendResult::Failed, error.to_string()),
        })?;
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers);
        let detail = format!("status {}", answer.status);
        match kind {
            AnswerKind::Misdirected => {
                return Err(FailedReading::left(SendResult::Absent, detail));
            }
            AnswerKind::NotRun => return Err(FailedReading::left(SendResult::Refused, detail)),
            AnswerKind::Failure => return Err(FailedReading::taken_up(detail)),
            _ if answer.status != 200 => {
                return Err(FailedReading::left(SendResult::Failed, detail))
            }
            _ => {}
        }
        let body = answer.body.read_whole(MAX_ANSWER_BYTES).await;
        let body = body.ok_or_else(|| FailedReading::taken_up("the answer broke off"))?;
        let handle = protocol.prompt_handle(&body);
        let handle = handle.map_err(|error| FailedReading::taken_up(format!("{error:#}")))?;
        Ok(PromptHandle {
            worker: worker.id.clone(),
            address: worker.address.to_string(),
            handle,
        })
    }

    /// Frees a KV cache that no worker took over.
    pub(super) fn release_unused_handle(&mut self) {
        let Some(handle) = self.unused_handle.take() else {
            return;
        };
        let Some(worker) = self.worker(&handle.worker) else {
            return;
        };
        let call = self.shared.protocol.release_handle(&handle.handle);
        let request = WorkerRequest::of_call(Asked::Release, call);
        let destination = self.shared.destination(&worker);
        let connections = std::sync::Arc::clone(&self.shared.connections);
        actix_rt::spawn(async move {
            let released = async {
                if let Ok(mut answer) = connections.send(&destination, &request).await {
                    let _ = answer.body.read_whole(MAX_ANSWER_BYTES).await;
                }
            };
            let _ = timeout(RELEASE_TIMEOUT, released).await;
        });
    }
}
