//! Requests as they go to workers: callers' requests, and the gateway's own calls.

use bytes::Bytes;

use crate::headers::HeaderList;
use crate::protocol::WorkerCall;

/// What is asked of a worker, as logs and metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Running a request.
    Run,
    /// Reading a prompt for another worker.
    ReadPrompt,
    /// Its report.
    Report,
    /// The list of its cache.
    ListCache,
    /// A change of its role.
    Order,
    /// Freeing a KV cache that nobody takes over.
    Release,
}

impl Asked {
    /// Whether it is a caller's work, which counts against the worker's rate limit.
    pub fn is_work(self) -> bool {
        matches!(self, Asked::Run | Asked::ReadPrompt)
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Asked::Run => "run",
            Asked::ReadPrompt => "read_prompt",
            Asked::Report => "report",
            Asked::ListCache => "list_cache",
            Asked::Order => "order",
            Asked::Release => "release",
        }
    }
}

/// A request for a worker.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// What is asked.
    pub asked: Asked,
    /// Whether a scheduler has taken it off the worker's rate limit already.
    pub has_rate_token: bool,
    /// The method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers without those of one connection.
    pub headers: HeaderList,
    /// The body.
    pub body: Bytes,
}

impl WorkerRequest {
    /// A call beside callers' requests.
    pub fn of_call(asked: Asked, call: WorkerCall) -> Self {
        Self {
            asked,
            has_rate_token: false,
            method: call.method.to_owned(),
            target: call.path,
            headers: call.headers,
            body: call.body,
        }
    }
}
