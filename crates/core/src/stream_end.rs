//! The end of a server-sent event stream: whether it comes after a complete event.

/// Length of the longest sequence of bytes that ends an event.
const MAX_BOUNDARY_BYTES: usize = 3;

/// Tells whether a stream has ended after a complete event, without buffering its events.
#[derive(Debug, Default)]
pub struct StreamEnd {
    /// The last bytes of the stream.
    tail: Vec<u8>,
}

impl StreamEnd {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let new = &bytes[bytes.len().saturating_sub(MAX_BOUNDARY_BYTES)..];
        self.tail.extend_from_slice(new);
        let surplus = self.tail.len().saturating_sub(MAX_BOUNDARY_BYTES);
        self.tail.drain(..surplus);
    }

    /// Returns whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.tail.is_empty()
    }

    /// Returns whether the bytes received end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.is_empty() && !ends_event(&self.tail)
    }

    /// Returns how this end shows that a stream was cut off of which nothing but the end of the connection marks the end.
    /// The connection may have ended with the worker's process.
    pub fn cut_off(&self) -> Option<&'static str> {
        match () {
            () if self.is_inside_event() => Some("stream ended inside an event"),
            () if self.is_empty() => Some("stream ended before its first event"),
            () => None,
        }
    }
}

/// Returns whether a `Content-Type` names an event stream.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Returns whether these bytes end with a blank line.
pub fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}
