//! Events that the request state machine receives, and actions that it returns.

use crate::configuration::Repeatability;
use crate::selection::Need;
use crate::worker::WorkerId;

/// The id of a server-sent event in a stream.
pub type EventId = String;

/// Location of the KV cache of a prompt that a separate worker has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptHandle {
    /// The worker that read the prompt and holds its KV cache.
    pub worker: WorkerId,
    /// That worker's address, as written in the worker protocol.
    pub address: String,
    /// The identifier that this worker gave to the KV cache.
    pub handle: String,
}

/// Attempts that the route of a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Maximum number of workers that may run the request.
    pub max_attempts: u32,
    /// Whether a separate worker reads the prompt first.
    pub read_apart: bool,
}

/// Why a send did not return a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No part of the request reached a worker.
    NotSent,
    /// No part of the request reached a worker, because the gateway reaches none.
    NoPath,
    /// The worker reports, or the connection proves, that the request did not run.
    NotRun,
    /// The request may have run: the connection broke, the worker sent nothing, or its answer was invalid.
    MayHaveRun,
    /// The worker ran the request and answered with an error, which is kept for the caller.
    ErrorAnswer,
}

/// Why a separate worker did not read a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptReadFailure {
    /// No part of the request to read it reached a worker.
    NotSent,
    /// No part of the request to read it reached a worker, because the gateway reaches none.
    NoPath,
    /// A worker refused the read or left it in its queue, or it is unknown what the worker did.
    NotStarted,
    /// A worker started the read and failed.
    FailedAfterStart,
}

/// An event that the state machine handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request has been received completely and matches a route.
    Arrived,
    /// The result of [`Action::Select`]; `None` if no worker is available.
    Selected(Option<WorkerId>),
    /// The result of [`Action::CheckRetryBudget`]: whether one more send is allowed.
    RetryAllowed(bool),
    /// A separate worker has read the prompt.
    PromptRead(PromptHandle),
    /// The separate worker has not read the prompt.
    PromptNotRead(PromptReadFailure),
    /// The complete answer was delivered or is ready to be delivered.
    Completed,
    /// The send failed before any part of its answer was delivered.
    Failed(SendFailure),
    /// The worker has been silent for so long that another worker may get the request. Its answer is still open and may
    /// go on.
    Stalled {
        /// Whether a part of the answer has been delivered.
        answer_started: bool,
        /// The id of the last event delivered from this worker's answer.
        last_event: Option<EventId>,
    },
    /// The send to the worker that should replace a stalled one failed before any part of its answer was delivered. The
    /// answer of the stalled worker is still open.
    ReplacementFailed(SendFailure),
    /// The answer was cut off after a part of it was delivered, up to and including the event with this id.
    Interrupted(Option<EventId>),
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The request crashes workers, so no worker may get it any more.
    Barred,
}

/// The next action that the caller of the state machine has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Select a worker.
    Select {
        /// The work that the worker has to do.
        need: Need,
        /// Workers that failed this request and must not be selected.
        avoid: Vec<WorkerId>,
    },
    /// Ask the retry budget whether one more send is allowed.
    CheckRetryBudget,
    /// Let a separate worker read the prompt.
    ReadPrompt {
        /// The worker that reads the prompt.
        worker: WorkerId,
    },
    /// Send the request to a worker that runs it.
    Run {
        /// The worker that runs the request.
        worker: WorkerId,
        /// Location of the prompt's KV cache, if a separate worker has read the prompt.
        source: Option<PromptHandle>,
        /// The id of the last event that the caller has received, if a stream is resumed.
        resume_after: Option<EventId>,
    },
    /// Wait until the stalled worker goes on or breaks off, or the deadline passes: no other worker replaces it.
    AwaitStalled,
    /// The request is finished.
    Finish(Conclusion),
}

/// The final result of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The complete answer was delivered.
    Delivered,
    /// The error that a worker answered with, unchanged.
    WorkerError,
    /// The request did not run and will not run. The caller may try again soon.
    Refused,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The deadline has passed, and the request may have run.
    TimedOut,
    /// The request crashes workers: it may have run and is not sent again.
    Barred,
    /// The answer has started and cannot be completed: the caller's connection must be closed.
    Broken,
}
