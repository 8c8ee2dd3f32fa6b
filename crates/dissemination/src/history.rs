//! The newest document held, and how it came about from the last few.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::document::{Delta, Document, ResourceChange};

/// What a peer that asked is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullBody {
    /// Nothing newer is held.
    Current {
        /// The revision held.
        revision: u64,
    },
    /// The difference from what the peer holds.
    Delta(Delta),
    /// Everything.
    Snapshot(Document),
}

/// The newest document and a bounded log of differences that lead to it.
#[derive(Debug)]
pub struct History {
    newest: Document,
    deltas: VecDeque<Delta>,
    capacity: usize,
}

impl History {
    /// An empty history that keeps at most `capacity` differences.
    pub fn new(capacity: usize) -> Self {
        Self {
            newest: Document::default(),
            deltas: VecDeque::new(),
            capacity,
        }
    }

    /// The newest document.
    pub fn newest(&self) -> &Document {
        &self.newest
    }

    /// Takes a document if it is newer than the one held; says whether it was taken.
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

    /// Answers a peer that holds `held_revision`.
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
            Some(start) if held_revision > 0 => PullBody::Delta(self.merge(held_revision, start)),
            _ => PullBody::Snapshot(self.newest.clone()),
        }
    }

    fn merge(&self, base: u64, start: usize) -> Delta {
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
