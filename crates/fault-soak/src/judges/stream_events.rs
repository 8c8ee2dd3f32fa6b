//! The events in the body of a stream.

use crate::identity::Mark;

/// An event of a worker's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Its number.
    pub(super) number: u32,
    /// The number that its text names, and that of the stream's last event.
    pub(super) piece: (u32, u32),
    /// Who made it, and for which request.
    pub(super) mark: Mark,
}

/// The whole events of a body, and whether something that is no event stands among them.
#[derive(Debug, Default)]
pub(super) struct StreamBody {
    /// The events.
    pub(super) events: Vec<StreamEvent>,
    /// A whole block that is no event of a worker.
    pub(super) foreign: Option<String>,
    /// What comes after the last whole event.
    pub(super) rest: String,
}

/// Reads a body.
pub(super) fn read_events(body: &[u8]) -> StreamBody {
    let text = String::from_utf8_lossy(body);
    let mut read = StreamBody::default();
    let mut blocks: Vec<&str> = text.split("\n\n").collect();
    read.rest = blocks.pop().unwrap_or_default().to_owned();
    for block in blocks {
        match read_event(block) {
            Some(event) => read.events.push(event),
            None => {
                read.foreign.get_or_insert_with(|| block.to_owned());
            }
        }
    }
    read
}

fn read_event(block: &str) -> Option<StreamEvent> {
    let (id, data) = block.split_once('\n')?;
    let number = id.strip_prefix("id: ")?.parse().ok()?;
    let data = data.strip_prefix("data: ")?;
    let (piece, mark) = data.split_once(' ')?;
    let (at, last) = piece.split_once('/')?;
    Some(StreamEvent {
        number,
        piece: (at.parse().ok()?, last.parse().ok()?),
        mark: Mark::parse(mark)?,
    })
}
