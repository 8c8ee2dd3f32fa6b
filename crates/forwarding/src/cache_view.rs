//! What a worker's KV cache is believed to hold: the parts of prompts that were read there, least
//! recently used first out. Beliefs come from this gateway's sends and from other gateways; they
//! may be wrong either way, which costs time and never correctness.

use std::collections::HashMap;

use tansyhall_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::selection::PromptPart;

/// The part of a cache that is reckoned with; running requests need the rest.
const USABLE_PART: f64 = 0.8;

/// Names a part of a prompt in messages and tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of a part.
    pub fn of(part: &PromptPart) -> Self {
        Self(xxh3_64(part.id.as_bytes()))
    }
}

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u64,
    used: Timestamp,
    ready: bool,
}

/// What a belief about a cache has changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CacheChange {
    /// A part that is kept now.
    pub kept: Option<PartKey>,
    /// Parts that are not kept any more.
    pub dropped: Vec<PartKey>,
}

/// A worker's cache as it is believed to be.
#[derive(Debug, Default)]
pub struct CacheView {
    parts: HashMap<PartKey, Held>,
    tokens: u64,
}

impl CacheView {
    /// Tokens at the start of a prompt that need not be read again here: what is being read now
    /// will be there when the worker gets to this prompt.
    pub fn kept_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.leading_tokens(prompt, |_| true)
    }

    /// Tokens at the start of a prompt that another worker could fetch from here now.
    pub fn ready_tokens(&self, prompt: &[PromptPart]) -> u64 {
        self.leading_tokens(prompt, |held| held.ready)
    }

    fn leading_tokens(&self, prompt: &[PromptPart], counts: impl Fn(&Held) -> bool) -> u64 {
        let is_kept = |part: &&PromptPart| self.parts.get(&PartKey::of(part)).is_some_and(&counts);
        prompt
            .iter()
            .take_while(is_kept)
            .map(|part| part.tokens)
            .sum()
    }

    /// Parts that another worker could fetch from here now, with their lengths.
    pub fn ready_parts(&self) -> impl Iterator<Item = (PartKey, u64)> + '_ {
        let ready = self.parts.iter().filter(|(_, held)| held.ready);
        ready.map(|(key, held)| (*key, held.tokens))
    }

    /// All parts that are kept.
    pub fn parts(&self) -> impl Iterator<Item = PartKey> + '_ {
        self.parts.keys().copied()
    }

    /// A part is being read.
    pub fn began(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
    ) -> CacheChange {
        let ready = self.parts.get(&key).is_some_and(|held| held.ready);
        self.put(now, key, tokens, capacity, ready)
    }

    /// A part has been read or used; `capacity` tokens fit.
    pub fn used(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
    ) -> CacheChange {
        self.put(now, key, tokens, capacity, true)
    }

    fn put(
        &mut self,
        now: Timestamp,
        key: PartKey,
        tokens: u64,
        capacity: u64,
        ready: bool,
    ) -> CacheChange {
        let held = Held {
            tokens,
            used: now,
            ready,
        };
        let before = self.parts.insert(key, held).map_or(0, |held| held.tokens);
        self.tokens = self.tokens - before + tokens;
        let usable = (capacity as f64 * USABLE_PART) as u64;
        let mut change = CacheChange {
            kept: Some(key),
            dropped: Vec::new(),
        };
        while self.tokens > usable && self.parts.len() > 1 {
            change.dropped.extend(self.drop_oldest());
        }
        change
    }

    /// Forgets parts whose reading did not come to its end.
    pub fn forget_unread(&mut self, prompt: &[PromptPart]) -> CacheChange {
        let mut change = CacheChange::default();
        for part in prompt {
            let key = PartKey::of(part);
            if self.parts.get(&key).is_some_and(|held| !held.ready) {
                let held = self.parts.remove(&key);
                self.tokens -= held.map_or(0, |held| held.tokens);
                change.dropped.push(key);
            }
        }
        change
    }

    fn drop_oldest(&mut self) -> Option<PartKey> {
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(key, held)| (held.used, **key));
        let key = oldest.map(|(key, _)| *key)?;
        let held = self.parts.remove(&key)?;
        self.tokens -= held.tokens;
        Some(key)
    }
}
