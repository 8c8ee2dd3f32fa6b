//! A caller whose request reached a worker gets a complete answer or one that says what happened. That a worker was
//! silent for a while and went on is no excuse.

use std::collections::{HashMap, HashSet};

use super::senders::Span;
use super::{Rule, Violation};
use crate::evidence::{
    Arrival, BrokenAnswer, Evidence, GatewayFault, GatewayFaultPeriod, Outcome, SentRequest,
    WorkerSilencePeriod,
};
use crate::identity::RequestKey;

/// How long before the deadline an answer may end because of it, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 50;
/// How long a fault may take to reach the caller, in milliseconds.
const FAULT_DELAY_MS: u64 = 500;
/// How long after a partition a gateway may continue to use relays, in milliseconds.
const RELAY_USE_MS: u64 = 10_000;

/// The arrivals of each request at workers.
type Arrivals<'a> = HashMap<&'a RequestKey, Vec<&'a Arrival>>;

/// Finds requests that reached a worker and whose callers got no answer, or an incomplete one, without an excuse.
pub fn check_lost(evidence: &Evidence) -> Vec<Violation> {
    let mut all_arrivals: Arrivals<'_> = HashMap::new();
    for arrival in &evidence.arrivals {
        all_arrivals.entry(&arrival.key).or_default().push(arrival);
    }
    let lost = evidence.sent.iter().filter_map(|sent| {
        loss_of(sent, &all_arrivals)?;
        let arrivals = without_later_tries(evidence, sent, &all_arrivals);
        let what = loss_of(sent, &arrivals)?;
        let silences = silences_of(evidence, sent, &arrivals);
        let violation = || Violation::new(Rule::Lost, what, (sent, silences));
        (!is_excused(evidence, sent, &arrivals)).then(violation)
    });
    lost.collect()
}

/// Returns the arrivals of a request without those that a later try of its caller explains: a request that is cut off and
/// sent to another gateway in the same millisecond has arrived through that one.
fn without_later_tries<'a>(
    evidence: &Evidence,
    sent: &SentRequest,
    arrivals: &Arrivals<'a>,
) -> Arrivals<'a> {
    let tries = evidence.sent.iter().filter(|other| other.key == sent.key);
    let later = tries.filter(|other| {
        other.at_ms >= sent.ended_ms && (other.gateway, other.at_ms) != (sent.gateway, sent.at_ms)
    });
    let next_try_at = later.map(|other| other.at_ms).min();
    let Some((key, all)) = arrivals.get_key_value(&sent.key) else {
        return Arrivals::new();
    };
    let is_earlier = |arrival: &&&Arrival| next_try_at.is_none_or(|next| arrival.at_ms < next);
    let earlier = all.iter().filter(is_earlier).copied().collect();
    HashMap::from([(*key, earlier)])
}

/// Returns how a request was lost, if it was.
fn loss_of(sent: &SentRequest, arrivals: &Arrivals<'_>) -> Option<&'static str> {
    match &sent.outcome {
        Outcome::Answer(answer) if answer.is_whole => None,
        Outcome::Answer(_) => Some("caller got an incomplete answer"),
        Outcome::Garbage { .. } => None,
        Outcome::NoAnswer { .. } => {
            let has_arrived = !arrivals_of(sent, arrivals).is_empty();
            has_arrived.then_some("caller got no answer")
        }
    }
}

/// Returns the arrivals of a request at workers.
fn arrivals_of<'a>(sent: &SentRequest, arrivals: &Arrivals<'a>) -> Vec<&'a Arrival> {
    let span = span_of(sent);
    let all = arrivals.get(&sent.key).into_iter().flatten();
    all.filter(|arrival| span.overlaps(arrival.at_ms, arrival.at_ms))
        .copied()
        .collect()
}

fn workers_of<'a>(sent: &SentRequest, arrivals: &Arrivals<'a>) -> HashSet<&'a str> {
    let arrivals = arrivals_of(sent, arrivals).into_iter();
    arrivals.map(|arrival| arrival.worker.as_str()).collect()
}

fn span_of(sent: &SentRequest) -> Span {
    Span {
        from_ms: sent.at_ms,
        to_ms: sent.ended_ms,
    }
}

/// Returns the span in which a fault can have ended an answer.
fn fault_span_of(sent: &SentRequest) -> Span {
    Span {
        from_ms: sent.at_ms.saturating_sub(FAULT_DELAY_MS),
        to_ms: sent.ended_ms,
    }
}

fn is_excused(evidence: &Evidence, sent: &SentRequest, arrivals: &Arrivals<'_>) -> bool {
    let has_expired = sent.ended_ms + DEADLINE_MARGIN_MS >= sent.at_ms + sent.patience_ms;
    has_expired
        || is_gateway_disturbed(evidence, sent)
        || is_worker_to_blame(evidence, sent, &workers_of(sent, arrivals))
}

/// Returns whether the gateway of a request, or one that may have relayed it, ended abruptly, stood still or had a
/// fault of its links. A graceful stop is none.
fn is_gateway_disturbed(evidence: &Evidence, sent: &SentRequest) -> bool {
    let span = fault_span_of(sent);
    let overlaps = |period: &&GatewayFaultPeriod| span.overlaps(period.from_ms, period.to_ms);
    let is_abrupt = |period: &&GatewayFaultPeriod| period.fault != GatewayFault::Stop;
    let mut abrupt_faults = evidence.troubles.iter().filter(overlaps).filter(is_abrupt);
    let relays_span = Span {
        from_ms: sent.at_ms.saturating_sub(RELAY_USE_MS),
        to_ms: sent.ended_ms,
    };
    let may_be_relayed = evidence.has_partition(sent.gateway, relays_span);
    let is_concerned = |gateway: usize| gateway == sent.gateway || may_be_relayed;
    let mut partitions = evidence.partitions.iter();
    abrupt_faults.any(|period| is_concerned(period.gateway))
        || partitions.any(|period| {
            is_concerned(period.gateway) && span.overlaps(period.from_ms, period.from_ms)
        })
        || evidence.has_caller_link_fault(sent.gateway, span)
}

/// Returns whether a worker of a request broke its answer, or the link to the worker had a fault.
fn is_worker_to_blame(evidence: &Evidence, sent: &SentRequest, workers: &HashSet<&str>) -> bool {
    let span = fault_span_of(sent);
    let is_concerned = |broken: &BrokenAnswer| {
        let is_of_request = match &broken.id {
            Some(id) => *id == sent.key.id,
            None => workers.contains(broken.worker.as_str()),
        };
        is_of_request && span.overlaps(broken.at_ms, broken.at_ms)
    };
    evidence.broken_answers.iter().any(is_concerned)
        || workers
            .iter()
            .any(|worker| evidence.has_worker_link_fault(worker, span))
}

/// Returns the silences of the workers of a request, which explain a violation.
fn silences_of<'a>(
    evidence: &'a Evidence,
    sent: &SentRequest,
    arrivals: &Arrivals<'_>,
) -> Vec<&'a WorkerSilencePeriod> {
    let workers = workers_of(sent, arrivals);
    let span = span_of(sent);
    let silences = evidence.silences.iter().filter(|silence| {
        workers.contains(silence.worker.as_str()) && span.overlaps(silence.from_ms, silence.to_ms)
    });
    silences.collect()
}
