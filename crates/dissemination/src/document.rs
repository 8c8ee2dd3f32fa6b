//! A configuration as it travels: encoded resources by key, and differences between two of them.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// Every resource of one revision, encoded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// The revision; zero for none.
    pub revision: u64,
    /// Encoded resources by key.
    pub resources: BTreeMap<String, Bytes>,
}

/// A resource that was written or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResourceChange {
    /// Its key.
    pub key: String,
    /// Its content; absent if it was removed.
    pub content: Option<Bytes>,
}

/// The difference between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The revision that it applies to.
    pub base: u64,
    /// The revision that it yields.
    pub revision: u64,
    /// Checksum of the document that it yields.
    pub checksum: u64,
    /// What changed.
    pub changes: Vec<ResourceChange>,
}

/// A delta that cannot be used; everything must be pulled instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It applies to another revision.
    #[error("the delta applies to revision {expected}, not to {held}")]
    Base {
        /// The revision it applies to.
        expected: u64,
        /// The revision held.
        held: u64,
    },
    /// It does not yield what it says.
    #[error("the delta does not yield the document that it was made from")]
    Checksum,
}

impl Document {
    /// A checksum over revision, keys and contents.
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

    /// What turns this document into `newer`.
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

    /// The document that a delta yields.
    pub fn apply(&self, delta: &Delta) -> Result<Document, ApplyError> {
        if delta.base != self.revision {
            return Err(ApplyError::Base {
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
            return Err(ApplyError::Checksum);
        }
        Ok(document)
    }
}
