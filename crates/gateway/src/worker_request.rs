//! Requests to workers: those of callers, and those of the gateway itself.

use bytes::Bytes;

use crate::headers::HeaderList;
use crate::protocol::WorkerCall;

/// The kind of a request to a worker, as named in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Runs a caller's request.
    Run,
    /// Reads a prompt on behalf of another worker.
    ReadPrompt,
    /// Gets the engine's report.
    Report,
    /// Lists the contents of the engine's cache.
    ListCache,
    /// Orders the engine to change its role.
    Order,
    /// Frees a KV cache that no worker will use.
    Release,
}

impl RequestKind {
    /// Returns whether it does work for a caller, which counts against the worker's rate limit.
    pub fn is_caller_work(self) -> bool {
        matches!(self, RequestKind::Run | RequestKind::ReadPrompt)
    }

    /// Returns whether it may be sent through another gateway. An order is attributed to the machine that sends it.
    pub fn allows_relay(self) -> bool {
        self != RequestKind::Order
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Run => "run",
            RequestKind::ReadPrompt => "read_prompt",
            RequestKind::Report => "report",
            RequestKind::ListCache => "list_cache",
            RequestKind::Order => "order",
            RequestKind::Release => "release",
        }
    }
}

/// A request to a worker.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// Whether a scheduler has already taken a token of the worker's rate limit for it.
    pub has_rate_token: bool,
    /// The HTTP method.
    pub method: String,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// The headers, without those that apply to a single connection.
    pub headers: HeaderList,
    /// The body.
    pub body: Bytes,
}

impl WorkerRequest {
    /// Creates a request of the gateway itself.
    pub fn from_call(kind: RequestKind, call: WorkerCall) -> Self {
        Self {
            kind,
            has_rate_token: false,
            method: call.method.to_owned(),
            target: call.path,
            headers: call.headers,
            body: call.body,
        }
    }
}
