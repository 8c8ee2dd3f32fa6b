//! Runs a completion on a task of its own and hands its chunks over through a bounded queue, so
//! that the side that writes to the caller can say how the request stands while nothing arrives.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use tansyhall_admission::ServiceEvent;
use tansyhall_core::{RequestId, ServiceName, Verdict};
use tansyhall_engine::protocol::EngineChunk;
use tokio::sync::mpsc;

use super::at_most_once::Permission;
use super::attempt::Execution;
use super::failure::Failure;
use super::requests::{Ending, RequestRecord};
use crate::limits::Admission;
use crate::state::Node;

/// Chunks that may wait for the caller to read them.
const QUEUED_CHUNKS: usize = 32;

/// A piece of a request's answer.
#[derive(Debug)]
pub enum Delivery {
    /// The next chunk; the last one has a finish reason.
    Chunk(EngineChunk),
    /// The request failed; nothing follows.
    Failed(Failure),
}

/// A request in progress: counted in the node's metrics and its service's rate from admission
/// until the last owner drops it, and ended in its record.
pub struct InProgress {
    /// The node.
    pub node: Arc<Node>,
    /// The request's record.
    pub record: Arc<RequestRecord>,
    service: ServiceName,
    permission: Option<Permission>,
    admission: Admission,
}

impl InProgress {
    /// Counts a request in. `permission` is given back if the request does not run.
    pub fn begin(
        node: Arc<Node>,
        record: Arc<RequestRecord>,
        service: ServiceName,
        permission: Option<Permission>,
        admission: Admission,
    ) -> Arc<Self> {
        let now = node.clock.now();
        node.metrics.in_progress.inc();
        node.callers.health.request_arrived(now);
        node.callers
            .health
            .service(&service, now, ServiceEvent::Admitted);
        Arc::new(Self {
            node,
            record,
            service,
            permission,
            admission,
        })
    }

    /// Ends the request and counts its verdict.
    pub fn end(&self, ending: Ending) {
        let node = &self.node;
        let now = node.clock.now();
        let (verdict, event) = match &ending {
            Ending::Completed => (Verdict::Completed, ServiceEvent::Served),
            Ending::Failed(failure) => (failure.verdict, ServiceEvent::Abandoned),
            Ending::Abandoned => (Verdict::MayHaveRun, ServiceEvent::Abandoned),
        };
        if !self.record.end(now, ending) {
            return;
        }
        node.callers.health.service(&self.service, now, event);
        if self.record.passed_deadline(now) {
            node.metrics.late.inc();
        }
        node.metrics
            .requests
            .with_label_values(&[verdict.name()])
            .inc();
        if let Some(permission) = &self.permission {
            permission.settle(node, self.record.id, verdict);
        }
    }

    /// The request's identifier.
    pub fn id(&self) -> RequestId {
        self.record.id
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.end(Ending::Abandoned);
        self.node.metrics.in_progress.dec();
    }
}

/// Runs an execution on the current thread until it ends or the receiver is dropped.
pub fn drive(execution: Execution, in_progress: Arc<InProgress>) -> mpsc::Receiver<Delivery> {
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
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
        let (delivery, ending) = match next {
            Ok(Some(chunk)) => {
                let generated = chunk.token_index.saturating_add(chunk.tokens);
                in_progress.admission.note_generated(generated);
                let last = chunk.finish_reason.is_some();
                (Delivery::Chunk(chunk), last.then_some(Ending::Completed))
            }
            Ok(None) => return,
            Err(failure) => {
                let ending = Ending::Failed(failure.clone());
                (Delivery::Failed(failure), Some(ending))
            }
        };
        if !deliver(&node, &sender, delivery, stall).await {
            return;
        }
        if let Some(ending) = ending {
            in_progress.end(ending);
            return;
        }
    }
}

/// Hands a piece over; false if the caller is gone or has stopped reading.
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

/// Collects a whole answer of at most `max_bytes`; returns its text and last chunk.
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
