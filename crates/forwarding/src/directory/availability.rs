//! When workers that are unavailable because of their own notices accept requests again.

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp};

use super::notices::Unavailable;
use super::Directory;
use crate::load_exchange::WorkerKey;
use crate::selection::Need;

/// When the first worker accepts a request, and what prevents it until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAvailable {
    /// Time until then.
    pub after: Duration,
    /// What prevents it.
    pub blocked_by: Unavailable,
}

impl Directory {
    /// Returns when the first of the workers that serve a need accepts a request, if all of them
    /// are unavailable now because of their own notices.
    pub fn first_available(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> Option<FirstAvailable> {
        let serving = self.eligible.serving(service, need);
        if self.notice_count() < serving.len() {
            return None;
        }
        let waits = serving.iter().map(|key| self.wait_for(now, *key));
        let waits: Option<Vec<FirstAvailable>> = waits.collect();
        waits?.into_iter().min_by_key(|wait| wait.after)
    }

    /// Returns the time until the first of the workers that serve a need accepts a request, if it
    /// is a rate limit that prevents it until then.
    pub fn rate_limited_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        need: &Need,
    ) -> Option<Duration> {
        let first = self.first_available(now, service, need)?;
        (first.blocked_by == Unavailable::RateLimited).then_some(first.after)
    }

    /// Returns how long a worker accepts no request because of its own notices; `None` if it
    /// accepts one now.
    fn wait_for(&self, now: Timestamp, key: WorkerKey) -> Option<FirstAvailable> {
        let backoff_end = self.notices.backoff_until(now, key);
        let backoff = backoff_end.map_or(Duration::ZERO, |until| until.since(now));
        let token_wait = self.rate_limits.wait(now, key);
        let blocked_by = match token_wait > backoff {
            true => Unavailable::RateLimited,
            false => Unavailable::BackingOff,
        };
        let after = backoff.max(token_wait);
        (!after.is_zero()).then_some(FirstAvailable { after, blocked_by })
    }
}
