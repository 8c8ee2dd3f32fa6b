//! Runs a completion on its own task and passes its chunks through a bounded queue, so that the
//! side that writes to the caller can report the request's state while no chunk arrives.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use tansyhall_admission::ServiceEvent;
use tansyhall_core::{RequestId, ServiceName, Verdict};
use tansyhall_engine::protocol::EngineChunk;
use tokio::sync::mpsc;

use super::at_most_once::RunPermit;
use super::attempt::Execution;
use super::failure::Failure;
use super::requests::{RequestOutcome, RequestRecord};
use crate::limits::Admission;
use crate::state::Node;

/// Maximum number of chunks that wait for the caller to read them.
const MAX_QUEUED_CHUNKS: usize = 32;

/// Part of a request's answer.
#[derive(Debug)]
pub enum Delivery {
    /// The next chunk. The last one has a finish reason.
    Chunk(EngineChunk),
    /// The request failed. Nothing follows.
    Failed(Failure),
}

/// A request in progress. It is counted in the node's metrics and in its service's rate from its
/// admission until the last reference is dropped, which also ends it in its record.
pub struct InProgress {
    /// The node.
    pub node: Arc<Node>,
    /// The request's record.
    pub record: Arc<RequestRecord>,
    service: ServiceName,
    permit: Option<RunPermit>,
    admission: Admission,
}

impl InProgress {
    /// Counts a request as in progress. `permit` is released if the request does not run.
    pub fn begin(
        node: Arc<Node>,
        record: Arc<RequestRecord>,
        service: ServiceName,
        permit: Option<RunPermit>,
        admission: Admission,
    ) -> Arc<Self> {
        let now = node.clock.now();
        node.metrics.in_progress.inc();
        node.callers.health.count_request(now);
        node.callers
            .health
            .record_service_event(&service, now, ServiceEvent::Admitted);
        Arc::new(Self {
            node,
            record,
            service,
            permit,
            admission,
        })
    }

    /// Ends the request and counts its verdict.
    pub fn end(&self, outcome: RequestOutcome) {
        let node = &self.node;
        let now = node.clock.now();
        let (verdict, event) = match &outcome {
            RequestOutcome::Completed => (Verdict::Completed, ServiceEvent::Served),
            RequestOutcome::Failed(failure) => (failure.verdict, ServiceEvent::Abandoned),
            RequestOutcome::Abandoned => (Verdict::MayHaveRun, ServiceEvent::Abandoned),
        };
        if !self.record.end(now, outcome) {
            return;
        }
        node.callers
            .health
            .record_service_event(&self.service, now, event);
        if self.record.is_past_deadline(now) {
            node.metrics.late.inc();
        }
        node.metrics
            .requests
            .with_label_values(&[verdict.name()])
            .inc();
        if let Some(permit) = &self.permit {
            permit.release_if_not_run(node, self.record.id, verdict);
        }
    }

    /// Returns the request's identifier.
    pub fn id(&self) -> RequestId {
        self.record.id
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.end(RequestOutcome::Abandoned);
        self.node.metrics.in_progress.dec();
    }
}

/// Runs an execution on the current thread until it ends or the receiver is dropped.
pub fn drive(execution: Execution, in_progress: Arc<InProgress>) -> mpsc::Receiver<Delivery> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    actix_rt::spawn(run(execution, in_progress, sender));
    receiver
}

async fn run(
    mut execution: Execution,
    in_progress: Arc<InProgress>,
    sender: mpsc::Sender<Delivery>,
) {
    let node = Arc::clone(&in_progress.node);
    let stall = node.settings.limits.caller_stall;
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => {
                node.metrics.callers_gone.inc();
                return;
            }
            next = execution.next() => next,
        };
        let (delivery, outcome) = match next {
            Ok(Some(chunk)) => {
                let generated = chunk.token_index.saturating_add(chunk.tokens);
                in_progress.admission.record_generated(generated);
                let last = chunk.finish_reason.is_some();
                (
                    Delivery::Chunk(chunk),
                    last.then_some(RequestOutcome::Completed),
                )
            }
            Ok(None) => return,
            Err(failure) => {
                let outcome = RequestOutcome::Failed(failure.clone());
                (Delivery::Failed(failure), Some(outcome))
            }
        };
        if !deliver(&node, &sender, delivery, stall).await {
            return;
        }
        if let Some(outcome) = outcome {
            in_progress.end(outcome);
            return;
        }
    }
}

/// Sends a delivery to the caller. Returns false if the caller has disconnected or stopped reading.
async fn deliver(
    node: &Node,
    sender: &mpsc::Sender<Delivery>,
    delivery: Delivery,
    stall: Duration,
) -> bool {
    match timeout(stall, sender.send(delivery)).await {
        Ok(Ok(())) => true,
        Ok(Err(_)) => {
            node.metrics.callers_gone.inc();
            false
        }
        Err(_) => {
            node.metrics.callers_stalled.inc();
            false
        }
    }
}

/// Collects a complete answer of at most `max_bytes`; returns its text and its last chunk.
pub async fn collect(
    receiver: &mut mpsc::Receiver<Delivery>,
    max_bytes: usize,
) -> Result<(String, EngineChunk), Failure> {
    let mut text = String::new();
    while let Some(delivery) = receiver.recv().await {
        let chunk = match delivery {
            Delivery::Chunk(chunk) => chunk,
            Delivery::Failed(failure) => return Err(failure),
        };
        if text.len() + chunk.text.len() > max_bytes {
            let message = format!("the answer passes {max_bytes} bytes; ask for a stream");
            return Err(Failure::may_have_run(StatusCode::BAD_GATEWAY, message));
        }
        text.push_str(&chunk.text);
        if chunk.finish_reason.is_some() {
            return Ok((text, chunk));
        }
    }
    let message = "the answer broke off";
    Err(Failure::may_have_run(StatusCode::BAD_GATEWAY, message))
}
