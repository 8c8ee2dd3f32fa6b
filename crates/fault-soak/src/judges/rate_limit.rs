//! A worker that announces a rate limit gets no more requests than that from all gateways that received the limit.

use std::collections::HashMap;

use super::senders::{SentRequests, Span};
use super::{Rule, Violation};
use crate::evidence::{AnnouncedRateLimit, Arrival, Evidence, Outcome};

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after which a gateway must keep a limit, from when it has forwarded an answer that announces it, in
/// milliseconds.
const LIMIT_GRACE_MS: u64 = 500;
/// Number of requests that are allowed, as a multiple of the limit.
const LIMIT_TOLERANCE: f64 = 1.5;
/// Number of requests per window that are allowed in addition to [`LIMIT_TOLERANCE`].
const EXTRA_REQUESTS: usize = 5;
/// Divisor that converts thousandths of a request per second, times milliseconds, to requests.
const MILLIREQUEST_MILLISECONDS: f64 = 1e6;

/// When each gateway forwarded answers of a worker that announce a limit, by gateway and worker, sorted.
type NoticeTimes<'a> = HashMap<(usize, &'a str), Vec<u64>>;

/// Finds workers that got more requests than the limits that they announced.
pub fn check_rate_limit(evidence: &Evidence) -> Vec<Violation> {
    let requests = SentRequests::of(evidence);
    let notice_times = notice_times(evidence);
    let violations = evidence.rate_limits.iter().filter_map(|limit| {
        let counted_arrivals = counted_arrivals(evidence, &requests, &notice_times, limit);
        let max_requests = max_requests(limit);
        let busiest = busiest_window(evidence, limit, &counted_arrivals);
        let what = format!(
            "{} requests in {WINDOW_MS} ms to a worker that announces a limit of {} thousandths of a request per second; {max_requests} are allowed",
            busiest.len(),
            limit.millirequests
        );
        let is_violated = busiest.len() > max_requests;
        is_violated.then(|| Violation::new(Rule::RateLimit, what, (limit, busiest)))
    });
    violations.collect()
}

fn max_requests(limit: &AnnouncedRateLimit) -> usize {
    let in_window = (limit.millirequests * WINDOW_MS) as f64 / MILLIREQUEST_MILLISECONDS;
    (in_window * LIMIT_TOLERANCE) as usize + EXTRA_REQUESTS
}

/// Returns the requests that arrived at a worker while it announced a limit, from gateways that had received the limit
/// early enough and have had no fault since, sorted by time.
fn counted_arrivals<'a>(
    evidence: &'a Evidence,
    requests: &SentRequests<'_>,
    notice_times: &NoticeTimes<'_>,
    limit: &AnnouncedRateLimit,
) -> Vec<&'a Arrival> {
    let is_announced =
        |at_ms: u64| at_ms >= limit.from_ms && limit.to_ms.is_none_or(|to| at_ms < to);
    let has_received_limit = |arrival: &Arrival| {
        let sent = requests.unique(&arrival.key)?;
        let times = notice_times.get(&(sent.gateway, limit.worker.as_str()))?;
        let until_ms = arrival.at_ms.checked_sub(LIMIT_GRACE_MS)?;
        let is_in_time = |at: &&u64| **at <= until_ms && **at >= limit.from_ms;
        let last = times.iter().rev().find(is_in_time)?;
        let since = Span {
            from_ms: *last,
            to_ms: arrival.at_ms,
        };
        Some(!evidence.has_gateway_fault(sent.gateway, since))
    };
    let arrivals = evidence.arrivals.iter().filter(|arrival| {
        arrival.worker == limit.worker && arrival.is_meant && is_announced(arrival.at_ms)
    });
    let mut counted_arrivals: Vec<&Arrival> = arrivals
        .filter(|arrival| has_received_limit(arrival) == Some(true))
        .collect();
    counted_arrivals.sort_by_key(|arrival| arrival.at_ms);
    counted_arrivals
}

/// Returns the requests in the window with the most of them. Windows in which the link to the worker had a fault, or
/// a gateway was partitioned from workers, are left out, since requests that a link delays arrive in a burst.
fn busiest_window<'a>(
    evidence: &Evidence,
    limit: &AnnouncedRateLimit,
    counted_arrivals: &[&'a Arrival],
) -> Vec<&'a Arrival> {
    let windows = counted_arrivals
        .iter()
        .enumerate()
        .filter_map(|(index, first)| {
            let to_ms = first.at_ms + WINDOW_MS;
            let span = Span {
                from_ms: first.at_ms.saturating_sub(WINDOW_MS),
                to_ms,
            };
            if evidence.has_worker_link_fault(&limit.worker, span)
                || evidence.has_any_partition(span)
            {
                return None;
            }
            let end = counted_arrivals.partition_point(|arrival| arrival.at_ms < to_ms);
            Some(&counted_arrivals[index..end])
        });
    let busiest = windows.max_by_key(|window| window.len());
    busiest.unwrap_or_default().to_vec()
}

fn notice_times(evidence: &Evidence) -> NoticeTimes<'_> {
    let workers: HashMap<&str, &str> = evidence
        .runs
        .iter()
        .map(|run| (run.seal.as_str(), run.mark.worker.as_str()))
        .collect();
    let mut notice_times: NoticeTimes<'_> = HashMap::new();
    for sent in &evidence.sent {
        let Outcome::Answer(answer) = &sent.outcome else {
            continue;
        };
        let worker = answer.seal.as_deref().and_then(|seal| workers.get(seal));
        if let (true, Some(worker)) = (answer.names_limit, worker) {
            let times = notice_times.entry((sent.gateway, *worker)).or_default();
            times.push(sent.ended_ms);
        }
    }
    for times in notice_times.values_mut() {
        times.sort_unstable();
    }
    notice_times
}
