//! A request that has crashed three workers arrives at workers at most a few times more.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence};
use crate::identity::RequestKey;

/// Number of crashes after which gateways must bar a request.
const CRASHES_UNTIL_BARRED: usize = 3;
/// Time within which all gateways must have learned of the last of these crashes, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;
/// Number of arrivals that are allowed after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// What all attempts of a caller at one request have in common: path with query, and hash of the body.
type Content<'a> = (&'a str, u64);

fn content(key: &RequestKey) -> Content<'_> {
    (&key.target, key.body)
}

/// Finds requests that were still sent to workers after they had crashed three.
pub fn check_barred(evidence: &Evidence) -> Vec<Violation> {
    let gateways = gateways(evidence);
    let violations = third_crashes(evidence)
        .into_iter()
        .filter_map(|(content, third_crash_ms)| {
            let late: Vec<&Arrival> = late_arrivals(evidence, content, third_crash_ms)
                .filter(|arrival| is_from_healthy_gateway(evidence, &gateways, arrival))
                .collect();
            let what = format!(
                "{} arrivals of a request after it had crashed three workers",
                late.len()
            );
            (late.len() > MAX_LATE_ARRIVALS)
                .then(|| Violation::new(Rule::Barred, what, (third_crash_ms, late)))
        });
    violations.collect()
}

/// Returns when each request crashed its third worker.
fn third_crashes(evidence: &Evidence) -> HashMap<Content<'_>, u64> {
    let mut crashes: HashMap<Content<'_>, Vec<u64>> = HashMap::new();
    for crash in &evidence.worker_ends {
        crashes
            .entry(content(&crash.key))
            .or_default()
            .push(crash.at_ms);
    }
    let third_crashes = crashes.into_iter().filter_map(|(content, mut times)| {
        times.sort_unstable();
        Some((content, *times.get(CRASHES_UNTIL_BARRED - 1)?))
    });
    third_crashes.collect()
}

fn late_arrivals<'a>(
    evidence: &'a Evidence,
    wanted: Content<'a>,
    third_crash_ms: u64,
) -> impl Iterator<Item = &'a Arrival> {
    evidence
        .arrivals
        .iter()
        .filter(move |arrival| content(&arrival.key) == wanted)
        .filter(move |arrival| arrival.at_ms > third_crash_ms + PROPAGATION_MS)
}

/// Returns the gateway that each attempt was sent to, by request id.
fn gateways(evidence: &Evidence) -> HashMap<&str, usize> {
    let sent = evidence.sent.iter();
    sent.map(|sent| (sent.key.id.as_str(), sent.gateway))
        .collect()
}

/// Returns whether the gateway that sent the request had been free of faults long enough to learn of the crashes.
fn is_from_healthy_gateway(
    evidence: &Evidence,
    gateways: &HashMap<&str, usize>,
    arrival: &Arrival,
) -> bool {
    let Some(gateway) = gateways.get(arrival.key.id.as_str()) else {
        return false;
    };
    let since_ms = arrival.at_ms.saturating_sub(PROPAGATION_MS);
    let mut fault_periods = evidence.troubles.iter();
    !fault_periods.any(|period| {
        let overlaps = period.from_ms <= arrival.at_ms && period.to_ms >= since_ms;
        period.gateway == *gateway && overlaps
    })
}
