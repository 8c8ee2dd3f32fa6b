//! The end of an event stream that only the end of its connection marks. It is delivered once it is known whether the
//! worker's process has ended with the stream.

use std::time::Duration;

use tansyhall_forwarding::{
    Conclusion, ConnectionRefusalCause, EndConclusion, EndEvidence, Reachability, RequestEvent,
    WorkerStanding,
};
use tokio::time::{sleep, timeout, timeout_at};

use super::attempt::{Attempt, ReceivedBody};
use super::Exchange;
use crate::connections::Destination;
use crate::state::Shared;
use crate::worker_ends;

/// Time after the end of a connection in which a process that was killed closes its listener. The system may close it after
/// the connections.
const SETTLING_TIME: Duration = Duration::from_millis(10);
/// Maximum time in which it is found out why a worker refuses connections.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which it is checked whether that has been found out.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Exchange {
    /// Handles the end of a body and returns the event with which the attempt ends. A stream that the end of the worker's
    /// process has cut off is handled like any answer that breaks off.
    pub(super) async fn handle_body_end(&mut self, attempt: &mut Attempt) -> RequestEvent {
        match self.conclude_from_end(attempt).await {
            Some(EndConclusion::CutOff) => self.broken_answer(attempt),
            Some(EndConclusion::Doubtful) if self.may_be_continued(attempt) => {
                self.has_doubtful_end = true;
                let event = self.broken_answer(attempt);
                attempt.close_answer();
                event
            }
            _ => self.handle_end(attempt).await,
        }
    }

    /// Ends a stream as whole whose end was doubtful if no other worker has continued it or shown that nothing was left:
    /// workers that leave usually finish their streams. Returns the conclusion of the request.
    pub(super) async fn settle_doubtful_end(&mut self, conclusion: Conclusion) -> Conclusion {
        if conclusion != Conclusion::Broken || !self.has_doubtful_end {
            return conclusion;
        }
        self.sink.end().await;
        Conclusion::Delivered
    }

    /// Returns whether the end of a stalled worker's body does not show that the stream is whole, so that the replacement
    /// has to go on.
    pub(super) async fn is_stalled_end_unproven(&mut self, stalled: &mut Attempt) -> bool {
        let conclusion = self.conclude_from_end(stalled).await;
        if conclusion == Some(EndConclusion::Doubtful) {
            self.has_doubtful_end = true;
            self.has_silent_deliverer = false;
        }
        let unproven = [EndConclusion::CutOff, EndConclusion::Doubtful];
        conclusion.is_some_and(|conclusion| unproven.contains(&conclusion))
    }

    /// Returns what follows from the end of a body, or `None` if its framing marks the end.
    async fn conclude_from_end(&mut self, attempt: &mut Attempt) -> Option<EndConclusion> {
        let is_error = attempt.is_error();
        let open = attempt.open_answer();
        open.filter(|open| !is_error && open.answer.body.is_unframed_stream())?;
        let examined = examine_end(&self.shared, &attempt.destination);
        let conclusion = timeout_at(self.deadline(), examined).await;
        let conclusion = conclusion.unwrap_or(EndConclusion::Unknown);
        attempt.guard.record_unproven_end(conclusion.name());
        Some(conclusion)
    }

    /// Returns whether another worker may continue the stream, so that it shows whether anything was left.
    fn may_be_continued(&self, attempt: &mut Attempt) -> bool {
        let body = attempt.open_answer().map(|open| &open.body);
        let is_resumable = matches!(body, Some(ReceivedBody::Events { .. }));
        is_resumable && self.stalled.is_none() && self.sink.has_begun()
    }
}

/// Finds out whether the process of a worker has ended with its connection.
async fn examine_end(shared: &Shared, destination: &Destination) -> EndConclusion {
    sleep(SETTLING_TIME).await;
    let reachability = shared.connections.probe(destination).await;
    let evidence = |refusal| EndEvidence {
        standing: worker_ends::standing(shared, destination),
        reachability,
        refusal,
        is_partitioned: shared.worker_relays.is_partitioned(),
    };
    let first = evidence(None);
    if (first.standing, reachability) != (WorkerStanding::Serving, Reachability::Refused) {
        return first.conclusion();
    }
    let refusal = timeout(EXAMINATION_TIMEOUT, refusal_cause(shared, destination)).await;
    evidence(refusal.ok()).conclusion()
}

/// Waits until it is known why a worker refuses connections. The refusal has been reported as a loss.
async fn refusal_cause(shared: &Shared, destination: &Destination) -> ConnectionRefusalCause {
    loop {
        let evidence = &shared.worker_evidence;
        let known = evidence
            .lock()
            .recent_cause(shared.now(), &destination.worker);
        if let Some(cause) = known {
            return cause;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
