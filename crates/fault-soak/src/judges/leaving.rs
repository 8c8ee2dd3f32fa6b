//! A worker that said in an answer that it is leaving gets no more requests from the gateway that forwarded the answer.

use std::collections::HashMap;

use super::senders::{SentRequests, Span};
use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence, Outcome};

/// Time for which a gateway may still send requests to the worker after it has forwarded such an answer, in
/// milliseconds.
const SEND_GRACE_MS: u64 = 2_000;

/// The index of a gateway and the id of a worker.
type GatewayAndWorker<'a> = (usize, &'a str);

/// Finds requests that were sent to workers after these had said that they are leaving.
pub fn check_leaving(evidence: &Evidence) -> Vec<Violation> {
    let requests = SentRequests::of(evidence);
    let first_notices = first_notices(evidence);
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let sent = requests.unique(&arrival.key)?;
        let notice_ms = *first_notices.get(&(sent.gateway, arrival.worker.as_str()))?;
        let is_late = sent.at_ms > notice_ms + SEND_GRACE_MS && arrival.is_meant;
        let span = Span {
            from_ms: notice_ms,
            to_ms: arrival.at_ms,
        };
        let is_excused = evidence.has_gateway_fault(sent.gateway, span);
        (is_late && !is_excused).then_some((notice_ms, arrival))
    });
    let late: Vec<(u64, &Arrival)> = late.collect();
    let what = format!(
        "{} requests sent to workers that had said they are leaving",
        late.len()
    );
    let violation = (!late.is_empty()).then(|| Violation::new(Rule::Leaving, what, late));
    violation.into_iter().collect()
}

/// Returns when each gateway first forwarded an answer which says that the worker is leaving.
fn first_notices(evidence: &Evidence) -> HashMap<GatewayAndWorker<'_>, u64> {
    let workers: HashMap<&str, &str> = evidence
        .runs
        .iter()
        .map(|run| (run.seal.as_str(), run.mark.worker.as_str()))
        .collect();
    let mut notices = HashMap::new();
    for sent in &evidence.sent {
        let Outcome::Answer(answer) = &sent.outcome else {
            continue;
        };
        let worker = answer.seal.as_deref().and_then(|seal| workers.get(seal));
        if let (true, Some(worker)) = (answer.says_leaving, worker) {
            let first = notices
                .entry((sent.gateway, *worker))
                .or_insert(sent.ended_ms);
            *first = (*first).min(sent.ended_ms);
        }
    }
    notices
}
