//! The body of a worker's answer, as it arrives on its connection.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tansyhall_core::stream_end::is_event_stream;
use tansyhall_core::StreamEnd;
use tokio::time::Instant;

use crate::connection_losses::Loss;
use crate::connection_pool::Connection;
use crate::connections::{Connections, Destination, SendError};
use crate::headers::HeaderList;
use crate::second_answer::SecondAnswerSearch;
use crate::worker_http::Surplus;

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which may be 0.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns an error for a transfer coding other than `chunked`. The HTTP library doesn't decode it and reads such a body
    /// to the end of its connection, whatever length the headers state.
    fn of(incoming: &Incoming, headers: &HeaderList) -> Result<Self, SendError> {
        if incoming.is_end_stream() {
            return Ok(Self::Length);
        }
        let mut codings = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("transfer-encoding"))
            .map(|header| header.value.trim_ascii());
        match (codings.next(), codings.next()) {
            (None, _) if headers.get("content-length").is_some() => Ok(Self::Length),
            (None, _) => Ok(Self::Connection),
            (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Self::Chunks),
            _ => Err(SendError::NoAnswer(
                "body has an unsupported transfer coding".into(),
            )),
        }
    }

    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    borrowed: Option<BorrowedConnection>,
    framing: Framing,
    /// How the body ends, if it is an event stream.
    stream_end: Option<StreamEnd>,
    /// Whether the body, if it is an event stream, has at least one event.
    has_events: bool,
    /// `None` for a request without an id, and after the end of the body.
    search: Option<SecondAnswerSearch>,
    /// The time until which bytes after the body are waited for, if they decide whether it is whole.
    surplus_deadline: Option<Instant>,
}

/// The connection on which an answer arrives. It counts as open until the answer has been read, even if it is not
/// reused afterwards.
#[derive(Debug)]
pub struct BorrowedConnection {
    /// The connections that it is returned to.
    pub connections: Arc<Connections>,
    /// The worker that it leads to.
    pub destination: Destination,
    /// The connection.
    pub connection: Connection,
    /// Whether it is reused after the answer.
    pub is_reusable: bool,
}

impl AnswerBody {
    /// Creates the body of an answer that is still to be read from a connection. `search` looks for a second answer in it.
    /// Returns an error if its end would not be recognized.
    pub fn new(
        incoming: Incoming,
        headers: &HeaderList,
        borrowed: BorrowedConnection,
        search: Option<SecondAnswerSearch>,
    ) -> Result<Self, SendError> {
        let framing = Framing::of(&incoming, headers)?;
        let is_stream = headers.get("content-type").is_some_and(is_event_stream);
        Ok(Self {
            framing,
            stream_end: is_stream.then(StreamEnd::default),
            has_events: framing == Framing::Connection,
            incoming,
            borrowed: Some(borrowed),
            search,
            surplus_deadline: None,
        })
    }

    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the end of the body is marked by its length or by chunked encoding, not by the end of the
    /// connection. Otherwise a body that was cut off by the end of the worker's process looks complete.
    pub fn has_explicit_end(&self) -> bool {
        self.framing != Framing::Connection
    }

    /// Returns whether the body is an event stream of which nothing but the end of the connection marks the end. After an
    /// event, the end of the worker's process looks the same.
    pub fn is_unframed_stream(&self) -> bool {
        self.stream_end.is_some() && !self.has_explicit_end()
    }

    /// Declares that the body is an event stream, whatever type its headers name. One that continues a stream may be empty;
    /// any other one has an event. Must be called before the first bytes are read.
    pub fn expect_events(&mut self, is_continuation: bool) {
        self.stream_end.get_or_insert_default();
        self.has_events |= !is_continuation;
    }

    /// Returns the next bytes, or `None` after the last. An error means that the body is incomplete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.incoming.frame().await {
                None => return self.handle_end().await,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => return self.check_bytes(bytes).map(Some),
                    _ => continue,
                },
                Some(Err(error)) => {
                    self.report_broken();
                    return Err(SendError::NoAnswer(error.to_string()));
                }
            }
        }
    }

    /// Reads the complete body. Returns `None` if it is incomplete or longer than `max_bytes`.
    pub async fn read_whole(&mut self, max_bytes: usize) -> Option<Bytes> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next().await.ok()? {
            if body.len() + bytes.len() > max_bytes {
                return None;
            }
            body.extend_from_slice(&bytes);
        }
        Some(body.freeze())
    }

    /// Handles the end of the body. Returns an error if the body ends inside the head of a second answer, or if it is a
    /// stream that was cut off.
    async fn handle_end(&mut self) -> Result<Option<Bytes>, SendError> {
        if self.ends_in_second_answer().await {
            self.borrowed = None;
            return Err(second_answer_error());
        }
        self.search = None;
        let end = self.stream_end.as_ref();
        let cut_off = end.and_then(|end| end.cut_off(self.has_events));
        match cut_off {
            _ if !self.has_explicit_end() => self.report_broken(),
            // What else the worker sends on this connection is doubtful.
            Some(_) => self.borrowed = None,
            None => self.return_connection(),
        }
        cut_off.map_or(Ok(None), |problem| Err(SendError::NoAnswer(problem.into())))
    }

    /// Returns whether the body ends inside the head of a second answer. May be cancelled and called again.
    async fn ends_in_second_answer(&mut self) -> bool {
        let Some(search) = &self.search else {
            return false;
        };
        // Only a length can be reached by the bytes of another answer.
        let is_undecided = self.framing == Framing::Length && search.is_undecided();
        if let (true, Some(borrowed)) = (is_undecided, &mut self.borrowed) {
            let deadline = *self.surplus_deadline.get_or_insert_with(Surplus::deadline);
            let surplus = borrowed.connection.surplus.receive(deadline).await;
            if search.continues_in(&surplus) {
                return true;
            }
        }
        search.ends_in_head()
    }

    /// Returns the bytes unchanged, or an error if a second answer begins in them.
    fn check_bytes(&mut self, bytes: Bytes) -> Result<Bytes, SendError> {
        let search = self.search.as_mut();
        if search.is_some_and(|search| search.detects_in(&bytes)) {
            self.borrowed = None;
            return Err(second_answer_error());
        }
        if let Some(end) = &mut self.stream_end {
            end.push(&bytes);
        }
        Ok(bytes)
    }

    /// Reports that the connection is broken, and does not reuse it.
    fn report_broken(&mut self) {
        let broken = self.borrowed.take();
        if let Some(borrowed) = broken.filter(|borrowed| borrowed.connection.fails_at_worker()) {
            let losses = &borrowed.connections.losses;
            losses.report(Loss::Broken, &borrowed.destination);
        }
    }

    fn return_connection(&mut self) {
        let Some(borrowed) = self.borrowed.take().filter(|borrowed| borrowed.is_reusable) else {
            return;
        };
        let connections = borrowed.connections;
        connections.return_connection(borrowed.destination.worker, borrowed.connection);
    }
}

fn second_answer_error() -> SendError {
    SendError::NoAnswer("body contains a second answer".into())
}
