//! A copy of the store's items that a gateway decides from. It is filled by reads and watches of
//! the store, or by a peer that has a newer copy while the store cannot be reached, and it never
//! goes back: an item, once seen at a revision, is not replaced by an older one.

use std::collections::BTreeMap;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: u64,
    /// The revision at which it was created.
    pub created: u64,
}

/// The whole copy at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Items, in the order of their keys.
    pub items: Vec<Item>,
    /// The revision up to which the copy knows every change.
    pub revision: u64,
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
        /// The revision of its removal.
        revision: u64,
    },
}

impl MirrorChange {
    /// The revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            MirrorChange::Written(item) => item.revision,
            MirrorChange::Removed { revision, .. } => *revision,
        }
    }
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl Mirror {
    /// The revision up to which the copy knows every change; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the copy by a newer one; returns whether it was newer.
    pub fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.items = snapshot
            .items
            .into_iter()
            .map(|item| (item.key.clone(), item))
            .collect();
        true
    }

    /// Applies what a watch reported up to `revision`; changes that are known already are passed
    /// over. Returns whether anything changed.
    pub fn apply(&mut self, changes: Vec<MirrorChange>, revision: u64) -> bool {
        let known = self.revision;
        let mut changed = false;
        for change in changes {
            if change.revision() <= known {
                continue;
            }
            changed = true;
            match change {
                MirrorChange::Written(item) => {
                    self.items.insert(item.key.clone(), item);
                }
                MirrorChange::Removed { key, .. } => {
                    self.items.remove(&key);
                }
            }
        }
        self.revision = self.revision.max(revision);
        changed
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
            revision: self.revision,
        }
    }
}
