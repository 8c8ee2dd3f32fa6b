//! Matches answers to requests: both contain the same id, and each connection carries an id at most once.
//! A request without an id gets a connection of its own.
//!
//! On a connection that is reused, the order of answers proves nothing: a worker may send an answer twice, and the late
//! copy arrives when the answer to the next request is expected. The id alone proves nothing either: callers may use
//! an id twice, and a request may be sent to a worker twice.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use prometheus::IntCounterVec;
use tansyhall_forwarding::WorkerId;

use crate::events::{Event, EventLog, Priority};
use crate::headers::HeaderList;
use crate::protocol::Protocol;
use crate::second_answer::contains_status_line;
use crate::worker_request::WorkerRequest;

/// Maximum number of ids that a connection carries before it is closed. At 8 bytes each, the ids take at most 4 KiB per
/// connection, and one request in 512 has the cost of a new connection.
const MAX_IDS: usize = 512;

/// How an answer fails to match the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// It contains the id of another request, and its connection has carried other answers before: it is a late copy of
    /// one of them.
    #[error("answer belongs to another request")]
    Late,
    /// It contains a different id on a new connection, or no id, or parts of two answers.
    #[error("answer does not match the request")]
    Unrelated,
}

/// Compares the ids of answers and requests, and records mismatched answers.
pub struct Correlation {
    protocol: Arc<dyn Protocol>,
    log: Arc<EventLog>,
    mismatch_counter: IntCounterVec,
}

impl fmt::Debug for Correlation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Correlation").finish()
    }
}

/// The parts of an answer's head that are compared with the request.
#[derive(Debug, Clone, Copy)]
pub struct ComparedHead<'a> {
    /// The HTTP status.
    pub status: u16,
    /// The reason phrase, if it differs from the standard one.
    pub reason: &'a [u8],
    /// All headers.
    pub headers: &'a HeaderList,
    /// The number of answers that its connection carried before.
    pub answers_before: usize,
}

impl Correlation {
    /// Creates a check that reads ids with `protocol`, logs mismatched answers to `log` and counts them in
    /// `mismatch_counter` by kind of request.
    pub fn new(
        protocol: Arc<dyn Protocol>,
        log: Arc<EventLog>,
        mismatch_counter: IntCounterVec,
    ) -> Self {
        Self {
            protocol,
            log,
            mismatch_counter,
        }
    }

    /// Returns the id in the headers of a request, or `None` if its caller set none.
    pub fn id_of<'a>(&self, request: &'a WorkerRequest) -> Option<&'a str> {
        self.protocol.correlation_id(&request.headers)
    }

    /// Checks that the answer contains the request's id.
    pub fn check(
        &self,
        worker: &WorkerId,
        request: &WorkerRequest,
        answer: ComparedHead<'_>,
    ) -> Result<(), Mismatch> {
        let requested_id = self.id_of(request);
        let answered_id = self.protocol.correlation_id(answer.headers);
        if requested_id == answered_id && !answer.contains_another_answer() {
            return Ok(());
        }
        let work = request.kind.name();
        self.mismatch_counter.with_label_values(&[work]).inc();
        let event = Event::ForeignAnswer {
            request: requested_id.unwrap_or_default(),
            answered: answered_id.unwrap_or_default(),
            worker: worker.as_str(),
            work,
            status: answer.status,
            answers_before: answer.answers_before,
        };
        self.log.record(Priority::Important, &event);
        match answered_id.is_some() && answer.answers_before > 0 {
            true => Err(Mismatch::Late),
            false => Err(Mismatch::Unrelated),
        }
    }
}

impl ComparedHead<'_> {
    /// Returns whether the head is truncated and followed by the start of another answer.
    fn contains_another_answer(&self) -> bool {
        let mut values = self.headers.iter().map(|header| header.value.as_slice());
        contains_status_line(self.reason) || values.any(contains_status_line)
    }
}

/// The ids that a connection has carried, as hashes. The only effect of a hash collision is an additional
/// connection.
#[derive(Debug, Default)]
pub struct CarriedIds(Vec<u64>);

impl CarriedIds {
    /// Returns whether a request with this id may be sent on the connection.
    pub fn allows(&self, id: &str) -> bool {
        !self.is_full() && !self.0.contains(&hash_id(id))
    }

    /// Returns whether the connection has carried the maximum number of ids.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_IDS
    }

    /// Records an id that is sent on the connection.
    pub fn record(&mut self, id: &str) {
        self.0.push(hash_id(id));
    }

    /// Returns the number of requests with an id that the connection has carried.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

fn hash_id(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
