//! A mirror of the store's items, on which a gateway bases its decisions. It is filled by reads and
//! watches of the store or, while the store is unreachable, by a peer that has a newer mirror. It
//! never goes back: an item that was seen at a position is not replaced by an older one. A store
//! that was restored from a backup is in a later epoch and therefore counts as newer, whatever its
//! revision.
//!
//! The mirror keeps a history of its latest changes, so that a peer which lacks only a few changes
//! receives those instead of a snapshot.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::position::Position;

/// The history may hold as many changes as the mirror has items, but at least this many. A peer that lacks more changes
/// is better served with a snapshot.
const MIN_HISTORY_CHANGES: usize = 256;
/// The keys and values in the history may take as many bytes as those in the mirror, but at least this many.
const MIN_HISTORY_BYTES: usize = 1 << 20;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The position of its last change. The epoch is the one in which the item was first seen in this state.
    pub written: Position,
    /// The revision at which it was created.
    pub created: u64,
}

impl Item {
    /// Returns whether both are the same item in the same state, even if seen in different epochs.
    fn is_same_state(&self, other: &Self) -> bool {
        self.written.revision == other.written.revision
            && self.created == other.created
            && self.value == other.value
    }

    /// Returns the size of key and value in bytes.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// The whole contents of a mirror at one position.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// The position up to which the mirror contains every change.
    pub position: Position,
}

/// A change of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// An item was written.
    Written(Item),
    /// An item was removed.
    Removed {
        /// Its key.
        key: String,
        /// The position of its removal.
        at: Position,
    },
}

impl MirrorChange {
    /// Returns the position of the change.
    pub fn position(&self) -> Position {
        match self {
            MirrorChange::Written(item) => item.written,
            MirrorChange::Removed { at, .. } => *at,
        }
    }

    fn key(&self) -> &str {
        match self {
            MirrorChange::Written(item) => &item.key,
            MirrorChange::Removed { key, .. } => key,
        }
    }

    /// Returns the size of its key and value in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            MirrorChange::Written(item) => item.bytes(),
            MirrorChange::Removed { key, .. } => key.len(),
        }
    }
}

/// An update that brings an older mirror of a peer up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorUpdate {
    /// The changes after the peer's position, up to `position` and ordered by position.
    Changes {
        /// The changes.
        changes: Vec<MirrorChange>,
        /// The position of the mirror after the changes.
        position: Position,
        /// Whether the changes span a gap: intermediate changes between the two states on either side of the gap are
        /// missing.
        spans_gap: bool,
    },
    /// A snapshot, for a peer that the history does not reach back to.
    Snapshot(Snapshot),
}

impl MirrorUpdate {
    /// Returns whether it contains every state that an item had between the two positions.
    pub fn is_gapless(&self) -> bool {
        matches!(
            self,
            Self::Changes {
                spans_gap: false,
                ..
            }
        )
    }
}

/// The items of a mirror that a change has touched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Touched {
    /// No item.
    Nothing,
    /// Some items.
    Changes {
        /// The keys of the items, in no particular order. Empty if the mirror has moved to a later epoch without a change of
        /// its items.
        keys: Vec<String>,
        /// The states that items had only between two changes of the same update, in order. The mirror no longer holds
        /// them, but they may announce what the final state does not tell.
        intermediate: Vec<Item>,
    },
    /// All items, because the mirror was replaced.
    Everything,
}

impl Touched {
    /// Returns whether anything has changed.
    pub fn has_changes(&self) -> bool {
        *self != Touched::Nothing
    }

    /// Returns whether the item with this key was touched.
    pub fn covers(&self, key: &str) -> bool {
        match self {
            Touched::Nothing => false,
            Touched::Changes { keys, .. } => keys.iter().any(|touched| touched == key),
            Touched::Everything => true,
        }
    }

    /// Returns whether any item whose key starts with this prefix was touched.
    pub fn covers_any_with_prefix(&self, prefix: &str) -> bool {
        match self {
            Touched::Nothing => false,
            Touched::Changes { keys, .. } => keys.iter().any(|touched| touched.starts_with(prefix)),
            Touched::Everything => true,
        }
    }
}

/// The latest changes: all changes after `floor`, except those inside the gap.
#[derive(Debug, Default)]
struct History {
    changes: VecDeque<MirrorChange>,
    bytes: usize,
    floor: Position,
    gap: Option<Gap>,
}

/// A range of positions within which changes are missing, because a newer snapshot replaced the contents of the mirror.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// The last position before the replacement.
    before: Position,
    /// The first position after the replacement.
    after: Position,
}

impl Gap {
    /// Returns whether the changes after a position span the gap.
    fn is_spanned_from(&self, position: Position) -> bool {
        position < self.after
    }

    /// Returns whether a position lies inside the gap. A mirror at such a position may hold items that the contents on
    /// neither side of the gap have.
    fn contains(&self, position: Position) -> bool {
        self.before < position && position < self.after
    }
}

impl History {
    fn reset(&mut self, floor: Position) {
        *self = Self {
            floor,
            ..Self::default()
        };
    }

    /// Records a gap that the following changes span. Changes before an earlier gap are dropped, since only one gap is
    /// kept.
    fn record_gap(&mut self, gap: Gap) {
        if let Some(earlier) = self.gap.replace(gap) {
            self.floor = self.floor.max(earlier.after);
        }
    }

    /// Appends a change, and drops the oldest changes until the history is no longer than the mirror itself.
    fn push(&mut self, change: MirrorChange, items: usize, mirror_bytes: usize) {
        self.bytes += change.bytes();
        self.changes.push_back(change);
        let max_changes = items.max(MIN_HISTORY_CHANGES);
        let max_bytes = mirror_bytes.max(MIN_HISTORY_BYTES);
        while self.changes.len() > max_changes || self.bytes > max_bytes {
            let Some(dropped) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= dropped.bytes();
            self.floor = self.floor.max(dropped.position());
        }
    }

    /// Returns whether the history contains all changes that a mirror at this position lacks.
    fn covers(&self, position: Position) -> bool {
        let is_in_gap = self.gap.is_some_and(|gap| gap.contains(position));
        position >= self.floor && !is_in_gap
    }

    /// Returns whether the changes after a position span a gap.
    fn spans_gap_after(&self, position: Position) -> bool {
        self.gap.is_some_and(|gap| gap.is_spanned_from(position))
    }

    /// Returns the changes after a position, or `None` if the history does not reach back to it.
    fn changes_after(&self, position: Position) -> Option<Vec<MirrorChange>> {
        if !self.covers(position) {
            return None;
        }
        let is_later = |change: &&MirrorChange| change.position() > position;
        Some(self.changes.iter().filter(is_later).cloned().collect())
    }
}

/// A mirror of the store's items.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Items whose keys start with one of these prefixes are not stored, but their changes advance the position.
    excluded_prefixes: &'static [&'static str],
    items: BTreeMap<String, Item>,
    /// The size of all keys and values in bytes.
    bytes: usize,
    position: Position,
    history: History,
}

impl Mirror {
    /// Creates an empty mirror that excludes keys with these prefixes, for items that change often and have few readers.
    pub fn excluding_prefixes(excluded_prefixes: &'static [&'static str]) -> Self {
        Self {
            excluded_prefixes,
            ..Self::default()
        }
    }

    fn includes(&self, key: &str) -> bool {
        let mut prefixes = self.excluded_prefixes.iter();
        !prefixes.any(|prefix| key.starts_with(prefix))
    }

    /// Returns the position up to which the mirror contains every change; the start position before the first read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Replaces the contents with a newer snapshot; a snapshot that is not newer is ignored. The history records the
    /// difference as changes, so that peers which follow this mirror need no snapshot after the store has compacted its
    /// history or was restored.
    pub fn replace(&mut self, snapshot: Snapshot) -> Touched {
        if snapshot.position <= self.position {
            return Touched::Nothing;
        }
        if !self.position.is_start() {
            let position = snapshot.position;
            let changes = self.difference(snapshot);
            self.history.record_gap(Gap {
                before: self.position,
                after: position,
            });
            return self.apply_all(changes, position);
        }
        self.position = snapshot.position;
        self.history.reset(snapshot.position);
        let items = snapshot.items.into_iter();
        let included = items.filter(|item| self.includes(&item.key));
        self.items = included.map(|item| (item.key.clone(), item)).collect();
        self.bytes = self.items.values().map(Item::bytes).sum();
        Touched::Everything
    }

    /// Applies the changes that a watch reported up to `position`, except those that are already
    /// applied. Returns the items that were touched.
    pub fn apply(&mut self, changes: Vec<MirrorChange>, position: Position) -> Touched {
        let applied = self.position;
        let is_new = |change: &MirrorChange| change.position() > applied;
        let changes = changes.into_iter().filter(is_new).collect();
        self.apply_all(changes, position)
    }

    fn apply_all(&mut self, changes: Vec<MirrorChange>, position: Position) -> Touched {
        let mut keys = HashSet::new();
        let mut intermediate = Vec::new();
        for change in changes {
            let key = change.key();
            if !self.includes(key) {
                continue;
            }
            let is_repeated = !keys.insert(key.to_owned());
            self.history
                .push(change.clone(), self.items.len(), self.bytes);
            let replaced = self.apply_one(change);
            intermediate.extend(replaced.filter(|_| is_repeated));
        }
        let is_later_epoch = position.epoch > self.position.epoch;
        self.position = self.position.max(position);
        match keys.is_empty() && !is_later_epoch {
            true => Touched::Nothing,
            false => Touched::Changes {
                keys: keys.into_iter().collect(),
                intermediate,
            },
        }
    }

    /// Returns the changes that lead to a newer snapshot, ordered by position. Removals get the snapshot's position,
    /// since it is not known when the items were removed. An item that the store had in the same state before a
    /// restore is not a change.
    fn difference(&self, newer: Snapshot) -> Vec<MirrorChange> {
        let at = newer.position;
        let newer_keys: HashSet<&str> = newer.items.iter().map(|item| item.key.as_str()).collect();
        let removed = self
            .items
            .keys()
            .filter(|key| !newer_keys.contains(key.as_str()));
        let removed = removed.map(|key| MirrorChange::Removed {
            key: key.clone(),
            at,
        });
        let mut changes: Vec<MirrorChange> = removed.collect();
        let is_known = |item: &Item| {
            let known = self.items.get(&item.key);
            known.is_some_and(|known| known.is_same_state(item))
        };
        let written = newer.items.into_iter().filter(|item| !is_known(item));
        changes.extend(written.map(|item| {
            // The change is recorded in the new epoch, since the peers that follow this mirror move to that epoch as
            // well.
            let written = Position::new(at.epoch, item.written.revision);
            MirrorChange::Written(Item { written, ..item })
        }));
        changes.sort_by_key(MirrorChange::position);
        changes
    }

    /// Applies a change and returns the item that it replaced or removed.
    fn apply_one(&mut self, change: MirrorChange) -> Option<Item> {
        let replaced = match change {
            MirrorChange::Written(item) => {
                self.bytes += item.bytes();
                self.items.insert(item.key.clone(), item)
            }
            MirrorChange::Removed { key, .. } => self.items.remove(&key),
        };
        self.bytes -= replaced.as_ref().map_or(0, Item::bytes);
        replaced
    }

    /// Applies an update from a peer. Returns the items that were touched.
    pub fn apply_update(&mut self, update: MirrorUpdate) -> Touched {
        match update {
            MirrorUpdate::Changes {
                changes,
                position,
                spans_gap,
            } => {
                if spans_gap && position > self.position {
                    self.history.record_gap(Gap {
                        before: self.position,
                        after: position,
                    });
                }
                self.apply(changes, position)
            }
            MirrorUpdate::Snapshot(snapshot) => self.replace(snapshot),
        }
    }

    /// Returns whether a peer whose mirror has this position can be sent changes instead of a snapshot.
    pub fn has_history_since(&self, position: Position) -> bool {
        self.history.covers(position)
    }

    /// Returns the update for a peer whose mirror has this position, or `None` if that mirror is not older than this
    /// one.
    pub fn update_after(&self, position: Position) -> Option<MirrorUpdate> {
        if position >= self.position {
            return None;
        }
        let update = match self.history.changes_after(position) {
            Some(changes) => MirrorUpdate::Changes {
                changes,
                position: self.position,
                spans_gap: self.history.spans_gap_after(position),
            },
            None => MirrorUpdate::Snapshot(self.snapshot()),
        };
        Some(update)
    }

    /// Returns the items whose keys start with this prefix, ordered by key.
    pub fn items_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        self.items
            .range(prefix.to_owned()..)
            .map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Returns the item with this key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns a snapshot of the mirror.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            items: self.items.values().cloned().collect(),
            position: self.position,
        }
    }
}
