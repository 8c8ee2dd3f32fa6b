//! Wire format of mirror updates between gateways.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tansyhall_forwarding::{Item, MirrorChange, MirrorUpdate, Position, Snapshot};

use crate::deflated_values::{deflate, inflate, DeflatedValues};
use crate::store_contact::Testimony;
use crate::update_cache::DeflatedUpdate;

/// A mirror update on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateMessage {
    /// The revision of the receiver's mirror after the update; 0 if there is no update.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The items that were changed, or all items of a snapshot.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<ItemMessage>,
    /// The number of the request that this answers. Older versions do not send it.
    #[prost(fixed64, tag = "3")]
    pub question: u64,
    /// Whether the items are a snapshot; otherwise they are changes.
    #[prost(bool, tag = "4")]
    pub whole: bool,
    /// Milliseconds since the store last answered the sender or the gateway that the sender follows.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// True in every complete message. It is encoded last, because a truncated message still decodes.
    #[prost(bool, tag = "6")]
    pub complete: bool,
    /// The items in deflated form, instead of `items`, for gateways that requested it.
    #[prost(bytes = "bytes", tag = "7")]
    pub deflated_items: Bytes,
    /// Replaces `complete` in messages with `deflated_items`, so that it is again encoded last.
    #[prost(bool, tag = "8")]
    pub deflated_complete: bool,
}

/// Items that are deflated together.
#[derive(Clone, PartialEq, Message)]
struct ItemsMessage {
    #[prost(message, repeated, tag = "1")]
    items: Vec<ItemMessage>,
}

/// Deflates the items of an update together.
pub fn deflate_items(update: MirrorUpdate) -> Option<Vec<u8>> {
    let items: Vec<ItemMessage> = match update {
        MirrorUpdate::Changes {
            changes, position, ..
        } => changes
            .into_iter()
            .map(|change| ItemMessage::from_plain_change(change, position.epoch))
            .collect(),
        MirrorUpdate::Snapshot(Snapshot { items, position }) => items
            .into_iter()
            .map(|item| ItemMessage::from_plain_item(item, position.epoch))
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
    /// Its value, deflated if `deflated` is set.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The revision of its creation; 0 if the item was removed.
    #[prost(uint64, tag = "4")]
    pub created: u64,
    /// Whether the item was removed.
    #[prost(bool, tag = "5")]
    pub gone: bool,
    /// Whether the value is deflated.
    #[prost(bool, tag = "6")]
    pub deflated: bool,
    /// The epoch of the last change, if it differs from that of the update.
    #[prost(uint64, optional, tag = "7")]
    pub epoch: Option<u64>,
}

/// An update message was truncated or corrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("mirror update is truncated or corrupted")]
pub struct Incomplete;

/// The part of an update that is sent in the headers of its answer. As fields of the message, these values could be
/// truncated, and the message would then be mistaken for one of an older version, which does not send them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateHead {
    /// The epoch of the sender's mirror.
    pub epoch: u64,
    /// Whether the changes span a gap, see [`MirrorUpdate::Changes`].
    pub spans_gap: bool,
    /// What the sender says of the store's availability. Older versions say nothing.
    pub testimony: Option<Testimony>,
    /// How long the sender waited for changes before it answered. Older versions do not say it.
    pub waited: Option<Duration>,
}

/// A received update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedUpdate {
    /// The update, or `None` if the receiver's mirror lacks no changes.
    pub update: Option<MirrorUpdate>,
    /// The epoch of the sender's mirror.
    pub epoch: u64,
    /// Time from the answer of the store that the sender's mirror is based on until the sender answered.
    pub age: Duration,
    /// How long the sender waited for changes before it answered, if it says so.
    pub waited: Option<Duration>,
    /// What the sender says of the store's availability before that answer.
    pub testimony: Option<Testimony>,
}

impl UpdateMessage {
    /// Creates the message with an update. `age` is the age of the sender's information.
    pub fn new(update: Option<MirrorUpdate>, age: Duration, deflated: &mut DeflatedValues) -> Self {
        let (items, revision, whole) = match update {
            None => (Vec::new(), 0, false),
            Some(MirrorUpdate::Changes {
                changes, position, ..
            }) => {
                let items = changes
                    .into_iter()
                    .map(|change| ItemMessage::from_change(change, position.epoch, deflated));
                (items.collect(), position.revision, false)
            }
            Some(MirrorUpdate::Snapshot(Snapshot { items, position })) => {
                let items = items
                    .into_iter()
                    .map(|item| ItemMessage::from_item(item, position.epoch, deflated));
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

    /// Creates the message with a deflated update. `age` is the age of the sender's information.
    pub fn deflated(update: DeflatedUpdate, age: Duration) -> Self {
        Self {
            revision: update.position.revision,
            whole: update.is_snapshot,
            deflated_items: update.items,
            complete: false,
            deflated_complete: true,
            ..Self::new(None, age, &mut DeflatedValues::default())
        }
    }

    /// Returns whether this may be the answer to the request with this number. A message without a number is from an
    /// older version and may answer any request.
    pub fn may_answer(&self, request_number: u64) -> bool {
        self.question == request_number || self.question == 0
    }

    /// Decodes the message. Returns [`Incomplete`] if it is truncated or corrupted.
    pub fn into_update(self, head: UpdateHead) -> Result<ReceivedUpdate, Incomplete> {
        let UpdateHead {
            epoch,
            spans_gap,
            testimony,
            waited,
        } = head;
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
                items: decode_items(items, epoch)?,
                position,
            })),
            (_, false) => Some(MirrorUpdate::Changes {
                changes: decode_changes(items, epoch)?,
                position,
                spans_gap,
            }),
        };
        Ok(ReceivedUpdate {
            update,
            epoch,
            age: Duration::from_millis(self.age_ms),
            waited,
            testimony,
        })
    }
}

fn inflate_items(bytes: &[u8]) -> Result<Vec<ItemMessage>, Incomplete> {
    let bytes = inflate(bytes).ok_or(Incomplete)?;
    let message = ItemsMessage::decode(bytes.as_slice()).map_err(|_| Incomplete)?;
    Ok(message.items)
}

impl ItemMessage {
    fn from_plain_item(item: Item, update_epoch: u64) -> Self {
        Self {
            epoch: epoch_if_different(item.written, update_epoch),
            revision: item.written.revision,
            key: item.key,
            value: item.value,
            created: item.created,
            gone: false,
            deflated: false,
        }
    }

    fn from_item(item: Item, update_epoch: u64, deflated: &mut DeflatedValues) -> Self {
        match deflated.deflate(&item.key, item.written, &item.value) {
            None => Self::from_plain_item(item, update_epoch),
            Some(value) => Self {
                deflated: true,
                ..Self::from_plain_item(Item { value, ..item }, update_epoch)
            },
        }
    }

    fn from_removal(key: String, at: Position, update_epoch: u64) -> Self {
        Self {
            key,
            value: Vec::new(),
            revision: at.revision,
            created: 0,
            gone: true,
            deflated: false,
            epoch: epoch_if_different(at, update_epoch),
        }
    }

    fn from_plain_change(change: MirrorChange, update_epoch: u64) -> Self {
        match change {
            MirrorChange::Written(item) => Self::from_plain_item(item, update_epoch),
            MirrorChange::Removed { key, at } => Self::from_removal(key, at, update_epoch),
        }
    }

    fn from_change(change: MirrorChange, update_epoch: u64, deflated: &mut DeflatedValues) -> Self {
        match change {
            MirrorChange::Written(item) => Self::from_item(item, update_epoch, deflated),
            MirrorChange::Removed { key, at } => Self::from_removal(key, at, update_epoch),
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

/// Returns the epoch of a position if it differs from that of the update.
fn epoch_if_different(position: Position, update_epoch: u64) -> Option<u64> {
    (position.epoch != update_epoch).then_some(position.epoch)
}

fn decode_items(messages: Vec<ItemMessage>, epoch: u64) -> Result<Vec<Item>, Incomplete> {
    let items = messages.into_iter().map(|item| item.into_item(epoch));
    items.collect()
}

fn decode_changes(messages: Vec<ItemMessage>, epoch: u64) -> Result<Vec<MirrorChange>, Incomplete> {
    let changes = messages.into_iter().map(|item| item.into_change(epoch));
    changes.collect()
}
