//! The verdict: the type that states whether a request may have run. Every error that is returned to a caller contains
//! a verdict, and retry decisions depend on nothing else.

use std::time::Duration;

/// Name of the header that contains the verdict in every answer to a caller.
pub const VERDICT_HEADER: &str = "tansyhall-verdict";

/// Whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The complete answer was delivered.
    Completed,
    /// No back end has run any part of the request. It is safe to send it again after `retry_after`.
    NotRun {
        /// Time after which the caller should send the request again.
        retry_after: Duration,
    },
    /// A back end may have run part or all of the request.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name of the verdict on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Verdict::Completed => "completed",
            Verdict::NotRun { .. } => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }

    /// Whether another attempt is safe. If the request may have run, another attempt is safe only if the request is
    /// `repeatable`.
    pub const fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Verdict::Completed => false,
            Verdict::NotRun { .. } => true,
            Verdict::MayHaveRun => repeatable,
        }
    }

    /// Returns the verdict on a request after another attempt has ended with `attempt`. Once an attempt may have run
    /// the request, a later attempt that did not run it does not change the verdict to not-run.
    pub const fn after_attempt(self, attempt: Verdict) -> Verdict {
        match (self, attempt) {
            (_, Verdict::Completed) => Verdict::Completed,
            (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
            (_, attempt) => attempt,
        }
    }
}
