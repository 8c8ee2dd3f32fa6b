//! Lookup of the gateway that sent a request to a worker, and of the faults injected at gateways and worker links.

use std::collections::HashMap;

use crate::evidence::{Evidence, SentRequest};
use crate::identity::RequestKey;

/// A span of time, in milliseconds from the start of the episode.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    /// Its start.
    pub(super) from_ms: u64,
    /// Its end.
    pub(super) to_ms: u64,
}

impl Span {
    /// Returns whether the span has a moment in common with this one.
    pub(super) fn overlaps(self, from_ms: u64, to_ms: u64) -> bool {
        from_ms <= self.to_ms && to_ms >= self.from_ms
    }
}

/// The requests that callers sent, by identity.
pub(super) struct SentRequests<'a>(HashMap<&'a RequestKey, Vec<&'a SentRequest>>);

impl<'a> SentRequests<'a> {
    pub(super) fn of(evidence: &'a Evidence) -> Self {
        let mut requests: HashMap<&RequestKey, Vec<&SentRequest>> = HashMap::new();
        for sent in &evidence.sent {
            requests.entry(&sent.key).or_default().push(sent);
        }
        Self(requests)
    }

    /// Returns the request with this key if it was sent exactly once. If it was sent several times, which of them
    /// arrived at a worker is unknown.
    pub(super) fn unique(&self, key: &RequestKey) -> Option<&'a SentRequest> {
        match self.0.get(key)?.as_slice() {
            [sent] => Some(sent),
            _ => None,
        }
    }
}

impl Evidence {
    /// Returns whether a gateway was stopped, frozen or killed, or its link to the store had a fault, within this span.
    pub(super) fn has_gateway_fault(&self, gateway: usize, span: Span) -> bool {
        self.troubles
            .iter()
            .any(|period| period.gateway == gateway && span.overlaps(period.from_ms, period.to_ms))
    }

    /// Returns whether the link between callers and a gateway had a fault within this span.
    pub(super) fn has_caller_link_fault(&self, gateway: usize, span: Span) -> bool {
        let mut periods = self.caller_link_troubles.iter();
        periods
            .any(|period| period.gateway == gateway && span.overlaps(period.from_ms, period.to_ms))
    }

    /// Returns whether a gateway was partitioned from all workers within this span.
    pub(super) fn has_partition(&self, gateway: usize, span: Span) -> bool {
        self.partitions
            .iter()
            .any(|period| period.gateway == gateway && span.overlaps(period.from_ms, period.to_ms))
    }

    /// Returns whether any gateway was partitioned from all workers within this span.
    pub(super) fn has_any_partition(&self, span: Span) -> bool {
        let mut periods = self.partitions.iter();
        periods.any(|period| span.overlaps(period.from_ms, period.to_ms))
    }

    /// Returns whether the link to a worker had a fault within this span.
    pub(super) fn has_worker_link_fault(&self, worker: &str, span: Span) -> bool {
        self.worker_troubles
            .iter()
            .any(|period| period.worker == worker && span.overlaps(period.from_ms, period.to_ms))
    }
}
