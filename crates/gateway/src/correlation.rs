//! Whether an answer belongs to the request before it on its connection: both bear the same id.

use std::fmt;
use std::sync::Arc;

use prometheus::IntCounterVec;
use tansyhall_forwarding::WorkerId;

use crate::connections::WorkerAnswer;
use crate::events::{Event, EventLog, Weight};
use crate::protocol::Protocol;
use crate::worker_request::WorkerRequest;

/// Records answers that belong to another request.
pub struct ForeignAnswers {
    protocol: Arc<dyn Protocol>,
    log: Arc<EventLog>,
    counter: IntCounterVec,
}

impl fmt::Debug for ForeignAnswers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ForeignAnswers").finish()
    }
}

impl ForeignAnswers {
    /// Reads ids as this protocol says; writes lines and counts.
    pub fn new(protocol: Arc<dyn Protocol>, log: Arc<EventLog>, counter: IntCounterVec) -> Self {
        Self {
            protocol,
            log,
            counter,
        }
    }

    /// Records the answer if it does not bear the request's id.
    pub fn check(&self, worker: &WorkerId, request: &WorkerRequest, answer: &WorkerAnswer) {
        let asked = self.protocol.correlation_id(&request.headers);
        let answered = self.protocol.correlation_id(&answer.headers);
        if asked == answered {
            return;
        }
        let work = request.asked.name();
        self.counter.with_label_values(&[work]).inc();
        let event = Event::ForeignAnswer {
            request: asked.unwrap_or_default(),
            answered: answered.unwrap_or_default(),
            worker: worker.as_str(),
            work,
            status: answer.status,
            answers_before: answer.answers_before,
        };
        self.log.record(Weight::Important, &event);
    }
}
