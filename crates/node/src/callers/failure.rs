//! Answers to failed requests: a status, a verdict and, for `not-run`, when to retry.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use serde::Serialize;
use tansyhall_core::verdict::VERDICT_HEADER;
use tansyhall_core::{RequestId, Verdict};

/// Header of every answer with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "tansyhall-request-id";

/// A failed request.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Description of the failure for people.
    pub message: String,
}

/// Body of the answer to a failed request.
#[derive(Debug, Serialize)]
pub struct FailureBody {
    /// The error.
    pub error: FailureDetail,
}

/// Error in the answer to a failed request.
#[derive(Debug, Serialize)]
pub struct FailureDetail {
    /// Description of the failure for people.
    pub message: String,
    /// Name of the verdict.
    pub verdict: &'static str,
    /// For `not-run`: when to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns the failure of a well-formed request that did not run. It may be sent again after
    /// `retry_after`.
    pub fn not_run(status: StatusCode, message: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun { retry_after },
            message: message.into(),
        }
    }

    /// Returns the failure of a request that can never run in this form, so that a retry does not
    /// help.
    pub fn invalid(status: StatusCode, message: impl Into<String>) -> Self {
        Self::not_run(status, message, Duration::ZERO)
    }

    /// Returns the failure of a request that may have run.
    pub fn may_have_run(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }

    /// Returns the time after which the caller should retry, if a retry can help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.verdict {
            Verdict::NotRun { retry_after } if !retry_after.is_zero() => Some(retry_after),
            _ => None,
        }
    }

    /// Returns the body of the answer.
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

    /// Returns the complete answer.
    pub fn response(&self, id: RequestId) -> HttpResponse {
        let mut response = response_builder(self.status, id, self.verdict);
        if let Some(retry_after) = self.retry_after() {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body())
    }
}

/// Returns the builder of an answer, with the headers that every answer carries.
pub fn response_builder(
    status: StatusCode,
    id: RequestId,
    verdict: Verdict,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response.insert_header((VERDICT_HEADER, verdict.name()));
    response.insert_header((REQUEST_ID_HEADER, id.to_string()));
    response
}
