//! An answer of a worker before it is written to a connection.

use std::time::Duration;

use bytes::Bytes;
use tansyhall_platform_standin::REQUEST_ID;

use crate::evidence::BackoffRequest;
use crate::identity::RequestKey;

/// An answer of a worker.
#[derive(Debug, Clone)]
pub(super) struct Reply {
    status: u16,
    headers: Vec<(&'static str, String)>,
    /// The parts of the body. Each is written in one step.
    parts: Vec<Bytes>,
    /// Pause between writing two parts.
    pub(super) pause: Duration,
    is_stream: bool,
    /// The back-off that the answer asks for.
    pub(super) backoff: Option<BackoffRequest>,
    /// The request, if it crashes the worker.
    pub(super) crashing_request: Option<RequestKey>,
}

/// How the receiver recognizes the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// `Content-Length`, or chunked encoding for a stream.
    Explicit,
    /// The worker closes the connection after the body.
    UntilClose,
}

impl Reply {
    /// Creates an answer with this body.
    pub(super) fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            parts: vec![body.into()],
            pause: Duration::ZERO,
            is_stream: false,
            backoff: None,
            crashing_request: None,
        }
    }

    /// Creates an answer that is a stream of events.
    pub(super) fn stream(status: u16, events: Vec<Bytes>, pause: Duration) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", "text/event-stream".into())],
            parts: events,
            pause,
            is_stream: true,
            backoff: None,
            crashing_request: None,
        }
    }

    /// Adds a header.
    pub(super) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Marks the answer as one that asks for a back-off.
    pub(super) fn requesting_backoff(mut self, backoff: BackoffRequest) -> Self {
        self.backoff = Some(backoff);
        self
    }

    /// Marks the answer as one to a request that crashes the worker before the answer is complete.
    pub(super) fn crashing_worker(mut self, crashing_request: RequestKey) -> Self {
        self.crashing_request = Some(crashing_request);
        self
    }

    /// Returns the id of the request.
    pub(super) fn request_id(&self) -> Option<&str> {
        let id = self.headers.iter().find(|(name, _)| *name == REQUEST_ID);
        id.map(|(_, id)| id.as_str())
    }

    /// Returns the bytes of the answer, divided into the steps in which they are written. The first step is the head.
    pub(super) fn steps(&self, framing: BodyFraming) -> Vec<Bytes> {
        let chunked = self.is_stream && framing == BodyFraming::Explicit;
        let mut steps = vec![self.head(framing)];
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

    fn head(&self, framing: BodyFraming) -> Bytes {
        let mut head = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let length: usize = self.parts.iter().map(Bytes::len).sum();
        let header = match framing {
            BodyFraming::UntilClose => "Connection: close\r\n".to_owned(),
            BodyFraming::Explicit if self.is_stream => "Transfer-Encoding: chunked\r\n".to_owned(),
            BodyFraming::Explicit => format!("Content-Length: {length}\r\n"),
        };
        head.push_str(&header);
        head.push_str("Keep-Alive: timeout=10\r\n\r\n");
        head.into()
    }
}
