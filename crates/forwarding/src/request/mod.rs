//! State machine for one request: `step(event) -> action`.
//!
//! The caller of the machine performs one action at a time and reports the result as the next event.
//! The machine alone decides whether another worker may get the request and what the client of the
//! gateway receives:
//!
//! - A send that reached no worker is repeated on another worker. It does not count as a retry,
//!   because no worker received anything. If the gateway reaches no worker at all, the request ends.
//! - A send that provably did not run is repeated on another worker, a few times.
//! - A send that may have run is repeated only if the request allows a second run, and only on as
//!   many workers as its route allows.
//! - Every send after the first that may reach a worker needs permission from the retry budget.
//!   Reading a prompt needs none if a worker started to read it.
//! - The client receives "not run" only if no send may have run.
//! - A request that crashes workers is not sent to any further worker. If a stalled worker has it, the request waits for
//!   that worker.
//! - A worker that is silent in the middle of its work is replaced like one that failed, but its answer stays open until
//!   the replacement answers. If no worker replaces it, the request waits for it until the deadline.
//!
//! The prompt of a model request may be read by a separate worker first (disaggregated prefill).
//! Reading a prompt does not run the request, so a failed read changes nothing: the worker that runs
//! the request reads the prompt itself. A read that stayed in a worker's queue was an additional
//! arrival at that worker, so continuing without it needs permission from the retry budget. A read
//! that a worker started needs none, whether it succeeded or not.

mod step;

use crate::configuration::Repeatability;
use crate::selection::Need;
use crate::worker::WorkerId;

pub use step::{
    Action, AttemptPolicy, Conclusion, EventId, PromptHandle, PromptReadFailure, RequestEvent,
    SendFailure,
};

/// Maximum number of refused sends of a request; one more refuses the request itself.
const MAX_REFUSED_SENDS: u32 = 2;
/// Maximum number of sends of a request that reach no worker; one more refuses the request itself.
const MAX_UNDELIVERED_SENDS: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    New,
    SelectingPromptReader,
    ReadingPrompt,
    CheckingRetryBudget,
    Selecting,
    Running,
    Finished,
}

/// State of one request.
#[derive(Debug)]
pub struct RequestMachine {
    policy: AttemptPolicy,
    phase: Phase,
    sends: u32,
    refused_sends: u32,
    undelivered_sends: u32,
    runs: u32,
    may_have_run: bool,
    error_answer: bool,
    answer_started: bool,
    /// Whether the answer of a stalled worker is open while a replacement is sought or has not answered yet.
    has_stalled_worker: bool,
    /// Whether no further worker may get the request because it crashes workers.
    is_barred: bool,
    last_event: Option<EventId>,
    source: Option<PromptHandle>,
    current_source: Option<PromptHandle>,
    avoid: Vec<WorkerId>,
    current_worker: Option<WorkerId>,
}

impl RequestMachine {
    /// Creates the machine for a request that has not arrived yet.
    pub fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            phase: Phase::New,
            sends: 0,
            refused_sends: 0,
            undelivered_sends: 0,
            runs: 0,
            may_have_run: false,
            error_answer: false,
            answer_started: false,
            has_stalled_worker: false,
            is_barred: false,
            last_event: None,
            source: None,
            current_source: None,
            avoid: Vec::new(),
            current_worker: None,
        }
    }

    /// Handles an event and returns the next action. Events that do not fit the phase must not occur;
    /// a finished request stays finished: every further event returns [`Action::Finish`] again.
    pub fn step(&mut self, event: RequestEvent) -> Action {
        if self.phase == Phase::Finished {
            return Action::Finish(self.failure_conclusion());
        }
        match event {
            RequestEvent::Arrived => self.handle_arrival(),
            RequestEvent::Selected(worker) => self.handle_selection(worker),
            RequestEvent::RetryAllowed(true) => self.select_worker(),
            RequestEvent::RetryAllowed(false) => self.give_up_sending(),
            RequestEvent::PromptRead(handle) => {
                self.source = Some(handle);
                self.select_worker()
            }
            RequestEvent::PromptNotRead(failure) => self.handle_prompt_not_read(failure),
            RequestEvent::Completed => self.finish(Conclusion::Delivered),
            RequestEvent::Failed(failure) => {
                self.has_stalled_worker = false;
                self.handle_failure(failure)
            }
            RequestEvent::Stalled {
                answer_started,
                last_event,
            } => self.handle_stall(answer_started, last_event),
            RequestEvent::ReplacementFailed(failure) => self.handle_failure(failure),
            RequestEvent::Interrupted(last_event) => self.handle_interruption(last_event),
            RequestEvent::DeadlinePassed => self.handle_deadline(),
            RequestEvent::Barred => self.handle_barred(),
        }
    }

    /// Returns whether a part of the answer has been delivered.
    pub fn has_started_answer(&self) -> bool {
        self.answer_started
    }

    /// Returns the number of sends so far, without reads of the prompt and sends that reached no worker.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether a worker may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the workers that failed this request and must not get it again.
    pub fn avoided_workers(&self) -> &[WorkerId] {
        &self.avoid
    }

    /// Returns whether another worker may get the request if the current one fails.
    pub fn may_retry_on_another_worker(&self) -> bool {
        let second_run_allowed = self.policy.repeatability.allows_second_run();
        !self.is_barred && second_run_allowed && self.runs < self.policy.max_attempts
    }

    fn handle_arrival(&mut self) -> Action {
        if !self.policy.read_apart {
            return self.select_worker();
        }
        self.select_prompt_reader()
    }

    fn select_prompt_reader(&mut self) -> Action {
        self.phase = Phase::SelectingPromptReader;
        Action::Select {
            need: Need::ReadPrompt,
            avoid: self.avoid.clone(),
        }
    }

    fn handle_prompt_not_read(&mut self, failure: PromptReadFailure) -> Action {
        let reader = self.current_worker.take();
        match failure {
            PromptReadFailure::NotSent => {
                self.avoid.extend(reader);
                self.undelivered_sends += 1;
                match self.undelivered_sends > MAX_UNDELIVERED_SENDS {
                    true => self.select_worker(),
                    false => self.select_prompt_reader(),
                }
            }
            PromptReadFailure::NoPath => self.finish(self.failure_conclusion()),
            PromptReadFailure::NotStarted => {
                self.phase = Phase::CheckingRetryBudget;
                Action::CheckRetryBudget
            }
            PromptReadFailure::FailedAfterStart => self.select_worker(),
        }
    }

    fn select_worker(&mut self) -> Action {
        self.phase = Phase::Selecting;
        let need = match &self.source {
            Some(source) => Need::Continue {
                reader: source.worker.clone(),
            },
            None => Need::Run,
        };
        Action::Select {
            need,
            avoid: self.avoid.clone(),
        }
    }

    fn handle_selection(&mut self, worker: Option<WorkerId>) -> Action {
        match (self.phase, worker) {
            (Phase::SelectingPromptReader, Some(worker)) => {
                self.phase = Phase::ReadingPrompt;
                self.current_worker = Some(worker.clone());
                Action::ReadPrompt { worker }
            }
            (Phase::SelectingPromptReader, None) => self.select_worker(),
            (_, Some(worker)) => self.run_on(worker),
            (_, None) => self.give_up_sending(),
        }
    }

    fn run_on(&mut self, worker: WorkerId) -> Action {
        self.phase = Phase::Running;
        self.sends += 1;
        self.runs += 1;
        self.current_worker = Some(worker.clone());
        self.current_source = self.source.take();
        Action::Run {
            worker,
            source: self.current_source.clone(),
            resume_after: self.last_event.clone(),
        }
    }

    fn handle_failure(&mut self, failure: SendFailure) -> Action {
        self.avoid.extend(self.current_worker.take());
        match failure {
            SendFailure::NotSent => return self.handle_undelivered(),
            SendFailure::NoPath => {
                self.sends = self.sends.saturating_sub(1);
                return self.give_up_sending();
            }
            SendFailure::NotRun => {
                self.runs = self.runs.saturating_sub(1);
                self.refused_sends += 1;
                if self.refused_sends > MAX_REFUSED_SENDS {
                    return self.give_up_sending();
                }
            }
            SendFailure::MayHaveRun => self.may_have_run = true,
            SendFailure::ErrorAnswer => {
                self.may_have_run = true;
                self.error_answer = true;
            }
        }
        self.retry_if_allowed()
    }

    /// Selects another worker after a send that no worker received. The KV cache of the prompt is
    /// still available, so the next worker gets it.
    fn handle_undelivered(&mut self) -> Action {
        self.runs = self.runs.saturating_sub(1);
        self.sends = self.sends.saturating_sub(1);
        self.source = self.current_source.take();
        self.undelivered_sends += 1;
        match self.is_barred || self.undelivered_sends > MAX_UNDELIVERED_SENDS {
            true => self.give_up_sending(),
            false => self.select_worker(),
        }
    }

    fn handle_interruption(&mut self, last_event: Option<EventId>) -> Action {
        self.has_stalled_worker = false;
        self.record_answer_part(last_event);
        self.resume_if_allowed()
    }

    fn handle_stall(&mut self, answer_started: bool, last_event: Option<EventId>) -> Action {
        self.has_stalled_worker = true;
        if answer_started {
            self.record_answer_part(last_event);
        }
        match self.answer_started {
            true => self.resume_if_allowed(),
            false => {
                self.avoid.extend(self.current_worker.take());
                self.may_have_run = true;
                self.retry_if_allowed()
            }
        }
    }

    fn record_answer_part(&mut self, last_event: Option<EventId>) {
        self.answer_started = true;
        self.last_event = last_event.or(self.last_event.take());
    }

    /// Lets another worker resume the stream after the last event that was delivered, if possible.
    fn resume_if_allowed(&mut self) -> Action {
        self.avoid.extend(self.current_worker.take());
        self.may_have_run = true;
        let resumable = self.policy.repeatability == Repeatability::Stream { resumable: true };
        if !resumable || self.last_event.is_none() {
            return self.give_up_sending();
        }
        self.retry_if_allowed()
    }

    fn retry_if_allowed(&mut self) -> Action {
        let second_run_allowed = self.policy.repeatability.allows_second_run();
        let may_send = !self.may_have_run || second_run_allowed;
        if self.is_barred || !may_send || self.runs >= self.policy.max_attempts {
            return self.give_up_sending();
        }
        self.phase = Phase::CheckingRetryBudget;
        Action::CheckRetryBudget
    }

    /// Ends the request, or waits for the stalled worker if there is one.
    fn give_up_sending(&mut self) -> Action {
        if std::mem::take(&mut self.has_stalled_worker) {
            self.phase = Phase::Running;
            return Action::AwaitStalled;
        }
        self.finish(self.failure_conclusion())
    }

    fn handle_deadline(&mut self) -> Action {
        if matches!(self.phase, Phase::Running) {
            self.may_have_run = true;
        }
        let conclusion = match self.failure_conclusion() {
            Conclusion::Lost | Conclusion::Barred => Conclusion::TimedOut,
            other => other,
        };
        self.finish(conclusion)
    }

    /// Ends the request, or waits for the stalled worker if there is one. The send that was about to begin is not made.
    fn handle_barred(&mut self) -> Action {
        self.is_barred = true;
        if self.phase == Phase::Running {
            self.sends = self.sends.saturating_sub(1);
            self.runs = self.runs.saturating_sub(1);
        }
        self.give_up_sending()
    }

    fn failure_conclusion(&self) -> Conclusion {
        if self.answer_started {
            return Conclusion::Broken;
        }
        if self.is_barred {
            return Conclusion::Barred;
        }
        if self.error_answer {
            return Conclusion::WorkerError;
        }
        match self.may_have_run {
            true => Conclusion::Lost,
            false => Conclusion::Refused,
        }
    }

    fn finish(&mut self, conclusion: Conclusion) -> Action {
        self.phase = Phase::Finished;
        Action::Finish(conclusion)
    }
}
