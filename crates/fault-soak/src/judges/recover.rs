//! A gateway that is partitioned from all workers serves its callers through gateways that reach workers.

use std::collections::BTreeSet;

use serde::Serialize;

use super::senders::Span;
use super::{Rule, Violation};
use crate::evidence::{Evidence, GatewayFault, Outcome, SentRequest};

/// Time after which a gateway must have recovered from the beginning of a partition, in milliseconds. A gateway that has
/// been restarted, or that a partition has ended for, has the same time.
const RECOVERY_MS: u64 = 3_000;
/// Time after which a gateway must have recovered from being frozen or from a fault of its links, in milliseconds.
const DISTURBANCE_GRACE_MS: u64 = 500;
/// Minimum number of requests on each side of a comparison.
const MIN_REQUESTS: usize = 20;

/// The requests that are compared, and how many of them were served.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Tally {
    requests: usize,
    served: usize,
}

impl Tally {
    fn of<'a>(requests: impl Iterator<Item = &'a SentRequest>) -> Self {
        let mut tally = Self::default();
        for sent in requests {
            tally.requests += 1;
            tally.served += usize::from(is_served(sent));
        }
        tally
    }

    /// Returns whether at least two thirds as much of the requests was served as of the others.
    fn keeps_up_with(self, others: Self) -> bool {
        3 * self.served * others.requests >= 2 * others.served * self.requests
    }
}

/// Finds partitions from which a gateway did not recover.
pub fn check_recover(evidence: &Evidence) -> Vec<Violation> {
    let gateways: BTreeSet<usize> = evidence.sent.iter().map(|sent| sent.gateway).collect();
    let violations = evidence.partitions.iter().filter_map(|period| {
        let is_compared = |sent: &&SentRequest| {
            let is_in_time =
                sent.at_ms >= period.from_ms + RECOVERY_MS && sent.at_ms < period.to_ms;
            is_in_time && sent.is_first_try && !is_abandoned(sent)
        };
        let compared: Vec<&SentRequest> = evidence.sent.iter().filter(is_compared).collect();
        let own = Tally::of(compared.iter().copied().filter(|sent| {
            sent.gateway == period.gateway && is_recoverable(evidence, &gateways, sent)
        }));
        let others = Tally::of(compared.iter().copied().filter(|sent| {
            sent.gateway != period.gateway && is_undisturbed(evidence, sent.gateway, sent)
        }));
        let is_comparable = own.requests >= MIN_REQUESTS && others.requests >= MIN_REQUESTS;
        let what = format!(
            "partitioned gateway served {} of {} requests, others {} of {}",
            own.served, own.requests, others.served, others.requests
        );
        (is_comparable && !own.keeps_up_with(others))
            .then(|| Violation::new(Rule::Recover, what, (period, own, others)))
    });
    violations.collect()
}

fn is_served(sent: &SentRequest) -> bool {
    matches!(&sent.outcome, Outcome::Answer(answer) if answer.is_success() && answer.is_whole)
}

/// Returns whether the caller stopped waiting long before the deadlines that callers send.
fn is_abandoned(sent: &SentRequest) -> bool {
    const MAX_ABANDONED_MS: u64 = 100;
    sent.patience_ms < MAX_ABANDONED_MS
}

/// Returns the time of a request and some time before it.
fn span_of(sent: &SentRequest, before_ms: u64) -> Span {
    Span {
        from_ms: sent.at_ms.saturating_sub(before_ms),
        to_ms: sent.ended_ms,
    }
}

/// Returns whether nothing but the partition disturbed the gateway of a request, and another gateway could have
/// relayed it.
fn is_recoverable(evidence: &Evidence, gateways: &BTreeSet<usize>, sent: &SentRequest) -> bool {
    let mut relays = gateways.iter();
    !has_fault(evidence, sent.gateway, sent)
        && relays.any(|relay| is_undisturbed(evidence, *relay, sent))
}

/// Returns whether a gateway had no fault and was not partitioned during a request or shortly before it.
fn is_undisturbed(evidence: &Evidence, gateway: usize, sent: &SentRequest) -> bool {
    let is_partitioned = evidence.has_partition(gateway, span_of(sent, RECOVERY_MS));
    !is_partitioned && !has_fault(evidence, gateway, sent)
}

/// Returns whether a gateway had a fault other than a partition during a request or shortly before it.
fn has_fault(evidence: &Evidence, gateway: usize, sent: &SentRequest) -> bool {
    let troubles = evidence.troubles.iter();
    let mut periods = troubles.chain(&evidence.caller_link_troubles);
    periods.any(|period| {
        let grace_ms = match period.fault {
            GatewayFault::Stop | GatewayFault::Kill => RECOVERY_MS,
            GatewayFault::Freeze | GatewayFault::Link => DISTURBANCE_GRACE_MS,
        };
        let span = span_of(sent, grace_ms);
        period.gateway == gateway && span.overlaps(period.from_ms, period.to_ms)
    })
}
