//! An answer of a worker before it is put on a connection.

use std::time::Duration;

use bytes::Bytes;

use crate::evidence::BackoffRequest;
use crate::identity::RequestKey;

/// An answer.
#[derive(Debug, Clone)]
pub(super) struct Reply {
    status: u16,
    headers: Vec<(&'static str, String)>,
    /// The parts of the body, each written in one step.
    parts: Vec<Bytes>,
    /// The pause between two parts.
    pub(super) pause: Duration,
    is_stream: bool,
    /// The rest that it asks for.
    pub(super) rest: Option<BackoffRequest>,
    /// The request that ends the worker, if it does.
    pub(super) deadly: Option<RequestKey>,
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// By its length, or by chunks for a stream.
    Told,
    /// By the end of the connection.
    Connection,
}

impl Reply {
    /// An answer with this body.
    pub(super) fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            parts: vec![body.into()],
            pause: Duration::ZERO,
            is_stream: false,
            rest: None,
            deadly: None,
        }
    }

    /// A stream of events.
    pub(super) fn stream(status: u16, events: Vec<Bytes>, pause: Duration) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", "text/event-stream".into())],
            parts: events,
            pause,
            is_stream: true,
            rest: None,
            deadly: None,
        }
    }

    /// The same with another header.
    pub(super) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The same with a rest that it asks for.
    pub(super) fn asking_for(mut self, rest: BackoffRequest) -> Self {
        self.rest = Some(rest);
        self
    }

    /// The same for a request that ends the worker before its answer is whole.
    pub(super) fn ending_worker(mut self, deadly: RequestKey) -> Self {
        self.deadly = Some(deadly);
        self
    }

    /// The bytes on the connection, in the steps in which they are written. The first is the head.
    pub(super) fn steps(&self, ending: Ending) -> Vec<Bytes> {
        let chunked = self.is_stream && ending == Ending::Told;
        let mut steps = vec![self.head(ending)];
        for part in &self.parts {
            if chunked {
                let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                chunk.extend_from_slice(part);
                chunk.extend_from_slice(b"\r\n");
                steps.push(chunk.into());
            } else {
                steps.push(part.clone());
            }
        }
        if chunked {
            steps.push(Bytes::from_static(b"0\r\n\r\n"));
        }
        steps
    }

    fn head(&self, ending: Ending) -> Bytes {
        let mut head = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let length: usize = self.parts.iter().map(Bytes::len).sum();
        let framing = match ending {
            Ending::Connection => "Connection: close\r\n".to_owned(),
            Ending::Told if self.is_stream => "Transfer-Encoding: chunked\r\n".to_owned(),
            Ending::Told => format!("Content-Length: {length}\r\n"),
        };
        head.push_str(&framing);
        head.push_str("Keep-Alive: timeout=10\r\n\r\n");
        head.into()
    }
}
