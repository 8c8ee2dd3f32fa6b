//! What workers say of themselves along with their answers: that they leave, want rest, or take so many requests a
//! second. The directory of workers keeps it; here it is read off answers, and holds for all that is about to be sent.

use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Directory, RateToken, Unavailable, WorkerId, WorkerNotice};

use crate::connections::{SendError, Unconnected};
use crate::events::{Event, EventLog, Weight};
use crate::headers::HeaderList;
use crate::protocol::Protocol;
use crate::state::whole_millis;
use crate::worker_request::{Asked, WorkerRequest};

/// Statuses of answers that tell a success.
const SUCCESSES: RangeInclusive<u16> = 200..=299;

/// Where a notice comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// The worker's answer to this.
    Answer(Asked),
    /// A gateway whose requests this one places.
    Gateway,
}

impl NoticeSource {
    /// Its name in logs.
    fn name(self) -> &'static str {
        match self {
            NoticeSource::Answer(asked) => asked.name(),
            NoticeSource::Gateway => "gateway",
        }
    }
}

/// Reads what workers say along with answers that are their requests' own, and keeps to it.
pub struct WorkerNotices {
    clock: MonotonicClock,
    protocol: Arc<dyn Protocol>,
    directory: Arc<Mutex<Directory>>,
    log: Arc<EventLog>,
    heard: IntCounterVec,
}

impl fmt::Debug for WorkerNotices {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WorkerNotices").finish()
    }
}

impl WorkerNotices {
    /// Reads notices as this protocol says and tells this directory; writes lines and counts what is new.
    pub fn new(
        clock: MonotonicClock,
        protocol: Arc<dyn Protocol>,
        directory: Arc<Mutex<Directory>>,
        log: Arc<EventLog>,
        heard: IntCounterVec,
    ) -> Self {
        Self {
            clock,
            protocol,
            directory,
            log,
            heard,
        }
    }

    /// A worker has answered what was sent at `sent`.
    pub fn hear(
        &self,
        worker: &WorkerId,
        asked: Asked,
        sent: Timestamp,
        status: u16,
        headers: &HeaderList,
    ) {
        let source = NoticeSource::Answer(asked);
        let notice = self.protocol.worker_notice(status, headers);
        if notice != WorkerNotice::default() {
            self.take(worker, notice, source);
        }
        // A worker that turns work away, or answers something else, may not name its limit there.
        let is_success = SUCCESSES.contains(&status);
        if asked.is_work() && is_success && notice.rate_limit.is_none() {
            self.rate_limit_not_named(worker, sent, source);
        }
    }

    /// A worker named no rate limit in its answer to what was sent at `sent`.
    fn rate_limit_not_named(&self, worker: &WorkerId, sent: Timestamp, source: NoticeSource) {
        let now = self.clock.now();
        let mut directory = self.directory.lock();
        let ended = directory.record_no_rate_limit(now, worker, sent);
        drop(directory);
        if ended {
            let event = Event::WorkerRateLimitEnded {
                worker: worker.as_str(),
                source: source.name(),
            };
            self.log.record(Weight::Routine, &event);
        }
    }

    /// A worker has said something of itself.
    pub fn take(&self, worker: &WorkerId, notice: WorkerNotice, source: NoticeSource) {
        let now = self.clock.now();
        let news = self.directory.lock().apply_notice(now, worker, notice);
        if news.is_leaving {
            self.heard.with_label_values(&["leaving"]).inc();
            let event = Event::WorkerLeaving {
                worker: worker.as_str(),
                source: source.name(),
            };
            self.log.record(Weight::Important, &event);
        }
        if let Some(rest) = news.backoff {
            self.heard.with_label_values(&["rest"]).inc();
            let event = Event::WorkerRests {
                worker: worker.as_str(),
                source: source.name(),
                rest_ms: whole_millis(rest),
            };
            self.log.record(Weight::Important, &event);
        }
        if let Some(limit) = news.rate_limit {
            self.heard.with_label_values(&["rate_limit"]).inc();
            let event = Event::WorkerRateLimit {
                worker: worker.as_str(),
                source: source.name(),
                requests_per_second: limit.requests_per_second(),
            };
            self.log.record(Weight::Routine, &event);
        }
    }

    /// Takes a token of the worker's rate limit for a request that is about to be sent, unless it has one.
    pub fn take_rate_token(
        &self,
        worker: &WorkerId,
        request: &WorkerRequest,
    ) -> Result<RateToken, SendError> {
        if request.has_rate_token || !request.asked.is_work() {
            return Ok(RateToken::Unlimited);
        }
        let now = self.clock.now();
        match self.directory.lock().take_rate_token(now, worker) {
            RateToken::Missing => {
                let reached = Unconnected::Unwanted(Unavailable::RateLimited);
                Err(SendError::NotSent(reached))
            }
            token => Ok(token),
        }
    }

    /// A request for which a token was taken was not sent.
    pub fn give_back_rate_token(&self, worker: &WorkerId) {
        let now = self.clock.now();
        self.directory.lock().return_rate_token(now, worker);
    }

    /// Whether something may be sent to a worker, as far as it has said. One that leaves still frees what it keeps
    /// for requests that went on elsewhere.
    pub fn permit(&self, worker: &WorkerId, asked: Asked) -> Result<(), SendError> {
        let now = self.clock.now();
        match self.directory.lock().unavailable(now, worker) {
            None => Ok(()),
            Some(Unavailable::Leaving) if asked == Asked::Release => Ok(()),
            Some(unavailable) => Err(SendError::NotSent(Unconnected::Unwanted(unavailable))),
        }
    }
}
