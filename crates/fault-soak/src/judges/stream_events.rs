//! Parsing of the events in the body of a stream.

use crate::identity::Mark;

/// An event in the stream of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// The number in its `id` field.
    pub(super) number: u32,
    /// The number of the event and that of the stream's last event, as its text states them.
    pub(super) position: (u32, u32),
    /// The run that generated it, and the request.
    pub(super) mark: Mark,
}

/// The content of a stream's body.
#[derive(Debug, Default)]
pub(super) struct StreamBody {
    /// The complete events.
    pub(super) events: Vec<StreamEvent>,
    /// The first complete block that is not an event of a worker.
    pub(super) unrecognized: Option<String>,
    /// The text after the last complete block.
    pub(super) trailing: String,
}

/// Parses the body of a stream.
pub(super) fn read_events(body: &[u8]) -> StreamBody {
    let text = String::from_utf8_lossy(body);
    let mut read = StreamBody::default();
    let mut blocks: Vec<&str> = text.split("\n\n").collect();
    read.trailing = blocks.pop().unwrap_or_default().to_owned();
    for block in blocks {
        match parse_event(block) {
            Some(event) => read.events.push(event),
            None => {
                read.unrecognized.get_or_insert_with(|| block.to_owned());
            }
        }
    }
    read
}

fn parse_event(block: &str) -> Option<StreamEvent> {
    let (id, data) = block.split_once('\n')?;
    let number = id.strip_prefix("id: ")?.parse().ok()?;
    let data = data.strip_prefix("data: ")?;
    let (position, mark) = data.split_once(' ')?;
    let (number_in_text, last) = position.split_once('/')?;
    Some(StreamEvent {
        number,
        position: (number_in_text.parse().ok()?, last.parse().ok()?),
        mark: Mark::parse(mark)?,
    })
}
