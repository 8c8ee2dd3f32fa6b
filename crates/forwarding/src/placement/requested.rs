//! Placements that a gateway has requested from schedulers.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::{PlacementId, PlacementMessage, PlacementNotice, PlacementRequest};
use crate::load_exchange::GatewayKey;

/// How long a scheduler that did not answer is skipped: about the time that a gateway takes to restart.
const UNRESPONSIVE_SCHEDULER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time to wait for an answer, also used before any answer was observed. A request whose
/// scheduler is gone waits at most this long before another scheduler is asked.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Minimum time to wait for an answer: a few wake-ups of a process that shares its core.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(15);
/// Weights of the latest answer time in the smoothed answer time and in its deviation (RFC 6298).
const ANSWER_TIME_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of deviations that an answer may take beyond the smoothed answer time (RFC 6298).
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Number of bits of a gateway's key that form its first placement id. The ids of ten thousand requests in
/// each of two incarnations of a gateway overlap with a probability of 1 in 28 billion, and an id takes seven
/// bytes in a message.
const INITIAL_ID_BITS: u32 = 48;

/// Smoothed answer time of a scheduler.
#[derive(Debug, Clone, Copy)]
struct AnswerTime {
    smoothed_seconds: f64,
    deviation_seconds: f64,
}

/// State that the requesting gateway keeps for one scheduler.
#[derive(Debug, Default)]
struct Scheduler {
    open: BTreeSet<PlacementId>,
    notices: Vec<PlacementNotice>,
    answer_time: Option<AnswerTime>,
    skipped_until: Timestamp,
}

/// Placements that one gateway has requested from schedulers.
#[derive(Debug)]
pub struct RequestedPlacements {
    sender: GatewayKey,
    sequence: u64,
    last_id: u64,
    schedulers: HashMap<String, Scheduler>,
}

impl RequestedPlacements {
    /// Creates an empty record. Each incarnation of a gateway uses different placement ids, because an
    /// answer contains only the id and may arrive after a restart.
    pub fn new(sender: GatewayKey) -> Self {
        Self {
            sender,
            sequence: 0,
            last_id: sender.0 >> (u64::BITS - INITIAL_ID_BITS),
            schedulers: HashMap::new(),
        }
    }

    /// Returns the id for a new placement.
    pub fn next_id(&mut self) -> PlacementId {
        self.last_id += 1;
        PlacementId(self.last_id)
    }

    /// Returns the message that asks a scheduler to place a request, with all notices that wait for that scheduler.
    pub fn request_message(
        &mut self,
        scheduler: &str,
        request: PlacementRequest,
    ) -> PlacementMessage {
        let entry = self.schedulers.entry(scheduler.to_owned()).or_default();
        entry.open.insert(request.id);
        self.next_message(scheduler, Some(request))
    }

    /// Records that the scheduler has answered after `elapsed`.
    pub fn record_answer(&mut self, scheduler: &str, elapsed: Duration) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        let seconds = elapsed.as_secs_f64();
        let time = entry.answer_time.get_or_insert(AnswerTime {
            smoothed_seconds: seconds,
            deviation_seconds: seconds / 2.0,
        });
        time.deviation_seconds +=
            ((seconds - time.smoothed_seconds).abs() - time.deviation_seconds) * DEVIATION_WEIGHT;
        time.smoothed_seconds += (seconds - time.smoothed_seconds) * ANSWER_TIME_WEIGHT;
    }

    /// Records that the scheduler has not answered in time, and skips it for a while.
    pub fn record_timeout(&mut self, now: Timestamp, scheduler: &str, id: PlacementId) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        entry.open.remove(&id);
        entry.answer_time = None;
        entry.skipped_until = now + UNRESPONSIVE_SCHEDULER_BACKOFF;
    }

    /// Removes a placement that the scheduler has not made.
    pub fn remove_unplaced(&mut self, scheduler: &str, id: PlacementId) {
        if let Some(entry) = self.schedulers.get_mut(scheduler) {
            entry.open.remove(&id);
        }
    }

    /// Queues a notice about a placement for the scheduler that has made it.
    pub fn queue_notice(&mut self, scheduler: &str, notice: PlacementNotice) {
        let Some(entry) = self.schedulers.get_mut(scheduler) else {
            return;
        };
        if let PlacementNotice::Ended { id, .. } = notice {
            entry.open.remove(&id);
        }
        entry.notices.push(notice);
    }

    /// Returns messages with all notices that were not sent along with a placement request.
    pub fn take_notice_messages(&mut self) -> Vec<(String, PlacementMessage)> {
        let with_notices = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| !scheduler.notices.is_empty());
        let names: Vec<String> = with_notices.map(|(name, _)| name.clone()).collect();
        let messages = names.into_iter().map(|name| {
            let message = self.next_message(&name, None);
            (name, message)
        });
        messages.collect()
    }

    /// Returns whether a scheduler may be asked. One that did not answer recently may not.
    pub fn is_usable(&self, now: Timestamp, scheduler: &str) -> bool {
        let entry = self.schedulers.get(scheduler);
        entry.is_none_or(|entry| entry.skipped_until <= now)
    }

    /// Returns how long to wait for a scheduler's answer.
    pub fn answer_timeout(&self, scheduler: &str) -> Duration {
        let entry = self.schedulers.get(scheduler);
        let Some(time) = entry.and_then(|entry| entry.answer_time) else {
            return MAX_ANSWER_TIMEOUT;
        };
        let seconds = time.smoothed_seconds + time.deviation_seconds * TIMEOUT_DEVIATIONS;
        Duration::from_secs_f64(seconds).clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT)
    }

    /// Removes schedulers that are no longer known, except those with open placements.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.schedulers
            .retain(|name, scheduler| is_known(name) || !scheduler.open.is_empty());
    }

    fn next_message(
        &mut self,
        scheduler: &str,
        request: Option<PlacementRequest>,
    ) -> PlacementMessage {
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
