//! The newest document held, and the deltas that lead to it from the last few documents.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::document::{Delta, Document, ResourceChange};

/// The answer to a peer's pull request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullBody {
    /// No newer document than the peer's is held.
    Current {
        /// The revision held.
        revision: u64,
    },
    /// The delta from the document that the peer holds.
    Delta(Delta),
    /// The full document.
    Snapshot(Document),
}

/// The newest document and a bounded log of the deltas that lead to it.
#[derive(Debug)]
pub struct History {
    newest: Document,
    deltas: VecDeque<Delta>,
    capacity: usize,
}

impl History {
    /// Creates an empty history that keeps at most `capacity` deltas.
    pub fn new(capacity: usize) -> Self {
        Self {
            newest: Document::default(),
            deltas: VecDeque::new(),
            capacity,
        }
    }

    /// Returns the newest document.
    pub fn newest(&self) -> &Document {
        &self.newest
    }

    /// Stores a document if it is newer than the one held, and returns whether it was stored.
    pub fn push(&mut self, document: Document) -> bool {
        if document.revision <= self.newest.revision {
            return false;
        }
        if self.deltas.len() >= self.capacity {
            self.deltas.pop_front();
        }
        if self.capacity > 0 {
            self.deltas.push_back(self.newest.delta_to(&document));
        }
        self.newest = document;
        true
    }

    /// Returns the answer to a pull request. `held_revision` is the revision that the peer holds,
    /// or zero for none.
    pub fn answer(&self, held_revision: u64) -> PullBody {
        let revision = self.newest.revision;
        if held_revision >= revision {
            return PullBody::Current { revision };
        }
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.base == held_revision);
        match start {
            Some(start) if held_revision > 0 => {
                PullBody::Delta(self.merged_delta(held_revision, start))
            }
            _ => PullBody::Snapshot(self.newest.clone()),
        }
    }

    fn merged_delta(&self, base: u64, start: usize) -> Delta {
        let mut contents: BTreeMap<&String, &Option<Bytes>> = BTreeMap::new();
        for change in self.deltas.range(start..).flat_map(|delta| &delta.changes) {
            contents.insert(&change.key, &change.content);
        }
        let changes = contents.into_iter().map(|(key, content)| ResourceChange {
            key: key.clone(),
            content: content.clone(),
        });
        Delta {
            base,
            revision: self.newest.revision,
            checksum: self.newest.checksum(),
            changes: changes.collect(),
        }
    }
}
