//! A worker that refused a request of a gateway and asked for back-off gets no more requests from this gateway until
//! the back-off ends.

use super::senders::{SentRequests, Span};
use super::{Rule, Violation};
use crate::evidence::{Arrival, BackoffRequest, Evidence, Outcome};

/// Time after which a gateway must be backing off, from when the worker asked for it, in milliseconds.
const BACKOFF_GRACE_MS: u64 = 500;
/// Number of requests that are allowed during a back-off.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Finds workers that got requests during a back-off that they had asked for.
pub fn check_rest(evidence: &Evidence) -> Vec<Violation> {
    let requests = SentRequests::of(evidence);
    let violations = evidence.rests.iter().filter_map(|backoff| {
        let arrivals = arrivals_in_backoff(evidence, &requests, backoff)?;
        let what = format!(
            "{} requests during a back-off of {} ms",
            arrivals.len(),
            backoff.rest_ms
        );
        let is_violated = arrivals.len() > MAX_REQUESTS_IN_BACKOFF;
        is_violated.then(|| Violation::new(Rule::Rest, what, (backoff, arrivals)))
    });
    violations.collect()
}

/// Returns the requests from the same gateway during a back-off, or `None` if the gateway may not have received the
/// worker's refusal.
fn arrivals_in_backoff<'a>(
    evidence: &'a Evidence,
    requests: &SentRequests<'_>,
    backoff: &BackoffRequest,
) -> Option<Vec<&'a Arrival>> {
    let refused = requests.unique(&backoff.key)?;
    // A caller that got no complete answer may have disconnected before the gateway received the refusal.
    let is_answered = matches!(&refused.outcome, Outcome::Answer(answer) if answer.is_whole);
    let span = Span {
        from_ms: backoff.at_ms + BACKOFF_GRACE_MS,
        to_ms: backoff.at_ms + backoff.rest_ms,
    };
    let span_with_grace = Span {
        from_ms: backoff.at_ms.saturating_sub(BACKOFF_GRACE_MS),
        ..span
    };
    let is_excused = evidence.has_gateway_fault(refused.gateway, span_with_grace)
        || evidence.has_partition(refused.gateway, span_with_grace)
        || evidence.has_worker_link_fault(&backoff.worker, span_with_grace);
    if !is_answered || is_excused {
        return None;
    }
    let in_backoff = evidence.arrivals.iter().filter(|arrival| {
        let sender = requests.unique(&arrival.key);
        let is_of_gateway = sender.is_some_and(|sent| sent.gateway == refused.gateway);
        let is_in_span = arrival.at_ms > span.from_ms && arrival.at_ms < span.to_ms;
        arrival.worker == backoff.worker && arrival.is_meant && is_in_span && is_of_gateway
    });
    Some(in_backoff.collect())
}
