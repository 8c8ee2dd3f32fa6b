//! The body of a response to a caller. Until the server has sent it, the response counts as in progress, and the next
//! request of its connection is not read. What precedes a failure of the body is sent before the failure is reported.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::web::Payload;
use bytes::Bytes;

use crate::caller_stream::{Flushing, RequestInProgress};
use crate::state::InFlightGuard;

/// Maximum length of a piece that is passed to the server. The server buffers about as much before it waits for the
/// caller, so the rest of a body is not released before nearly all of it has been sent.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// A body that is passed to the server in pieces.
pub struct ResponseBody {
    inner: BoxBody,
    /// What is left of the last bytes of `inner`.
    rest: Bytes,
    /// `None` if the connection does not tell when it is flushed.
    flushing: Option<Rc<Flushing>>,
    /// The failure of `inner`, which is not reported yet.
    failure: Option<BodyError>,
    _in_flight: InFlightGuard,
    _request: RequestInProgress,
    _unread: Option<Payload>,
}

impl ResponseBody {
    /// Wraps the body of a response. `unread` is the unread body of a refused request: while it exists, the server
    /// considers the request unread and closes the connection. Otherwise it would read a chunked body for as long as the
    /// caller keeps the connection open.
    pub fn new(
        inner: BoxBody,
        flushing: Option<Rc<Flushing>>,
        in_flight: InFlightGuard,
        request: RequestInProgress,
        unread: Option<Payload>,
    ) -> Self {
        Self {
            inner,
            rest: Bytes::new(),
            flushing,
            failure: None,
            _in_flight: in_flight,
            _request: request,
            _unread: unread,
        }
    }

    /// Reports the failure once all bytes before it have been written. The server closes the connection at a failure, and
    /// drops what it has buffered.
    fn poll_failure(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(flushing) = &self.flushing {
            ready!(flushing.poll_flushed(context));
        }
        Poll::Ready(self.failure.take().map(Err))
    }
}

type BodyError = <BoxBody as MessageBody>::Error;

impl MessageBody for ResponseBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.failure.is_some() {
            return self.poll_failure(context);
        }
        while self.rest.is_empty() {
            match ready!(Pin::new(&mut self.inner).poll_next(context)) {
                Some(Ok(bytes)) => self.rest = bytes,
                Some(Err(error)) => {
                    self.failure = Some(error);
                    return self.poll_failure(context);
                }
                None => return Poll::Ready(None),
            }
        }
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}
