//! Judges: each reads what was seen in an episode and names what breaks its rule.

mod barred;
mod budget;
mod configuration;
mod ended;
mod leaving;
mod mixed;
mod order;
mod rate_limit;
mod refused;
mod rest;
mod senders;
mod stream_events;
mod twice;
mod unasked;

use serde::Serialize;
use serde_json::Value;

use crate::evidence::{Evidence, Run, Sent};

pub use barred::barred;
pub use budget::{budget, EXTRA, RATIO, WINDOW_S};
pub use configuration::configuration;
pub use ended::ended;
pub use leaving::leaving;
pub use mixed::mixed;
pub use order::order;
pub use rate_limit::rate_limit;
pub use refused::refused;
pub use rest::rest;
pub use twice::twice;
pub use unasked::unasked;

/// A rule that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A caller gets the whole answer to its own request, and only that.
    Mixed,
    /// A request that may not be repeated runs at most once.
    Twice,
    /// What was refused has not run and never will.
    Refused,
    /// Workers run only what callers sent, unchanged.
    Unasked,
    /// Events of a stream come once each and in order, to the last.
    Order,
    /// Repeats stay within the fleet's budget.
    Budget,
    /// A request under which workers end is sent to none any more.
    Barred,
    /// A worker that has said in an answer that it leaves gets nothing more from the gateway that passed it on.
    Leaving,
    /// A worker that asked a gateway for rest gets it.
    Rest,
    /// A worker gets no more than the rate limit that it names from all gateways that were told.
    RateLimit,
    /// A configuration is in force in time, also after the store was restored.
    Configuration,
    /// No gateway process ends by itself.
    Ended,
}

/// A broken rule.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// The rule.
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

    fn of_answer(rule: Rule, what: impl Into<String>, sent: &Sent, run: Option<&Run>) -> Self {
        Self::new(rule, what, (sent, run))
    }
}

/// What all judges find.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let judges = [
        mixed,
        twice,
        refused,
        unasked,
        order,
        budget,
        barred,
        leaving,
        rest,
        rate_limit,
        configuration,
        ended,
    ];
    judges.iter().flat_map(|judge| judge(evidence)).collect()
}
