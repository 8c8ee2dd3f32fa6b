//! What callers and workers observed during an episode. It is the only input of the judges.

use bytes::Bytes;
use serde::{Serialize, Serializer};
use tansyhall_testing::Partition;

use crate::identity::{Mark, RequestKey};
use crate::routes::RouteKind;

/// All observations of an episode.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Evidence {
    /// Requests as callers sent them, with their outcomes.
    pub sent: Vec<SentRequest>,
    /// Executions of requests by workers.
    pub runs: Vec<Run>,
    /// Requests that arrived at workers, to be run or for prefill alone, including those that were refused.
    pub arrivals: Vec<Arrival>,
    /// Prefills that workers did for other workers.
    pub readings: Vec<Prefill>,
    /// Other requests to workers: reports, orders, health checks and releases of KV caches.
    pub calls: Vec<Call>,
    /// Bytes received on callers' connections while no request was outstanding.
    pub stray: Vec<StrayBytes>,
    /// Bytes received by workers that are not a valid request.
    pub garbled: Vec<InvalidBytes>,
    /// Refusals in which a worker asked for back-off.
    pub rests: Vec<BackoffRequest>,
    /// Periods in which workers announced rate limits.
    pub rate_limits: Vec<AnnouncedRateLimit>,
    /// Workers that a request crashed.
    pub worker_ends: Vec<WorkerCrash>,
    /// Departures of workers whose answers do not tell.
    pub departures: Vec<Departure>,
    /// Periods in which the store ignored a gateway.
    pub ignored: Vec<IgnoredPeriod>,
    /// Periods in which a gateway was stopped, frozen or killed, or its link to the store had a fault.
    pub troubles: Vec<GatewayFaultPeriod>,
    /// Periods in which the link to a worker had a fault.
    pub worker_troubles: Vec<WorkerLinkFaultPeriod>,
    /// Periods in which a gateway was partitioned from all workers.
    pub partitions: Vec<PartitionPeriod>,
    /// Periods in which the link between callers and a gateway had a fault.
    pub caller_link_troubles: Vec<GatewayFaultPeriod>,
    /// Periods in which a worker sent nothing and went on afterwards.
    pub silences: Vec<WorkerSilencePeriod>,
    /// Answers that workers did not send as they should have.
    pub broken_answers: Vec<BrokenAnswer>,
    /// Unexpected exits of gateway processes, with name and exit status.
    pub ended: Vec<String>,
    /// Gateways that did not apply the last configuration in time.
    pub stale_configurations: Vec<StaleConfiguration>,
}

/// A gateway that did not apply the last configuration in time.
#[derive(Debug, Clone, Serialize)]
pub struct StaleConfiguration {
    /// The gateway.
    pub gateway: usize,
    /// The version that the operator wrote.
    pub written: u64,
    /// The version in force, if the gateway reports one.
    pub in_force: Option<f64>,
}

/// A request that a caller sent.
#[derive(Debug, Clone, Serialize)]
pub struct SentRequest {
    /// The identity of the request.
    pub key: RequestKey,
    /// Its route.
    pub route: RouteKind,
    /// The values of the headers for model, token counts and prompt, separated by spaces.
    pub prompt: String,
    /// The last event that the caller had received before.
    pub after_event: Option<u32>,
    /// The gateway.
    pub gateway: usize,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// Whether the caller had not sent the request before.
    pub is_first_try: bool,
    /// How long the caller waits for the answer, in milliseconds. This is less than the deadline if it abandons the
    /// request.
    pub patience_ms: u64,
    /// When its outcome was known, in milliseconds from the start of the episode.
    pub ended_ms: u64,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Serialize)]
pub enum Outcome {
    /// The head of an answer was not received.
    NoAnswer {
        /// The reason.
        why: String,
    },
    /// Bytes were received that are not an answer.
    Garbage {
        /// The bytes, as text.
        bytes: String,
    },
    /// An answer, possibly truncated.
    Answer(CallerAnswer),
}

/// An answer as its caller received it.
#[derive(Debug, Clone, Serialize)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The request id in its head.
    pub id: Option<String>,
    /// The worker's signature.
    pub seal: Option<String>,
    /// Whether it says that its worker is leaving.
    pub says_leaving: bool,
    /// Whether it announces a rate limit of its worker.
    pub names_limit: bool,
    /// The part of the body that was received.
    #[serde(serialize_with = "as_text")]
    pub body: Bytes,
    /// Whether the body ended as its framing requires.
    pub is_whole: bool,
}

impl CallerAnswer {
    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// The body of a run's answer.
#[derive(Debug, Clone, Serialize)]
pub enum RunBody {
    /// A fixed body.
    Plain(#[serde(serialize_with = "as_text")] Bytes),
    /// A stream of events.
    Stream {
        /// The number of its last event.
        last: u32,
    },
}

/// An execution of a request by a worker.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// The mark in its answer.
    pub mark: Mark,
    /// The HTTP method of the request.
    pub method: String,
    /// The software version of the worker.
    pub version: String,
    /// The signature on its answer.
    pub seal: String,
    /// The values of the headers for model, token counts and prompt, separated by spaces.
    pub prompt: String,
    /// The last event that the worker must not generate again, if the stream is resumed.
    pub after_event: Option<u32>,
    /// The KV cache that it continues from, as `IP:PORT/HANDLE`.
    pub cache_source: Option<String>,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// The status of its answer.
    pub status: u16,
    /// The body of its answer.
    pub body: RunBody,
}

/// A prefill that a worker did for another worker.
#[derive(Debug, Clone, Serialize)]
pub struct Prefill {
    /// `IP:PORT/HANDLE` of the KV cache, as in [`Run::cache_source`].
    pub place: String,
    /// The request.
    pub key: RequestKey,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// An arrival of a request at a worker.
#[derive(Debug, Clone, Serialize)]
pub struct Arrival {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Whether the worker was asked for prefill alone.
    pub is_reading: bool,
    /// Whether the worker accepted it.
    pub is_taken_up: bool,
    /// Whether it was addressed to this incarnation of the worker.
    pub is_meant: bool,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A refusal in which a worker asked for back-off, sent without a fault injected at the worker.
#[derive(Debug, Clone, Serialize)]
pub struct BackoffRequest {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// Duration of the back-off in milliseconds.
    pub rest_ms: u64,
}

/// A period in which a worker announced a rate limit in its answers.
#[derive(Debug, Clone, Serialize)]
pub struct AnnouncedRateLimit {
    /// The worker.
    pub worker: String,
    /// The limit for all gateways together, in thousandths of a request per second.
    pub millirequests: u64,
    /// When it began to announce the limit, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// When it stopped announcing the limit, in milliseconds from the start of the episode; `None` if it did not stop.
    pub to_ms: Option<u64>,
}

/// A crash of a worker that a request caused.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerCrash {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A departure that the store has accepted: a worker's entry says that it is leaving, or was removed.
#[derive(Debug, Clone, Serialize)]
pub struct Departure {
    /// The worker.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A period in which the store refused the calls of a gateway or did not answer them.
#[derive(Debug, Clone, Serialize)]
pub struct IgnoredPeriod {
    /// The gateway.
    pub gateway: usize,
    /// Its start, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// Its end, in milliseconds from the start of the episode.
    pub to_ms: u64,
}

/// What is done to a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum GatewayFault {
    /// Its process is stopped gracefully and started anew.
    Stop,
    /// Its process is killed and started anew.
    Kill,
    /// Its process is frozen.
    Freeze,
    /// One of its links has a fault.
    Link,
}

/// A period in which a gateway was stopped, frozen or killed, or one of its links had a fault.
#[derive(Debug, Clone, Serialize)]
pub struct GatewayFaultPeriod {
    /// The gateway.
    pub gateway: usize,
    /// What was done to it.
    pub fault: GatewayFault,
    /// Its start, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// Its end, in milliseconds from the start of the episode.
    pub to_ms: u64,
}

/// A period in which the link to a worker had a fault.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerLinkFaultPeriod {
    /// The worker's incarnation at the start of the period.
    pub worker: String,
    /// Its start, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// Its end, in milliseconds from the start of the episode.
    pub to_ms: u64,
}

/// A period in which a gateway was partitioned from all workers.
#[derive(Debug, Clone, Serialize)]
pub struct PartitionPeriod {
    /// The gateway.
    pub gateway: usize,
    /// What happened to its connections to workers.
    pub partition: Partition,
    /// Its start, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// Its end, in milliseconds from the start of the episode.
    pub to_ms: u64,
}

/// A period in which a worker sent nothing and went on afterwards.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerSilencePeriod {
    /// The worker's incarnation at the start of the period.
    pub worker: String,
    /// Its start, in milliseconds from the start of the episode.
    pub from_ms: u64,
    /// Its end, in milliseconds from the start of the episode.
    pub to_ms: u64,
}

/// An answer that a worker broke off or did not send, or that other bytes preceded or replaced.
#[derive(Debug, Clone, Serialize)]
pub struct BrokenAnswer {
    /// The worker.
    pub worker: String,
    /// The id of the request, or `None` if this concerns all answers of the worker.
    pub id: Option<String>,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A request to a worker that is no caller's: a report, an order, a health check or the release of a KV cache.
#[derive(Debug, Clone, Serialize)]
pub struct Call {
    /// The worker.
    pub worker: String,
    /// Method and path.
    pub what: String,
    /// The request id that it carried.
    pub id: Option<String>,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// Bytes received by a worker that are not a valid request.
#[derive(Debug, Clone, Serialize)]
pub struct InvalidBytes {
    /// The worker.
    pub worker: String,
    /// The first bytes, as text.
    pub bytes: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// Bytes received on a caller's connection while no request was outstanding.
#[derive(Debug, Clone, Serialize)]
pub struct StrayBytes {
    /// The gateway.
    pub gateway: usize,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// The bytes, as text.
    pub bytes: String,
}

fn as_text<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(bytes))
}
