//! Judges: each checks one rule against the evidence of an episode and returns the violations.

mod barred;
mod budget;
mod configuration;
mod drain;
mod ended;
mod leaving;
mod lost;
mod mixed;
mod order;
mod rate_limit;
mod recover;
mod refused;
mod rest;
mod senders;
mod stream_events;
mod twice;
mod unasked;
mod versions;

use serde::Serialize;
use serde_json::Value;

use crate::evidence::{Evidence, Run, SentRequest};

pub use barred::check_barred;
pub use budget::{check_budget, BASE_RETRIES, BUDGET_WINDOW_S, RETRY_RATIO};
pub use configuration::check_configuration;
pub use drain::check_drain;
pub use ended::check_ended;
pub use leaving::check_leaving;
pub use lost::check_lost;
pub use mixed::check_mixed;
pub use order::check_order;
pub use rate_limit::check_rate_limit;
pub use recover::check_recover;
pub use refused::check_refused;
pub use rest::check_rest;
pub use twice::check_twice;
pub use unasked::check_unasked;
pub use versions::check_versions;

/// A rule that the gateways must keep, whatever faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A caller receives the complete answer to its own request and nothing else.
    Mixed,
    /// A request that may not be repeated runs at most once.
    Twice,
    /// A refused request that may not be repeated has not run and never will.
    Refused,
    /// Workers run, and do prefill for, only requests that callers sent, unchanged.
    Unasked,
    /// The events of a stream arrive exactly once and in order, up to the last one.
    Order,
    /// A stream holds events of workers of one software version, in one answer and over its caller's tries.
    Version,
    /// Retries stay within the fleet's retry budget, and a request does not run on more workers than its route allows.
    Budget,
    /// A request that crashes workers is no longer sent to any worker.
    Barred,
    /// A worker whose departure the store has accepted gets no more requests after the drain time.
    Drain,
    /// A worker that said in an answer that it is leaving gets no more requests from the gateway that forwarded the
    /// answer.
    Leaving,
    /// A worker that asked a gateway to back off gets no requests from it until the back-off ends.
    Rest,
    /// A worker that announces a rate limit gets no more than that from all gateways that received it.
    RateLimit,
    /// A configuration is applied in time, even after the store was restored from a backup.
    Configuration,
    /// No gateway process exits unless it is told to.
    Ended,
    /// A gateway that is partitioned from all workers serves its callers, as long as another gateway reaches workers.
    Recover,
    /// A caller whose request reached a worker gets a complete answer or one that says what happened, although the
    /// worker was silent for a while.
    Lost,
}

/// A violation of a rule.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// What happened.
    pub what: String,
    /// The records that show it.
    pub evidence: Value,
}

impl Violation {
    fn new(rule: Rule, what: impl Into<String>, evidence: impl Serialize) -> Self {
        Self {
            rule,
            what: what.into(),
            evidence: serde_json::to_value(evidence).unwrap_or_default(),
        }
    }

    fn for_request(
        rule: Rule,
        what: impl Into<String>,
        sent: &SentRequest,
        run: Option<&Run>,
    ) -> Self {
        Self::new(rule, what, (sent, run))
    }
}

/// Checks all rules and returns the violations.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let judges = [
        check_mixed,
        check_twice,
        check_refused,
        check_unasked,
        check_order,
        check_versions,
        check_budget,
        check_barred,
        check_drain,
        check_leaving,
        check_rest,
        check_rate_limit,
        check_configuration,
        check_ended,
        check_recover,
        check_lost,
    ];
    judges.iter().flat_map(|judge| judge(evidence)).collect()
}
