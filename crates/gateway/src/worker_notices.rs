//! Notices that workers attach to their answers: that they are leaving, are backing off, or have a rate limit. This module
//! reads the notices from answers, records them in the directory of workers, and applies them to every request that is
//! about to be sent.

use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tansyhall_core::time::MonotonicClock;
use tansyhall_core::Timestamp;
use tansyhall_forwarding::{Directory, RateToken, Unavailable, WorkerId, WorkerNotice};

use crate::connections::{NotSentReason, SendError};
use crate::events::{Event, EventLog, Priority};
use crate::headers::HeaderList;
use crate::protocol::Protocol;
use crate::state::saturating_millis;
use crate::worker_request::{RequestKind, WorkerRequest};

/// Statuses of successful answers.
const SUCCESS_STATUSES: RangeInclusive<u16> = 200..=299;

/// The source of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// The worker's answer to a request of this kind.
    Answer(RequestKind),
    /// Another gateway, whose requests this one places.
    Gateway,
}

impl NoticeSource {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            NoticeSource::Answer(kind) => kind.name(),
            NoticeSource::Gateway => "gateway",
        }
    }
}

/// Reads notices from answers that match their requests, and applies them.
pub struct WorkerNotices {
    clock: MonotonicClock,
    protocol: Arc<dyn Protocol>,
    directory: Arc<Mutex<Directory>>,
    log: Arc<EventLog>,
    notice_counter: IntCounterVec,
}

impl fmt::Debug for WorkerNotices {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WorkerNotices").finish()
    }
}

impl WorkerNotices {
    /// Creates a reader of notices that decodes them with `protocol` and records them in `directory`. Changes are logged to
    /// `log` and counted in `notice_counter`.
    pub fn new(
        clock: MonotonicClock,
        protocol: Arc<dyn Protocol>,
        directory: Arc<Mutex<Directory>>,
        log: Arc<EventLog>,
        notice_counter: IntCounterVec,
    ) -> Self {
        Self {
            clock,
            protocol,
            directory,
            log,
            notice_counter,
        }
    }

    /// Reads the notice in a worker's answer to a request that was sent at `sent_at`.
    pub fn record_answer(
        &self,
        worker: &WorkerId,
        kind: RequestKind,
        sent_at: Timestamp,
        status: u16,
        headers: &HeaderList,
    ) {
        let source = NoticeSource::Answer(kind);
        let notice = self.protocol.worker_notice(status, headers);
        if notice != WorkerNotice::default() {
            self.apply(worker, notice, source);
        }
        // An error, or an answer to a different kind of request, need not name the rate limit: only its absence from a
        // successful answer to work means that the limit has ended.
        let is_success = SUCCESS_STATUSES.contains(&status);
        if kind.is_caller_work() && is_success && notice.rate_limit.is_none() {
            self.record_no_rate_limit(worker, sent_at, source);
        }
    }

    /// Records that a worker named no rate limit in its answer to a request that was sent at `sent_at`.
    fn record_no_rate_limit(&self, worker: &WorkerId, sent_at: Timestamp, source: NoticeSource) {
        let now = self.clock.now();
        let mut directory = self.directory.lock();
        let ended = directory.record_no_rate_limit(now, worker, sent_at);
        drop(directory);
        if ended {
            let event = Event::WorkerRateLimitEnded {
                worker: worker.as_str(),
                source: source.name(),
            };
            self.log.record(Priority::Routine, &event);
        }
    }

    /// Applies a notice of a worker.
    pub fn apply(&self, worker: &WorkerId, notice: WorkerNotice, source: NoticeSource) {
        let now = self.clock.now();
        let changes = self.directory.lock().apply_notice(now, worker, notice);
        if changes.is_leaving {
            self.notice_counter.with_label_values(&["leaving"]).inc();
            let event = Event::WorkerLeaving {
                worker: worker.as_str(),
                source: source.name(),
            };
            self.log.record(Priority::Important, &event);
        }
        if let Some(backoff) = changes.backoff {
            self.notice_counter.with_label_values(&["rest"]).inc();
            let event = Event::WorkerRests {
                worker: worker.as_str(),
                source: source.name(),
                rest_ms: saturating_millis(backoff),
            };
            self.log.record(Priority::Important, &event);
        }
        if let Some(limit) = changes.rate_limit {
            self.notice_counter.with_label_values(&["rate_limit"]).inc();
            let event = Event::WorkerRateLimit {
                worker: worker.as_str(),
                source: source.name(),
                requests_per_second: limit.requests_per_second(),
            };
            self.log.record(Priority::Routine, &event);
        }
    }

    /// Takes a token of the worker's rate limit for a request that is about to be sent, unless the request already has one
    /// or needs none.
    pub fn take_rate_token(
        &self,
        worker: &WorkerId,
        request: &WorkerRequest,
    ) -> Result<RateToken, SendError> {
        if request.has_rate_token || !request.kind.is_caller_work() {
            return Ok(RateToken::Unlimited);
        }
        let now = self.clock.now();
        match self.directory.lock().take_rate_token(now, worker) {
            RateToken::Missing => {
                let reason = NotSentReason::WorkerUnavailable(Unavailable::RateLimited);
                Err(SendError::NotSent(reason))
            }
            token => Ok(token),
        }
    }

    /// Returns the token of a request that was not sent.
    pub fn return_rate_token(&self, worker: &WorkerId) {
        let now = self.clock.now();
        self.directory.lock().return_rate_token(now, worker);
    }

    /// Checks whether the worker's notices, and for work of callers also its entry in the store, permit a request of this
    /// kind. A worker that is leaving still frees the KV caches that it keeps for requests which continued on other workers.
    pub fn check_permitted(&self, worker: &WorkerId, kind: RequestKind) -> Result<(), SendError> {
        let now = self.clock.now();
        let directory = self.directory.lock();
        let unavailable = match kind.is_caller_work() {
            true => directory.unavailable_for_work(now, worker),
            false => directory.unavailable(now, worker),
        };
        match unavailable {
            None => Ok(()),
            Some(Unavailable::Leaving) if kind == RequestKind::Release => Ok(()),
            Some(unavailable) => Err(SendError::NotSent(NotSentReason::WorkerUnavailable(
                unavailable,
            ))),
        }
    }
}
