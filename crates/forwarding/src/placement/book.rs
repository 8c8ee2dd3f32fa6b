//! The placements that a gateway has asked schedulers for.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::{PlacementId, PlacementMessage, PlacementNotice, PlacementRequest};
use crate::load_exchange::GatewayKey;

/// How long a scheduler that did not answer is passed over: about as long as a gateway takes to start
/// again.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);
/// The longest time for an answer, also assumed before any was observed. A request whose scheduler is
/// gone waits so long at most before another one is asked.
const MOST_PATIENCE: Duration = Duration::from_millis(60);
/// The least time for an answer: a few wake-ups of a process that shares its core.
const LEAST_PATIENCE: Duration = Duration::from_millis(15);
/// Weight of the newest answer's time in the smoothed one, and in its deviation (RFC 6298).
const TIME_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations beyond the smoothed time that an answer may take (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Bits of a gateway's key that its first identity of a placement is made of: those of ten thousand
/// questions in two lives meet by a chance of one in 28 billion, and take seven bytes in a message.
const FIRST_ID_BITS: u32 = 48;

/// How fast a scheduler answers.
#[derive(Debug, Clone, Copy)]
struct AnswerTime {
    seconds: f64,
    deviation: f64,
}

/// One scheduler, as the asking gateway knows it.
#[derive(Debug, Default)]
struct Scheduler {
    open: BTreeSet<PlacementId>,
    notices: Vec<PlacementNotice>,
    answer_time: Option<AnswerTime>,
    silent_until: Timestamp,
}

/// What one gateway has asked of schedulers.
#[derive(Debug)]
pub struct PlacementBook {
    sender: GatewayKey,
    sequence: u64,
    last_id: u64,
    schedulers: HashMap<String, Scheduler>,
}

impl PlacementBook {
    /// Nothing asked yet. Each life of a gateway has identities of its own, as an answer names only
    /// the placement and may come after a restart.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            sender,
            sequence: 0,
            last_id: sender.0 >> (u64::BITS - FIRST_ID_BITS),
            schedulers: HashMap::new(),
        }
    }

    /// An identity for a new placement.
    pub fn next_id(&mut self) -> PlacementId {
        self.last_id += 1;
        PlacementId(self.last_id)
    }

    /// The message that asks a scheduler to place a request; it takes what is to be told along.
    pub fn ask(&mut self, scheduler: &str, request: PlacementRequest) -> PlacementMessage {
        let entry = self.schedulers.entry(scheduler.to_owned()).or_default();
        entry.open.insert(request.id);
        self.message(scheduler, Some(request))
    }

    /// The scheduler has answered after `elapsed`.
    pub fn answered(&mut self, scheduler: &str, elapsed: Duration) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        let seconds = elapsed.as_secs_f64();
        let time = entry.answer_time.get_or_insert(AnswerTime {
            seconds,
            deviation: seconds / 2.0,
        });
        time.deviation += ((seconds - time.seconds).abs() - time.deviation) * DEVIATION_WEIGHT;
        time.seconds += (seconds - time.seconds) * TIME_WEIGHT;
    }

    /// The scheduler has not answered in time.
    pub fn silent(&mut self, now: Timestamp, scheduler: &str, id: PlacementId) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        entry.open.remove(&id);
        entry.answer_time = None;
        entry.silent_until = now + SILENCE_MEMORY;
    }

    /// A placement was not made.
    pub fn not_placed(&mut self, scheduler: &str, id: PlacementId) {
        if let Some(entry) = self.schedulers.get_mut(scheduler) {
            entry.open.remove(&id);
        }
    }

    /// Something is to be told of a placement that a scheduler has made.
    pub fn tell(&mut self, scheduler: &str, notice: PlacementNotice) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        if let PlacementNotice::Ended { id, .. } = notice {
            entry.open.remove(&id);
        }
        entry.notices.push(notice);
    }

    /// Messages with what is to be told and was not told along with a question.
    pub fn flush(&mut self) -> Vec<(String, PlacementMessage)> {
        let due = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| !scheduler.notices.is_empty());
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        let messages = due.into_iter().map(|name| {
            let message = self.message(&name, None);
            (name, message)
        });
        messages.collect()
    }

    /// Whether a scheduler has not been found silent lately.
    pub fn is_usable(&self, now: Timestamp, scheduler: &str) -> bool {
        let entry = self.schedulers.get(scheduler);
        entry.is_none_or(|entry| entry.silent_until <= now)
    }

    /// How long to wait for a scheduler's answer.
    pub fn patience(&self, scheduler: &str) -> Duration {
        let entry = self.schedulers.get(scheduler);
        let Some(time) = entry.and_then(|entry| entry.answer_time) else {
            return MOST_PATIENCE;
        };
        let seconds = time.seconds + time.deviation * DEVIATIONS;
        Duration::from_secs_f64(seconds).clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    /// Forgets schedulers that are no longer known, unless something is open there.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.schedulers
            .retain(|name, scheduler| is_known(name) || !scheduler.open.is_empty());
    }

    fn message(&mut self, scheduler: &str, request: Option<PlacementRequest>) -> PlacementMessage {
        self.sequence += 1;
        let entry = self.schedulers.entry(scheduler.to_owned()).or_default();
        PlacementMessage {
            sender: self.sender,
            sequence: self.sequence,
            open: entry.open.iter().copied().collect(),
            notices: std::mem::take(&mut entry.notices),
            request,
        }
    }
}
