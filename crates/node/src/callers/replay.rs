//! A request body that is streamed to a back end. It can be sent to another back end as long as no
//! part of it has been read.

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
    /// The body exceeds the node's limit.
    #[error("the body is too large to be forwarded")]
    TooLarge,
    /// The caller sent an invalid body or disconnected.
    #[error("the body cannot be read: {0}")]
    Unreadable(PayloadError),
}

#[derive(Debug, Default)]
struct ReadProgress {
    started: Cell<bool>,
    too_large: Cell<bool>,
    bytes: Cell<u64>,
}

/// The body. Clones share one stream, in which each byte is read once.
#[derive(Clone)]
pub struct ReplayableBody {
    payload: Rc<RefCell<web::Payload>>,
    progress: Rc<ReadProgress>,
    max_bytes: u64,
}

impl ReplayableBody {
    /// Returns an unread body of at most `max_bytes`.
    pub fn new(payload: web::Payload, max_bytes: u64) -> Self {
        Self {
            payload: Rc::new(RefCell::new(payload)),
            progress: Rc::default(),
            max_bytes,
        }
    }

    /// Returns whether part of the body has been read, so that it cannot be sent again.
    pub fn is_started(&self) -> bool {
        self.progress.started.get()
    }

    /// Returns whether the body was found to exceed its limit.
    pub fn is_too_large(&self) -> bool {
        self.progress.too_large.get()
    }
}

impl Stream for ReplayableBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        this.progress.started.set(true);
        let polled = Pin::new(&mut *this.payload.borrow_mut()).poll_next(context);
        polled.map(|item| {
            let bytes = match item? {
                Ok(bytes) => bytes,
                Err(error) => return Some(Err(BodyError::Unreadable(error))),
            };
            let total = this.progress.bytes.get() + bytes.len() as u64;
            this.progress.bytes.set(total);
            if total > this.max_bytes {
                this.progress.too_large.set(true);
                return Some(Err(BodyError::TooLarge));
            }
            Some(Ok(bytes))
        })
    }
}
