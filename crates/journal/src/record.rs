//! The records that a replica keeps of keys.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tansyhall_core::{RequestId, Timestamp};

/// The key of a request that is not repeatable. All attempts at the request have the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordKey(pub String);

/// Identifies one attempt at a request, by one node. An identifier is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub RequestId);

/// Which attempt a key is granted to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// Granted to this attempt, and to no other.
    Granted(AttemptId),
    /// Copied from an earlier view: the key is not granted to any attempt.
    Closed,
}

/// A record and the time at which it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) state: RecordState,
    pub(crate) since: Timestamp,
}

/// The keys that a replica has recorded, as they are copied to the next view.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Records(pub Vec<RecordKey>);

impl Records {
    /// Adds the keys that another replica has recorded.
    pub fn merge(&mut self, other: Records) {
        self.0.extend(other.0);
        self.0.sort();
        self.0.dedup();
    }
}

pub(crate) type RecordTable = HashMap<RecordKey, Record>;
