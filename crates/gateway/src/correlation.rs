//! What ties an answer to its request: both bear the same id, and a connection carries an id once.
//! A request without an id has a connection to itself.
//!
//! The place of an answer on a connection that others use proves nothing: a worker may send an answer a
//! second time, late, so that it arrives in the place of the next one that is due. Nor does an id alone,
//! as callers may use one twice and a request may be sent to a worker twice.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use prometheus::IntCounterVec;
use tansyhall_forwarding::WorkerId;

use crate::events::{Event, EventLog, Weight};
use crate::headers::HeaderList;
use crate::protocol::Protocol;
use crate::second_answer::holds_status_line;
use crate::worker_request::WorkerRequest;

/// Ids that a connection may carry before it is closed: at 8 bytes each it then holds 4 KiB of them,
/// and one request in 512 pays for a new connection.
const MOST_IDS: usize = 512;

/// Why an answer is not the request's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Foreign {
    /// It bears the id of another one, and others went over its connection before: it came late.
    #[error("the answer to another request")]
    Late,
    /// It bears another id, or none, or parts of two answers.
    #[error("no answer to this request")]
    Unrelated,
}

/// Compares answers with the requests before them, and records those of other requests.
pub struct Correlation {
    protocol: Arc<dyn Protocol>,
    log: Arc<EventLog>,
    foreign_answers: IntCounterVec,
}

impl fmt::Debug for Correlation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Correlation").finish()
    }
}

/// The head of an answer, as far as it is compared.
#[derive(Debug, Clone, Copy)]
pub struct ComparedHead<'a> {
    /// The status.
    pub status: u16,
    /// The reason after the status, if it is not the usual one.
    pub reason: &'a [u8],
    /// All headers.
    pub headers: &'a HeaderList,
    /// Answers that its connection had brought before.
    pub answers_before: usize,
}

impl Correlation {
    /// Reads ids as this protocol says; writes lines and counts by what was asked.
    pub fn new(
        protocol: Arc<dyn Protocol>,
        log: Arc<EventLog>,
        foreign_answers: IntCounterVec,
    ) -> Self {
        Self {
            protocol,
            log,
            foreign_answers,
        }
    }

    /// The id that a request bears; none if its caller gave it none.
    pub fn id_of<'a>(&self, request: &'a WorkerRequest) -> Option<&'a str> {
        self.protocol.correlation_id(&request.headers)
    }

    /// Whether the answer bears the request's id.
    pub fn check(
        &self,
        worker: &WorkerId,
        request: &WorkerRequest,
        answer: ComparedHead<'_>,
    ) -> Result<(), Foreign> {
        let asked = self.id_of(request);
        let answered = self.protocol.correlation_id(answer.headers);
        if asked == answered && !answer.holds_another() {
            return Ok(());
        }
        let work = request.asked.name();
        self.foreign_answers.with_label_values(&[work]).inc();
        let event = Event::ForeignAnswer {
            request: asked.unwrap_or_default(),
            answered: answered.unwrap_or_default(),
            worker: worker.as_str(),
            work,
            status: answer.status,
            answers_before: answer.answers_before,
        };
        self.log.record(Weight::Important, &event);
        match answered.is_some() && answer.answers_before > 0 {
            true => Err(Foreign::Late),
            false => Err(Foreign::Unrelated),
        }
    }
}

impl ComparedHead<'_> {
    /// Whether the head is a torn one with the next answer behind it.
    fn holds_another(&self) -> bool {
        let mut values = self.headers.iter().map(|header| header.value.as_slice());
        holds_status_line(self.reason) || values.any(holds_status_line)
    }
}

/// The ids that a connection has carried, as hashes: two that are alike by chance only cost a new
/// connection.
#[derive(Debug, Default)]
pub struct CarriedIds(Vec<u64>);

impl CarriedIds {
    /// Whether this id may go over the connection.
    pub fn allows(&self, id: &str) -> bool {
        !self.is_full() && !self.0.contains(&hash_of(id))
    }

    /// Whether the connection has carried all that it may.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MOST_IDS
    }

    /// Notes an id that goes over the connection.
    pub fn note(&mut self, id: &str) {
        self.0.push(hash_of(id));
    }

    /// How many requests with an id the connection has carried.
    pub fn count(&self) -> usize {
        self.0.len()
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
