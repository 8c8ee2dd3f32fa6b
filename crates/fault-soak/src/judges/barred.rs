//! A request under which three workers have ended reaches workers a few times more at the most.

use std::collections::HashMap;

use super::{Rule, Violation};
use crate::evidence::{Arrival, Evidence};
use crate::identity::RequestKey;

/// Ends after which a request counts as deadly.
const ENDS: usize = 3;
/// The time in which gateways must know of the third end, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Arrivals after that which are allowed.
const TOLERATED: usize = 3;

/// What the tries of a request have in common: path with query, and body.
type Content<'a> = (&'a str, u64);

fn content(key: &RequestKey) -> Content<'_> {
    (&key.target, key.body)
}

/// Finds requests that were sent on after three workers had ended under them.
pub fn barred(evidence: &Evidence) -> Vec<Violation> {
    let senders = senders(evidence);
    let violations = third_ends(evidence)
        .into_iter()
        .filter_map(|(content, third_ms)| {
            let late: Vec<&Arrival> = late_arrivals(evidence, content, third_ms)
                .filter(|arrival| is_sent_in_touch(evidence, &senders, arrival))
                .collect();
            let what = format!(
                "{} arrivals of a request under which three workers had ended",
                late.len()
            );
            (late.len() > TOLERATED).then(|| Violation::new(Rule::Barred, what, (third_ms, late)))
        });
    violations.collect()
}

/// When the third worker ended under each request.
fn third_ends(evidence: &Evidence) -> HashMap<Content<'_>, u64> {
    let mut ends: HashMap<Content<'_>, Vec<u64>> = HashMap::new();
    for end in &evidence.worker_ends {
        ends.entry(content(&end.key)).or_default().push(end.at_ms);
    }
    let third = ends.into_iter().filter_map(|(content, mut times)| {
        times.sort_unstable();
        Some((content, *times.get(ENDS - 1)?))
    });
    third.collect()
}

fn late_arrivals<'a>(
    evidence: &'a Evidence,
    of: Content<'a>,
    third_ms: u64,
) -> impl Iterator<Item = &'a Arrival> {
    evidence
        .arrivals
        .iter()
        .filter(move |arrival| content(&arrival.key) == of)
        .filter(move |arrival| arrival.at_ms > third_ms + CONTACT_MS)
}

/// The gateway that each try was sent to.
fn senders(evidence: &Evidence) -> HashMap<&str, usize> {
    let sent = evidence.sent.iter();
    sent.map(|sent| (sent.key.id.as_str(), sent.gateway))
        .collect()
}

/// Whether the gateway that sent it had not been in trouble for a while.
fn is_sent_in_touch(
    evidence: &Evidence,
    senders: &HashMap<&str, usize>,
    arrival: &Arrival,
) -> bool {
    let Some(gateway) = senders.get(arrival.key.id.as_str()) else {
        return false;
    };
    let since_ms = arrival.at_ms.saturating_sub(CONTACT_MS);
    let mut troubles = evidence.troubles.iter();
    !troubles.any(|trouble| {
        let overlaps = trouble.from_ms <= arrival.at_ms && trouble.to_ms >= since_ms;
        trouble.gateway == *gateway && overlaps
    })
}
