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
}

/// A worker's cache as it is believed to be.
#[derive(Debug, Default)]
pub struct CacheView {
    parts: HashMap<PartKey, Held>,
    tokens: u64,
}

impl CacheView {
    /// Tokens at the start of a prompt that need not be read again.
    pub fn kept_tokens(&self, prompt: &[PromptPart]) -> u64 {
        prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&PartKey::of(part)))
            .map(|part| part.tokens)
            .sum()
    }

    /// A part has been read or used; `capacity` tokens fit.
    pub fn used(&mut self, now: Timestamp, key: PartKey, tokens: u64, capacity: u64) {
        let held = Held { tokens, used: now };
        match self.parts.insert(key, held) {
            Some(before) => self.tokens = self.tokens - before.tokens + tokens,
            None => self.tokens += tokens,
        }
        let usable = (capacity as f64 * USABLE_PART) as u64;
        while self.tokens > usable && self.parts.len() > 1 {
            self.drop_oldest();
        }
    }

    /// Forgets parts that were believed to be there.
    pub fn forget(&mut self, prompt: &[PromptPart]) {
        for part in prompt {
            if let Some(held) = self.parts.remove(&PartKey::of(part)) {
                self.tokens -= held.tokens;
            }
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(key, held)| (held.used, **key));
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return;
        };
        if let Some(held) = self.parts.remove(&key) {
            self.tokens -= held.tokens;
        }
    }
}
