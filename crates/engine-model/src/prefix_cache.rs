//! A bounded prefix cache. A prompt is cut into blocks; each block's hash covers everything before
//! it, so that a run of known hashes from the start is a cached prefix. The blocks used longest ago
//! are evicted first.

use std::collections::{BTreeMap, HashMap};

pub use tansyhall_engine::blocks::{block_hashes, BlockHash, BLOCK_TOKENS};

/// A change of what the cache holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is held from now on.
    Stored(BlockHash),
    /// The block is no longer held.
    Evicted(BlockHash),
}

/// The cache.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

impl PrefixCache {
    /// An empty cache for `capacity_tokens` tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        let blocks = capacity_tokens / u64::from(BLOCK_TOKENS);
        Self {
            capacity: usize::try_from(blocks).unwrap_or(usize::MAX),
            uses: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Tokens of the longest cached prefix of a prompt's blocks.
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let held = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block));
        u32::try_from(held.count()).unwrap_or(u32::MAX / BLOCK_TOKENS) * BLOCK_TOKENS
    }

    /// Holds a prompt's blocks, and evicts others to make room.
    pub fn insert(&mut self, blocks: &[BlockHash]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        // What does not fit is the prompt's end: a block is worth nothing without those before it.
        for block in blocks.iter().take(self.capacity) {
            if !self.touch(*block) {
                changes.push(CacheChange::Stored(*block));
            }
        }
        while self.last_use.len() > self.capacity {
            let Some((_, evicted)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&evicted);
            changes.push(CacheChange::Evicted(evicted));
        }
        changes
    }

    /// Drops everything, as a change of model does.
    pub fn clear(&mut self) -> Vec<CacheChange> {
        self.by_use.clear();
        let held = self.last_use.drain();
        held.map(|(block, _)| CacheChange::Evicted(block)).collect()
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Marks a block as used now; true if it was held before.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.uses += 1;
        let before = self.last_use.insert(block, self.uses);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, block);
        before.is_some()
    }
}
