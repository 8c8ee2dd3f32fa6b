//! State in shards, each under its own lock, so that threads rarely wait for each other.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};

use parking_lot::Mutex;

/// Shards of a [`Sharded`] map; a power of two well above the threads of one node.
const SHARDS: usize = 64;

/// A bounded hash map split into shards. A closure runs under its shard's lock, so a lock can
/// never be held across an await.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
    hasher: RandomState,
    shard_capacity: usize,
}

/// The map holds as many entries as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the table is full")]
pub struct TableFull;

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// An empty map for about `capacity` entries; each shard refuses more than its part.
    pub fn with_capacity_limit(capacity: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(HashMap::new())).collect();
        let shard_capacity = capacity.div_ceil(SHARDS).max(1);
        Self {
            shards,
            hasher: RandomState::new(),
            shard_capacity,
        }
    }

    /// Runs `access` on the shard that holds `key`.
    pub fn with<R>(&self, key: &K, access: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let index = (self.hasher.hash_one(key) as usize) % SHARDS;
        access(&mut self.shards[index].lock())
    }

    /// Adds or replaces an entry, unless a new one would pass the shard's capacity.
    pub fn insert(&self, key: K, value: V) -> Result<Option<V>, TableFull> {
        let capacity = self.shard_capacity;
        let index = (self.hasher.hash_one(&key) as usize) % SHARDS;
        let mut shard = self.shards[index].lock();
        if shard.len() >= capacity && !shard.contains_key(&key) {
            return Err(TableFull);
        }
        Ok(shard.insert(key, value))
    }

    /// Removes an entry.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.with(key, |shard| shard.remove(key))
    }

    /// Keeps only the entries for which `keep` holds.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|key, value| keep(key, value));
        }
    }

    /// Entries in all shards, counted one shard at a time.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether every shard is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
