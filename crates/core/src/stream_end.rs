//! The end of a server-sent event stream: whether it comes after a complete event.

/// Length of the longest sequence of bytes that ends an event.
const MAX_BOUNDARY_BYTES: usize = 3;

/// Tells whether a stream has ended after a complete event, without buffering its events. What marks the end of its body
/// does not tell this: a worker that fails inside an event may still end its chunks, or state the length of what it sends.
#[derive(Debug, Default)]
pub struct StreamEnd {
    /// The last bytes of the stream.
    tail: Vec<u8>,
    is_inside_line: bool,
    has_begun_event: bool,
}

impl StreamEnd {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.has_begun_event {
            self.seek_event(bytes);
        }
        let new = &bytes[bytes.len().saturating_sub(MAX_BOUNDARY_BYTES)..];
        self.tail.extend_from_slice(new);
        let surplus = self.tail.len().saturating_sub(MAX_BOUNDARY_BYTES);
        self.tail.drain(..surplus);
    }

    /// Searches for a line that is neither blank nor a comment.
    fn seek_event(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let ends_line = matches!(byte, b'\n' | b'\r');
            if !ends_line && !self.is_inside_line && *byte != b':' {
                self.has_begun_event = true;
                return;
            }
            self.is_inside_line = !ends_line;
        }
    }

    /// Returns whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.tail.is_empty()
    }

    /// Returns whether the bytes received end inside an event, or inside a comment that stands alone.
    pub fn is_inside_event(&self) -> bool {
        // Lines may also end with a carriage return alone.
        !self.is_empty() && !ends_event(&self.tail) && !self.tail.ends_with(b"\r\r")
    }

    /// Returns how this end shows that the stream was cut off. `has_events` says that a whole stream has an event.
    pub fn cut_off(&self, has_events: bool) -> Option<&'static str> {
        match () {
            () if self.is_inside_event() => Some("stream ended inside an event"),
            () if has_events && !self.has_begun_event => {
                Some("stream ended before its first event")
            }
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
