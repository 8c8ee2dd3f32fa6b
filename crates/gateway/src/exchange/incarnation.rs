//! Check that the incarnation of a worker which has begun to answer is the one that its entry describes. Another one may
//! run other software, so that the version of the stream would be unknown.

use std::time::Duration;

use tansyhall_forwarding::Doubt;
use tokio::time::timeout;

use super::Exchange;
use crate::connections::Destination;
use crate::events::{Event, Priority};
use crate::worker_request::{RequestKind, WorkerRequest};

/// How long a worker may take to say when it has started.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a worker's report.
const MAX_REPORT_BYTES: usize = 64 << 10;

impl Exchange {
    /// Returns whether the worker is the incarnation that its entry describes, as far as can be found out. A worker is
    /// asked only after a loss of a connection. The incarnations at an address follow each other: if the announced one
    /// answers after the stream has begun, it has begun the stream.
    pub(super) async fn is_announced_incarnation(&self, destination: &Destination) -> bool {
        let worker = &destination.worker;
        let losses = &self.shared.connections.losses;
        if losses.doubts.lock().doubt(worker).is_none() {
            return true;
        }
        let turn = losses.turn_to_ask(worker);
        let _turn = turn.lock().await;
        let doubt = losses.doubts.lock().doubt(worker);
        let lost = match doubt {
            None => return true,
            Some(Doubt::Ended) => return false,
            Some(lost) => lost,
        };
        let started_at = self.ask_start(destination).await;
        losses.doubts.lock().settle(worker, lost, started_at);
        let is_announced = started_at.is_none() || started_at == worker.started_at();
        if !is_announced {
            let now = self.shared.now();
            self.shared.directory.lock().record_absence(now, worker);
        }
        self.record_incarnation(destination, started_at, is_announced);
        is_announced
    }

    /// Asks for the start of the incarnation at a worker's address, in milliseconds since the Unix epoch.
    async fn ask_start(&self, destination: &Destination) -> Option<u64> {
        let protocol = &self.shared.protocol;
        let request = WorkerRequest::from_call(RequestKind::Report, protocol.engine_report_call());
        let answered = async {
            let sent = self.shared.connections.send(destination, &request).await;
            let body = sent.ok()?.body.read_whole(MAX_REPORT_BYTES).await?;
            protocol.decode_start(&body)
        };
        timeout(REPORT_TIMEOUT, answered).await.ok().flatten()
    }

    fn record_incarnation(
        &self,
        destination: &Destination,
        started_at: Option<u64>,
        is_announced: bool,
    ) {
        let event = Event::Incarnation {
            request: self.request_id(),
            worker: destination.worker.as_str(),
            announced_ms: destination.worker.started_at(),
            answered_ms: started_at,
        };
        let priority = match is_announced {
            true => Priority::Routine,
            false => Priority::Important,
        };
        self.shared.log.record(priority, &event);
    }
}
