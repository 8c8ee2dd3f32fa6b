//! Answers to requests that failed: a status, a verdict, and for `not-run` when to come back.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use serde::Serialize;
use tansyhall_core::verdict::VERDICT_HEADER;
use tansyhall_core::{RequestId, Verdict};

/// Header that carries the request's identifier on every answer.
pub const REQUEST_ID_HEADER: &str = "tansyhall-request-id";

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
    /// A request that was well formed but did not run; it may be sent again after `retry_after`.
    pub fn not_run(status: StatusCode, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun { retry_after },
            message: message.into(),
        }
    }

    /// A request that can never run as it stands, so that coming back does not help.
    pub fn invalid(status: StatusCode, message: impl Into<String>) -> Self {
        Self::not_run(status, message, Duration::ZERO)
    }

    /// A request that may have run.
    pub fn may_have_run(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }

    /// When the caller should come back, if coming back can help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.verdict {
            Verdict::NotRun { retry_after } if !retry_after.is_zero() => Some(retry_after),
            _ => None,
        }
    }

    /// The body.
    pub fn body(&self) -> FailureBody {
        let retry_after = self.retry_after();
        FailureBody {
            error: FailureDetail {
                message: self.message.clone(),
                verdict: self.verdict.name(),
                retry_after_ms: retry_after.and_then(|wait| u64::try_from(wait.as_millis()).ok()),
            },
        }
    }

    /// The whole answer.
    pub fn response(&self, id: RequestId) -> HttpResponse {
        let mut response = answer_with(self.status, id, self.verdict);
        if let Some(retry_after) = self.retry_after() {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body())
    }
}

/// Begins an answer with the headers that every answer carries.
pub fn answer_with(status: StatusCode, id: RequestId, verdict: Verdict) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header((VERDICT_HEADER, verdict.name()));
    response.insert_header((REQUEST_ID_HEADER, id.to_string()));
    response
}
