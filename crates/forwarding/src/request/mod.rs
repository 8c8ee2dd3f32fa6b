//! The life of one request as a state machine: `step(event) -> action`.
//!
//! The wiring performs one action at a time and reports what came of it. The machine alone decides
//! whether another worker may get the request and what the caller is told:
//!
//! - A send that reached no worker is repeated on another; nothing was received, so that it costs no
//!   retry.
//! - A send that provably did not run is repeated on another worker, a few times.
//! - A send that may have run is repeated only if the request allows a second run, and only on as
//!   many workers as its route allows.
//! - Every send past the first that may reach a worker asks the retry budget; the reading of a prompt
//!   is free if a worker took it up.
//! - The caller is told "not run" only while no send may have run.
//! - A request under which workers end is sent to no other one.
//!
//! A model request may have its prompt read apart first. Reading runs nothing, so that its failure
//! leaves the request as it was; the worker that runs it then reads the prompt itself. A reading
//! that was left in its worker's queue was one more arrival there, so that going on without it asks
//! the retry budget; one that its worker took up is free, whether it succeeded or not.

mod step;

use crate::configuration::Repeatability;
use crate::selection::Need;
use crate::worker::WorkerId;

pub use step::{
    Action, AttemptPolicy, Conclusion, EventId, PromptHandle, ReadingFailure, RequestEvent,
    SendFailure,
};

/// Sends that a request may lose to refusals before it is refused itself.
const MAX_REFUSED_SENDS: u32 = 2;
/// Sends of a request that may fail to reach a worker before it is refused itself.
const MAX_UNSENT: u32 = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    New,
    SelectingReader,
    Reading,
    AskingBudget,
    Selecting,
    Running,
    Over,
}

/// One request.
#[derive(Debug)]
pub struct RequestMachine {
    policy: AttemptPolicy,
    phase: Phase,
    sends: u32,
    refused: u32,
    unsent: u32,
    runs: u32,
    may_have_run: bool,
    error_answer: bool,
    begun: bool,
    last_event: Option<EventId>,
    source: Option<PromptHandle>,
    source_of_current: Option<PromptHandle>,
    avoid: Vec<WorkerId>,
    current: Option<WorkerId>,
}

impl RequestMachine {
    /// A request that has not arrived yet.
    pub fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            phase: Phase::New,
            sends: 0,
            refused: 0,
            unsent: 0,
            runs: 0,
            may_have_run: false,
            error_answer: false,
            begun: false,
            last_event: None,
            source: None,
            source_of_current: None,
            avoid: Vec::new(),
            current: None,
        }
    }

    /// Takes what happened and says what to do next. Events that do not fit the phase change
    /// nothing and end nothing twice: a request that is over stays over.
    pub fn step(&mut self, event: RequestEvent) -> Action {
        if self.phase == Phase::Over {
            return Action::Finish(self.give_up());
        }
        match event {
            RequestEvent::Arrived => self.arrived(),
            RequestEvent::Selected(worker) => self.selected(worker),
            RequestEvent::BudgetAnswered(true) => self.select(),
            RequestEvent::BudgetAnswered(false) => self.finish(self.give_up()),
            RequestEvent::PromptRead(handle) => {
                self.source = Some(handle);
                self.select()
            }
            RequestEvent::PromptNotRead(failure) => self.prompt_not_read(failure),
            RequestEvent::Completed => self.finish(Conclusion::Delivered),
            RequestEvent::Failed(failure) => self.failed(failure),
            RequestEvent::BrokenOff(last_event) => self.broken_off(last_event),
            RequestEvent::DeadlinePassed => self.deadline_passed(),
            RequestEvent::Barred => self.barred(),
        }
    }

    /// Whether a part of the answer has been delivered.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Sends so far, reading of the prompt left out.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether a worker may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether a further worker may get the request if the present one fails.
    pub fn may_try_elsewhere(&self) -> bool {
        self.policy.repeatability.allows_second_run() && self.runs < self.policy.max_attempts
    }

    fn arrived(&mut self) -> Action {
        if !self.policy.read_apart {
            return self.select();
        }
        self.select_reader()
    }

    fn select_reader(&mut self) -> Action {
        self.phase = Phase::SelectingReader;
        Action::Select {
            need: Need::ReadPrompt,
            avoid: self.avoid.clone(),
        }
    }

    fn prompt_not_read(&mut self, failure: ReadingFailure) -> Action {
        let reader = self.current.take();
        match failure {
            ReadingFailure::NotSent => {
                self.avoid.extend(reader);
                self.unsent += 1;
                match self.unsent > MAX_UNSENT {
                    true => self.select(),
                    false => self.select_reader(),
                }
            }
            ReadingFailure::Left => {
                self.phase = Phase::AskingBudget;
                Action::AskBudget
            }
            ReadingFailure::TakenUp => self.select(),
        }
    }

    fn select(&mut self) -> Action {
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

    fn selected(&mut self, worker: Option<WorkerId>) -> Action {
        match (self.phase, worker) {
            (Phase::SelectingReader, Some(worker)) => {
                self.phase = Phase::Reading;
                self.current = Some(worker.clone());
                Action::ReadPrompt { worker }
            }
            (Phase::SelectingReader, None) => self.select(),
            (_, Some(worker)) => self.run(worker),
            (_, None) => self.finish(self.give_up()),
        }
    }

    fn run(&mut self, worker: WorkerId) -> Action {
        self.phase = Phase::Running;
        self.sends += 1;
        self.runs += 1;
        self.current = Some(worker.clone());
        self.source_of_current = self.source.take();
        Action::Run {
            worker,
            source: self.source_of_current.clone(),
            resume_after: self.last_event.clone(),
        }
    }

    fn failed(&mut self, failure: SendFailure) -> Action {
        self.avoid.extend(self.current.take());
        match failure {
            SendFailure::NotSent => return self.not_sent(),
            SendFailure::NotRun => {
                self.runs = self.runs.saturating_sub(1);
                self.refused += 1;
                if self.refused > MAX_REFUSED_SENDS {
                    return self.finish(self.give_up());
                }
            }
            SendFailure::MayHaveRun => self.may_have_run = true,
            SendFailure::ErrorAnswer => {
                self.may_have_run = true;
                self.error_answer = true;
            }
        }
        self.try_again()
    }

    /// Nothing was received: the next worker gets the same, with the KV cache that still waits.
    fn not_sent(&mut self) -> Action {
        self.runs = self.runs.saturating_sub(1);
        self.sends = self.sends.saturating_sub(1);
        self.source = self.source_of_current.take();
        self.unsent += 1;
        match self.unsent > MAX_UNSENT {
            true => self.finish(self.give_up()),
            false => self.select(),
        }
    }

    fn broken_off(&mut self, last_event: Option<EventId>) -> Action {
        self.avoid.extend(self.current.take());
        self.may_have_run = true;
        self.begun = true;
        if last_event.is_some() {
            self.last_event = last_event;
        }
        let resumable = self.policy.repeatability == Repeatability::Stream { resumable: true };
        if !resumable || self.last_event.is_none() {
            return self.finish(Conclusion::Broken);
        }
        self.try_again()
    }

    fn try_again(&mut self) -> Action {
        let second_run_allowed = self.policy.repeatability.allows_second_run();
        let may_send = !self.may_have_run || second_run_allowed;
        if !may_send || self.runs >= self.policy.max_attempts {
            return self.finish(self.give_up());
        }
        self.phase = Phase::AskingBudget;
        Action::AskBudget
    }

    fn deadline_passed(&mut self) -> Action {
        if matches!(self.phase, Phase::Running) {
            self.may_have_run = true;
        }
        let conclusion = match self.give_up() {
            Conclusion::Lost => Conclusion::TimedOut,
            other => other,
        };
        self.finish(conclusion)
    }

    fn barred(&mut self) -> Action {
        let conclusion = match self.begun {
            true => Conclusion::Broken,
            false => Conclusion::Barred,
        };
        self.finish(conclusion)
    }

    fn give_up(&self) -> Conclusion {
        if self.begun {
            return Conclusion::Broken;
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
        self.phase = Phase::Over;
        Action::Finish(conclusion)
    }
}
