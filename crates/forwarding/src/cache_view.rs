//! An estimate of the contents of a worker's KV cache: the parts of prompts that the worker has read,
//! with least-recently-used eviction. It is derived from the requests that this gateway sends and from
//! reports of other gateways. It may list parts that the worker does not hold and miss parts that it
//! holds; such an error costs time but never affects correctness.

use std::collections::HashMap;

use tansyhall_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::selection::PromptPart;

/// The fraction of a cache that is assumed to hold prompt parts; running requests need the rest.
const USABLE_FRACTION: f64 = 0.8;

/// Identifies a part of a prompt in messages and tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Returns the key of a part.
    pub fn of(part: &PromptPart) -> Self {
        Self(xxh3_64(part.id.as_bytes()))
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u64,
    last_used: Timestamp,
    /// Whether the worker has finished reading the part.
    ready: bool,
}

/// A change of the estimated contents of a cache.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CacheChange {
    /// The part that the cache holds now.
    pub cached_part: Option<PartKey>,
    /// The parts that the cache no longer holds.
    pub evicted_parts: Vec<PartKey>,
}

/// The estimated contents of a worker's cache.
#[derive(Debug, Default)]
pub struct CacheView {
    parts: HashMap<PartKey, CachedPart>,
    tokens: u64,
}

impl CacheView {
    /// Returns the number of tokens at the start of a prompt that this worker need not read again.
    /// Parts that it is reading now count, since it will have read them when it reaches this prompt.
    pub fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.leading_tokens(prompt, |_| true)
    }

    /// Returns the number of tokens at the start of a prompt that another worker can fetch from this
    /// worker now.
    pub fn ready_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.leading_tokens(prompt, |cached| cached.ready)
    }

    fn leading_tokens(&self, prompt: &[PromptPart], counts: impl Fn(&CachedPart) -> bool) -> u64 {
        let is_cached =
            |part: &&PromptPart| self.parts.get(&PartKey::of(part)).is_some_and(&counts);
        prompt
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum()
    }

    /// Returns the parts that another worker can fetch from this worker now, with their lengths in
    /// tokens.
    pub fn ready_parts(&self) -> impl Iterator<Item = (PartKey, u64)> + '_ {
        let ready = self.parts.iter().filter(|(_, cached)| cached.ready);
        ready.map(|(key, cached)| (*key, cached.tokens))
    }

    /// Returns all parts that the cache holds or that the worker is reading.
    pub fn parts(&self) -> impl Iterator<Item = PartKey> + '_ {
        self.parts.keys().copied()
    }

    /// Records that the worker has begun to read a part. `capacity` is the cache's size in tokens.
    pub fn record_reading(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
    ) -> CacheChange {
        let ready = self.parts.get(&key).is_some_and(|cached| cached.ready);
        self.insert(now, key, tokens, capacity, ready)
    }

    /// Records that the worker has read or used a part. `capacity` is the cache's size in tokens.
    pub fn record_read(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
    ) -> CacheChange {
        self.insert(now, key, tokens, capacity, true)
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
        ready: bool,
    ) -> CacheChange {
        let cached = CachedPart {
            tokens,
            last_used: now,
            ready,
        };
        let tokens_before = self
            .parts
            .insert(key, cached)
            .map_or(0, |cached| cached.tokens);
        self.tokens = self.tokens - tokens_before + tokens;
        let usable_tokens = (capacity as f64 * USABLE_FRACTION) as u64;
        let mut change = CacheChange {
            cached_part: Some(key),
            evicted_parts: Vec::new(),
        };
        while self.tokens > usable_tokens && self.parts.len() > 1 {
            change.evicted_parts.extend(self.evict_oldest());
        }
        change
    }

    /// Removes parts of a prompt that the worker has not finished reading.
    pub fn remove_unready(&mut self, prompt: &[PromptPart]) -> CacheChange {
        let mut change = CacheChange::default();
        for part in prompt {
            let key = PartKey::of(part);
            if self.parts.get(&key).is_some_and(|cached| !cached.ready) {
                let removed = self.parts.remove(&key);
                self.tokens -= removed.map_or(0, |cached| cached.tokens);
                change.evicted_parts.push(key);
            }
        }
        change
    }

    fn evict_oldest(&mut self) -> Option<PartKey> {
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(key, cached)| (cached.last_used, **key));
        let key = oldest.map(|(key, _)| *key)?;
        let evicted = self.parts.remove(&key)?;
        self.tokens -= evicted.tokens;
        Some(key)
    }
}
