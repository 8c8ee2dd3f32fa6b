//! Delivering the body of an answer, whole or part by part.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tansyhall_forwarding::{EventFramer, EventId, Repeatability, RequestEvent, SendFailure};
use tokio::time::{timeout_at, Instant};

use super::{failed, Exchange};
use crate::answer::{Answer, AnswerHead};
use crate::connections::{SendError, WorkerAnswer};
use crate::headers::HeaderList;

/// Answers up to this length are held until they are whole, so that a broken one can be replaced.
const MAX_HELD_BYTES: usize = 256 << 10;
/// A resumable stream whose worker is silent for this long goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_000);

/// What came of waiting for the next bytes of a body.
enum NextBytes {
    Bytes(Bytes),
    End,
    Broken,
    DeadlinePassed,
}

impl Exchange {
    /// Keeps a worker's own failure for the caller.
    pub(super) async fn keep_error(
        &mut self,
        mut answer: WorkerAnswer,
        silence: Option<Duration>,
    ) -> RequestEvent {
        let mut body = BytesMut::new();
        loop {
            match self.next_held(&mut answer, silence).await {
                NextBytes::Bytes(bytes) if body.len() + bytes.len() <= MAX_HELD_BYTES => {
                    body.extend_from_slice(&bytes);
                }
                NextBytes::End => break,
                NextBytes::DeadlinePassed => return RequestEvent::DeadlinePassed,
                _ => return failed(SendFailure::MayHaveRun),
            }
        }
        self.error_answer = Some((head_of(answer.status, answer.headers), body.freeze()));
        failed(SendFailure::ErrorAnswer)
    }

    /// Delivers an answer that is no stream: at once when it is whole, or part by part when it is
    /// too long to be held. One that says nothing for the time of `silence` may come from another
    /// worker.
    pub(super) async fn deliver_whole(
        &mut self,
        mut answer: WorkerAnswer,
        silence: Option<Duration>,
    ) -> RequestEvent {
        let mut held = BytesMut::new();
        loop {
            match self.next_held(&mut answer, silence).await {
                NextBytes::Bytes(bytes) => held.extend_from_slice(&bytes),
                NextBytes::End => {
                    let head = head_of(answer.status, answer.headers);
                    self.begin_answer(Answer::Whole(head, held.freeze()));
                    return RequestEvent::Completed;
                }
                NextBytes::Broken => return failed(SendFailure::MayHaveRun),
                NextBytes::DeadlinePassed => return RequestEvent::DeadlinePassed,
            }
            if held.len() > MAX_HELD_BYTES {
                return self.deliver_parts(answer, held.freeze()).await;
            }
        }
    }

    /// Delivers a stream of events as they come.
    pub(super) async fn deliver_stream(&mut self, mut answer: WorkerAnswer) -> RequestEvent {
        let resumable = Repeatability::Stream { resumable: true };
        if self.route().repeatability == resumable {
            return self.deliver_events(answer).await;
        }
        match self.next_bytes(&mut answer, self.deadline()).await {
            NextBytes::Bytes(first) => {
                self.count_usage(self.shared.now());
                self.deliver_parts(answer, first).await
            }
            NextBytes::End => self.deliver_parts(answer, Bytes::new()).await,
            NextBytes::Broken => failed(SendFailure::MayHaveRun),
            NextBytes::DeadlinePassed => RequestEvent::DeadlinePassed,
        }
    }

    async fn deliver_parts(&mut self, mut answer: WorkerAnswer, first: Bytes) -> RequestEvent {
        let head = head_of(answer.status, std::mem::take(&mut answer.headers));
        self.begin_answer(Answer::Streamed(head));
        let mut part = first;
        loop {
            if !part.is_empty() && !self.pass_on(part).await {
                return RequestEvent::Interrupted(None);
            }
            part = match self.next_bytes(&mut answer, self.deadline()).await {
                NextBytes::Bytes(bytes) => bytes,
                NextBytes::End => {
                    self.sink.end().await;
                    return RequestEvent::Completed;
                }
                NextBytes::Broken | NextBytes::DeadlinePassed => {
                    return RequestEvent::Interrupted(None);
                }
            };
        }
    }

    /// Delivers whole events only, so that another worker can go on after the last of them.
    async fn deliver_events(&mut self, mut answer: WorkerAnswer) -> RequestEvent {
        let mut framer = EventFramer::default();
        let mut last_event: Option<EventId> = None;
        loop {
            let bytes = match self.next_within(&mut answer, STREAM_SILENCE).await {
                NextBytes::Bytes(bytes) => {
                    self.count_usage(self.shared.now());
                    bytes
                }
                NextBytes::End if framer.pending_bytes() == 0 && self.sink.has_begun() => {
                    self.sink.end().await;
                    return RequestEvent::Completed;
                }
                NextBytes::DeadlinePassed => return RequestEvent::DeadlinePassed,
                _ if self.sink.has_begun() => return RequestEvent::Interrupted(last_event),
                _ => return failed(SendFailure::MayHaveRun),
            };
            let Ok(events) = framer.push(&bytes) else {
                return RequestEvent::Interrupted(last_event);
            };
            if events.bytes.is_empty() {
                continue;
            }
            if !self.sink.has_begun() {
                let head = head_of(answer.status, std::mem::take(&mut answer.headers));
                self.begin_answer(Answer::Streamed(head));
            }
            last_event = events.last_id.or(last_event);
            if !self.pass_on(Bytes::from(events.bytes)).await {
                return match self.time_left().is_zero() {
                    true => RequestEvent::DeadlinePassed,
                    false => RequestEvent::Interrupted(last_event),
                };
            }
        }
    }

    /// Passes a part on to the caller. One that has gone silent takes nothing more, and would hold its
    /// worker for ever: at the deadline, its request is over.
    async fn pass_on(&self, part: Bytes) -> bool {
        let taken = timeout_at(self.deadline(), self.sink.part(part)).await;
        taken.unwrap_or(false)
    }

    /// The next bytes of an answer that is held; one that is silent for too long is broken if the request
    /// may go elsewhere.
    async fn next_held(&self, answer: &mut WorkerAnswer, silence: Option<Duration>) -> NextBytes {
        let may_retry = self.retries_left(self.shared.now()) > 0;
        match silence.filter(|_| may_retry) {
            Some(silence) => self.next_within(answer, silence).await,
            None => self.next_bytes(answer, self.deadline()).await,
        }
    }

    /// The next bytes, if they come within this time: a connection that goes silent in the middle of an answer
    /// says nothing of it.
    async fn next_within(&self, answer: &mut WorkerAnswer, silence: Duration) -> NextBytes {
        let limit = (Instant::now() + silence).min(self.deadline());
        match self.next_bytes(answer, limit).await {
            NextBytes::DeadlinePassed if !self.time_left().is_zero() => {
                self.shared.connections.give_up_unheard_for(silence);
                answer.body.give_up();
                NextBytes::Broken
            }
            next => next,
        }
    }

    async fn next_bytes(&self, answer: &mut WorkerAnswer, limit: Instant) -> NextBytes {
        match timeout_at(limit, answer.body.next()).await {
            Ok(Ok(Some(bytes))) => NextBytes::Bytes(bytes),
            Ok(Ok(None)) => NextBytes::End,
            Ok(Err(SendError::NotSent(_) | SendError::NoAnswer(_))) => NextBytes::Broken,
            Err(_) => NextBytes::DeadlinePassed,
        }
    }
}

fn head_of(status: u16, mut headers: HeaderList) -> AnswerHead {
    headers.remove_connection_headers();
    AnswerHead { status, headers }
}
