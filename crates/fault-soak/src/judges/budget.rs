//! Repeats stay within the fleet's budget, and a try runs on no more workers than its route allows.

use std::collections::{HashMap, HashSet};

use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence};
use crate::identity::RequestKey;
use crate::routes::RouteKind;

/// Arrivals past the first of each request, for each request of the same window.
pub const RATIO: f64 = 0.05;
/// The same, beyond the ratio.
pub const EXTRA: u32 = 30;
/// The window in seconds.
pub const WINDOW_S: u64 = 10;
/// Requests that may run on too many workers before it counts.
const TOLERATED: usize = 3;

/// A service: whether its workers are engines.
type IsEngine = bool;

/// Finds windows with too many repeats, and requests that ran on too many workers.
pub fn budget(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    for service in [true, false] {
        violations.extend(check_service(evidence, service));
    }
    violations.extend(check_attempts(evidence));
    violations
}

/// How often each request was tried by its caller.
fn tries(evidence: &Evidence) -> HashMap<&RequestKey, usize> {
    let mut tries = HashMap::new();
    for sent in &evidence.sent {
        *tries.entry(&sent.key).or_default() += 1;
    }
    tries
}

fn check_service(evidence: &Evidence, service: IsEngine) -> Option<Violation> {
    let window_ms = WINDOW_S * 1_000;
    let mut sent: Vec<u64> = evidence
        .sent
        .iter()
        .filter(|sent| sent.route.is_engine() == service)
        .map(|sent| sent.at_ms)
        .collect();
    sent.sort_unstable();
    let extra = extra_arrivals(evidence, service);
    let count = |times: &[u64], end: u64| {
        let begin = end.saturating_sub(window_ms);
        times.partition_point(|at| *at <= end) - times.partition_point(|at| *at < begin)
    };
    let over = extra.iter().find(|end| {
        let spans = [0, window_ms / 2, window_ms];
        let requests = spans.map(|before| match end.checked_sub(before) {
            Some(end) => count(&sent, end),
            None => 0,
        });
        let most = requests.into_iter().max().unwrap_or(0);
        count(&extra, **end) as f64 > RATIO * most as f64 + f64::from(EXTRA)
    })?;
    let what = format!(
        "{} repeats in the window that ends at {over} ms",
        count(&extra, *over)
    );
    Some(Violation::new(Rule::Budget, what, (service, over)))
}

/// The times of arrivals past the first of each try. A first reading that was taken up is free.
fn extra_arrivals(evidence: &Evidence, service: IsEngine) -> Vec<u64> {
    let tries = tries(evidence);
    let mut by_request: HashMap<&RequestKey, Vec<&Arrival>> = HashMap::new();
    for arrival in &evidence.arrivals {
        let route = RouteKind::of_target(&arrival.key.target);
        if route.is_some_and(RouteKind::is_engine) == service {
            by_request.entry(&arrival.key).or_default().push(arrival);
        }
    }
    let mut extra = Vec::new();
    for (key, arrivals) in by_request {
        let free = tries.get(key).copied().unwrap_or(0);
        let mut free_readings = free;
        let counted = arrivals.into_iter().filter(|arrival| {
            let is_free = arrival.is_reading && arrival.is_taken_up && free_readings > 0;
            free_readings -= usize::from(is_free);
            !is_free
        });
        extra.extend(counted.skip(free).map(|arrival| arrival.at_ms));
    }
    extra.sort_unstable();
    extra
}

fn check_attempts(evidence: &Evidence) -> Option<Violation> {
    let tries = tries(evidence);
    let mut workers: HashMap<&RequestKey, HashSet<&str>> = HashMap::new();
    for run in &evidence.runs {
        let ran_on = workers.entry(&run.mark.key).or_default();
        ran_on.insert(&run.mark.worker);
    }
    let too_many = workers.into_iter().filter(|(key, workers)| {
        let route = RouteKind::of_target(&key.target);
        let most = route.map_or(1, RouteKind::max_attempts) as usize;
        workers.len() > most * tries.get(key).copied().unwrap_or(1)
    });
    let too_many: Vec<(&RequestKey, HashSet<&str>)> = too_many.collect();
    let what = format!("{} requests ran on too many workers", too_many.len());
    (too_many.len() > TOLERATED).then(|| Violation::new(Rule::Budget, what, too_many))
}
