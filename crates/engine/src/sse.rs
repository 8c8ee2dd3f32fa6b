//! A decoder of server-sent events with a limit on the size of an event. It yields the `data` of
//! each event and ignores comments.

/// The maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The error of a stream that violates the format or the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event passes {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is not UTF-8.
    #[error("an event is not UTF-8")]
    NotUtf8,
}

/// Decodes a stream of bytes into events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buffer: Vec<u8>,
    scanned_bytes: usize,
    data: String,
}

impl SseDecoder {
    /// Adds bytes and returns the data of all events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, SseError> {
        if self.buffer.len() + self.data.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut line_start = 0;
        while let Some(offset) = self.buffer[self.scanned_bytes..]
            .iter()
            .position(|b| *b == b'\n')
        {
            let line_end = self.scanned_bytes + offset;
            let line = &self.buffer[line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
            process_line(&mut self.data, line, &mut events);
            line_start = line_end + 1;
            self.scanned_bytes = line_start;
        }
        self.buffer.drain(..line_start);
        self.scanned_bytes = self.buffer.len();
        Ok(events)
    }
}

fn process_line(data: &mut String, line: &str, events: &mut Vec<String>) {
    if line.is_empty() {
        if !data.is_empty() {
            events.push(std::mem::take(data));
        }
        return;
    }
    let Some(value) = line.strip_prefix("data:") else {
        return;
    };
    if !data.is_empty() {
        data.push('\n');
    }
    data.push_str(value.strip_prefix(' ').unwrap_or(value));
}
