//! Table of the requests that this node serves or has recently served. Callers read the status of
//! their requests from it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tansyhall_core::{RequestId, Sharded, Timestamp, Verdict};

use super::failure::Failure;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// No part of the answer has been generated.
    Queued,
    /// Part of the answer has been generated.
    Running,
    /// The deadline has passed and the answer is not complete.
    Late,
    /// The complete answer was delivered.
    Completed,
    /// The request ended and did not run.
    NotRun,
    /// The request ended and may have run.
    MayHaveRun,
}

impl RequestState {
    /// Returns the state's name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            RequestState::Queued => "queued",
            RequestState::Running => "running",
            RequestState::Late => "late",
            RequestState::Completed => "completed",
            RequestState::NotRun => "not-run",
            RequestState::MayHaveRun => "may-have-run",
        }
    }
}

/// The status resource of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The request's identifier.
    pub id: String,
    /// State of the request.
    pub state: RequestState,
    /// Time from the request's arrival until now or until its end, in milliseconds.
    pub waited_ms: u64,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of attempts at back ends so far.
    pub attempts: u32,
    /// Number of tokens generated so far.
    pub tokens: u32,
    /// For a request that did not run: when to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Path of the kept answer, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum RequestOutcome {
    /// The complete answer was delivered or is kept for the caller.
    Completed,
    /// The request failed.
    Failed(Failure),
    /// The caller disconnected first, and the work was cancelled.
    Abandoned,
}

#[derive(Debug, Default)]
struct Progress {
    deadline: Timestamp,
    attempts: u32,
    tokens: u32,
    ended: Option<(Timestamp, RequestOutcome)>,
    answer: Option<KeptAnswer>,
}

/// Slot for a kept answer. It becomes free when this value is dropped.
#[derive(Debug)]
pub struct AnswerSlot(Arc<AtomicUsize>);

impl Drop for AnswerSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Debug)]
struct KeptAnswer {
    body: Bytes,
    _slot: AnswerSlot,
}

/// Record of one request.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request's identifier.
    pub id: RequestId,
    /// Time of arrival.
    pub arrived_at: Timestamp,
    progress: Mutex<Progress>,
}

impl RequestRecord {
    fn new(id: RequestId, arrived_at: Timestamp) -> Self {
        let progress = Progress {
            deadline: arrived_at,
            ..Progress::default()
        };
        Self {
            id,
            arrived_at,
            progress: Mutex::new(progress),
        }
    }

    /// Sets the deadline, once the request's class is known.
    pub fn set_deadline(&self, deadline: Timestamp) {
        self.progress.lock().deadline = deadline;
    }

    /// Counts an attempt at a back end.
    pub fn count_attempt(&self) {
        self.progress.lock().attempts += 1;
    }

    /// Sets the number of tokens that have been generated.
    pub fn set_generated_tokens(&self, tokens: u32) {
        self.progress.lock().tokens = tokens;
    }

    /// Ends the request. Returns false if it had already ended: only the first outcome counts.
    pub fn end(&self, now: Timestamp, outcome: RequestOutcome) -> bool {
        let mut progress = self.progress.lock();
        let first = progress.ended.is_none();
        if first {
            progress.ended = Some((now, outcome));
        }
        first
    }

    /// Returns whether the deadline lies before `now`.
    pub fn is_past_deadline(&self, now: Timestamp) -> bool {
        now > self.progress.lock().deadline
    }

    /// Keeps the complete answer for the caller to fetch.
    pub fn keep_answer(&self, body: Bytes, slot: AnswerSlot) {
        self.progress.lock().answer = Some(KeptAnswer { body, _slot: slot });
    }

    /// Returns the kept answer.
    pub fn answer(&self) -> Option<Bytes> {
        let progress = self.progress.lock();
        progress.answer.as_ref().map(|answer| answer.body.clone())
    }

    /// Returns the failure that ended the request.
    pub fn failure(&self) -> Option<Failure> {
        match &self.progress.lock().ended {
            Some((_, RequestOutcome::Failed(failure))) => Some(failure.clone()),
            _ => None,
        }
    }

    /// Returns the status resource.
    pub fn status(&self, now: Timestamp) -> RequestStatus {
        let progress = self.progress.lock();
        let until = progress.ended.as_ref().map_or(now, |(at, _)| *at);
        let answer = progress.answer.as_ref();
        RequestStatus {
            id: self.id.to_string(),
            state: progress.state(now),
            waited_ms: millis(until.since(self.arrived_at)),
            deadline_ms: millis(progress.deadline.since(self.arrived_at)),
            attempts: progress.attempts,
            tokens: progress.tokens,
            retry_after_ms: progress.retry_after().map(millis),
            answer: answer.map(|_| answer_path(self.id)),
        }
    }

    fn is_expired(&self, now: Timestamp, retention: Duration) -> bool {
        let progress = self.progress.lock();
        let ended = progress.ended.as_ref();
        ended.is_some_and(|(at, _)| now.since(*at) > retention)
    }
}

impl Progress {
    fn state(&self, now: Timestamp) -> RequestState {
        match &self.ended {
            Some((_, RequestOutcome::Completed)) => RequestState::Completed,
            Some((_, RequestOutcome::Failed(failure))) => match failure.verdict {
                Verdict::NotRun { .. } => RequestState::NotRun,
                Verdict::Completed | Verdict::MayHaveRun => RequestState::MayHaveRun,
            },
            Some((_, RequestOutcome::Abandoned)) => RequestState::MayHaveRun,
            None if now > self.deadline => RequestState::Late,
            None if self.tokens > 0 => RequestState::Running,
            None => RequestState::Queued,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match &self.ended {
            Some((_, RequestOutcome::Failed(failure))) => failure.retry_after(),
            _ => None,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the path of a request's status resource.
pub fn status_path(id: RequestId) -> String {
    format!("/v1/requests/{id}")
}

/// Returns the path of a request's kept answer.
pub fn answer_path(id: RequestId) -> String {
    format!("/v1/requests/{id}/answer")
}

/// Table of request records. The record of a request that ended is kept for the retention time. If
/// the table is full, new requests are served without a record.
#[derive(Debug)]
pub struct RequestTable {
    records: Sharded<RequestId, Arc<RequestRecord>>,
    retention: Duration,
    kept_answers: Arc<AtomicUsize>,
    max_kept_answers: usize,
}

impl RequestTable {
    /// Returns an empty table for at most `capacity` records and `max_kept_answers` kept answers.
    pub fn new(capacity: usize, max_kept_answers: usize, retention: Duration) -> Self {
        Self {
            records: Sharded::with_capacity_limit(capacity),
            retention,
            kept_answers: Arc::default(),
            max_kept_answers,
        }
    }

    /// Creates a record. It is returned even if the table has no room for it.
    pub fn create(&self, id: RequestId, now: Timestamp) -> Arc<RequestRecord> {
        let record = Arc::new(RequestRecord::new(id, now));
        // If the table is full, the request has no status resource but is still answered.
        let _ = self.records.insert(id, Arc::clone(&record));
        record
    }

    /// Returns the record of a request.
    pub fn get(&self, id: RequestId) -> Option<Arc<RequestRecord>> {
        self.records.with(&id, |shard| shard.get(&id).cloned())
    }

    /// Reserves a slot for a request's answer, if one is free and the request has a record.
    pub fn reserve_answer(&self, id: RequestId) -> Option<AnswerSlot> {
        self.get(id)?;
        let max = self.max_kept_answers;
        let reserve = |kept: usize| (kept < max).then_some(kept + 1);
        self.kept_answers
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, reserve)
            .ok()?;
        Some(AnswerSlot(Arc::clone(&self.kept_answers)))
    }

    /// Removes the records of requests that ended longer ago than the retention time.
    pub fn sweep(&self, now: Timestamp) {
        self.records
            .retain(|_, record| !record.is_expired(now, self.retention));
    }

    /// Returns the number of records in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
