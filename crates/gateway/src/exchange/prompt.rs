//! Reading a prompt apart, and freeing what was read for nothing.

use std::time::Duration;

use tansyhall_forwarding::{PromptHandle, RequestEvent, SendResult, Worker, WorkerId};
use tokio::time::{timeout, timeout_at};

use super::Exchange;
use crate::connections::{SendError, WorkerRequest};
use crate::protocol::{AnswerKind, Work};
use crate::send_guard::SendGuard;

/// The longest answer to the reading of a prompt.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Time for a handle to be freed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a prompt was not read.
struct ReadingFailure {
    result: SendResult,
    taken_up: bool,
    detail: String,
}

impl ReadingFailure {
    /// The worker did not take it up, as far as is known.
    fn left(result: SendResult, detail: impl Into<String>) -> Self {
        Self {
            result,
            taken_up: false,
            detail: detail.into(),
        }
    }

    /// The worker took it up and failed.
    fn taken_up(detail: impl Into<String>) -> Self {
        Self {
            result: SendResult::Failed,
            taken_up: true,
            detail: detail.into(),
        }
    }
}

impl Exchange {
    /// Has the prompt read by a worker.
    pub(super) async fn read_prompt(&mut self, id: &WorkerId) -> RequestEvent {
        let Some(worker) = self.worker(id) else {
            return RequestEvent::PromptNotRead { taken_up: false };
        };
        let mut guard = self.begin_send(&worker, "read_prompt", true);
        let reading = self.try_read_prompt(&worker, &guard);
        let limit = self.silence_limit(&guard).min(self.deadline());
        let Ok(read) = timeout_at(limit, reading).await else {
            return RequestEvent::PromptNotRead { taken_up: false };
        };
        match read {
            Ok(handle) => {
                guard.answered();
                self.unused_handle = Some(handle.clone());
                RequestEvent::PromptRead(handle)
            }
            Err(failure) => {
                guard.ended(failure.result, failure.detail);
                RequestEvent::PromptNotRead {
                    taken_up: failure.taken_up,
                }
            }
        }
    }

    async fn try_read_prompt(
        &self,
        worker: &Worker,
        guard: &SendGuard,
    ) -> Result<PromptHandle, ReadingFailure> {
        let destination = self.shared.destination(worker);
        let request = self.worker_request(worker, Work::ReadPrompt, guard);
        let sent = self.shared.connections.send(&destination, &request).await;
        let mut answer = sent.map_err(|error| {
            let result = match error {
                SendError::NotSent(_) => SendResult::Unreachable,
                SendError::NoAnswer(_) => SendResult::Failed,
            };
            ReadingFailure::left(result, error.to_string())
        })?;
        let protocol = &self.shared.protocol;
        let kind = protocol.answer_kind(answer.status, &answer.headers, &self.request.terms);
        let detail = format!("status {}", answer.status);
        match kind {
            AnswerKind::NotRun => return Err(ReadingFailure::left(SendResult::Refused, detail)),
            AnswerKind::Failure => return Err(ReadingFailure::taken_up(detail)),
            _ if answer.status != 200 => {
                return Err(ReadingFailure::left(SendResult::Failed, detail))
            }
            _ => {}
        }
        let body = answer.body.read_whole(MAX_ANSWER_BYTES).await;
        let body = body.ok_or_else(|| ReadingFailure::taken_up("the answer broke off"))?;
        let handle = protocol.prompt_handle(&body);
        let handle = handle.map_err(|error| ReadingFailure::taken_up(format!("{error:#}")))?;
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
        let request = WorkerRequest {
            method: call.method.to_owned(),
            target: call.path,
            headers: call.headers,
            body: call.body,
        };
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
