//! What a replica remembers of a key.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tansyhall_core::{RequestId, Timestamp};

/// The key of a request that is not repeatable: all tries of the request carry the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordKey(pub String);

/// One try of a request, by one node; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub RequestId);

/// Who may still be granted a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// Granted to this try, and to no other.
    Granted(AttemptId),
    /// Taken over from an earlier view: nobody is granted the key any more.
    Closed,
}

/// A record with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) state: RecordState,
    pub(crate) since: Timestamp,
}

/// The keys that a replica has recorded, as it gives them to the next view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Records(pub Vec<RecordKey>);

impl Records {
    /// Adds the keys of another replica.
    pub fn merge(&mut self, other: Records) {
        self.0.extend(other.0);
        self.0.sort();
        self.0.dedup();
    }
}

pub(crate) type RecordTable = HashMap<RecordKey, Record>;
