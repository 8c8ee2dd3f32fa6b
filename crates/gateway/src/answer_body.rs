//! The body of a worker's answer, as it comes on its connection.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::connection_losses::Loss;
use crate::connection_pool::Connection;
use crate::connections::{Connections, Destination, SendError};
use crate::headers::HeaderList;
use crate::second_answer::SecondAnswerSearch;

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    returning: Option<Returning>,
    tells_its_end: bool,
    /// None for a request without an id.
    search: Option<SecondAnswerSearch>,
}

/// A connection on its way back; it counts as open until its answer is read, also where it is not kept.
#[derive(Debug)]
pub struct Returning {
    /// Where it goes back to.
    pub connections: Arc<Connections>,
    /// Its worker.
    pub destination: Destination,
    /// The connection.
    pub connection: Connection,
    /// Whether it is used again.
    pub is_kept: bool,
}

impl AnswerBody {
    /// A body that is still to come on a connection. `search` looks for a second answer in it.
    pub fn new(
        incoming: Incoming,
        headers: &HeaderList,
        returning: Returning,
        search: Option<SecondAnswerSearch>,
    ) -> Self {
        let framing = ["content-length", "transfer-encoding"];
        let has_framing = framing.iter().any(|name| headers.get(name).is_some());
        Self {
            tells_its_end: has_framing || incoming.is_end_stream(),
            incoming,
            returning: Some(returning),
            search,
        }
    }

    /// Whether its end is told, and not that of its connection: otherwise a body that a worker's end cut off
    /// looks whole.
    pub fn tells_its_end(&self) -> bool {
        self.tells_its_end
    }

    /// The next bytes; none after the last. An error means that the body is not whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.incoming.frame().await {
                None => return self.end(),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) if !bytes.is_empty() => return self.checked(bytes).map(Some),
                    _ => continue,
                },
                Some(Err(error)) => {
                    self.tell(Loss::Broken);
                    return Err(SendError::NoAnswer(error.to_string()));
                }
            }
        }
    }

    /// The whole body, if it is whole and not longer than `most`.
    pub async fn read_whole(&mut self, most: usize) -> Option<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next().await.ok()? {
            if whole.len() + bytes.len() > most {
                return None;
            }
            whole.extend_from_slice(&bytes);
        }
        Some(whole.freeze())
    }

    /// The end of the body, unless it ends inside a second answer's head.
    fn end(&mut self) -> Result<Option<Bytes>, SendError> {
        if self
            .search
            .take()
            .is_some_and(|search| search.ends_in_head())
        {
            self.returning = None;
            return Err(second_answer());
        }
        match self.tells_its_end {
            true => self.give_back(),
            false => self.tell(Loss::Broken),
        }
        Ok(None)
    }

    /// The same bytes, unless a second answer has begun in them.
    fn checked(&mut self, bytes: Bytes) -> Result<Bytes, SendError> {
        let search = self.search.as_mut();
        if search.is_some_and(|search| search.finds_in(&bytes)) {
            self.returning = None;
            return Err(second_answer());
        }
        Ok(bytes)
    }

    /// Waits for it no longer, as its worker has fallen silent.
    pub fn give_up(&mut self) {
        self.tell(Loss::Silent);
    }

    /// Tells that its connection is lost, and does not use it again.
    fn tell(&mut self, loss: Loss) {
        if let Some(returning) = self.returning.take() {
            let losses = &returning.connections.losses;
            losses.tell(loss, &returning.destination);
        }
    }

    fn give_back(&mut self) {
        let Some(returning) = self.returning.take().filter(|one| one.is_kept) else {
            return;
        };
        let connections = returning.connections;
        connections.put(returning.destination.worker, returning.connection);
    }
}

fn second_answer() -> SendError {
    SendError::NoAnswer("a second answer in the body".into())
}
