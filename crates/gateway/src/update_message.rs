//! Copies of the store, and changes of them, on the wire between gateways.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tansyhall_forwarding::{Item, MirrorChange, MirrorUpdate, Position, Snapshot};

use crate::deflated_values::{deflate, inflate, DeflatedValues};
use crate::update_cache::DeflatedUpdate;

/// What a gateway tells another of the store.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateMessage {
    /// The revision that the receiver then has.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items that were written, or all items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The number of the question that this answers; an older version does not tell it.
    #[prost(fixed64, tag = "3")]
    pub question: u64,
    /// Whether the items are the whole copy, and not changes of it.
    #[prost(bool, tag = "4")]
    pub whole: bool,
    /// Milliseconds since the store last answered the sender, or whom it asks.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// True in every whole message. It stands last, as a message that was cut short still decodes.
    #[prost(bool, tag = "6")]
    pub complete: bool,
    /// The items, deflated, in place of `items`: for gateways that asked for that.
    #[prost(bytes = "bytes", tag = "7")]
    pub deflated_items: Bytes,
    /// The same as `complete`, behind deflated items.
    #[prost(bool, tag = "8")]
    pub deflated_complete: bool,
}

/// Items that are deflated together.
#[derive(Clone, PartialEq, Message)]
struct ItemsMessage {
    #[prost(message, repeated, tag = "1")]
    items: Vec<ItemMessage>,
}

/// The items of an update, deflated together.
pub fn deflate_items(update: MirrorUpdate) -> Option<Vec<u8>> {
    let items: Vec<ItemMessage> = match update {
        MirrorUpdate::Changes {
            changes, position, ..
        } => changes
            .into_iter()
            .map(|change| ItemMessage::plain_change(change, position.epoch))
            .collect(),
        MirrorUpdate::Snapshot(Snapshot { items, position }) => items
            .into_iter()
            .map(|item| ItemMessage::plain(item, position.epoch))
            .collect(),
    };
    deflate(&ItemsMessage { items }.encode_to_vec())
}

/// One item on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct ItemMessage {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value, or what it is deflated to.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The revision of its creation; 0 if the item is gone.
    #[prost(uint64, tag = "4")]
    pub created: u64,
    /// Whether the item is gone.
    #[prost(bool, tag = "5")]
    pub gone: bool,
    /// Whether the value is deflated.
    #[prost(bool, tag = "6")]
    pub deflated: bool,
    /// The epoch of the last change, if it is not that of the update.
    #[prost(uint64, optional, tag = "7")]
    pub epoch: Option<u64>,
}

/// An update that was cut short or damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an update was cut short or damaged")]
pub struct Incomplete;

/// What is told of an update in the head of its answer. An update that was cut before such a field would pass for one
/// of an older version, which does not tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateHead {
    /// The epoch of the sender's copy.
    pub epoch: u64,
    /// Whether the changes lead over a gap, see [`MirrorUpdate::Changes`].
    pub skips: bool,
}

/// An update as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// What is new, if anything.
    pub update: Option<MirrorUpdate>,
    /// The epoch of the sender's copy.
    pub epoch: u64,
    /// Time since the store last answered the sender.
    pub age: Duration,
}

impl UpdateMessage {
    /// The message for a receiver that lacks `update`, from a sender whose knowledge is this old.
    pub fn new(update: Option<MirrorUpdate>, age: Duration, deflated: &mut DeflatedValues) -> Self {
        let (items, revision, whole) = match update {
            None => (Vec::new(), 0, false),
            Some(MirrorUpdate::Changes {
                changes, position, ..
            }) => {
                let items = changes
                    .into_iter()
                    .map(|change| ItemMessage::of_change(change, position.epoch, deflated));
                (items.collect(), position.revision, false)
            }
            Some(MirrorUpdate::Snapshot(Snapshot { items, position })) => {
                let items = items
                    .into_iter()
                    .map(|item| ItemMessage::of_item(item, position.epoch, deflated));
                (items.collect(), position.revision, true)
            }
        };
        Self {
            revision,
            items,
            question: 0,
            whole,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            complete: true,
            deflated_items: Bytes::new(),
            deflated_complete: false,
        }
    }

    /// The message of an update that was deflated, from a sender whose knowledge is this old.
    pub fn deflated(update: DeflatedUpdate, age: Duration) -> Self {
        Self {
            revision: update.position.revision,
            whole: update.whole,
            deflated_items: update.items,
            complete: false,
            deflated_complete: true,
            ..Self::new(None, age, &mut DeflatedValues::default())
        }
    }

    /// Whether this may be the answer to a question: one that bears another's number is not.
    pub fn answers(&self, question: u64) -> bool {
        self.question == question || self.question == 0
    }

    /// What the message says, if it is complete.
    pub fn into_received(self, head: UpdateHead) -> Result<Received, Incomplete> {
        let UpdateHead { epoch, skips } = head;
        if !self.complete && !self.deflated_complete {
            return Err(Incomplete);
        }
        let items = match self.deflated_items.is_empty() {
            true => self.items,
            false => inflate_items(&self.deflated_items)?,
        };
        let position = Position::new(epoch, self.revision);
        let update = match (self.revision, self.whole) {
            (0, _) => None,
            (_, true) => Some(MirrorUpdate::Snapshot(Snapshot {
                items: items_of(items, epoch)?,
                position,
            })),
            (_, false) => Some(MirrorUpdate::Changes {
                changes: changes_of(items, epoch)?,
                position,
                spans_gap: skips,
            }),
        };
        Ok(Received {
            update,
            epoch,
            age: Duration::from_millis(self.age_ms),
        })
    }
}

fn inflate_items(bytes: &[u8]) -> Result<Vec<ItemMessage>, Incomplete> {
    let bytes = inflate(bytes).ok_or(Incomplete)?;
    let message = ItemsMessage::decode(bytes.as_slice()).map_err(|_| Incomplete)?;
    Ok(message.items)
}

impl ItemMessage {
    fn plain(item: Item, update_epoch: u64) -> Self {
        Self {
            epoch: other_epoch(item.written, update_epoch),
            revision: item.written.revision,
            key: item.key,
            value: item.value,
            created: item.created,
            gone: false,
            deflated: false,
        }
    }

    fn of_item(item: Item, update_epoch: u64, deflated: &mut DeflatedValues) -> Self {
        match deflated.deflate(&item.key, item.written, &item.value) {
            None => Self::plain(item, update_epoch),
            Some(value) => Self {
                deflated: true,
                ..Self::plain(Item { value, ..item }, update_epoch)
            },
        }
    }

    fn gone(key: String, at: Position, update_epoch: u64) -> Self {
        Self {
            key,
            value: Vec::new(),
            revision: at.revision,
            created: 0,
            gone: true,
            deflated: false,
            epoch: other_epoch(at, update_epoch),
        }
    }

    fn plain_change(change: MirrorChange, update_epoch: u64) -> Self {
        match change {
            MirrorChange::Written(item) => Self::plain(item, update_epoch),
            MirrorChange::Removed { key, at } => Self::gone(key, at, update_epoch),
        }
    }

    fn of_change(change: MirrorChange, update_epoch: u64, deflated: &mut DeflatedValues) -> Self {
        match change {
            MirrorChange::Written(item) => Self::of_item(item, update_epoch, deflated),
            MirrorChange::Removed { key, at } => Self::gone(key, at, update_epoch),
        }
    }

    fn position(&self, update_epoch: u64) -> Position {
        Position::new(self.epoch.unwrap_or(update_epoch), self.revision)
    }

    fn into_item(self, update_epoch: u64) -> Result<Item, Incomplete> {
        let written = self.position(update_epoch);
        let value = match self.deflated {
            true => inflate(&self.value).ok_or(Incomplete)?,
            false => self.value,
        };
        Ok(Item {
            key: self.key,
            value,
            written,
            created: self.created,
        })
    }

    fn into_change(self, update_epoch: u64) -> Result<MirrorChange, Incomplete> {
        if self.gone {
            return Ok(MirrorChange::Removed {
                at: self.position(update_epoch),
                key: self.key,
            });
        }
        self.into_item(update_epoch).map(MirrorChange::Written)
    }
}

/// The epoch of a position, unless it is that of the update around it.
fn other_epoch(position: Position, update_epoch: u64) -> Option<u64> {
    (position.epoch != update_epoch).then_some(position.epoch)
}

fn items_of(messages: Vec<ItemMessage>, epoch: u64) -> Result<Vec<Item>, Incomplete> {
    let items = messages.into_iter().map(|item| item.into_item(epoch));
    items.collect()
}

fn changes_of(messages: Vec<ItemMessage>, epoch: u64) -> Result<Vec<MirrorChange>, Incomplete> {
    let changes = messages.into_iter().map(|item| item.into_change(epoch));
    changes.collect()
}
