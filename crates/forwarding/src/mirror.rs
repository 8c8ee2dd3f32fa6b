//! A copy of the store's items that a gateway decides from. It is filled by reads and watches of
//! the store, or by a peer that has a newer copy while the store cannot be reached, and it never
//! goes back: an item, once seen at a position, is not replaced by an older one. A store that was restored from an
//! earlier copy of itself is in a later epoch, and thereby newer whatever its revision.
//!
//! The copy remembers its latest changes, so that a peer that has nearly all of it gets just those.

use std::collections::{BTreeMap, HashSet, VecDeque};

use crate::position::Position;

/// Changes that are remembered: as many as the copy has items, since a peer that lacks more is better handed the
/// whole copy; at least so many,
const LEAST_HISTORY_CHANGES: usize = 256;
/// and the most that their keys and values may take together: as much as those of the copy, and at least this.
const LEAST_HISTORY_BYTES: usize = 1 << 20;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Its last change, in the epoch in which it was first seen so.
    pub written: Position,
    /// The revision at which it was created.
    pub created: u64,
}

impl Item {
    /// Whether both are the same item in the same state, in whichever epochs they were seen.
    fn is_same(&self, other: &Self) -> bool {
        self.written.revision == other.written.revision
            && self.created == other.created
            && self.value == other.value
    }

    /// What key and value take.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// The whole copy at one position.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Items, in the order of their keys.
    pub items: Vec<Item>,
    /// The position up to which the copy knows every change.
    pub position: Position,
}

/// A change that the store reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// An item was written.
    Written(Item),
    /// An item is gone.
    Removed {
        /// Its key.
        key: String,
        /// Its removal.
        at: Position,
    },
}

impl MirrorChange {
    /// The position of the change.
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

    /// What its key and value take.
    pub fn bytes(&self) -> usize {
        match self {
            MirrorChange::Written(item) => item.bytes(),
            MirrorChange::Removed { key, .. } => key.len(),
        }
    }
}

/// What a peer that has an older copy lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The changes since its position, in their order, up to `position`.
    Changes {
        /// The changes.
        changes: Vec<MirrorChange>,
        /// The position that it then has.
        position: Position,
        /// Whether they lead over a gap: what came and went between two states of the copy is not among them.
        skips: bool,
    },
    /// Everything, as the changes are not remembered.
    Whole(Snapshot),
}

/// What of a copy a change has touched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Touched {
    /// Nothing.
    Nothing,
    /// The items of these keys, some of them more than once; none where the copy has come to another epoch without a
    /// change.
    Keys(Vec<String>),
    /// Everything, as the copy was replaced.
    Everything,
}

impl Touched {
    /// Whether anything is touched.
    pub fn is_any(&self) -> bool {
        *self != Touched::Nothing
    }

    /// Whether the item of a key is touched.
    pub fn covers(&self, key: &str) -> bool {
        match self {
            Touched::Nothing => false,
            Touched::Keys(keys) => keys.iter().any(|touched| touched == key),
            Touched::Everything => true,
        }
    }

    /// Whether an item below a prefix is touched.
    pub fn covers_below(&self, prefix: &str) -> bool {
        match self {
            Touched::Nothing => false,
            Touched::Keys(keys) => keys.iter().any(|touched| touched.starts_with(prefix)),
            Touched::Everything => true,
        }
    }
}

/// The latest changes, all of those after `floor`.
#[derive(Debug, Default)]
struct History {
    changes: VecDeque<MirrorChange>,
    bytes: usize,
    floor: Position,
    gap: Option<Gap>,
}

/// The copy was replaced by a newer one that it had not come to by every change between them.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// The last position of the copy before.
    before: Position,
    /// The first one afterwards.
    after: Position,
}

impl Gap {
    /// Whether what leads on from a position leads over the gap.
    fn follows(&self, position: Position) -> bool {
        position < self.after
    }

    /// Whether a copy of this position may hold what neither of the two copies had.
    fn hides(&self, position: Position) -> bool {
        self.before < position && position < self.after
    }
}

impl History {
    fn restart(&mut self, floor: Position) {
        *self = Self {
            floor,
            ..Self::default()
        };
    }

    /// The changes that follow lead over a gap. Those before an earlier one are forgotten.
    fn skip(&mut self, gap: Gap) {
        if let Some(earlier) = self.gap.replace(gap) {
            self.floor = self.floor.max(earlier.after);
        }
    }

    /// Remembers a change, and as many before it as are shorter than the copy itself.
    fn push(&mut self, change: MirrorChange, items: usize, copy_bytes: usize) {
        self.bytes += change.bytes();
        self.changes.push_back(change);
        let most_changes = items.max(LEAST_HISTORY_CHANGES);
        let most_bytes = copy_bytes.max(LEAST_HISTORY_BYTES);
        while self.changes.len() > most_changes || self.bytes > most_bytes {
            let Some(dropped) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= dropped.bytes();
            self.floor = self.floor.max(dropped.position());
        }
    }

    /// Whether all changes after a position are remembered.
    fn covers(&self, position: Position) -> bool {
        let is_hidden = self.gap.is_some_and(|gap| gap.hides(position));
        position >= self.floor && !is_hidden
    }

    /// Whether the changes after a position lead over a gap.
    fn skips_after(&self, position: Position) -> bool {
        self.gap.is_some_and(|gap| gap.follows(position))
    }

    /// The changes after a position, if all of them are remembered.
    fn after(&self, position: Position) -> Option<Vec<MirrorChange>> {
        if !self.covers(position) {
            return None;
        }
        let later = |change: &&MirrorChange| change.position() > position;
        Some(self.changes.iter().filter(later).cloned().collect())
    }
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Keys that begin so are left out, though their changes move the revision on.
    left_out: Option<&'static str>,
    items: BTreeMap<String, Item>,
    /// What keys and values of the items take.
    bytes: usize,
    position: Position,
    history: History,
}

impl Mirror {
    /// A copy that leaves out keys which begin so: those that change often and that few read.
    pub fn without(left_out: &'static str) -> Self {
        Self {
            left_out: Some(left_out),
            ..Self::default()
        }
    }

    fn keeps(&self, key: &str) -> bool {
        self.left_out.is_none_or(|prefix| !key.starts_with(prefix))
    }

    /// The position up to which the copy knows every change; the start before the first read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Replaces the copy by a newer one; an older one touches nothing. The difference is remembered as changes:
    /// where the store has forgotten its history, or was restored, peers that follow this copy need no other whole one.
    pub fn replace(&mut self, snapshot: Snapshot) -> Touched {
        if snapshot.position <= self.position {
            return Touched::Nothing;
        }
        if !self.position.is_start() {
            let position = snapshot.position;
            let changes = self.difference(snapshot);
            self.history.skip(Gap {
                before: self.position,
                after: position,
            });
            return self.apply_all(changes, position);
        }
        self.position = snapshot.position;
        self.history.restart(snapshot.position);
        let items = snapshot.items.into_iter();
        let kept = items.filter(|item| self.keeps(&item.key));
        self.items = kept.map(|item| (item.key.clone(), item)).collect();
        self.bytes = self.items.values().map(Item::bytes).sum();
        Touched::Everything
    }

    /// Applies what a watch reported up to `position`; changes that are known already are passed
    /// over. Returns what was touched.
    pub fn apply(&mut self, changes: Vec<MirrorChange>, position: Position) -> Touched {
        let known = self.position;
        let is_new = |change: &MirrorChange| change.position() > known;
        let changes = changes.into_iter().filter(is_new).collect();
        self.apply_all(changes, position)
    }

    fn apply_all(&mut self, changes: Vec<MirrorChange>, position: Position) -> Touched {
        let mut touched = Vec::new();
        for change in changes {
            if !self.keeps(change.key()) {
                continue;
            }
            touched.push(change.key().to_owned());
            self.history
                .push(change.clone(), self.items.len(), self.bytes);
            self.apply_one(change);
        }
        let is_other_epoch = position.epoch > self.position.epoch;
        self.position = self.position.max(position);
        match touched.is_empty() && !is_other_epoch {
            true => Touched::Nothing,
            false => Touched::Keys(touched),
        }
    }

    /// The changes that lead to a newer copy, in their order. When an item went is not known. An item that the store
    /// had in the same state before it was restored is no change.
    fn difference(&self, newer: Snapshot) -> Vec<MirrorChange> {
        let at = newer.position;
        let kept: HashSet<&str> = newer.items.iter().map(|item| item.key.as_str()).collect();
        let gone = self.items.keys().filter(|key| !kept.contains(key.as_str()));
        let gone = gone.map(|key| MirrorChange::Removed {
            key: key.clone(),
            at,
        });
        let mut changes: Vec<MirrorChange> = gone.collect();
        let is_known = |item: &Item| {
            let known = self.items.get(&item.key);
            known.is_some_and(|known| known.is_same(item))
        };
        let written = newer.items.into_iter().filter(|item| !is_known(item));
        changes.extend(written.map(|item| {
            // Whoever follows this copy has left the epochs before.
            let written = Position::new(at.epoch, item.written.revision);
            MirrorChange::Written(Item { written, ..item })
        }));
        changes.sort_by_key(MirrorChange::position);
        changes
    }

    fn apply_one(&mut self, change: MirrorChange) {
        let replaced = match change {
            MirrorChange::Written(item) => {
                self.bytes += item.bytes();
                self.items.insert(item.key.clone(), item)
            }
            MirrorChange::Removed { key, .. } => self.items.remove(&key),
        };
        self.bytes -= replaced.map_or(0, |item| item.bytes());
    }

    /// Takes in what a peer handed over; returns what was touched.
    pub fn take_in(&mut self, update: Update) -> Touched {
        match update {
            Update::Changes {
                changes,
                position,
                skips,
            } => {
                if skips && position > self.position {
                    self.history.skip(Gap {
                        before: self.position,
                        after: position,
                    });
                }
                self.apply(changes, position)
            }
            Update::Whole(snapshot) => self.replace(snapshot),
        }
    }

    /// Whether a peer whose copy has this position can be told just the changes since.
    pub fn remembers_after(&self, position: Position) -> bool {
        self.history.covers(position)
    }

    /// What a peer whose copy has this position lacks; nothing if it is as new as this one.
    pub fn update_after(&self, position: Position) -> Option<Update> {
        if position >= self.position {
            return None;
        }
        let update = match self.history.after(position) {
            Some(changes) => Update::Changes {
                changes,
                position: self.position,
                skips: self.history.skips_after(position),
            },
            None => Update::Whole(self.snapshot()),
        };
        Some(update)
    }

    /// Items below a prefix, in the order of their keys.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        self.items
            .range(prefix.to_owned()..)
            .map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// The item of that key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// The whole copy.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            items: self.items.values().cloned().collect(),
            position: self.position,
        }
    }
}
