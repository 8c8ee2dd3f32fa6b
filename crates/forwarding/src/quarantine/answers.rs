//! Requests that workers have answered whole a short while ago.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::Fingerprint;

/// How long an answer speaks for its request: much longer than gateways take to tell each other of an end.
const MEMORY: Duration = Duration::from_secs(10);
/// Answers that are remembered: those of ten seconds at 400 a second, some 0.2 MB.
const MAX_ANSWERS: usize = 4_096;

/// Answers by request, the oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    latest: HashMap<Fingerprint, Timestamp>,
    order: VecDeque<(Timestamp, Fingerprint)>,
}

impl RecentAnswers {
    /// Notes an answer.
    pub(super) fn note(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.latest.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        if self.order.len() > MAX_ANSWERS {
            self.forget_oldest();
        }
    }

    /// Whether a request was answered lately. Its answers are forgotten.
    pub(super) fn take(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let answered = self.latest.remove(&fingerprint);
        answered.is_some_and(|at| now.since(at) <= MEMORY)
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MEMORY)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        if self.latest.get(&fingerprint) == Some(&at) {
            self.latest.remove(&fingerprint);
        }
    }
}
