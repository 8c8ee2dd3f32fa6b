//! The body of a response to a caller, which counts as in progress until the server has sent it.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::HttpResponse;
use bytes::Bytes;

use crate::state::InFlightGuard;

/// Maximum length of a piece that is passed to the server. The server buffers about as much before it waits for the
/// caller, so the rest of a body is not released before nearly all of it has been sent.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// A body that is passed to the server in pieces.
struct ResponseBody {
    inner: BoxBody,
    /// What is left of the last bytes of `inner`.
    rest: Bytes,
    _in_flight: InFlightGuard,
}

/// Counts a response as in progress until its body has been sent or its caller has disconnected.
pub fn count_until_sent(response: HttpResponse, in_flight: InFlightGuard) -> HttpResponse {
    response.map_body(|_, inner| {
        let body = ResponseBody {
            inner,
            rest: Bytes::new(),
            _in_flight: in_flight,
        };
        body.boxed()
    })
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
