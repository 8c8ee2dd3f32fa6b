//! Requests that workers have recently answered completely.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Fingerprint;

/// How long an answer clears its request: much longer than gateways take to notify each other of a worker end.
const ANSWER_TTL: Duration = Duration::from_secs(10);
/// Maximum number of stored answers: ten seconds of answers at 400 per second, about 0.2 MB.
const MAX_ANSWERS: usize = 4_096;

/// Times of recent answers by request, and the order in which they arrived.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    latest: HashMap<Fingerprint, Timestamp>,
    order: VecDeque<(Timestamp, Fingerprint)>,
}

impl RecentAnswers {
    /// Records an answer.
    pub(crate) fn record(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.latest.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        if self.order.len() > MAX_ANSWERS {
            self.remove_oldest();
        }
    }

    /// Returns whether a request was answered recently, and removes its answers.
    pub(crate) fn take(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let answered = self.latest.remove(&fingerprint);
        answered.is_some_and(|at| now.since(at) <= ANSWER_TTL)
    }

    /// Removes answers older than [`ANSWER_TTL`].
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) > ANSWER_TTL)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        if self.latest.get(&fingerprint) == Some(&at) {
            self.latest.remove(&fingerprint);
        }
    }
}
