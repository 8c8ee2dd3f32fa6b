//! The table of requests that this node serves or has lately served, from which a caller learns
//! how its request stands.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tansyhall_core::{RequestId, Sharded, Timestamp, Verdict};

use super::failure::Failure;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// No part of the answer has been generated.
    Queued,
    /// Part of the answer has been generated.
    Running,
    /// The deadline has passed and the answer is not whole.
    Late,
    /// The whole answer was delivered.
    Completed,
    /// The request ended and did not run.
    NotRun,
    /// The request ended and may have run.
    MayHaveRun,
}

impl RequestState {
    /// The state's name on the wire.
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
    /// How it stands.
    pub state: RequestState,
    /// Time since the request arrived, or until it ended, in milliseconds.
    pub waited_ms: u64,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Attempts at back ends so far.
    pub attempts: u32,
    /// Tokens of the answer so far.
    pub tokens: u32,
    /// For a request that did not run: when to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Path of the kept answer, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum Ending {
    /// The whole answer was delivered, or is kept for the caller.
    Completed,
    /// It failed.
    Failed(Failure),
    /// The caller went away first; the work was cancelled.
    Abandoned,
}

#[derive(Debug, Default)]
struct Progress {
    deadline: Timestamp,
    attempts: u32,
    tokens: u32,
    ended: Option<(Timestamp, Ending)>,
    answer: Option<KeptAnswer>,
}

/// A place for a kept answer, free again once this is dropped.
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

/// One request's record.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request's identifier.
    pub id: RequestId,
    /// When it arrived.
    pub arrived: Timestamp,
    progress: Mutex<Progress>,
}

impl RequestRecord {
    fn new(id: RequestId, arrived: Timestamp) -> Self {
        let progress = Progress {
            deadline: arrived,
            ..Progress::default()
        };
        Self {
            id,
            arrived,
            progress: Mutex::new(progress),
        }
    }

    /// Sets the deadline, once the request's class is known.
    pub fn set_deadline(&self, deadline: Timestamp) {
        self.progress.lock().deadline = deadline;
    }

    /// Counts an attempt at a back end.
    pub fn attempted(&self) {
        self.progress.lock().attempts += 1;
    }

    /// Notes how many tokens have been generated.
    pub fn generated(&self, tokens: u32) {
        self.progress.lock().tokens = tokens;
    }

    /// Ends the request; only the first ending counts, and is answered with true.
    pub fn end(&self, now: Timestamp, ending: Ending) -> bool {
        let mut progress = self.progress.lock();
        let first = progress.ended.is_none();
        if first {
            progress.ended = Some((now, ending));
        }
        first
    }

    /// Whether the deadline lies before `now`.
    pub fn passed_deadline(&self, now: Timestamp) -> bool {
        now > self.progress.lock().deadline
    }

    /// Keeps the whole answer for the caller to fetch.
    pub fn keep_answer(&self, body: Bytes, slot: AnswerSlot) {
        self.progress.lock().answer = Some(KeptAnswer { body, _slot: slot });
    }

    /// The kept answer.
    pub fn answer(&self) -> Option<Bytes> {
        let progress = self.progress.lock();
        progress.answer.as_ref().map(|answer| answer.body.clone())
    }

    /// The failure that ended the request.
    pub fn failure(&self) -> Option<Failure> {
        match &self.progress.lock().ended {
            Some((_, Ending::Failed(failure))) => Some(failure.clone()),
            _ => None,
        }
    }

    /// The status resource.
    pub fn status(&self, now: Timestamp) -> RequestStatus {
        let progress = self.progress.lock();
        let until = progress.ended.as_ref().map_or(now, |(at, _)| *at);
        let answer = progress.answer.as_ref();
        RequestStatus {
            id: self.id.to_string(),
            state: progress.state(now),
            waited_ms: millis(until.since(self.arrived)),
            deadline_ms: millis(progress.deadline.since(self.arrived)),
            attempts: progress.attempts,
            tokens: progress.tokens,
            retry_after_ms: progress.retry_after().map(millis),
            answer: answer.map(|_| answer_path(self.id)),
        }
    }

    fn expired(&self, now: Timestamp, retention: Duration) -> bool {
        let progress = self.progress.lock();
        let ended = progress.ended.as_ref();
        ended.is_some_and(|(at, _)| now.since(*at) > retention)
    }
}

impl Progress {
    fn state(&self, now: Timestamp) -> RequestState {
        match &self.ended {
            Some((_, Ending::Completed)) => RequestState::Completed,
            Some((_, Ending::Failed(failure))) => match failure.verdict {
                Verdict::NotRun { .. } => RequestState::NotRun,
                Verdict::Completed | Verdict::MayHaveRun => RequestState::MayHaveRun,
            },
            Some((_, Ending::Abandoned)) => RequestState::MayHaveRun,
            None if now > self.deadline => RequestState::Late,
            None if self.tokens > 0 => RequestState::Running,
            None => RequestState::Queued,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match &self.ended {
            Some((_, Ending::Failed(failure))) => failure.retry_after(),
            _ => None,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Path of a request's status resource.
pub fn status_path(id: RequestId) -> String {
    format!("/v1/requests/{id}")
}

/// Path of a request's kept answer.
pub fn answer_path(id: RequestId) -> String {
    format!("/v1/requests/{id}/answer")
}

/// The table. Records of requests that ended are kept for a retention time; when the table is
/// full, new requests are served without a record.
#[derive(Debug)]
pub struct RequestTable {
    records: Sharded<RequestId, Arc<RequestRecord>>,
    retention: Duration,
    kept_answers: Arc<AtomicUsize>,
    max_kept_answers: usize,
}

impl RequestTable {
    /// An empty table for `capacity` records and `max_kept_answers` answers.
    pub fn new(capacity: usize, max_kept_answers: usize, retention: Duration) -> Self {
        Self {
            records: Sharded::with_capacity_limit(capacity),
            retention,
            kept_answers: Arc::default(),
            max_kept_answers,
        }
    }

    /// Begins a record. It is returned even if the table has no room to keep it.
    pub fn begin(&self, id: RequestId, now: Timestamp) -> Arc<RequestRecord> {
        let record = Arc::new(RequestRecord::new(id, now));
        // A full table costs the caller its status resource, not its answer.
        let _ = self.records.insert(id, Arc::clone(&record));
        record
    }

    /// The record of a request.
    pub fn get(&self, id: RequestId) -> Option<Arc<RequestRecord>> {
        self.records.with(&id, |shard| shard.get(&id).cloned())
    }

    /// Takes a place for a request's answer, if there is one and the request has a record.
    pub fn reserve_answer(&self, id: RequestId) -> Option<AnswerSlot> {
        self.get(id)?;
        let most = self.max_kept_answers;
        let take = |kept: usize| (kept < most).then_some(kept + 1);
        self.kept_answers
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .ok()?;
        Some(AnswerSlot(Arc::clone(&self.kept_answers)))
    }

    /// Forgets the requests that ended longer ago than the retention time.
    pub fn sweep(&self, now: Timestamp) {
        self.records
            .retain(|_, record| !record.expired(now, self.retention));
    }

    /// Records in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
