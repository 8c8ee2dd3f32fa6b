//! Copies of the store, and changes of them, on the wire between gateways.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tansyhall_forwarding::{Item, MirrorChange, Snapshot, Update};

use crate::copy_answers::DeflatedUpdate;
use crate::deflated_values::{deflate, inflate, DeflatedValues};

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
pub fn deflate_items(update: Update) -> Option<Vec<u8>> {
    let items = match update {
        Update::Changes { changes, .. } => {
            changes.into_iter().map(ItemMessage::plain_change).collect()
        }
        Update::Whole(snapshot) => snapshot.items.into_iter().map(ItemMessage::plain).collect(),
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
}

/// An update that was cut short or damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an update was cut short or damaged")]
pub struct Incomplete;

/// An update as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// What is new, if anything.
    pub update: Option<Update>,
    /// Time since the store last answered the sender.
    pub age: Duration,
}

impl UpdateMessage {
    /// The message for a receiver that lacks `update`, from a sender whose knowledge is this old.
    pub fn new(update: Option<Update>, age: Duration, deflated: &mut DeflatedValues) -> Self {
        let (items, revision, whole) = match update {
            None => (Vec::new(), 0, false),
            Some(Update::Changes { changes, revision }) => {
                let items = changes
                    .into_iter()
                    .map(|change| ItemMessage::of_change(change, deflated));
                (items.collect(), revision, false)
            }
            Some(Update::Whole(snapshot)) => {
                let items = snapshot
                    .items
                    .into_iter()
                    .map(|item| ItemMessage::of_item(item, deflated));
                (items.collect(), snapshot.revision, true)
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
            revision: update.revision,
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
    pub fn into_received(self) -> Result<Received, Incomplete> {
        if !self.complete && !self.deflated_complete {
            return Err(Incomplete);
        }
        let items = match self.deflated_items.is_empty() {
            true => self.items,
            false => inflate_items(&self.deflated_items)?,
        };
        let update = match (self.revision, self.whole) {
            (0, _) => None,
            (revision, true) => Some(Update::Whole(Snapshot {
                items: items_of(items)?,
                revision,
            })),
            (revision, false) => Some(Update::Changes {
                changes: changes_of(items)?,
                revision,
            }),
        };
        Ok(Received {
            update,
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
    fn plain(item: Item) -> Self {
        Self {
            key: item.key,
            value: item.value,
            revision: item.revision,
            created: item.created,
            gone: false,
            deflated: false,
        }
    }

    fn of_item(item: Item, deflated: &mut DeflatedValues) -> Self {
        match deflated.deflate(&item.key, item.revision, &item.value) {
            None => Self::plain(item),
            Some(shorter) => Self {
                deflated: true,
                ..Self::plain(Item {
                    value: shorter,
                    ..item
                })
            },
        }
    }

    fn gone(key: String, revision: u64) -> Self {
        Self {
            key,
            value: Vec::new(),
            revision,
            created: 0,
            gone: true,
            deflated: false,
        }
    }

    fn plain_change(change: MirrorChange) -> Self {
        match change {
            MirrorChange::Written(item) => Self::plain(item),
            MirrorChange::Removed { key, revision } => Self::gone(key, revision),
        }
    }

    fn of_change(change: MirrorChange, deflated: &mut DeflatedValues) -> Self {
        match change {
            MirrorChange::Written(item) => Self::of_item(item, deflated),
            MirrorChange::Removed { key, revision } => Self::gone(key, revision),
        }
    }

    fn into_item(self) -> Result<Item, Incomplete> {
        let value = match self.deflated {
            true => inflate(&self.value).ok_or(Incomplete)?,
            false => self.value,
        };
        Ok(Item {
            key: self.key,
            value,
            revision: self.revision,
            created: self.created,
        })
    }

    fn into_change(self) -> Result<MirrorChange, Incomplete> {
        if self.gone {
            return Ok(MirrorChange::Removed {
                key: self.key,
                revision: self.revision,
            });
        }
        self.into_item().map(MirrorChange::Written)
    }
}

fn items_of(messages: Vec<ItemMessage>) -> Result<Vec<Item>, Incomplete> {
    messages.into_iter().map(ItemMessage::into_item).collect()
}

fn changes_of(messages: Vec<ItemMessage>) -> Result<Vec<MirrorChange>, Incomplete> {
    messages.into_iter().map(ItemMessage::into_change).collect()
}
