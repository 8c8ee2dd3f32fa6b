//! The body of a response to a caller. Until the server has sent it, the response counts as in progress, and the next
//! request of its connection is not read.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::web::Payload;
use bytes::Bytes;

use crate::caller_stream::RequestInProgress;
use crate::state::InFlightGuard;

/// Maximum length of a piece that is passed to the server. The server buffers about as much before it waits for the
/// caller, so the rest of a body is not released before nearly all of it has been sent.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// A body that is passed to the server in pieces.
pub struct ResponseBody {
    inner: BoxBody,
    /// What is left of the last bytes of `inner`.
    rest: Bytes,
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
        in_flight: InFlightGuard,
        request: RequestInProgress,
        unread: Option<Payload>,
    ) -> Self {
        Self {
            inner,
            rest: Bytes::new(),
            _in_flight: in_flight,
            _request: request,
            _unread: unread,
        }
    }
}

impl MessageBody for ResponseBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        while self.rest.is_empty() {
            match ready!(Pin::new(&mut self.inner).poll_next(context)) {
                Some(Ok(bytes)) => self.rest = bytes,
                end => return Poll::Ready(end),
            }
        }
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}
