//! The results of a load run.

use std::fmt;

use serde::Serialize;

/// Counts and latencies over all requests.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of complete answers.
    pub completed: u64,
    /// Number of complete answers that met their deadlines.
    pub in_deadline: u64,
    /// Number of requests with the verdict `not-run`.
    pub not_run: u64,
    /// Number of requests with another verdict, such as `may-have-run`, or with neither text nor verdict
    /// because the connection failed.
    pub may_have_run: u64,
    /// Number of answers that contain text of another request or text that was never generated.
    pub wrong_answers: u64,
    /// Number of answers that ended before their last token without a verdict, or with the verdict
    /// `completed`.
    pub cut_short: u64,
    /// Number of role changes that engines accepted.
    pub role_changes: u64,
    /// Median time to the first token, in milliseconds.
    pub p50_first_token_ms: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub p95_first_token_ms: u64,
    /// Median time to the last token, in milliseconds.
    pub p50_whole_ms: u64,
    /// 95th percentile of the time to the last token, in milliseconds.
    pub p95_whole_ms: u64,
}

impl Summary {
    fn percent(&self, part: u64) -> f64 {
        100.0 * part as f64 / self.requests.max(1) as f64
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcomes = [
            ("completed", self.completed),
            ("  in deadline", self.in_deadline),
            ("not run", self.not_run),
            ("may have run", self.may_have_run),
            ("wrong answers", self.wrong_answers),
            ("cut short", self.cut_short),
        ];
        writeln!(f, "{:<16}{:>9}", "requests", self.requests)?;
        for (name, count) in outcomes {
            let percent = self.percent(count);
            writeln!(f, "{name:<16}{count:>9}{percent:>8.1} %")?;
        }
        writeln!(f, "{:<16}{:>9}", "role changes", self.role_changes)?;
        writeln!(f, "first token")?;
        writeln!(f, "{:<16}{:>9} ms", "  median", self.p50_first_token_ms)?;
        writeln!(f, "{:<16}{:>9} ms", "  95th", self.p95_first_token_ms)?;
        writeln!(f, "whole answer")?;
        writeln!(f, "{:<16}{:>9} ms", "  median", self.p50_whole_ms)?;
        write!(f, "{:<16}{:>9} ms", "  95th", self.p95_whole_ms)
    }
}
