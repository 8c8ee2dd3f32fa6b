//! Key-value store with revisions, leases and a bounded history of events for watches.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of past events, which watches with an earlier start revision read.
const MAX_HISTORY_EVENTS: usize = 10_000;

/// The value of a key with its metadata.
#[derive(Debug, Clone)]
pub struct StoredValue {
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision of the last change.
    pub modified: u64,
    /// Number of writes since the creation, including it.
    pub version: u64,
    /// The lease whose end deletes the key; zero means none.
    pub lease: i64,
}

/// A recorded change.
#[derive(Debug, Clone)]
pub struct Event {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` for a deletion.
    pub stored: Option<StoredValue>,
    /// The revision of the change.
    pub revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_seconds: i64,
    expires_at_millis: u64,
}

/// A condition on one key.
#[derive(Debug, Clone)]
pub enum Condition {
    /// The creation revision of the key equals this; zero means that the key does not exist.
    Created(Vec<u8>, u64),
    /// The modification revision of the key equals this; zero means that the key does not exist.
    Modified(Vec<u8>, u64),
}

/// A change to one key.
#[derive(Debug, Clone)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// The lease; zero means none.
        lease: i64,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: Vec<u8>,
    },
}

/// All keys and leases.
#[derive(Debug, Clone, Default)]
pub struct Keyspace {
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    revision: u64,
    history: VecDeque<Event>,
    compacted_revision: u64,
}

/// The named lease does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseNotFound;

impl Keyspace {
    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the keys from `start` up to but not including `end`. An empty `end` selects `start` alone.
    pub fn range(&self, start: &[u8], end: &[u8]) -> Vec<(&Vec<u8>, &StoredValue)> {
        let matching = self.keys.range(start.to_vec()..);
        matching
            .take_while(|(key, _)| in_range(key, start, end))
            .collect()
    }

    /// Applies the changes at one revision if every condition holds. Returns whether they all hold.
    pub fn transact(
        &mut self,
        conditions: &[Condition],
        changes: Vec<Change>,
    ) -> Result<bool, LeaseNotFound> {
        if !conditions.iter().all(|condition| self.holds(condition)) {
            return Ok(false);
        }
        let lease_exists = |change: &Change| match change {
            Change::Put { lease, .. } => *lease == 0 || self.leases.contains_key(lease),
            Change::Delete { .. } => true,
        };
        if !changes.iter().all(lease_exists) {
            return Err(LeaseNotFound);
        }
        self.apply(changes);
        Ok(true)
    }

    /// Creates a lease and returns its id.
    pub fn grant(&mut self, now_millis: u64, ttl_seconds: i64) -> i64 {
        self.next_lease += 1;
        let lease = Lease {
            ttl_seconds,
            expires_at_millis: expiry_millis(now_millis, ttl_seconds),
        };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease. Returns its time to live in seconds, or `None` if it does not exist.
    pub fn keep_alive(&mut self, now_millis: u64, id: i64) -> Option<i64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at_millis = expiry_millis(now_millis, lease.ttl_seconds);
        Some(lease.ttl_seconds)
    }

    /// Ends a lease and deletes its keys. Returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let changes = attached
            .map(|(key, _)| Change::Delete { key: key.clone() })
            .collect();
        self.apply(changes);
        true
    }

    /// Ends every lease that has expired.
    pub fn expire_leases(&mut self, now_millis: u64) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at_millis <= now_millis);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns the events in the key range from revision `from` on, or the compaction revision as an error if
    /// `from` has been compacted.
    pub fn events(&self, start: &[u8], end: &[u8], from: u64) -> Result<Vec<Event>, u64> {
        if from <= self.compacted_revision {
            return Err(self.compacted_revision);
        }
        let is_requested =
            |event: &&Event| event.revision >= from && in_range(&event.key, start, end);
        Ok(self.history.iter().filter(is_requested).cloned().collect())
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Created(key, revision) => {
                self.keys.get(key).map_or(0, |stored| stored.created) == *revision
            }
            Condition::Modified(key, revision) => {
                self.keys.get(key).map_or(0, |stored| stored.modified) == *revision
            }
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        for change in changes {
            let (key, stored) = match change {
                Change::Put { key, value, lease } => {
                    let stored = self.put(&key, value, lease);
                    (key, Some(stored))
                }
                Change::Delete { key } => {
                    if self.keys.remove(&key).is_none() {
                        continue;
                    }
                    (key, None)
                }
            };
            self.record(Event {
                key,
                stored,
                revision: self.revision,
            });
        }
    }

    fn put(&mut self, key: &[u8], value: Vec<u8>, lease: i64) -> StoredValue {
        let revision = self.revision;
        let previous = self.keys.get(key);
        let created = previous.map_or(revision, |stored| stored.created);
        let version = previous.map_or(1, |stored| stored.version + 1);
        let stored = StoredValue {
            value,
            created,
            modified: revision,
            version,
            lease,
        };
        self.keys.insert(key.to_vec(), stored.clone());
        stored
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY_EVENTS {
            if let Some(dropped) = self.history.pop_front() {
                self.compacted_revision = dropped.revision;
            }
        }
    }
}

fn expiry_millis(now_millis: u64, ttl_seconds: i64) -> u64 {
    now_millis + u64::try_from(ttl_seconds).unwrap_or(0) * 1_000
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        return key == start;
    }
    key >= start && (end == [0] || key < end)
}
