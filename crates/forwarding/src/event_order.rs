//! Order of the events that one answer delivers: their ids rise, also where another worker continues the stream.

use crate::request::EventId;

/// Maximum length of a line that is read as an event's id.
const MAX_ID_LINE_BYTES: usize = 1 << 10;

/// The ids of the events of one answer, over all its attempts.
///
/// Ids that are whole numbers must rise, with or without gaps, as one event may hold several tokens. Of other ids only a
/// repetition of the last one is recognized. Events without an id are not checked.
#[derive(Debug, Default)]
pub struct EventOrder {
    last: Option<EventId>,
    /// The id of the incomplete event, if it has one.
    event_id: Option<EventId>,
    /// The beginning of the incomplete line.
    line: Vec<u8>,
}

/// The id of an event does not rise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("event {id:?} came after event {after:?}")]
pub struct MisorderedEvent {
    /// The id of the event.
    pub id: EventId,
    /// The id of the last event before it.
    pub after: EventId,
    /// Number of bytes before the event, among those that were added last.
    pub bytes_before: usize,
}

impl EventOrder {
    /// Creates the order of an answer whose events follow the event with this id, which the caller has received.
    pub fn after(last: EventId) -> Self {
        Self {
            last: Some(last),
            ..Self::default()
        }
    }

    /// Adds the next bytes of the answer, up to the first event whose id does not rise.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), MisorderedEvent> {
        let mut position = 0;
        let mut bytes_before = 0;
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            position += part.len();
            let room = MAX_ID_LINE_BYTES - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            if !part.ends_with(b"\n") {
                break;
            }
            if self.end_line() {
                self.end_event(bytes_before)?;
                bytes_before = position;
            }
        }
        Ok(())
    }

    /// Reads the complete line and returns whether it ends an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let Some(text) = line.strip_suffix(b"\n") else {
            return false;
        };
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if let Some(value) = text.strip_prefix(b"id:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.event_id = Some(String::from_utf8_lossy(value).into_owned());
        }
        text.is_empty()
    }

    fn end_event(&mut self, bytes_before: usize) -> Result<(), MisorderedEvent> {
        let Some(id) = self.event_id.take().filter(|id| !id.is_empty()) else {
            return Ok(());
        };
        match self.last.take() {
            Some(after) if !rises(&after, &id) => {
                self.last = Some(after.clone());
                Err(MisorderedEvent {
                    id,
                    after,
                    bytes_before,
                })
            }
            _ => {
                self.last = Some(id);
                Ok(())
            }
        }
    }
}

fn rises(after: &str, id: &str) -> bool {
    match (whole_number(after), whole_number(id)) {
        (Some(after), Some(id)) => id > after,
        _ => id != after,
    }
}

/// Returns the number of significant digits and the digits, which compare like the number, however long it is.
fn whole_number(id: &str) -> Option<(usize, &str)> {
    let is_number = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit());
    let digits = id.trim_start_matches('0');
    is_number.then_some((digits.len(), digits))
}
