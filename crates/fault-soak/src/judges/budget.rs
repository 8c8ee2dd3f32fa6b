//! Retries stay within the fleet's retry budget, and an attempt of a caller runs on no more workers than its route
//! allows.

use std::collections::{HashMap, HashSet};

use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence};
use crate::identity::RequestKey;
use crate::routes::RouteKind;

/// Maximum number of retries per request of the same window.
pub const RETRY_RATIO: f64 = 0.05;
/// Number of retries allowed per window in addition to [`RETRY_RATIO`].
pub const BASE_RETRIES: u32 = 30;
/// Length of the window in seconds.
pub const BUDGET_WINDOW_S: u64 = 10;
/// Number of requests that may run on too many workers without a violation.
const MAX_REQUESTS_ON_TOO_MANY_WORKERS: usize = 3;

/// Identifies a service: whether its workers are engines.
type IsEngine = bool;

/// Finds windows with too many retries, and requests that ran on too many workers.
pub fn check_budget(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for is_engine in [true, false] {
        violations.extend(check_retries(evidence, is_engine));
    }
    violations.extend(check_worker_counts(evidence));
    violations
}

/// Returns how often the caller sent each request.
fn attempts(evidence: &Evidence) -> HashMap<&RequestKey, usize> {
    let mut attempts = HashMap::new();
    for sent in &evidence.sent {
        *attempts.entry(&sent.key).or_default() += 1;
    }
    attempts
}

fn check_retries(evidence: &Evidence, is_engine: IsEngine) -> Option<Violation> {
    let window_ms = BUDGET_WINDOW_S * 1_000;
    let mut sent: Vec<u64> = evidence
        .sent
        .iter()
        .filter(|sent| sent.route.is_engine() == is_engine)
        .map(|sent| sent.at_ms)
        .collect();
    sent.sort_unstable();
    let retries = retry_times(evidence, is_engine);
    let count = |times: &[u64], end: u64| {
        let begin = end.saturating_sub(window_ms);
        times.partition_point(|at| *at <= end) - times.partition_point(|at| *at < begin)
    };
    let window_end = retries.iter().find(|end| {
        let spans = [0, window_ms / 2, window_ms];
        let requests = spans.map(|before| match end.checked_sub(before) {
            Some(end) => count(&sent, end),
            None => 0,
        });
        let max_requests = requests.into_iter().max().unwrap_or(0);
        count(&retries, **end) as f64 > RETRY_RATIO * max_requests as f64 + f64::from(BASE_RETRIES)
    })?;
    let what = format!(
        "{} retries in the window that ends at {window_end} ms",
        count(&retries, *window_end)
    );
    Some(Violation::new(Rule::Budget, what, (is_engine, window_end)))
}

/// Returns the times of arrivals at workers beyond one per attempt of the caller, sorted. One accepted prefill per
/// attempt is not counted.
fn retry_times(evidence: &Evidence, is_engine: IsEngine) -> Vec<u64> {
    let attempts = attempts(evidence);
    let mut by_request: HashMap<&RequestKey, Vec<&Arrival>> = HashMap::new();
    for arrival in &evidence.arrivals {
        let route = RouteKind::of_target(&arrival.key.target);
        if route.is_some_and(RouteKind::is_engine) == is_engine {
            by_request.entry(&arrival.key).or_default().push(arrival);
        }
    }
    let mut retries = Vec::new();
    for (key, arrivals) in by_request {
        let first_arrivals = attempts.get(key).copied().unwrap_or(0);
        let mut free_prefills = first_arrivals;
        let counted = arrivals.into_iter().filter(|arrival| {
            let is_free = arrival.is_reading && arrival.is_taken_up && free_prefills > 0;
            free_prefills -= usize::from(is_free);
            !is_free
        });
        retries.extend(counted.skip(first_arrivals).map(|arrival| arrival.at_ms));
    }
    retries.sort_unstable();
    retries
}

fn check_worker_counts(evidence: &Evidence) -> Option<Violation> {
    let attempts = attempts(evidence);
    let mut workers: HashMap<&RequestKey, HashSet<&str>> = HashMap::new();
    for run in &evidence.runs {
        let ran_on = workers.entry(&run.mark.key).or_default();
        ran_on.insert(&run.mark.worker);
    }
    let too_many = workers.into_iter().filter(|(key, workers)| {
        let route = RouteKind::of_target(&key.target);
        let max_workers = route.map_or(1, RouteKind::max_attempts) as usize;
        workers.len() > max_workers * attempts.get(key).copied().unwrap_or(1)
    });
    let too_many: Vec<(&RequestKey, HashSet<&str>)> = too_many.collect();
    let what = format!("{} requests ran on too many workers", too_many.len());
    (too_many.len() > MAX_REQUESTS_ON_TOO_MANY_WORKERS)
        .then(|| Violation::new(Rule::Budget, what, too_many))
}
