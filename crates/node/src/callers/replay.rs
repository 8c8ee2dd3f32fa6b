//! A request body that is streamed to a back end, and that can be offered to another back end as
//! long as no part of it has been read.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_web::error::PayloadError;
use actix_web::web;
use bytes::Bytes;
use futures_util::Stream;

/// Why a body could not be forwarded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It passes the node's limit.
    #[error("the body is too large to be forwarded")]
    TooLarge,
    /// The caller sent it wrongly, or broke off.
    #[error("the body cannot be read: {0}")]
    Unreadable(PayloadError),
}

#[derive(Debug, Default)]
struct Reading {
    started: Cell<bool>,
    too_large: Cell<bool>,
    bytes: Cell<u64>,
}

/// The body. Clones read the same bytes, each of them once.
#[derive(Clone)]
pub struct ReplayableBody {
    payload: Rc<RefCell<web::Payload>>,
    reading: Rc<Reading>,
    max_bytes: u64,
}

impl ReplayableBody {
    /// A body of at most `max_bytes`, none of which has been read.
    pub fn new(payload: web::Payload, max_bytes: u64) -> Self {
        Self {
            payload: Rc::new(RefCell::new(payload)),
            reading: Rc::default(),
            max_bytes,
        }
    }

    /// Whether some of it has been read, so that it cannot be offered again.
    pub fn is_started(&self) -> bool {
        self.reading.started.get()
    }

    /// Whether it was found to pass its limit.
    pub fn is_too_large(&self) -> bool {
        self.reading.too_large.get()
    }
}

impl Stream for ReplayableBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        this.reading.started.set(true);
        let polled = Pin::new(&mut *this.payload.borrow_mut()).poll_next(context);
        polled.map(|item| {
            let bytes = match item? {
                Ok(bytes) => bytes,
                Err(error) => return Some(Err(BodyError::Unreadable(error))),
            };
            let total = this.reading.bytes.get() + bytes.len() as u64;
            this.reading.bytes.set(total);
            if total > this.max_bytes {
                this.reading.too_large.set(true);
                return Some(Err(BodyError::TooLarge));
            }
            Some(Ok(bytes))
        })
    }
}
