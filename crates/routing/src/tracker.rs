//! Follows one engine: its last report, which was made some time ago, and this node's own requests
//! since. A request that the report cannot know is added to it; one that moved on since is moved.

use std::collections::HashMap;

use tansyhall_core::{Duration, RequestId, Role, Timestamp};

use crate::estimate::{EngineEstimate, PrefillRate};

/// Time constant of the prefill rate, in seconds.
const PREFILL_RATE_SECONDS: f64 = 3.0;

/// Age at which a report says nothing any more: the engine's load is taken to be this node's own.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time between looks for requests that ended so long ago that no usable report holds them.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// How much of what this node did since a report each other node is taken to have done. One would be
/// right in the mean; less is better in trials, since the assumption is wrong in both directions.
pub const PEER_WEIGHT: f64 = 1.0 / 3.0;

/// An engine's load at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadSnapshot {
    /// When it was taken, on the node's clock.
    pub taken: Timestamp,
    /// Sequences being decoded.
    pub decoding: f64,
    /// Requests whose prompts are not prefilled yet.
    pub waiting: f64,
    /// Prompt tokens still to prefill.
    pub pending_prefill_tokens: f64,
    /// Room in the batch, in sequences.
    pub free_sequences: f64,
    /// Prompt tokens that the engine has accepted since it started.
    pub accepted_prompt_tokens: f64,
}

#[derive(Debug, Clone, Copy)]
struct OwnRequest {
    prefill_tokens: f64,
    sent: Timestamp,
    first_token: Option<Timestamp>,
    finished: Option<Timestamp>,
}

/// A node's knowledge of one engine.
#[derive(Debug, Clone)]
pub struct EngineTracker {
    /// The engine's role as last heard.
    pub role: Role,
    /// Whether the engine accepts work as far as the node knows.
    pub accepts_work: bool,
    report: LoadSnapshot,
    own: HashMap<RequestId, OwnRequest>,
    prefill_rate: PrefillRate,
    weight: f64,
    idle: LoadSnapshot,
    reported: bool,
    forgotten: Timestamp,
}

impl EngineTracker {
    /// An engine that nothing is known of yet, with room for `max_sequences`; `sharing_nodes` nodes
    /// send to it, this one included. The others' requests since the report are unknown, so each is
    /// taken to have done [`PEER_WEIGHT`] of what this node did.
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
            reported: false,
            forgotten: Timestamp::default(),
            own: HashMap::new(),
            prefill_rate: PrefillRate::new(PREFILL_RATE_SECONDS),
            weight: 1.0 + PEER_WEIGHT * (sharing_nodes.max(1) - 1) as f64,
        }
    }

    /// A request of this node was sent to the engine.
    pub fn sent(&mut self, now: Timestamp, id: RequestId, prefill_tokens: f64) {
        let request = OwnRequest {
            prefill_tokens,
            sent: now,
            first_token: None,
            finished: None,
        };
        self.own.insert(id, request);
    }

    /// A request's first token arrived.
    pub fn first_token(&mut self, now: Timestamp, id: RequestId) {
        if let Some(request) = self.own.get_mut(&id) {
            request.first_token.get_or_insert(now);
        }
    }

    /// A request ended, however it ended.
    pub fn finished(&mut self, now: Timestamp, id: RequestId) {
        if let Some(request) = self.own.get_mut(&id) {
            request.finished = Some(now);
        }
        self.forget_ended(now);
    }

    /// A request never reached the engine, or was refused by it: no report will hold it.
    pub fn refused(&mut self, id: RequestId) {
        self.own.remove(&id);
    }

    /// Whether the last report is recent enough to say something.
    pub fn is_reporting(&self, now: Timestamp) -> bool {
        self.reported && now.since(self.report.taken) <= REPORT_LIFETIME
    }

    /// Forgets requests that ended before any report that can still come, so that an engine that
    /// never reports costs no memory.
    fn forget_ended(&mut self, now: Timestamp) {
        if now.since(self.forgotten) < FORGET_PERIOD {
            return;
        }
        self.forgotten = now;
        let long_ended = |ended: Timestamp| now.since(ended) > REPORT_LIFETIME;
        self.own
            .retain(|_, request| !request.finished.is_some_and(long_ended));
    }

    /// A load report arrived; an older one than the last is ignored. Requests that ended before it
    /// was taken are forgotten.
    pub fn report(&mut self, snapshot: LoadSnapshot) {
        if snapshot.taken < self.report.taken {
            return;
        }
        let accepted = snapshot.accepted_prompt_tokens - self.report.accepted_prompt_tokens;
        self.prefill_rate.add(snapshot.taken, accepted.max(0.0));
        self.report = snapshot;
        self.reported = true;
        let known_ended = |ended: Timestamp| ended <= snapshot.taken;
        self.own
            .retain(|_, request| !request.finished.is_some_and(known_ended));
    }

    /// Requests of this node in progress at the engine.
    pub fn in_flight(&self) -> usize {
        self.own
            .values()
            .filter(|request| request.finished.is_none())
            .count()
    }

    /// Requests remembered, those that ended included.
    pub fn tracked(&self) -> usize {
        self.own.len()
    }

    /// The belief at `now`.
    pub fn estimate(&self, now: Timestamp) -> EngineEstimate {
        let report = if now.since(self.report.taken) > REPORT_LIFETIME {
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
        for request in self.own.values() {
            self.correct(&mut estimate, report.taken, request);
        }
        estimate.decoding = estimate.decoding.max(0.0);
        estimate.waiting = estimate.waiting.max(0.0);
        estimate.pending_prefill_tokens = estimate.pending_prefill_tokens.max(0.0);
        estimate
    }

    fn correct(&self, estimate: &mut EngineEstimate, taken: Timestamp, request: &OwnRequest) {
        let in_report = request.sent <= taken;
        let prefilled_in_report = request
            .first_token
            .is_some_and(|first_token| first_token <= taken);
        let weight = self.weight;
        if in_report {
            remove(estimate, request, prefilled_in_report, weight);
        }
        if request.finished.is_none() {
            add(estimate, request, request.first_token.is_some(), weight);
        }
    }
}

fn add(estimate: &mut EngineEstimate, request: &OwnRequest, prefilled: bool, weight: f64) {
    estimate.free_sequences -= weight;
    if prefilled {
        estimate.decoding += weight;
    } else {
        estimate.waiting += weight;
        estimate.pending_prefill_tokens += weight * request.prefill_tokens;
    }
}

fn remove(estimate: &mut EngineEstimate, request: &OwnRequest, prefilled: bool, weight: f64) {
    add(estimate, request, prefilled, -weight);
}
