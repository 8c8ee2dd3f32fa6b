//! What a caller gets: a whole answer, a stream of parts, or the gateway's own word.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{stream, Stream};
use tokio::sync::{mpsc, oneshot};

use crate::headers::HeaderList;

/// Parts of a streamed answer that wait for a slow caller.
const WAITING_PARTS: usize = 8;

/// The answer was cut off; the caller's connection must break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// A part of a streamed answer. An answer is whole only if its end was said: a task that vanishes
/// breaks the answer off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// The next bytes.
    Bytes(Bytes),
    /// The end of a whole answer.
    End,
}

/// An answer's status and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// Headers without those of one connection.
    pub headers: HeaderList,
}

/// What the caller gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A worker's whole answer.
    Whole(AnswerHead, Bytes),
    /// A worker's answer whose parts follow.
    Streamed(AnswerHead),
    /// The gateway's own answer.
    Own(OwnAnswer),
}

/// The gateway's own answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnAnswer {
    /// The request did not run and will not; worth another try after this time.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run; its answer is lost.
    Lost,
    /// The time is over; the request may have run.
    TimedOut,
    /// Workers end under the request: it will not be sent again, and another try is of no use.
    Barred,
}

/// The writing end of an answer.
#[derive(Debug)]
pub struct AnswerSink {
    head: Option<oneshot::Sender<Answer>>,
    parts: mpsc::Sender<Part>,
}

/// The reading end of an answer; dropping it means that the caller has left.
#[derive(Debug)]
pub struct AnswerSource {
    /// Arrives once.
    head: oneshot::Receiver<Answer>,
    parts: mpsc::Receiver<Part>,
}

impl AnswerSource {
    /// Waits for the answer, or its head; none if the request's task is gone.
    pub async fn head(&mut self) -> Option<Answer> {
        (&mut self.head).await.ok()
    }

    /// The parts of a streamed answer; an error where it breaks off.
    pub fn into_parts(self) -> impl Stream<Item = Result<Bytes, BrokenOff>> {
        stream::unfold(Some(self.parts), |parts| async move {
            let mut parts = parts?;
            match parts.recv().await {
                Some(Part::Bytes(bytes)) => Some((Ok(bytes), Some(parts))),
                Some(Part::End) => None,
                None => Some((Err(BrokenOff), None)),
            }
        })
    }
}

/// An answer's two ends.
pub fn channel() -> (AnswerSink, AnswerSource) {
    let (head_sender, head) = oneshot::channel();
    let (parts_sender, parts) = mpsc::channel(WAITING_PARTS);
    let sink = AnswerSink {
        head: Some(head_sender),
        parts: parts_sender,
    };
    (sink, AnswerSource { head, parts })
}

impl AnswerSink {
    /// Sends the answer, or its head.
    pub fn begin(&mut self, answer: Answer) {
        if let Some(head) = self.head.take() {
            let _ = head.send(answer);
        }
    }

    /// Whether the answer has begun.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a part; waits while the caller is slow. False if the caller has left.
    pub async fn part(&self, bytes: Bytes) -> bool {
        self.parts.send(Part::Bytes(bytes)).await.is_ok()
    }

    /// Says that a streamed answer is whole.
    pub async fn end(&self) {
        let _ = self.parts.send(Part::End).await;
    }

    /// A handle that resolves when the caller has left.
    pub fn watch_caller(&self) -> mpsc::Sender<Part> {
        self.parts.clone()
    }
}
