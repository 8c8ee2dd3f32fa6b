//! A hash map that is split into shards with separate locks, so that threads rarely wait for each other.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};

use parking_lot::Mutex;

/// Number of shards of a [`Sharded`] map: a power of two, well above the number of threads of a node.
const SHARD_COUNT: usize = 64;

/// A bounded hash map that is split into shards. A shard is accessed by a closure that runs under the shard's lock, so
/// a lock is never held across an await.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
    hasher: RandomState,
    shard_capacity: usize,
}

/// The shard of the key has reached its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the table is full")]
pub struct TableFull;

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Creates an empty map for about `capacity` entries. Each shard refuses new entries beyond its part of the capacity.
    pub fn with_capacity_limit(capacity: usize) -> Self {
        let shards = (0..SHARD_COUNT)
            .map(|_| Mutex::new(HashMap::new()))
            .collect();
        let shard_capacity = capacity.div_ceil(SHARD_COUNT).max(1);
        Self {
            shards,
            hasher: RandomState::new(),
            shard_capacity,
        }
    }

    /// Runs `access` on the shard of `key`, under its lock.
    pub fn with<R>(&self, key: &K, access: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let index = (self.hasher.hash_one(key) as usize) % SHARD_COUNT;
        access(&mut self.shards[index].lock())
    }

    /// Adds or replaces an entry. Returns the previous value.
    ///
    /// # Errors
    ///
    /// Returns [`TableFull`] if the key is new and its shard has reached its capacity.
    pub fn insert(&self, key: K, value: V) -> Result<Option<V>, TableFull> {
        let capacity = self.shard_capacity;
        let index = (self.hasher.hash_one(&key) as usize) % SHARD_COUNT;
        let mut shard = self.shards[index].lock();
        if shard.len() >= capacity && !shard.contains_key(&key) {
            return Err(TableFull);
        }
        Ok(shard.insert(key, value))
    }

    /// Removes an entry and returns its value.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.with(key, |shard| shard.remove(key))
    }

    /// Removes all entries for which `keep` returns false.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|key, value| keep(key, value));
        }
    }

    /// Returns the number of entries. The shards are counted one after the other, each under its lock.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
