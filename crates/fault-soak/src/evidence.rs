//! What callers and workers have seen in an episode. The judges read nothing else.

use bytes::Bytes;
use serde::{Serialize, Serializer};

use crate::identity::{Mark, RequestKey};
use crate::routes::RouteKind;

/// All that was seen.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Evidence {
    /// Requests as callers sent them, with what came back.
    pub sent: Vec<Sent>,
    /// Runs of requests at workers.
    pub runs: Vec<Run>,
    /// Requests as they arrived at workers, to be run or read, also those that were refused.
    pub arrivals: Vec<Arrival>,
    /// Prompts that workers read for other workers.
    pub readings: Vec<Reading>,
    /// Other calls that workers took.
    pub calls: Vec<Call>,
    /// Bytes on callers' connections on which no request was waiting.
    pub stray: Vec<StrayBytes>,
    /// What workers got that is no request.
    pub garbled: Vec<Garbled>,
    /// Workers that turned a request away and asked for rest.
    pub rests: Vec<Rest>,
    /// Times in which workers named rate limits.
    pub rate_limits: Vec<NamedLimit>,
    /// Workers that ended under requests.
    pub worker_ends: Vec<WorkerEnd>,
    /// Times in which gateways were in trouble.
    pub troubles: Vec<Trouble>,
    /// Times in which the link before workers was harmed, and the worker there as each began.
    pub worker_troubles: Vec<WorkerTrouble>,
    /// Gateway processes that ended without having been stopped, and how.
    pub ended: Vec<String>,
    /// Gateways at which the last configuration was not in force in time.
    pub stale_configurations: Vec<StaleConfiguration>,
}

/// A gateway that has not the last configuration.
#[derive(Debug, Clone, Serialize)]
pub struct StaleConfiguration {
    /// The gateway.
    pub gateway: usize,
    /// The version that the operator has written.
    pub written: u64,
    /// The version in force, if it tells one.
    pub in_force: Option<f64>,
}

/// A request that a caller sent.
#[derive(Debug, Clone, Serialize)]
pub struct Sent {
    /// What makes it this one.
    pub key: RequestKey,
    /// Its route.
    pub route: RouteKind,
    /// The headers that tell its model, its tokens and its prompt.
    pub prompt: String,
    /// The last event that the caller has already.
    pub after_event: Option<u32>,
    /// The gateway.
    pub gateway: usize,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// The same, when its outcome was known.
    pub ended_ms: u64,
    /// What came back.
    pub outcome: Outcome,
}

/// What a caller got.
#[derive(Debug, Clone, Serialize)]
pub enum Outcome {
    /// No head of an answer came.
    NoAnswer {
        /// Why not.
        why: String,
    },
    /// Bytes came that are no answer.
    Garbage {
        /// The bytes.
        bytes: String,
    },
    /// An answer, perhaps not whole.
    Answer(CallerAnswer),
}

/// An answer as a caller got it.
#[derive(Debug, Clone, Serialize)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The request's id in its head.
    pub id: Option<String>,
    /// The worker's signature.
    pub seal: Option<String>,
    /// Whether it says that its worker leaves.
    pub says_leaving: bool,
    /// Whether it names a rate limit of its worker.
    pub names_limit: bool,
    /// The body as far as it came.
    #[serde(serialize_with = "as_text")]
    pub body: Bytes,
    /// Whether it ended as a whole body does.
    pub is_whole: bool,
}

impl CallerAnswer {
    /// Whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// What a run answers.
#[derive(Debug, Clone, Serialize)]
pub enum RunBody {
    /// This body.
    Plain(#[serde(serialize_with = "as_text")] Bytes),
    /// A stream whose last event has this number.
    Stream {
        /// The number.
        last: u32,
    },
}

/// A run of a request at a worker.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Its mark.
    pub mark: Mark,
    /// The method.
    pub method: String,
    /// The signature on its answer.
    pub seal: String,
    /// The headers that tell model, tokens and prompt.
    pub prompt: String,
    /// The last event that was not to be made again.
    pub after_event: Option<u32>,
    /// The KV cache that it goes on from.
    pub cache_source: Option<String>,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// The status of its answer.
    pub status: u16,
    /// The body of its answer.
    pub body: RunBody,
}

/// A prompt that a worker read for another worker.
#[derive(Debug, Clone, Serialize)]
pub struct Reading {
    /// `IP:PORT/HANDLE`, as the run that goes on from it names it.
    pub place: String,
    /// The request.
    pub key: RequestKey,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A request that arrived at a worker.
#[derive(Debug, Clone, Serialize)]
pub struct Arrival {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Whether only its prompt was to be read.
    pub is_reading: bool,
    /// Whether the worker took it up.
    pub is_taken_up: bool,
    /// Whether it was meant for this incarnation of the worker.
    pub is_meant: bool,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A rest that a worker asked for as it turned a request away, in an answer that nothing harmed at the worker.
#[derive(Debug, Clone, Serialize)]
pub struct Rest {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// For how many milliseconds.
    pub rest_ms: u64,
}

/// A time in which a worker named a rate limit in its answers.
#[derive(Debug, Clone, Serialize)]
pub struct NamedLimit {
    /// The worker.
    pub worker: String,
    /// Thousandths of a request a second that it takes from all gateways together.
    pub millirequests: u64,
    /// Milliseconds from the start of the episode.
    pub from_ms: u64,
    /// The same; none if it did not stop.
    pub to_ms: Option<u64>,
}

/// A worker that ended under a request.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerEnd {
    /// The request.
    pub key: RequestKey,
    /// The worker.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// A time in which a gateway was stopped, frozen or killed, or a link of it was harmed.
#[derive(Debug, Clone, Serialize)]
pub struct Trouble {
    /// The gateway.
    pub gateway: usize,
    /// Milliseconds from the start of the episode.
    pub from_ms: u64,
    /// The same.
    pub to_ms: u64,
}

/// A time in which the link before a worker was harmed.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerTrouble {
    /// The worker as it began.
    pub worker: String,
    /// Milliseconds from the start of the episode.
    pub from_ms: u64,
    /// The same.
    pub to_ms: u64,
}

/// Another call that a worker took.
#[derive(Debug, Clone, Serialize)]
pub struct Call {
    /// The worker.
    pub worker: String,
    /// Method and path.
    pub what: String,
    /// The id it bore.
    pub id: Option<String>,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// Bytes that came to a worker and are no request.
#[derive(Debug, Clone, Serialize)]
pub struct Garbled {
    /// The worker.
    pub worker: String,
    /// The first of the bytes.
    pub bytes: String,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
}

/// Bytes that came on a caller's connection on which no request was waiting.
#[derive(Debug, Clone, Serialize)]
pub struct StrayBytes {
    /// The gateway.
    pub gateway: usize,
    /// Milliseconds from the start of the episode.
    pub at_ms: u64,
    /// The bytes.
    pub bytes: String,
}

fn as_text<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(bytes))
}
