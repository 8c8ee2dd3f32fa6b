//! One send of a caller's request to a worker, from its start to the end of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use tansyhall_forwarding::{EventFramer, EventId, SendResult};
use tokio::time::Instant;

use crate::connections::{Connections, Destination, SendError, WorkerAnswer};
use crate::send_guard::SendGuard;
use crate::worker_request::WorkerRequest;

/// Answers up to this length are buffered until they are complete, so that another worker's answer can replace one that
/// breaks off.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// A resumable stream may be continued by another worker after its worker was silent for this long.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A send in progress. Dropping it closes its connection.
pub(super) struct Attempt {
    /// The worker's address.
    pub(super) destination: Destination,
    /// How long the worker may be silent before its answer begins, and within an answer that is not a stream.
    max_silence: Duration,
    /// Whether the worker continues a stream of which the caller has received events, and may have none left to send.
    pub(super) is_continuation: bool,
    stage: Stage,
    /// Why its answer broke off, if the connection or the body told.
    pub(super) break_reason: Option<String>,
    /// Whether it is waited for until the deadline because nothing replaces it. `Exchange::await_stalled` sets it, and
    /// `Exchange::wait` clears it when anything arrives from the worker.
    pub(super) is_awaited: bool,
    /// The accounting of the send. It ends after the connection is closed.
    pub(super) guard: SendGuard,
}

enum Stage {
    Sending(LocalBoxFuture<'static, Result<WorkerAnswer, SendError>>),
    Answering(Box<OpenAnswer>),
    /// The head has been received, or the send has failed.
    Taken,
}

/// An answer that is being received, with what has been received and not delivered.
pub(super) struct OpenAnswer {
    pub(super) answer: WorkerAnswer,
    began_at: Instant,
    pub(super) body: ReceivedBody,
}

/// How the body of an answer is handled, according to the answer and its route.
pub(super) enum ReceivedBody {
    /// The error of a worker, buffered until it is complete.
    Error(BytesMut),
    /// An answer that is not a stream, buffered until it is complete or too long.
    Whole(BytesMut),
    /// A stream that cannot be resumed and of which nothing has been received.
    UnstartedStream,
    /// Parts that are delivered as they arrive.
    Parts {
        /// Whether the answer is a stream, whose pauses are measured.
        is_stream: bool,
    },
    /// A resumable stream, of which only complete events are delivered.
    Events {
        framer: EventFramer,
        /// Whether an event of this answer has been delivered.
        has_delivered: bool,
        /// The last event of this answer that has been delivered.
        last_event: Option<EventId>,
    },
}

/// What arrived from a worker.
pub(super) enum Received {
    Head(Box<WorkerAnswer>),
    Bytes(Bytes),
    End,
    Failed(SendError),
}

impl Attempt {
    /// Creates the attempt. The request is sent when the attempt is first polled by [`Attempt::receive`].
    pub(super) fn new(
        connections: &Arc<Connections>,
        destination: Destination,
        request: WorkerRequest,
        guard: SendGuard,
        max_silence: Duration,
    ) -> Self {
        let connections = Arc::clone(connections);
        let to = destination.clone();
        let progress = Arc::clone(&guard.progress);
        let sending = async move {
            connections
                .send_with_progress(&to, &request, &progress)
                .await
        };
        Self {
            guard,
            destination,
            max_silence,
            is_continuation: false,
            break_reason: None,
            stage: Stage::Sending(sending.boxed_local()),
            is_awaited: false,
        }
    }

    /// Waits for what arrives next. It may be cancelled without losing anything.
    pub(super) async fn receive(&mut self) -> Received {
        match &mut self.stage {
            Stage::Sending(sending) => {
                let sent = sending.await;
                self.stage = Stage::Taken;
                match sent {
                    Ok(answer) => Received::Head(Box::new(answer)),
                    Err(error) => Received::Failed(error),
                }
            }
            Stage::Answering(open) => match open.answer.body.next().await {
                Ok(Some(bytes)) => Received::Bytes(bytes),
                Ok(None) => Received::End,
                Err(error) => Received::Failed(error),
            },
            Stage::Taken => std::future::pending().await,
        }
    }

    /// Continues with the body of the answer whose head has been received.
    pub(super) fn begin_body(&mut self, answer: WorkerAnswer, body: ReceivedBody) {
        self.stage = Stage::Answering(Box::new(OpenAnswer {
            answer,
            began_at: Instant::now(),
            body,
        }));
    }

    /// Returns the answer that is being received, if its head has arrived.
    pub(super) fn open_answer(&mut self) -> Option<&mut OpenAnswer> {
        match &mut self.stage {
            Stage::Answering(open) => Some(open),
            Stage::Sending(_) | Stage::Taken => None,
        }
    }

    /// Drops the answer that is being received. The result of the send stays as it is.
    pub(super) fn close_answer(&mut self) {
        self.stage = Stage::Taken;
    }

    fn body(&self) -> Option<&ReceivedBody> {
        match &self.stage {
            Stage::Answering(open) => Some(&open.body),
            Stage::Sending(_) | Stage::Taken => None,
        }
    }

    /// Returns whether no answer is open: the worker has not begun one, or its head or error has just been received.
    pub(super) fn awaits_head(&self) -> bool {
        self.body().is_none()
    }

    /// Returns whether the worker is answering with an error.
    pub(super) fn is_error(&self) -> bool {
        matches!(self.body(), Some(ReceivedBody::Error(_)))
    }

    /// Returns whether a part of the answer has been delivered, and the last event delivered.
    pub(super) fn delivered(&self) -> (bool, Option<EventId>) {
        match self.body() {
            Some(ReceivedBody::Events {
                has_delivered,
                last_event,
                ..
            }) => (*has_delivered, last_event.clone()),
            Some(ReceivedBody::Parts { .. }) => (true, None),
            _ => (false, None),
        }
    }

    /// Returns how long the worker may be silent now, or `None` if nothing follows from its silence.
    pub(super) fn silence_limit(&self, is_replaceable: bool) -> Option<Duration> {
        match self.body() {
            _ if self.is_awaited => None,
            None => Some(self.max_silence),
            Some(ReceivedBody::Events { .. }) => Some(STREAM_SILENCE_TIMEOUT),
            Some(ReceivedBody::Error(_) | ReceivedBody::Whole(_)) => {
                Some(self.max_silence).filter(|_| is_replaceable)
            }
            Some(ReceivedBody::UnstartedStream | ReceivedBody::Parts { .. }) => None,
        }
    }

    /// Returns when the worker began a successful answer, if it has.
    pub(super) fn answering_since(&self) -> Option<Instant> {
        match &self.stage {
            Stage::Answering(open) if !self.is_error() => Some(open.began_at),
            _ => None,
        }
    }

    /// Returns whether a part of the answer, or its end, can be delivered with what arrived next. `has_begun` says whether
    /// the caller's answer has begun.
    pub(super) fn is_deliverable_with(&self, received: &Received, has_begun: bool) -> bool {
        match (self.body(), received) {
            (Some(ReceivedBody::Whole(buffered)), Received::Bytes(bytes)) => {
                buffered.len() + bytes.len() > MAX_BUFFERED_BYTES
            }
            (Some(ReceivedBody::Whole(_)), Received::End) => true,
            (Some(ReceivedBody::Events { framer, .. }), Received::Bytes(bytes)) => {
                framer.is_completed_by(bytes)
            }
            (Some(ReceivedBody::Events { framer, .. }), Received::End) => {
                has_begun && framer.pending_bytes() == 0
            }
            _ => false,
        }
    }

    /// Keeps bytes with which nothing can be delivered yet. Returns whether they can be kept.
    pub(super) fn buffer(&mut self, bytes: &Bytes) -> bool {
        match self.open_answer().map(|open| &mut open.body) {
            Some(ReceivedBody::Whole(buffered)) => {
                buffered.extend_from_slice(bytes);
                true
            }
            Some(ReceivedBody::Events { framer, .. }) => framer.push(bytes).is_ok(),
            _ => false,
        }
    }

    /// Ends the attempt because another worker answers in its place.
    pub(super) fn end_as_replaced(mut self) {
        match self.awaits_head() {
            true => self.guard.set_result(
                SendResult::Abandoned { silent: true },
                "worker did not answer in time",
            ),
            false if self.is_error() => {}
            false => self.guard.set_result(
                SendResult::Failed,
                "answer went silent, and another worker continued",
            ),
        }
    }

    /// Ends the attempt because the worker that it should replace goes on.
    pub(super) fn end_as_unneeded(mut self) {
        let result = match self.guard.progress.is_sent() {
            true => SendResult::Abandoned { silent: false },
            false => SendResult::Withheld,
        };
        self.guard
            .set_result(result, "the worker that it should replace went on");
    }
}
