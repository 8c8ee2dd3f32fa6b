//! Requests that are not sent because they, or parts of their prompts, crash workers.

use std::time::Duration;

use tansyhall_forwarding::{Conclusion, PartVerdict, RequestEvent, SendFailure, TrialTurns};

use super::Exchange;
use crate::events::{Event, Priority};

/// Time after which a caller should retry whose request holds parts that have not been tried yet: about the time until a
/// trial has a result.
const UNTRIED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum random addition to this time, as a fraction of it.
const MAX_RETRY_JITTER: f64 = 0.5;

/// Whether a request is sent as a trial of the barred parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialState {
    /// It has no barred parts, as far as is known.
    Unneeded,
    /// It may be sent as a trial.
    Granted,
    /// It is sent as a trial and has not reached a worker that runs it.
    Begun,
    /// A worker that runs it has got it. No other may.
    Ended,
}

impl Exchange {
    /// Decides at the arrival of the request whether it may be sent. Returns the conclusion if it may not.
    pub(super) fn check_barred(&mut self) -> Option<Conclusion> {
        if !self.shared.settings.read().decisions.quarantine {
            return None;
        }
        let (is_suspected, verdict) = (self.is_suspected_as_a_whole(), self.judge_parts());
        if self.is_barred_as_a_whole(verdict) {
            return Some(Conclusion::Barred);
        }
        match verdict {
            PartVerdict::Allowed => None,
            // The worker of a trial must not end because of the request as a whole.
            PartVerdict::Trial if !is_suspected => {
                self.trial = TrialState::Granted;
                None
            }
            PartVerdict::Trial | PartVerdict::Held => {
                let jitter = rand::random_range(0.0..MAX_RETRY_JITTER);
                self.cause = "untried_part";
                self.retry_after = UNTRIED_RETRY_AFTER.mul_f64(1.0 + jitter);
                Some(Conclusion::Refused)
            }
            PartVerdict::Barred => {
                self.cause = "barred_part";
                Some(Conclusion::Barred)
            }
        }
    }

    /// Returns whether the next send must not be made, as far as this gateway knows now. Begins the trial that was granted
    /// to the request.
    pub(super) fn is_barred(&mut self) -> bool {
        if !self.shared.settings.read().decisions.quarantine {
            return false;
        }
        if self.trial == TrialState::Begun {
            return false;
        }
        let verdict = self.judge_parts();
        if self.is_barred_as_a_whole(verdict) {
            return true;
        }
        match verdict {
            PartVerdict::Allowed => false,
            PartVerdict::Trial if self.trial == TrialState::Granted => {
                self.begin_trial();
                false
            }
            PartVerdict::Trial | PartVerdict::Held | PartVerdict::Barred => {
                self.cause = "barred_part";
                true
            }
        }
    }

    /// Returns whether the request is barred as a whole. Requests with the same body, some of which hold a barred part,
    /// have the same fingerprint: the part explains the worker ends that count against it.
    fn is_barred_as_a_whole(&self, verdict: PartVerdict) -> bool {
        let quarantine = self.shared.quarantine.lock();
        if !quarantine.is_barred(self.request.fingerprint) {
            return false;
        }
        let request = self.request.fingerprint;
        let ends = quarantine.counted_ends(request);
        drop(quarantine);
        if verdict != PartVerdict::Allowed {
            return true;
        }
        let part_quarantine = self.shared.part_quarantine.lock();
        !part_quarantine.explains(request, &self.request.shared_parts, &ends)
    }

    /// Returns whether worker ends count against the request as a whole.
    fn is_suspected_as_a_whole(&self) -> bool {
        let quarantine = self.shared.quarantine.lock();
        !quarantine.counted_ends(self.request.fingerprint).is_empty()
    }

    fn judge_parts(&self) -> PartVerdict {
        let parts = &self.request.shared_parts;
        if parts.is_empty() {
            return PartVerdict::Allowed;
        }
        let now = self.shared.now();
        let quarantine = self.shared.part_quarantine.lock();
        if !parts.iter().any(|part| quarantine.is_barred(*part)) {
            return PartVerdict::Allowed;
        }
        if self.trial != TrialState::Unneeded {
            return quarantine.judge(now, parts, TrialTurns::Granted);
        }
        let own = self.shared.settings.read().node.name.clone();
        let fleet = self.shared.fleet.read().clone();
        let listeners: Vec<String> = fleet.plan.listeners().map(str::to_owned).collect();
        let turns = TrialTurns::Of {
            own: &own,
            listeners: &listeners,
        };
        quarantine.judge(now, parts, turns)
    }

    fn begin_trial(&mut self) {
        self.trial = TrialState::Begun;
        let parts = &self.request.shared_parts;
        let now = self.shared.now();
        self.shared.part_quarantine.lock().begin_trial(now, parts);
        let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
        let event = Event::PartsTried {
            request: self.request_id(),
            parts: &parts,
        };
        self.shared.log.record(Priority::Important, &event);
    }

    /// Ends the trial, if the send that ended with `event` is one that has reached a worker.
    pub(super) fn record_trial_send(&mut self, event: &RequestEvent) {
        let reached_none = matches!(
            event,
            RequestEvent::Failed(SendFailure::NotSent | SendFailure::NoPath | SendFailure::NotRun)
        );
        if self.trial == TrialState::Begun && !reached_none {
            self.trial = TrialState::Ended;
        }
    }

    /// Gives the trial back if the request has ended without reaching a worker that runs it.
    pub(super) fn cancel_unused_trial(&mut self) {
        if self.trial == TrialState::Begun {
            let parts = &self.request.shared_parts;
            self.shared.part_quarantine.lock().cancel_trial(parts);
        }
    }
}
