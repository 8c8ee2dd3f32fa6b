//! Wire format of the messages between a gateway and the scheduler that places its requests. `codec` converts them to
//! and from the types of [`tansyhall_forwarding::placement`].

use prost::Message;

use crate::load_messages::StatedLimitMessage;

/// A message from a gateway to a scheduler.
#[derive(Clone, PartialEq, Message)]
pub struct MessageToScheduler {
    /// Key of the sending gateway.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Sequence number; it increases with each message.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// All open placements of the sender at this scheduler.
    #[prost(uint64, repeated, tag = "3")]
    pub open: Vec<u64>,
    /// Notices about placements that were not sent before.
    #[prost(message, repeated, tag = "4")]
    pub notices: Vec<NoticeMessage>,
    /// A request to be placed, if any.
    #[prost(message, optional, tag = "5")]
    pub request: Option<RequestMessage>,
}

/// A notice about a placement.
#[derive(Clone, PartialEq, Message)]
pub struct NoticeMessage {
    /// Id of the placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What the notice reports.
    #[prost(enumeration = "NoticeKind", tag = "2")]
    pub kind: i32,
    /// Microseconds from the send until the answer started; 0 if it did not start.
    #[prost(uint64, tag = "3")]
    pub latency_micros: u64,
    /// Whether the worker has notified the sender that it is leaving. Gateways of earlier versions don't send this.
    #[prost(bool, tag = "4")]
    pub worker_leaves: bool,
    /// Microseconds for which the worker is backing off; 0 if it is not. Gateways of earlier versions don't send this.
    #[prost(uint64, tag = "5")]
    pub rest_micros: u64,
    /// The rate limit that the worker has stated, if known. Gateways of earlier versions don't send this.
    #[prost(message, optional, tag = "6")]
    pub rate_limit: Option<StatedLimitMessage>,
    /// The longest pause of the stream in microseconds; 0 for none. Gateways of earlier versions don't send this.
    #[prost(uint64, tag = "7")]
    pub pause_micros: u64,
}

/// The kinds of notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NoticeKind {
    /// The worker has read the prompt, and its answer starts.
    PromptRead = 0,
    /// The worker has answered.
    Answered = 1,
    /// The worker failed, or sent an invalid answer.
    Failed = 2,
    /// The worker rejected the request because it has no capacity.
    Refused = 3,
    /// The worker could not be reached.
    Unreachable = 4,
    /// The worker does not exist: nothing, or another worker, listens at its address.
    Absent = 5,
    /// The send was abandoned before any part of an answer arrived.
    AbandonedSilent = 6,
    /// The send was abandoned later, or the gateway withheld it because of the worker's rate limit.
    Abandoned = 7,
}

/// A request to be placed.
#[derive(Clone, PartialEq, Message)]
pub struct RequestMessage {
    /// Id of the new placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Name of the route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// The parts of the prompt.
    #[prost(message, repeated, tag = "4")]
    pub prompt: Vec<PromptPartMessage>,
    /// Whether the service has routes with a higher priority than this one.
    #[prost(bool, tag = "5")]
    pub yields: bool,
    /// Latency objective: microseconds within which the answer should start.
    #[prost(uint64, tag = "6")]
    pub objective_micros: u64,
    /// Longest allowed pause of the stream in microseconds, if there is a limit.
    #[prost(uint64, optional, tag = "7")]
    pub pause_micros: Option<u64>,
    /// Microseconds until the deadline of the request.
    #[prost(uint64, tag = "8")]
    pub left_micros: u64,
    /// A random number that selects one of several nearly equal engines.
    #[prost(fixed64, tag = "9")]
    pub draw: u64,
    /// What the sender requests.
    #[prost(enumeration = "NeedKind", tag = "10")]
    pub need: i32,
    /// The worker that has read the prompt, for [`NeedKind::Continue`]; empty otherwise.
    #[prost(string, tag = "11")]
    pub reader: String,
    /// Workers that must not be selected. Gateways of earlier versions ignore it in requests for admission.
    #[prost(string, repeated, tag = "12")]
    pub avoid: Vec<String>,
    /// Key of the tenant that the request belongs to, if any. Gateways of earlier versions don't send this.
    #[prost(fixed64, optional, tag = "13")]
    pub tenant: Option<u64>,
    /// Whether a request for admission may be placed on a worker that is leaving. Gateways of earlier versions neither
    /// send nor read this.
    #[prost(bool, tag = "14")]
    pub may_use_leaving: bool,
}

/// A part of a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct PromptPartMessage {
    /// Identifier of the part.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Length in tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// What a gateway can request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NeedKind {
    /// Admission of the request, and its first worker.
    Admission = 0,
    /// A worker that runs the request.
    Run = 1,
    /// A worker that only reads the prompt.
    ReadPrompt = 2,
    /// A worker that continues with the KV cache of the worker that has read the prompt.
    Continue = 3,
}

/// A scheduler's answer to a placement request. Without `placed` and `refused`, the scheduler knows no worker for the
/// request.
#[derive(Clone, PartialEq, Message)]
pub struct SchedulerAnswerMessage {
    /// Id of the requested placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The selected worker, if the request was placed.
    #[prost(message, optional, tag = "2")]
    pub placed: Option<PlacedMessage>,
    /// The reason, if the request was refused.
    #[prost(message, optional, tag = "3")]
    pub refused: Option<RefusedMessage>,
}

/// The worker that a scheduler selected for a request.
#[derive(Clone, PartialEq, Message)]
pub struct PlacedMessage {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether the worker only reads the prompt, and another worker runs the request.
    #[prost(bool, tag = "2")]
    pub read_apart: bool,
    /// Address of the worker from which missing KV cache should be fetched, or empty.
    #[prost(string, tag = "3")]
    pub fetch_from: String,
    /// Number of prompt tokens that the worker has to read.
    #[prost(uint64, tag = "4")]
    pub reading_tokens: u64,
    /// Whether reading these tokens costs an engine hardly more than the fixed cost of any prompt.
    #[prost(bool, tag = "5")]
    pub short_reading: bool,
    /// Expected microseconds until the answer starts.
    #[prost(uint64, tag = "6")]
    pub expected_micros: u64,
    /// Whether the scheduler has taken a token from the worker's rate limit for this request. Schedulers of earlier
    /// versions don't support rate limits.
    #[prost(bool, tag = "7")]
    pub has_rate_token: bool,
    /// The rate limit that the worker has stated, if the scheduler knows it.
    #[prost(message, optional, tag = "8")]
    pub rate_limit: Option<StatedLimitMessage>,
}

/// Why a request was refused.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedMessage {
    /// Microseconds that the request would have waited.
    #[prost(uint64, tag = "1")]
    pub waiting_micros: u64,
    /// Microseconds after which the caller should retry.
    #[prost(uint64, tag = "2")]
    pub retry_after_micros: u64,
    /// Whether the cause is that the tenant has taken more than its share.
    #[prost(bool, tag = "3")]
    pub tenant_share: bool,
    /// Whether the cause is that all workers are at their rate limits. Gateways of earlier versions treat this as
    /// overload.
    #[prost(bool, tag = "4")]
    pub rate_limit: bool,
}
