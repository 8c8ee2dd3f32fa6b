//! The answer to a caller: a complete answer, a stream of parts, or an answer of the gateway itself.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{stream, Stream};
use tokio::sync::{mpsc, oneshot};

use crate::headers::HeaderList;

/// Maximum number of parts of a streamed answer that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 8;

/// The answer was truncated. The caller's connection must be closed without a regular end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("answer was truncated")]
pub struct AnswerTruncated;

/// A part of a streamed answer. An answer is complete only if [`Part::End`] was sent: if the sending task
/// disappears before that, the answer is truncated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The end of a complete answer.
    End,
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers, without those that apply to a single connection.
    pub headers: HeaderList,
}

/// The answer that the caller receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A complete answer of a worker.
    Whole(AnswerHead, Bytes),
    /// The head of a worker's answer whose body follows in parts.
    Streamed(AnswerHead),
    /// An answer of the gateway itself.
    Gateway(GatewayAnswer),
}

/// Answers of the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayAnswer {
    /// The request did not run and will not run. The caller may retry it.
    NotRun {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run, but its answer is lost.
    Lost,
    /// The deadline has passed. The request may have run.
    TimedOut,
    /// The request crashes workers. It will not be sent again, and a retry is useless.
    Barred,
}

/// The sending end of an answer.
#[derive(Debug)]
pub struct AnswerSink {
    head: Option<oneshot::Sender<Answer>>,
    parts: mpsc::Sender<Part>,
}

/// The receiving end of an answer. It is dropped when the caller has disconnected.
#[derive(Debug)]
pub struct AnswerSource {
    /// Receives exactly one message.
    head: oneshot::Receiver<Answer>,
    parts: mpsc::Receiver<Part>,
}

impl AnswerSource {
    /// Waits for the answer, or its head if it is streamed. Returns `None` if the request's task has ended without one.
    pub async fn head(&mut self) -> Option<Answer> {
        (&mut self.head).await.ok()
    }

    /// Returns the body of a streamed answer. The stream yields an error if the answer is truncated.
    pub fn into_parts(self) -> impl Stream<Item = Result<Bytes, AnswerTruncated>> {
        stream::unfold(Some(self.parts), |parts| async move {
            let mut parts = parts?;
            match parts.recv().await {
                Some(Part::Bytes(bytes)) => Some((Ok(bytes), Some(parts))),
                Some(Part::End) => None,
                None => Some((Err(AnswerTruncated), None)),
            }
        })
    }
}

/// Creates the two ends of an answer.
pub fn channel() -> (AnswerSink, AnswerSource) {
    let (head_sender, head) = oneshot::channel();
    let (parts_sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    let sink = AnswerSink {
        head: Some(head_sender),
        parts: parts_sender,
    };
    (sink, AnswerSource { head, parts })
}

impl AnswerSink {
    /// Sends the answer, or its head if it is streamed. Only the first call has an effect.
    pub fn begin(&mut self, answer: Answer) {
        if let Some(head) = self.head.take() {
            let _ = head.send(answer);
        }
    }

    /// Returns whether the answer, or its head, has been sent.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a part; waits while the queue of a slow caller is full. Returns false if the caller has disconnected.
    pub async fn send_part(&self, bytes: Bytes) -> bool {
        self.parts.send(Part::Bytes(bytes)).await.is_ok()
    }

    /// Marks the end of a streamed answer, which is complete.
    pub async fn end(&self) {
        let _ = self.parts.send(Part::End).await;
    }

    /// Returns a handle whose `closed()` resolves when the caller has disconnected.
    pub fn watch_caller(&self) -> mpsc::Sender<Part> {
        self.parts.clone()
    }
}
