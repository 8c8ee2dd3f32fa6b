//! Tracks the load of one engine from its last report, which is already outdated, and from this node's own
//! requests. A request that was sent after the report is added to the reported load. A request that the report
//! includes and that has since produced its first token or finished is corrected accordingly.

use std::collections::HashMap;

use tansyhall_core::{Duration, RequestId, Role, Timestamp};

use crate::estimate::{EngineEstimate, PrefillRate};

/// Time constant of the prefill rate, in seconds.
const PREFILL_RATE_TIME_CONSTANT_SECONDS: f64 = 3.0;

/// Age above which a report is no longer used: the engine's load is then assumed to consist of this node's own
/// requests.
pub const REPORT_TTL: Duration = Duration::from_secs(10);
/// Interval between removals of requests that ended so long ago that no usable report includes them.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Load that each other node is assumed to have sent since a report, as a fraction of the load that this node
/// sent. A value of one would be correct on average, but lower values gave better results in trials, since the
/// assumption errs in both directions.
pub const PEER_WEIGHT: f64 = 1.0 / 3.0;

/// An engine's load at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSnapshot {
    /// Time of the snapshot on the node's clock.
    pub taken_at: Timestamp,
    /// Number of sequences being decoded.
    pub decoding: f64,
    /// Number of requests whose prompts are not prefilled yet.
    pub waiting: f64,
    /// Number of prompt tokens still to be prefilled.
    pub pending_prefill_tokens: f64,
    /// Free slots in the batch, in sequences.
    pub free_sequences: f64,
    /// Number of prompt tokens that the engine has accepted since it started.
    pub accepted_prompt_tokens: f64,
}

#[derive(Debug, Clone, Copy)]
struct OwnRequest {
    prefill_tokens: f64,
    sent_at: Timestamp,
    first_token_at: Option<Timestamp>,
    finished_at: Option<Timestamp>,
}

/// What a node knows about one engine.
#[derive(Debug, Clone)]
pub struct EngineTracker {
    /// Last known role of the engine.
    pub role: Role,
    /// Whether the engine accepts work, as far as the node knows.
    pub accepts_work: bool,
    report: LoadSnapshot,
    own_requests: HashMap<RequestId, OwnRequest>,
    prefill_rate: PrefillRate,
    request_weight: f64,
    idle: LoadSnapshot,
    has_report: bool,
    cleaned_up_at: Timestamp,
}

impl EngineTracker {
    /// Returns a tracker for an engine of which nothing is known yet. The engine has `max_sequences` slots,
    /// and `sharing_nodes` nodes, including this one, send requests to it. The requests of the other nodes
    /// since the last report are unknown, so each is assumed to have sent [`PEER_WEIGHT`] times the load of
    /// this node.
    pub fn new(role: Role, max_sequences: f64, sharing_nodes: usize) -> Self {
        let idle = LoadSnapshot {
            free_sequences: max_sequences,
            ..LoadSnapshot::default()
        };
        Self {
            role,
            accepts_work: true,
            report: idle,
            idle,
            has_report: false,
            cleaned_up_at: Timestamp::default(),
            own_requests: HashMap::new(),
            prefill_rate: PrefillRate::new(PREFILL_RATE_TIME_CONSTANT_SECONDS),
            request_weight: 1.0 + PEER_WEIGHT * (sharing_nodes.max(1) - 1) as f64,
        }
    }

    /// Records a request that this node sent to the engine.
    pub fn record_sent(&mut self, now: Timestamp, id: RequestId, prefill_tokens: f64) {
        let request = OwnRequest {
            prefill_tokens,
            sent_at: now,
            first_token_at: None,
            finished_at: None,
        };
        self.own_requests.insert(id, request);
    }

    /// Records the arrival of a request's first token.
    pub fn record_first_token(&mut self, now: Timestamp, id: RequestId) {
        if let Some(request) = self.own_requests.get_mut(&id) {
            request.first_token_at.get_or_insert(now);
        }
    }

    /// Records the end of a request, whatever its outcome.
    pub fn record_finished(&mut self, now: Timestamp, id: RequestId) {
        if let Some(request) = self.own_requests.get_mut(&id) {
            request.finished_at = Some(now);
        }
        self.remove_ended_requests(now);
    }

    /// Removes a request that did not reach the engine or was refused by it: no report will include it.
    pub fn record_refused(&mut self, id: RequestId) {
        self.own_requests.remove(&id);
    }

    /// Returns whether the last report is recent enough to be used.
    pub fn has_recent_report(&self, now: Timestamp) -> bool {
        self.has_report && now.since(self.report.taken_at) <= REPORT_TTL
    }

    /// Removes requests that ended before the snapshot of any report that can still arrive, so that memory does
    /// not grow for an engine that never reports.
    fn remove_ended_requests(&mut self, now: Timestamp) {
        if now.since(self.cleaned_up_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        let has_ended_long_ago = |ended: Timestamp| now.since(ended) > REPORT_TTL;
        self.own_requests
            .retain(|_, request| !request.finished_at.is_some_and(has_ended_long_ago));
    }

    /// Records a load report and removes requests that ended before its snapshot was taken. A report older
    /// than the last one is ignored.
    pub fn record_report(&mut self, snapshot: LoadSnapshot) {
        if snapshot.taken_at < self.report.taken_at {
            return;
        }
        let accepted = snapshot.accepted_prompt_tokens - self.report.accepted_prompt_tokens;
        self.prefill_rate.add(snapshot.taken_at, accepted.max(0.0));
        self.report = snapshot;
        self.has_report = true;
        let ended_before_snapshot = |ended: Timestamp| ended <= snapshot.taken_at;
        self.own_requests
            .retain(|_, request| !request.finished_at.is_some_and(ended_before_snapshot));
    }

    /// Returns how many requests of this node are in progress on the engine.
    pub fn in_flight(&self) -> usize {
        self.own_requests
            .values()
            .filter(|request| request.finished_at.is_none())
            .count()
    }

    /// Returns the number of tracked requests, including those that ended but are not removed yet.
    pub fn tracked_requests(&self) -> usize {
        self.own_requests.len()
    }

    /// Returns the estimated load at `now`.
    pub fn estimate(&self, now: Timestamp) -> EngineEstimate {
        let report = if now.since(self.report.taken_at) > REPORT_TTL {
            &self.idle
        } else {
            &self.report
        };
        let mut estimate = EngineEstimate {
            role: self.role,
            accepts_work: self.accepts_work,
            decoding: report.decoding,
            waiting: report.waiting,
            pending_prefill_tokens: report.pending_prefill_tokens,
            free_sequences: report.free_sequences,
            prefill_rate: self.prefill_rate.at(now),
            cached_tokens: 0.0,
        };
        for request in self.own_requests.values() {
            self.apply_own_request(&mut estimate, report.taken_at, request);
        }
        estimate.decoding = estimate.decoding.max(0.0);
        estimate.waiting = estimate.waiting.max(0.0);
        estimate.pending_prefill_tokens = estimate.pending_prefill_tokens.max(0.0);
        estimate
    }

    fn apply_own_request(
        &self,
        estimate: &mut EngineEstimate,
        taken_at: Timestamp,
        request: &OwnRequest,
    ) {
        let is_in_report = request.sent_at <= taken_at;
        let is_prefilled_in_report = request
            .first_token_at
            .is_some_and(|first_token_at| first_token_at <= taken_at);
        let request_weight = self.request_weight;
        if is_in_report {
            remove_request(estimate, request, is_prefilled_in_report, request_weight);
        }
        if request.finished_at.is_none() {
            add_request(
                estimate,
                request,
                request.first_token_at.is_some(),
                request_weight,
            );
        }
    }
}

fn add_request(
    estimate: &mut EngineEstimate,
    request: &OwnRequest,
    is_prefilled: bool,
    request_weight: f64,
) {
    estimate.free_sequences -= request_weight;
    if is_prefilled {
        estimate.decoding += request_weight;
    } else {
        estimate.waiting += request_weight;
        estimate.pending_prefill_tokens += request_weight * request.prefill_tokens;
    }
}

fn remove_request(
    estimate: &mut EngineEstimate,
    request: &OwnRequest,
    is_prefilled: bool,
    request_weight: f64,
) {
    add_request(estimate, request, is_prefilled, -request_weight);
}
