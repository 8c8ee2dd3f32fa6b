//! Check that the incarnation of a worker which has begun to answer is the one that its entry describes. Another one may
//! run other software, so that the version of the stream would be unknown.

use std::time::Duration;

use tansyhall_forwarding::{Doubt, Repeatability, WorkerId};
use tokio::time::timeout;

use super::Exchange;
use crate::connections::{Destination, SendError};
use crate::events::{Event, Priority};
use crate::store_contact::OUTAGE_THRESHOLD;
use crate::worker_request::{RequestKind, WorkerRequest};

/// How long a worker may take to say when it has started.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a worker's report.
const MAX_REPORT_BYTES: usize = 64 << 10;

impl Exchange {
    /// Returns whether the worker is the incarnation that its entry describes, as far as can be found out. A worker is
    /// asked after a loss of a connection, and whenever it goes on with a stream: it may have restarted while this gateway
    /// had no connection to it, and the entry may be out of date. The incarnations at an address follow each other: if the
    /// announced one answers after the stream has begun, it has begun the stream. One that cannot be asked is not believed,
    /// and is asked again before the next stream.
    pub(super) async fn is_announced_incarnation(&self, destination: &Destination) -> bool {
        let worker = &destination.worker;
        let losses = &self.shared.connections.losses;
        if self.version.is_some() {
            losses.doubts.lock().record_continuation(worker);
        }
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
        let started_at = match self.ask_start(destination).await {
            Ok(started_at) => started_at,
            Err(error) => {
                log::debug!("worker {worker} could not be asked when it has started: {error}");
                return false;
            }
        };
        losses.doubts.lock().settle(worker, lost, started_at);
        let is_announced = started_at.is_none() || started_at == worker.started_at();
        if !is_announced {
            let now = self.shared.now();
            self.shared.directory.lock().record_absence(now, worker);
        }
        self.record_incarnation(destination, started_at, is_announced);
        is_announced
    }

    /// Records a doubt about a worker before a send, if it may have restarted unnoticed: no connection to it is open, and the
    /// store has not answered lately.
    pub(super) fn doubt_unseen_incarnation(&self, worker: &WorkerId) {
        let connections = &self.shared.connections;
        let is_resumable = self.route().repeatability == Repeatability::Stream { resumable: true };
        let age = self.shared.store_contact.age(self.shared.now());
        if is_resumable && age > OUTAGE_THRESHOLD && !connections.has_open(worker) {
            let mut doubts = connections.losses.doubts.lock();
            doubts.record_first_connection(worker);
        }
    }

    /// Asks for the start of the incarnation at a worker's address, in milliseconds since the Unix epoch. The result is
    /// `None` if the worker does not say it in time.
    ///
    /// # Errors
    ///
    /// The question was not sent, or its connection failed.
    async fn ask_start(&self, destination: &Destination) -> Result<Option<u64>, SendError> {
        let protocol = &self.shared.protocol;
        let request = WorkerRequest::from_call(RequestKind::Report, protocol.engine_report_call());
        // The streams in doubt may hold all permitted connections. Only one question at a time is sent to a worker.
        let destination = Destination {
            max_connections: destination.max_connections.saturating_add(1),
            ..destination.clone()
        };
        let answered = async {
            let mut sent = self.shared.connections.send(&destination, &request).await?;
            let body = sent.body.read_whole(MAX_REPORT_BYTES).await;
            Ok(body.and_then(|body| protocol.decode_start(&body)))
        };
        let in_time = timeout(REPORT_TIMEOUT, answered).await;
        in_time.unwrap_or(Ok(None))
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
