//! Configuration documents as they are sent between nodes: encoded resources by key, and deltas
//! between two documents.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// All resources of one revision, encoded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// The revision, or zero for none.
    pub revision: u64,
    /// The encoded resources by key.
    pub resources: BTreeMap<String, Bytes>,
}

/// A resource that was written or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResourceChange {
    /// The key of the resource.
    pub key: String,
    /// The encoded content, or `None` if the resource was removed.
    pub content: Option<Bytes>,
}

/// The difference between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The revision to which the delta applies.
    pub base: u64,
    /// The revision of the resulting document.
    pub revision: u64,
    /// The checksum of the resulting document.
    pub checksum: u64,
    /// The changed resources.
    pub changes: Vec<ResourceChange>,
}

/// The error for a delta that cannot be applied. The full document must be pulled instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta applies to another revision.
    #[error("delta applies to revision {expected}, but revision {held} is held")]
    BaseMismatch {
        /// The revision to which the delta applies.
        expected: u64,
        /// The revision of the document held.
        held: u64,
    },
    /// The checksum of the resulting document differs from the one in the delta.
    #[error("checksum of the document that results from the delta does not match")]
    ChecksumMismatch,
}

impl Document {
    /// Returns a checksum of the revision, keys and contents.
    pub fn checksum(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.revision.to_be_bytes());
        for (key, content) in &self.resources {
            for part in [key.as_bytes(), content] {
                hasher.update(&(part.len() as u64).to_be_bytes());
                hasher.update(part);
            }
        }
        hasher.digest()
    }

    /// Returns the delta that turns this document into `newer`.
    pub fn delta_to(&self, newer: &Document) -> Delta {
        let removed = self.resources.keys();
        let removed = removed.filter(|key| !newer.resources.contains_key(*key));
        let removed = removed.map(|key| ResourceChange {
            key: key.clone(),
            content: None,
        });
        let written = newer.resources.iter();
        let written = written.filter(|(key, content)| self.resources.get(*key) != Some(content));
        let written = written.map(|(key, content)| ResourceChange {
            key: key.clone(),
            content: Some(content.clone()),
        });
        Delta {
            base: self.revision,
            revision: newer.revision,
            checksum: newer.checksum(),
            changes: removed.chain(written).collect(),
        }
    }

    /// Returns the document that results from applying a delta to this one.
    pub fn apply(&self, delta: &Delta) -> Result<Document, ApplyError> {
        if delta.base != self.revision {
            return Err(ApplyError::BaseMismatch {
                expected: delta.base,
                held: self.revision,
            });
        }
        let mut document = self.clone();
        document.revision = delta.revision;
        for change in &delta.changes {
            match &change.content {
                Some(content) => {
                    document
                        .resources
                        .insert(change.key.clone(), content.clone());
                }
                None => {
                    document.resources.remove(&change.key);
                }
            }
        }
        if document.checksum() != delta.checksum {
            return Err(ApplyError::ChecksumMismatch);
        }
        Ok(document)
    }
}
