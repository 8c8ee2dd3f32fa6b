//! Delivery of an answer's body to the caller, at once or in parts.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tansyhall_forwarding::{EventFramer, EventId, Repeatability, RequestEvent, SendFailure};
use tokio::time::{timeout_at, Instant};

use super::{failed, Exchange};
use crate::answer::{Answer, AnswerHead};
use crate::connections::{SendError, WorkerAnswer};
use crate::headers::HeaderList;
use crate::send_guard::SendGuard;

/// Answers up to this length are buffered until they are complete, so that another worker's answer can replace one that
/// breaks off.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// A resumable stream is continued by another worker after its worker was silent for this long.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of waiting for the next bytes of a body.
enum NextBytes {
    Bytes(Bytes),
    End,
    Broken,
    DeadlinePassed,
}

impl Exchange {
    /// Reads the error that a worker answered with and keeps it for the caller.
    pub(super) async fn keep_error_answer(
        &mut self,
        mut answer: WorkerAnswer,
        max_silence: Option<Duration>,
    ) -> RequestEvent {
        let mut body = BytesMut::new();
        loop {
            match self.next_buffered(&mut answer, max_silence).await {
                NextBytes::Bytes(bytes) if body.len() + bytes.len() <= MAX_BUFFERED_BYTES => {
                    body.extend_from_slice(&bytes);
                }
                NextBytes::End => break,
                NextBytes::DeadlinePassed => return RequestEvent::DeadlinePassed,
                _ => return failed(SendFailure::MayHaveRun),
            }
        }
        self.error_answer = Some((answer_head(answer.status, answer.headers), body.freeze()));
        failed(SendFailure::ErrorAnswer)
    }

    /// Delivers an answer that is not a stream: at once when it is complete, or in parts if it is too long to be
    /// buffered. If the worker is silent for `max_silence`, another worker may run the request.
    pub(super) async fn deliver_complete(
        &mut self,
        mut answer: WorkerAnswer,
        max_silence: Option<Duration>,
    ) -> RequestEvent {
        let mut buffered = BytesMut::new();
        loop {
            match self.next_buffered(&mut answer, max_silence).await {
                NextBytes::Bytes(bytes) => buffered.extend_from_slice(&bytes),
                NextBytes::End => {
                    let head = answer_head(answer.status, answer.headers);
                    self.begin_answer(Answer::Whole(head, buffered.freeze()));
                    return RequestEvent::Completed;
                }
                NextBytes::Broken => return failed(SendFailure::MayHaveRun),
                NextBytes::DeadlinePassed => return RequestEvent::DeadlinePassed,
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return self.deliver_parts(answer, buffered.freeze(), None).await;
            }
        }
    }

    /// Delivers a stream as it arrives, and measures its pauses.
    pub(super) async fn deliver_stream(
        &mut self,
        mut answer: WorkerAnswer,
        guard: &mut SendGuard,
    ) -> RequestEvent {
        let resumable = Repeatability::Stream { resumable: true };
        if self.route().repeatability == resumable {
            return self.deliver_events(answer, guard).await;
        }
        match self.next_bytes(&mut answer, self.deadline()).await {
            NextBytes::Bytes(first) => {
                self.count_usage(self.shared.now());
                self.deliver_parts(answer, first, Some(guard)).await
            }
            NextBytes::End => self.deliver_parts(answer, Bytes::new(), Some(guard)).await,
            NextBytes::Broken => failed(SendFailure::MayHaveRun),
            NextBytes::DeadlinePassed => RequestEvent::DeadlinePassed,
        }
    }

    /// Delivers an answer in parts as they arrive. `stream` is the send if the answer is a stream.
    async fn deliver_parts(
        &mut self,
        mut answer: WorkerAnswer,
        first: Bytes,
        mut stream: Option<&mut SendGuard>,
    ) -> RequestEvent {
        let head = answer_head(answer.status, std::mem::take(&mut answer.headers));
        self.begin_answer(Answer::Streamed(head));
        let mut part = first;
        loop {
            if !part.is_empty() {
                if let Some(guard) = stream.as_deref_mut() {
                    self.record_received(guard);
                }
                if !self.send_part(part).await {
                    return RequestEvent::Interrupted(None);
                }
                if let Some(guard) = stream.as_deref_mut() {
                    self.record_delivered(guard);
                }
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

    /// Delivers only complete events, so that another worker can continue after the last one delivered.
    async fn deliver_events(
        &mut self,
        mut answer: WorkerAnswer,
        guard: &mut SendGuard,
    ) -> RequestEvent {
        let mut framer = EventFramer::default();
        let mut last_event: Option<EventId> = None;
        loop {
            let bytes = match self.next_within(&mut answer, STREAM_SILENCE_TIMEOUT).await {
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
            self.record_received(guard);
            if !self.sink.has_begun() {
                let head = answer_head(answer.status, std::mem::take(&mut answer.headers));
                self.begin_answer(Answer::Streamed(head));
            }
            last_event = events.last_id.or(last_event);
            if !self.send_part(Bytes::from(events.bytes)).await {
                return match self.time_left().is_zero() {
                    true => RequestEvent::DeadlinePassed,
                    false => RequestEvent::Interrupted(last_event),
                };
            }
            self.record_delivered(guard);
        }
    }

    fn record_received(&mut self, guard: &mut SendGuard) {
        let now = self.shared.now();
        self.pause.record_received(now);
        guard.pause.record_received(now);
    }

    fn record_delivered(&mut self, guard: &mut SendGuard) {
        let now = self.shared.now();
        self.pause.record_delivered(now);
        guard.pause.record_delivered(now);
    }

    /// Sends a part to the caller and returns whether it was accepted. A caller that stops reading would otherwise
    /// occupy its worker forever, so the request ends at its deadline.
    async fn send_part(&self, part: Bytes) -> bool {
        let accepted = timeout_at(self.deadline(), self.sink.send_part(part)).await;
        accepted.unwrap_or(false)
    }

    /// Returns the next bytes of a buffered answer. An answer that is silent for `max_silence` counts as broken if the
    /// retry budget allows another send.
    async fn next_buffered(
        &self,
        answer: &mut WorkerAnswer,
        max_silence: Option<Duration>,
    ) -> NextBytes {
        let may_retry = self.retries_left(self.shared.now()) > 0;
        match max_silence.filter(|_| may_retry) {
            Some(max_silence) => self.next_within(answer, max_silence).await,
            None => self.next_bytes(answer, self.deadline()).await,
        }
    }

    /// Returns the next bytes if they arrive within `max_silence`, and [`NextBytes::Broken`] otherwise: a connection
    /// that stalls in the middle of an answer reports no error.
    async fn next_within(&self, answer: &mut WorkerAnswer, max_silence: Duration) -> NextBytes {
        let time_limit = (Instant::now() + max_silence).min(self.deadline());
        match self.next_bytes(answer, time_limit).await {
            NextBytes::DeadlinePassed if !self.time_left().is_zero() => {
                self.shared
                    .connections
                    .close_silent_connections(max_silence);
                answer.body.give_up();
                NextBytes::Broken
            }
            next => next,
        }
    }

    async fn next_bytes(&self, answer: &mut WorkerAnswer, time_limit: Instant) -> NextBytes {
        match timeout_at(time_limit, answer.body.next()).await {
            Ok(Ok(Some(bytes))) => NextBytes::Bytes(bytes),
            Ok(Ok(None)) => NextBytes::End,
            Ok(Err(SendError::NotSent(_) | SendError::NoAnswer(_))) => NextBytes::Broken,
            Err(_) => NextBytes::DeadlinePassed,
        }
    }
}

fn answer_head(status: u16, mut headers: HeaderList) -> AnswerHead {
    headers.remove_connection_headers();
    AnswerHead { status, headers }
}
