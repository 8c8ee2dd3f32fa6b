//! Reads the bodies of callers' requests. Memory is reserved before bytes are read.

use std::future::poll_fn;
use std::time::Duration;

use actix_web::error::PayloadError;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::web::Payload;
use actix_web::HttpRequest;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tansyhall_memory_budget::{BodyLength, BodyPace, Exhausted, MemoryBudget, Reservation, Use};
use tokio::time::{interval_at, Instant, MissedTickBehavior};

use crate::caller_stream::Reading;

/// Memory that a request in progress needs in addition to its body.
const REQUEST_BYTES: usize = 16 << 10;
/// The first reservation for a body of unknown length.
const FIRST_CHUNKED_BYTES: usize = 16 << 10;
/// Interval at which the progress of a body is checked.
const PACE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the length of a request's body as it is announced.
pub fn announced_length(request: &HttpRequest) -> BodyLength {
    let headers = request.headers();
    if headers.contains_key(TRANSFER_ENCODING) {
        return BodyLength::Chunked;
    }
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
    BodyLength::Known(length.unwrap_or(0))
}

/// Why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than the configuration allows.
    #[error("the body is too long")]
    TooLong,
    /// The caller has disconnected, or its chunks are malformed.
    #[error("the body broke off")]
    Incomplete,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoMemory,
    /// Others need its memory, and it has made hardly any progress.
    #[error("the body is too slow while memory is short")]
    Slow,
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        Self::NoMemory
    }
}

/// Reads a body of up to `limit` bytes, and returns it with the memory reserved for its request.
pub async fn read(
    payload: &mut Payload,
    length: BodyLength,
    limit: usize,
    budget: &MemoryBudget,
    reading: &Reading,
) -> Result<(Bytes, Reservation), BodyError> {
    let first = match length {
        BodyLength::Known(length) if length > limit => return Err(BodyError::TooLong),
        BodyLength::Known(length) => length,
        BodyLength::Chunked => FIRST_CHUNKED_BYTES.min(limit),
    };
    let memory = budget.reserve(REQUEST_BYTES + first, Use::Request)?;
    let mut body = BodyBuffer {
        bytes: BytesMut::new(),
        memory,
        length,
        limit,
    };
    if first > 0 {
        body.bytes.reserve(first);
        body.read_to_end(payload, budget, reading).await?;
        reading.expect_body(BodyLength::Known(0));
    }
    Ok((body.bytes.freeze(), body.memory))
}

struct BodyBuffer {
    bytes: BytesMut,
    memory: Reservation,
    length: BodyLength,
    limit: usize,
}

impl BodyBuffer {
    async fn read_to_end(
        &mut self,
        payload: &mut Payload,
        budget: &MemoryBudget,
        reading: &Reading,
    ) -> Result<(), BodyError> {
        let mut pace = BodyPace::default();
        let mut checks = interval_at(Instant::now() + PACE_INTERVAL, PACE_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let part = tokio::select! {
                biased;
                part = self.next_part(payload, reading) => part,
                _ = checks.tick() => {
                    if !pace.may_continue(self.bytes.len(), budget.is_short()) {
                        return Err(BodyError::Slow);
                    }
                    continue;
                }
            };
            match part {
                Some(Ok(part)) => self.push(&part)?,
                Some(Err(_)) => return Err(BodyError::Incomplete),
                None => return Ok(()),
            }
        }
    }

    /// Waits for the next part. Once all parts so far have been taken, more of the body is read.
    async fn next_part(
        &self,
        payload: &mut Payload,
        reading: &Reading,
    ) -> Option<Result<Bytes, PayloadError>> {
        poll_fn(|context| {
            let part = payload.poll_next_unpin(context);
            if part.is_pending() {
                reading.expect_body(self.rest());
            }
            part
        })
        .await
    }

    fn rest(&self) -> BodyLength {
        match self.length {
            BodyLength::Known(length) => BodyLength::Known(length.saturating_sub(self.bytes.len())),
            BodyLength::Chunked => BodyLength::Chunked,
        }
    }

    fn push(&mut self, part: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + part.len();
        if length > self.limit {
            return Err(BodyError::TooLong);
        }
        if length > self.bytes.capacity() {
            let capacity = (self.bytes.capacity() * 2).max(length).min(self.limit);
            self.memory.grow_to(REQUEST_BYTES + capacity)?;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }
}
