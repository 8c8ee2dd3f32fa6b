//! A worker whose departure the store has accepted gets no more requests after the drain time, from any gateway that runs
//! undisturbed, whether the store answers that gateway or not. At least one gateway must have been able to hear of the
//! departure and to tell the others: one that starts has another address, which gateways learn only from the store.

use std::collections::{HashMap, HashSet};

use super::senders::{SentRequests, Span};
use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence};

/// Time for which requests may still reach the worker, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time after a disturbance in which a gateway is not held to this rule, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Time in which a gateway that the store answers hears of a departure, in milliseconds.
const HEARING_MS: u64 = 500;

/// Finds requests that reached workers too long after their departure.
pub fn check_drain(evidence: &Evidence) -> Vec<Violation> {
    let requests = SentRequests::of(evidence);
    let mut first_departures: HashMap<&str, u64> = HashMap::new();
    for departure in &evidence.departures {
        let first = first_departures.entry(&departure.worker);
        first.or_insert(departure.at_ms);
    }
    let gateways: HashSet<usize> = evidence.sent.iter().map(|sent| sent.gateway).collect();
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let sent = requests.unique(&arrival.key)?;
        let departed_ms = *first_departures.get(arrival.worker.as_str())?;
        let is_late = arrival.at_ms > departed_ms + DRAIN_MS && arrival.is_meant;
        let span = Span {
            from_ms: arrival.at_ms.saturating_sub(CONTACT_MS),
            to_ms: arrival.at_ms,
        };
        let is_excused = evidence.has_gateway_fault(sent.gateway, span);
        let is_known =
            |gateway: &usize| knows_departure(evidence, *gateway, departed_ms, arrival.at_ms);
        (is_late && !is_excused && gateways.iter().any(is_known)).then_some((
            departed_ms,
            sent.gateway,
            arrival,
        ))
    });
    let late: Vec<(u64, usize, &Arrival)> = late.collect();
    let what = format!("{} requests after the drain time", late.len());
    let violation = (!late.is_empty()).then(|| Violation::new(Rule::Drain, what, late));
    violation.into_iter().collect()
}

/// Returns whether a gateway heard of a departure at once, and could tell the others until `until_ms`.
fn knows_departure(evidence: &Evidence, gateway: usize, departed_ms: u64, until_ms: u64) -> bool {
    let hearing = Span {
        from_ms: departed_ms,
        to_ms: departed_ms + HEARING_MS,
    };
    let telling = Span {
        from_ms: departed_ms.saturating_sub(CONTACT_MS),
        to_ms: until_ms,
    };
    let mut ignored = evidence.ignored.iter();
    let is_ignored = ignored
        .any(|period| period.gateway == gateway && hearing.overlaps(period.from_ms, period.to_ms));
    !is_ignored && !evidence.has_gateway_fault(gateway, telling)
}
