//! The interfaces between the gateway and the protocols of a platform. An adapter implements these
//! traits; it only translates and makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tansyhall_core::{Role, TenantName};
use tansyhall_forwarding::{
    ApiKey, Configuration, EventId, PromptHandle, PromptPart, Worker, WorkerId, WorkerNotice,
};

use crate::headers::HeaderList;

/// The parameters that a caller states for its request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerTerms {
    /// The caller's id for the request; the worker that runs it repeats it in its answer.
    pub request_id: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The parts of the prompt, for requests to model engines.
    pub prompt: Vec<PromptPart>,
    /// The stream that the request takes up, if it does.
    pub resumed: Option<ResumedStream>,
    /// The API key that identifies the caller. It is not forwarded to workers.
    pub key: Option<ApiKey>,
}

/// A stream that a caller takes up after it broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// The id of the last event that the caller has received.
    pub last_event: EventId,
    /// The id of the caller's attempt that brought the first event; `None` if the caller does not name it.
    pub first_attempt: Option<String>,
}

/// A header of a request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {reason}")]
pub struct BadRequest {
    /// The name of the header.
    pub header: &'static str,
    /// What is wrong with its value, and which values are allowed.
    pub reason: String,
}

/// The parameters that are sent to a worker in addition to the caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTerms {
    /// The worker that the request is addressed to.
    pub worker: WorkerId,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The priority rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The tenant that the caller's API key belongs to.
    pub tenant: Option<TenantName>,
    /// The work to do.
    pub work: Work,
    /// The address of a worker from which this one should fetch the missing parts of the prompt's KV cache.
    pub fetch_from: Option<SocketAddr>,
}

/// The work that a worker is requested to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Run the request.
    Run {
        /// The handle of the prompt's KV cache, if another worker has read the prompt.
        source: Option<PromptHandle>,
        /// The id of the last event that the caller has received, if an interrupted stream is resumed.
        resume_after: Option<String>,
    },
    /// Read the prompt and keep its KV cache.
    ReadPrompt,
}

/// The kind of an answer, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A successful answer that is signed by a worker.
    Success,
    /// The worker ran the request, and it failed.
    Failure,
    /// The worker did not run the request and will not run it.
    NotRun,
    /// The worker did not run the request, because it is not the worker that the request was addressed to, or does not
    /// have the required role.
    Misdirected,
    /// The answer cannot be forwarded and says nothing about the outcome of the request.
    Unusable,
}

/// A call to a worker that is not a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCall {
    /// The HTTP method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: HeaderList,
    /// The body.
    pub body: Bytes,
}

/// An order to an engine to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// The engine that the order is addressed to.
    pub worker: WorkerId,
    /// The role to change to.
    pub role: Role,
    /// The name of the gateway that sends the order.
    pub holder: String,
    /// The fence of the holder's claim.
    pub fence: u64,
    /// Number of orders that the engine has accepted so far. It refuses this order if it has accepted another one
    /// since.
    pub orders_taken: u64,
}

/// An engine's report of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that it has accepted.
    pub orders_taken: u64,
    /// Its role.
    pub role: Option<Role>,
    /// Whether it is currently carrying out an order.
    pub is_executing_order: bool,
    /// Whether it is leaving: it accepts no new requests.
    pub is_leaving: bool,
}

/// The protocol between callers, the gateway and workers.
pub trait Protocol: Send + Sync {
    /// Parses the parameters in the headers of a caller's request.
    fn parse_caller_terms(&self, headers: &HeaderList) -> Result<CallerTerms, BadRequest>;
    /// Returns the headers of a request to a worker, based on those of the caller's request.
    fn worker_headers(&self, caller: &HeaderList, terms: &SendTerms) -> HeaderList;
    /// Returns the id that an answer has in common with its request. Requests whose caller has set no id and
    /// the gateway's own calls have none, and their answers have none either.
    fn correlation_id<'a>(&self, headers: &'a HeaderList) -> Option<&'a str>;
    /// Returns the kind of a worker's answer whose id matches that of the request.
    fn answer_kind(&self, status: u16, headers: &HeaderList) -> AnswerKind;
    /// Returns the notice about the worker itself in the head of its answer.
    fn worker_notice(&self, status: u16, headers: &HeaderList) -> WorkerNotice;
    /// Decodes the KV cache handle in the answer to [`Work::ReadPrompt`].
    fn decode_prompt_handle(&self, body: &[u8]) -> anyhow::Result<String>;
    /// Returns the call that releases a KV cache handle which will not be used.
    fn release_handle_call(&self, handle: &str) -> WorkerCall;
    /// Returns the call that requests an engine's report.
    fn engine_report_call(&self) -> WorkerCall;
    /// Decodes an engine's report.
    fn decode_engine_report(&self, body: &[u8]) -> anyhow::Result<EngineReport>;
    /// Returns when the incarnation of a worker that has sent this report has started, in milliseconds since the Unix
    /// epoch, if the report says it.
    fn decode_start(&self, body: &[u8]) -> Option<u64>;
    /// Returns the call that requests the list of an engine's cache contents.
    fn cache_list_call(&self) -> WorkerCall;
    /// Decodes the list of an engine's cache contents.
    fn decode_cache_list(&self, body: &[u8]) -> anyhow::Result<Vec<PromptPart>>;
    /// Returns the call that orders an engine to change its role.
    fn role_order_call(&self, order: &RoleOrder) -> WorkerCall;
}

/// The keys and formats of the platform's items in the store.
pub trait StoreSchema: Send + Sync {
    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &str;
    /// Returns the prefix of the keys of workers.
    fn worker_prefix(&self) -> &str;
    /// Decodes a configuration.
    fn decode_configuration(&self, value: &[u8]) -> anyhow::Result<Configuration>;
    /// Decodes a worker's entry; `id` is its key without the prefix.
    fn decode_worker(&self, id: &str, value: &[u8]) -> anyhow::Result<Worker>;
    /// Returns how long a worker whose entry says that it is leaving remains, if the entry states it. The time is not
    /// part of [`Worker`], because it changes with each write of the entry.
    fn decode_remaining_time(&self, value: &[u8]) -> Option<Duration>;
    /// Returns the number of heartbeats that a worker had written with an entry, which orders the entries of one
    /// incarnation: the store may apply an earlier write later. `None` if the entry does not state it.
    fn decode_heartbeats(&self, value: &[u8]) -> Option<u64>;
}
