//! Splits a server-sent event stream at event boundaries, so that a stream that another worker resumes never contains a
//! part of an event twice.

use tansyhall_core::stream_end::ends_event;

/// Maximum size of an event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events that can be delivered.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Bytes of the events, each with its terminating blank line.
    pub bytes: Vec<u8>,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events.
    pub count: u32,
}

impl CompleteEvents {
    /// Keeps the events within the first `length` bytes, which must end with an event.
    pub fn truncate(&mut self, length: usize) {
        let mut bytes = std::mem::take(&mut self.bytes);
        bytes.truncate(length);
        *self = parse_events(bytes);
    }
}

/// An event is longer than the maximum that a gateway buffers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("server-sent event exceeds the maximum of {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream into complete events, and buffers the incomplete event at its end.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: Vec<u8>,
}

impl EventFramer {
    /// Adds the next bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, EventTooLong> {
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = find_last_boundary(&self.pending, search_start) else {
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(CompleteEvents::default()),
            };
        };
        let incomplete = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, incomplete);
        Ok(parse_events(complete))
    }

    /// Returns whether an event would be complete after these next bytes of the stream.
    pub fn is_completed_by(&self, bytes: &[u8]) -> bool {
        let search_start = self.pending.len().saturating_sub(3);
        let tail = [&self.pending[search_start..], bytes].concat();
        find_last_boundary(&tail, 0).is_some()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Returns the end of the last blank line that ends after `from`.
fn find_last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let is_boundary = |end: &usize| ends_event(&bytes[..*end]);
    (from + 1..=bytes.len()).rev().find(is_boundary)
}

fn parse_events(bytes: Vec<u8>) -> CompleteEvents {
    let mut last_id = None;
    let mut count = 0;
    let mut in_event = false;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += u32::from(in_event);
            in_event = false;
            continue;
        }
        in_event = true;
        if let Some(value) = line.strip_prefix(b"id:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            last_id = Some(String::from_utf8_lossy(value).into_owned());
        }
    }
    CompleteEvents {
        bytes,
        last_id,
        count,
    }
}
