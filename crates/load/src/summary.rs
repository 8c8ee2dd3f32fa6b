//! What came of a load.

use serde::Serialize;

/// Counts over all requests.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers that met their deadlines.
    pub in_deadline: u64,
    /// Requests answered `not-run`.
    pub not_run: u64,
    /// Requests answered `may-have-run`, or with no verdict because the connection broke.
    pub may_have_run: u64,
    /// Answers that hold text of another request, or text that was never generated.
    pub wrong_answers: u64,
    /// Answers that ended before their last token and without a verdict.
    pub cut_short: u64,
    /// Changes of role that engines carried out.
    pub role_changes: u64,
    /// Median time to the first token, in milliseconds.
    pub p50_first_token_ms: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub p95_first_token_ms: u64,
}
