//! Answers to requests that failed: a status, a verdict, and for `not-run` when to come back.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use serde::Serialize;
use tansyhall_core::verdict::VERDICT_HEADER;
use tansyhall_core::Verdict;

/// When to come back after a refusal that no better estimate exists for.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that failed.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong, for people.
    pub message: String,
}

/// The body of a failed request's answer.
#[derive(Debug, Serialize)]
pub struct FailureBody {
    /// The error.
    pub error: FailureDetail,
}

/// The error in a failed request's answer.
#[derive(Debug, Serialize)]
pub struct FailureDetail {
    /// What went wrong, for people.
    pub message: String,
    /// The verdict's name.
    pub verdict: &'static str,
    /// For `not-run`: when to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// A request that did not run.
    pub fn not_run(status: StatusCode, message: impl Into<String>) -> Self {
        let verdict = Verdict::NotRun {
            retry_after: DEFAULT_RETRY_AFTER,
        };
        Self {
            status,
            verdict,
            message: message.into(),
        }
    }

    /// The body.
    pub fn body(&self) -> FailureBody {
        let retry_after_ms = match self.verdict {
            Verdict::NotRun { retry_after } => u64::try_from(retry_after.as_millis()).ok(),
            Verdict::Completed | Verdict::MayHaveRun => None,
        };
        let message = self.message.clone();
        FailureBody {
            error: FailureDetail {
                message,
                verdict: self.verdict.name(),
                retry_after_ms,
            },
        }
    }

    /// The whole answer.
    pub fn response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        response.insert_header((VERDICT_HEADER, self.verdict.name()));
        if let Verdict::NotRun { retry_after } = self.verdict {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body())
    }
}
