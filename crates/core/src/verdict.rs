//! The verdict: the one type that says whether a request may have run. Every error that reaches a
//! caller carries one, and retry decisions read nothing else.

use std::time::Duration;

/// Header that carries the verdict on every answer to a caller.
pub const VERDICT_HEADER: &str = "tansyhall-verdict";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer was delivered.
    Completed,
    /// No back end ran any part of the request; it is safe to send again after `retry_after`.
    NotRun {
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// A back end may have run the request, in part or whole.
    MayHaveRun,
}

impl Verdict {
    /// The verdict's name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Verdict::Completed => "completed",
            Verdict::NotRun { .. } => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }

    /// Whether another attempt is safe. A request that may have run is attempted again only if it
    /// is `repeatable`.
    pub const fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Verdict::Completed => false,
            Verdict::NotRun { .. } => true,
            Verdict::MayHaveRun => repeatable,
        }
    }

    /// The verdict on a request after a further attempt ended with `attempt`: once an attempt may
    /// have run, a later attempt that did not run cannot take that back.
    pub const fn after_attempt(self, attempt: Verdict) -> Verdict {
        match (self, attempt) {
            (_, Verdict::Completed) => Verdict::Completed,
            (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
            (_, attempt) => attempt,
        }
    }
}
