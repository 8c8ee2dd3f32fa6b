//! Cuts a server-sent event stream at the boundaries of its events, so that a stream which another
//! worker continues never carries a part of an event twice.

/// The longest event that is held back until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, ready to be delivered.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CompleteEvents {
    /// Their bytes, each event with its closing blank line.
    pub bytes: Vec<u8>,
    /// The id of the last event that has one.
    pub last_id: Option<String>,
    /// How many events there are.
    pub count: u32,
}

/// An event is longer than a gateway will hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Holds the incomplete end of a stream back.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: Vec<u8>,
}

impl EventFramer {
    /// Takes the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, EventTooLong> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, searched) else {
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(CompleteEvents::default()),
            };
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        Ok(describe(complete))
    }

    /// Bytes of an event that is not complete.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// The end of the last blank line at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_here = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from + 1..=bytes.len()).rev().find(ends_here)
}

fn describe(bytes: Vec<u8>) -> CompleteEvents {
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
