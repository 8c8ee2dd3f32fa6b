//! When workers take requests again that take none now for what they have said of themselves.

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

use super::notices::Unavailable;
use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::selection::Need;

/// When the first worker takes a request, and what keeps it from that until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAvailable {
    /// Time until then.
    pub after: Duration,
    /// What keeps it.
    pub until_then: Unavailable,
}

impl Directory {
    /// When the first of the workers that serve a need takes a request, if none does now for what it has said of itself.
    pub fn first_available(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> Option<FirstAvailable> {
        let serving = self.eligible.serving(service, need);
        if self.kept_notices() < serving.len() {
            return None;
        }
        let waits = serving.iter().map(|key| self.wait_for(now, *key));
        let waits: Option<Vec<FirstAvailable>> = waits.collect();
        waits?.into_iter().min_by_key(|wait| wait.after)
    }

    /// Time until the first of the workers that serve a need takes a request, if all are at their rate limits.
    pub fn rate_limited_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> Option<Duration> {
        let first = self.first_available(now, service, need)?;
        (first.until_then == Unavailable::RateLimited).then_some(first.after)
    }

    /// How long a worker takes no request for what it has said of itself; none if it takes one now.
    fn wait_for(&self, now: Timestamp, key: WorkerKey) -> Option<FirstAvailable> {
        let rested = self.notices.rests_until(now, key);
        let rest = rested.map_or(Duration::ZERO, |until| until.since(now));
        let token = self.rate_limits.wait(now, key);
        let until_then = match token > rest {
            true => Unavailable::RateLimited,
            false => Unavailable::Resting,
        };
        let after = rest.max(token);
        (!after.is_zero()).then_some(FirstAvailable { after, until_then })
    }
}
