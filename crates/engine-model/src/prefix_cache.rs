//! A bounded prefix cache. A prompt is split into blocks. The hash of each block also covers all earlier
//! blocks, so that a run of cached hashes from the start is a cached prefix. The least recently used
//! blocks are evicted first.

use std::collections::{BTreeMap, HashMap};

pub use tansyhall_engine::blocks::{block_hashes, BlockHash, BLOCK_TOKENS};

/// A change of the cache contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was added.
    Stored(BlockHash),
    /// The block was removed.
    Evicted(BlockHash),
}

/// A least-recently-used cache of prompt blocks.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity_blocks: usize,
    use_count: u64,
    last_use: HashMap<BlockHash, u64>,
    blocks_by_use: BTreeMap<u64, BlockHash>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity_tokens` tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        let blocks = capacity_tokens / u64::from(BLOCK_TOKENS);
        Self {
            capacity_blocks: usize::try_from(blocks).unwrap_or(usize::MAX),
            use_count: 0,
            last_use: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
        }
    }

    /// Returns the length in tokens of the longest cached prefix of the blocks of a prompt.
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let held = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block));
        u32::try_from(held.count()).unwrap_or(u32::MAX / BLOCK_TOKENS) * BLOCK_TOKENS
    }

    /// Adds the blocks of a prompt, evicts others to make room, and returns the changes.
    pub fn insert(&mut self, blocks: &[BlockHash]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        // If the prompt does not fit, its end is left out: a block is useless without the earlier ones.
        for block in blocks.iter().take(self.capacity_blocks) {
            if !self.touch(*block) {
                changes.push(CacheChange::Stored(*block));
            }
        }
        while self.last_use.len() > self.capacity_blocks {
            let Some((_, evicted)) = self.blocks_by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&evicted);
            changes.push(CacheChange::Evicted(evicted));
        }
        changes
    }

    /// Removes all blocks, as loading another model does, and returns the changes.
    pub fn clear(&mut self) -> Vec<CacheChange> {
        self.blocks_by_use.clear();
        let held = self.last_use.drain();
        held.map(|(block, _)| CacheChange::Evicted(block)).collect()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Marks a block as most recently used and adds it if needed. Returns whether it was cached already.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.use_count += 1;
        let previous_use = self.last_use.insert(block, self.use_count);
        if let Some(previous_use) = previous_use {
            self.blocks_by_use.remove(&previous_use);
        }
        self.blocks_by_use.insert(self.use_count, block);
        previous_use.is_some()
    }
}
