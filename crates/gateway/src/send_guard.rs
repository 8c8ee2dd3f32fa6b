//! Accounts for one send to a worker, also when its task is dropped in the middle.

use std::sync::Arc;

use tansyhall_core::{ServiceName, Timestamp};
use tansyhall_forwarding::{SendResult, WorkerId};

use crate::events::{Event, Weight};
use crate::state::{whole_millis, Shared};

/// One send under way.
pub struct SendGuard {
    shared: Arc<Shared>,
    worker: WorkerId,
    service: ServiceName,
    request_id: String,
    work: &'static str,
    tokens: u64,
    began: Timestamp,
    result: SendResult,
}

impl SendGuard {
    /// Counts a send as begun.
    pub fn begin(
        shared: &Arc<Shared>,
        worker: &WorkerId,
        service: &ServiceName,
        request_id: &str,
        work: &'static str,
        tokens: u64,
    ) -> Self {
        shared.directory.lock().send_began(worker, tokens);
        Self {
            shared: Arc::clone(shared),
            worker: worker.clone(),
            service: service.clone(),
            request_id: request_id.to_owned(),
            work,
            tokens,
            began: shared.now(),
            result: SendResult::Abandoned { silent: true },
        }
    }

    /// The head of an answer has come.
    pub fn answered(&mut self) {
        let latency = self.shared.now().since(self.began);
        self.result = SendResult::Answered { latency };
    }

    /// Sets how the send ended.
    pub fn ended(&mut self, result: SendResult) {
        self.result = result;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut directory = self.shared.directory.lock();
        directory.send_ended(now, &self.worker, self.tokens, self.result);
        drop(directory);
        let outcome = outcome_name(self.result);
        self.shared
            .metrics
            .sends
            .with_label_values(&[self.service.as_str(), outcome])
            .inc();
        let weight = match self.result {
            SendResult::Answered { .. } => Weight::Routine,
            _ => Weight::Important,
        };
        let event = Event::Send {
            request: &self.request_id,
            worker: self.worker.as_str(),
            work: self.work,
            outcome,
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
        SendResult::Unreachable => "unreachable",
        SendResult::Abandoned { silent: true } => "abandoned_silent",
        SendResult::Abandoned { silent: false } => "abandoned",
    }
}
