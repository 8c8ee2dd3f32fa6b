//! Trials of barred parts. A barred part is not sent, so that nothing would ever clear one that is barred by mistake. One
//! request with it is therefore sent: its answer clears the part, and its worker's end confirms the bar.

use std::time::Duration;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_core::Timestamp;

use super::{PartQuarantine, Suspect, WORKER_ENDS_TO_BAR};
use crate::quarantine::Fingerprint;

/// Time from the bar to the first trial. By then all gateways know the ends that the others have observed.
pub const TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Time after which a trial without a result may be repeated by another gateway.
pub const TRIAL_TTL: Duration = Duration::from_secs(10);
/// How long one gateway has the turn to begin a trial.
const TURN: Duration = Duration::from_millis(500);
/// Number of gateways that have turns. Each tries a part once, so that at most this many requests with it reach workers,
/// even if the gateways do not hear of each other.
const GATEWAYS_WITH_TURNS: usize = 3;

/// The trial of one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trial {
    None,
    /// A gateway has begun a trial, and has no result yet.
    Begun {
        at: Timestamp,
        /// Whether it was this gateway.
        is_own: bool,
    },
    /// The worker of the trial has ended.
    Failed,
}

/// What happens to a request, according to the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// It may be sent.
    Allowed,
    /// It may be sent once, as a trial of its barred parts.
    Trial,
    /// It is not sent now. It may be later, if a trial clears its barred parts.
    Held,
    /// It is not sent.
    Barred,
}

/// Whether this gateway may begin a trial of a part now.
#[derive(Debug, Clone, Copy)]
pub enum TrialTurns<'a> {
    /// The gateways that take turns, of which this one is `own`.
    Of {
        /// The name of this gateway.
        own: &'a str,
        /// The names of the gateways that hear what others observe.
        listeners: &'a [String],
    },
    /// The trial was granted to this request before.
    Granted,
}

impl TrialTurns<'_> {
    fn has_turn(self, part: Fingerprint, waited: Duration) -> bool {
        let Self::Of { own, listeners } = self else {
            return true;
        };
        let ranked = rendezvous_rank(&part.0.to_le_bytes(), listeners.iter().map(String::as_str));
        let with_turns = ranked.len().min(GATEWAYS_WITH_TURNS);
        if with_turns == 0 {
            return false;
        }
        let turn = (waited.as_millis() / TURN.as_millis()) as usize % with_turns;
        *ranked[turn] == *own
    }
}

impl PartQuarantine {
    /// Returns what happens to a request with these parts now.
    pub fn judge(
        &self,
        now: Timestamp,
        parts: &[Fingerprint],
        turns: TrialTurns<'_>,
    ) -> PartVerdict {
        let barred: Vec<(Fingerprint, &Suspect)> = parts
            .iter()
            .filter_map(|part| Some((*part, self.suspects.get(part)?)))
            .filter(|(_, suspect)| suspect.is_barred())
            .collect();
        let Some((first, _)) = barred.first() else {
            return PartVerdict::Allowed;
        };
        let since = barred.iter().map(|(_, suspect)| suspect.barred_since());
        let Some(last_barred) = since
            .collect::<Option<Vec<Timestamp>>>()
            .and_then(|since| since.into_iter().max())
        else {
            // A part that only the store lists.
            return PartVerdict::Barred;
        };
        let mut trials = barred.iter().map(|(_, suspect)| suspect.trial());
        if trials.any(|trial| trial == Trial::Failed) {
            return PartVerdict::Barred;
        }
        let may_be_tried = |(_, suspect): &(Fingerprint, &Suspect)| match suspect.trial() {
            Trial::None => true,
            Trial::Begun { at, is_own } => !is_own && now.since(at) > TRIAL_TTL,
            Trial::Failed => false,
        };
        let waited = now.since(last_barred).checked_sub(TRIAL_DELAY);
        let is_trial = barred.iter().all(may_be_tried)
            && self.is_selective(parts, &barred)
            && waited.is_some_and(|waited| turns.has_turn(*first, waited));
        match is_trial {
            true => PartVerdict::Trial,
            false => PartVerdict::Held,
        }
    }

    /// Returns whether a trial of a request with these parts can tell who is to blame. It can if it holds only one suspected
    /// part, or if another barred part, with at least as many ends, is not in it: a request that holds all parts which are
    /// always together would confirm them all.
    fn is_selective(&self, parts: &[Fingerprint], barred: &[(Fingerprint, &Suspect)]) -> bool {
        let is_suspected = |part: &&Fingerprint| {
            let suspect = self.suspects.get(part);
            suspect.is_some_and(|suspect| suspect.counted_ends() >= WORKER_ENDS_TO_BAR)
        };
        if parts.iter().filter(is_suspected).count() > barred.len() {
            return false;
        }
        let ends = barred.iter().map(|(_, suspect)| suspect.counted_ends());
        let most_ends = ends.max().unwrap_or_default();
        let is_alternative = |(part, suspect): (&Fingerprint, &Suspect)| {
            suspect.is_barred() && suspect.counted_ends() >= most_ends && !parts.contains(part)
        };
        barred.len() == 1 || self.suspects.iter().any(is_alternative)
    }

    /// Records that this gateway begins a trial of the barred ones of these parts, and tells the others.
    pub fn begin_trial(&mut self, now: Timestamp, parts: &[Fingerprint]) {
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            if suspect.is_barred() {
                suspect.set_trial(Trial::Begun {
                    at: now,
                    is_own: true,
                });
                self.tell_all(now, *part, super::MANY_REPEATS);
            }
        }
    }

    /// Records that the trial that this gateway has begun reached no worker.
    pub fn cancel_trial(&mut self, parts: &[Fingerprint]) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                if matches!(suspect.trial(), Trial::Begun { is_own: true, .. }) {
                    suspect.set_trial(Trial::None);
                }
            }
        }
    }
}
