//! What the life of a request is told, and what it answers.

use crate::configuration::Repeatability;
use crate::selection::Need;
use crate::worker::WorkerId;

/// The id of an event of a stream.
pub type EventId = String;

/// Where the KV cache of a prompt that was read apart lies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptHandle {
    /// The worker that read it.
    pub worker: WorkerId,
    /// That worker's address, as its protocol names it.
    pub address: String,
    /// That worker's name for it.
    pub handle: String,
}

/// What a request's route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Whether it may run twice.
    pub repeatability: Repeatability,
    /// The most workers that may run it.
    pub max_attempts: u32,
    /// Whether its prompt is to be read apart.
    pub read_apart: bool,
}

/// Why a send brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of it reached a worker.
    NotSent,
    /// The worker says, or the connection proves, that the request did not run.
    NotRun,
    /// It may have run: broken, silent, or an answer that is none.
    MayHaveRun,
    /// The worker ran it and answered with a failure of its own, which is kept for the caller.
    ErrorAnswer,
}

/// Why a prompt was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadingFailure {
    /// Nothing of the request for it reached a worker.
    NotSent,
    /// A worker refused it or left it in its queue, or nothing is known of it.
    Left,
    /// A worker took it up and failed.
    TakenUp,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request is whole and has a route.
    Arrived,
    /// The answer to [`Action::Select`].
    Selected(Option<WorkerId>),
    /// The answer to [`Action::AskBudget`].
    BudgetAnswered(bool),
    /// The prompt has been read.
    PromptRead(PromptHandle),
    /// The prompt has not been read.
    PromptNotRead(ReadingFailure),
    /// The whole answer was delivered, or is ready to be.
    Completed,
    /// The send failed before any part of its answer was delivered.
    Failed(SendFailure),
    /// The answer broke off after a part of it was delivered, up to and including this event.
    BrokenOff(Option<EventId>),
    /// The time is over.
    DeadlinePassed,
    /// Workers end under the request, so that none may get it any more.
    Barred,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose a worker.
    Select {
        /// What it has to do.
        need: Need,
        /// Workers that failed.
        avoid: Vec<WorkerId>,
    },
    /// Ask the retry budget for one more send.
    AskBudget,
    /// Have the prompt read.
    ReadPrompt {
        /// Where.
        worker: WorkerId,
    },
    /// Send the request to run.
    Run {
        /// Where.
        worker: WorkerId,
        /// The prompt's KV cache, if it was read apart.
        source: Option<PromptHandle>,
        /// The last event that the caller has, if the stream goes on.
        resume_after: Option<EventId>,
    },
    /// The request is over.
    Finish(Conclusion),
}

/// What the caller gets in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The whole answer.
    Delivered,
    /// A worker's own failure, unchanged.
    WorkerError,
    /// The request did not run and will not: come back soon.
    Refused,
    /// The request may have run and its answer is lost.
    Lost,
    /// The time is over and the request may have run.
    TimedOut,
    /// Workers end under the request: it may have run, and will not be sent again.
    Barred,
    /// The answer has begun and cannot be completed: break the connection.
    Broken,
}
