//! Messages between a gateway and the scheduler that places its requests, as they are sent. `codec` makes
//! them of what they stand for.

use prost::Message;

use crate::load_messages::StatedLimitMessage;

/// What a gateway sends to a scheduler.
#[derive(Clone, PartialEq, Message)]
pub struct QuestionMessage {
    /// The sender's key.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Grows with each message.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Placements that the sender holds open here.
    #[prost(uint64, repeated, tag = "3")]
    pub open: Vec<u64>,
    /// What is new of them.
    #[prost(message, repeated, tag = "4")]
    pub notices: Vec<NoticeMessage>,
    /// A request to be placed.
    #[prost(message, optional, tag = "5")]
    pub request: Option<RequestMessage>,
}

/// What is new of a placement.
#[derive(Clone, PartialEq, Message)]
pub struct NoticeMessage {
    /// The placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What happened.
    #[prost(enumeration = "NoticeKind", tag = "2")]
    pub kind: i32,
    /// Microseconds until the answer began, where it did.
    #[prost(uint64, tag = "3")]
    pub latency_micros: u64,
    /// Whether the worker has told the sender that it leaves; gateways of earlier versions don't tell it.
    #[prost(bool, tag = "4")]
    pub worker_leaves: bool,
    /// Microseconds for which the worker wants nothing more; gateways of earlier versions don't tell it.
    #[prost(uint64, tag = "5")]
    pub rest_micros: u64,
    /// What the worker has stated of its rate limit; gateways of earlier versions don't tell it.
    #[prost(message, optional, tag = "6")]
    pub rate_limit: Option<StatedLimitMessage>,
}

/// What may happen to a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NoticeKind {
    /// Its prompt was read.
    PromptRead = 0,
    /// A whole answer.
    Answered = 1,
    /// The worker failed.
    Failed = 2,
    /// The worker had no room.
    Refused = 3,
    /// The worker could not be reached.
    Unreachable = 4,
    /// The worker is not there.
    Absent = 5,
    /// Given up because the worker was silent.
    AbandonedSilent = 6,
    /// Given up for another reason.
    Abandoned = 7,
}

/// A request to be placed.
#[derive(Clone, PartialEq, Message)]
pub struct RequestMessage {
    /// Names the placement.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// The prompt's parts.
    #[prost(message, repeated, tag = "4")]
    pub prompt: Vec<PromptPartMessage>,
    /// Whether more urgent routes go first.
    #[prost(bool, tag = "5")]
    pub yields: bool,
    /// Microseconds until the answer should begin.
    #[prost(uint64, tag = "6")]
    pub objective_micros: u64,
    /// Microseconds that the stream may pause, if there is a bound.
    #[prost(uint64, optional, tag = "7")]
    pub pause_micros: Option<u64>,
    /// Microseconds until the caller gives up.
    #[prost(uint64, tag = "8")]
    pub left_micros: u64,
    /// A random number.
    #[prost(fixed64, tag = "9")]
    pub draw: u64,
    /// What is needed.
    #[prost(enumeration = "NeedKind", tag = "10")]
    pub need: i32,
    /// The worker that has read the prompt, if it goes on from there.
    #[prost(string, tag = "11")]
    pub reader: String,
    /// Workers that are not to be chosen. Gateways of earlier versions pass over it where admission is asked for.
    #[prost(string, repeated, tag = "12")]
    pub avoid: Vec<String>,
    /// The key of the tenant whose request it is; gateways of earlier versions don't tell it.
    #[prost(fixed64, optional, tag = "13")]
    pub tenant: Option<u64>,
}

/// A part of a prompt.
#[derive(Clone, PartialEq, Message)]
pub struct PromptPartMessage {
    /// Its identity.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its length.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// What a request may need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NeedKind {
    /// Admission and the first worker.
    Admission = 0,
    /// A worker that runs it.
    Run = 1,
    /// A worker that reads the prompt.
    ReadPrompt = 2,
    /// A worker that goes on after the reader.
    Continue = 3,
}

/// What a scheduler answers.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerMessage {
    /// The placement that was asked for.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Where it goes, if it was placed.
    #[prost(message, optional, tag = "2")]
    pub placed: Option<PlacedMessage>,
    /// Why not, if it was refused.
    #[prost(message, optional, tag = "3")]
    pub refused: Option<RefusedMessage>,
}

/// Where a request goes.
#[derive(Clone, PartialEq, Message)]
pub struct PlacedMessage {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether it only reads.
    #[prost(bool, tag = "2")]
    pub read_apart: bool,
    /// The address to fetch from, or empty.
    #[prost(string, tag = "3")]
    pub fetch_from: String,
    /// Tokens to read.
    #[prost(uint64, tag = "4")]
    pub reading_tokens: u64,
    /// Whether they are few.
    #[prost(bool, tag = "5")]
    pub short_reading: bool,
    /// Microseconds until the answer is expected.
    #[prost(uint64, tag = "6")]
    pub expected_micros: u64,
    /// Whether it is taken off the worker's rate limit; schedulers of earlier versions don't know of limits.
    #[prost(bool, tag = "7")]
    pub has_rate_token: bool,
    /// What the worker has stated of its rate limit.
    #[prost(message, optional, tag = "8")]
    pub rate_limit: Option<StatedLimitMessage>,
}

/// Why a request was refused.
#[derive(Clone, PartialEq, Message)]
pub struct RefusedMessage {
    /// Microseconds that it would have waited.
    #[prost(uint64, tag = "1")]
    pub waiting_micros: u64,
    /// Microseconds after which to come back.
    #[prost(uint64, tag = "2")]
    pub retry_after_micros: u64,
    /// Whether its tenant's share is the cause.
    #[prost(bool, tag = "3")]
    pub tenant_share: bool,
    /// Whether the rate limits of all workers are the cause; gateways of earlier versions take it for overload.
    #[prost(bool, tag = "4")]
    pub rate_limit: bool,
}
