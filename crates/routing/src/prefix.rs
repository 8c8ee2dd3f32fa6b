//! Which prompt blocks an engine is believed to hold in its prefix cache: those of its cache
//! events, and those of prompts that this node sent there.
//!
//! Events are late, and some are lost. Their sequence numbers grow by one, so that a gap shows a
//! loss: what was lost may be evictions, and nothing known before it can be trusted. The index then
//! forgets everything and begins again. What it believes is used to predict times only; an engine
//! that does not hold a block prefills it.

use std::collections::{HashMap, VecDeque};

use tansyhall_core::Incarnation;

/// A change of what an engine's prefix cache holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// The block is held from now on.
    Stored(u64),
    /// The block is no longer held.
    Evicted(u64),
}

/// A cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockEvent {
    /// Grows by one with each event of an incarnation.
    pub sequence: u64,
    /// What happened.
    pub change: BlockChange,
}

/// The blocks that one engine is believed to hold, at most a number set at the start; the one
/// heard of longest ago is forgotten first.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    max_blocks: usize,
    incarnation: Option<Incarnation>,
    latest: u64,
    mentions: u64,
    /// The last mention of each block.
    held: HashMap<u64, u64>,
    /// Mentions in order; those that are not a block's last are passed over.
    by_mention: VecDeque<(u64, u64)>,
}

impl PrefixIndex {
    /// An empty index for at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            incarnation: None,
            latest: 0,
            mentions: 0,
            held: HashMap::new(),
            by_mention: VecDeque::new(),
        }
    }

    /// The sequence number after which events are wanted.
    pub fn latest(&self) -> u64 {
        self.latest
    }

    /// Takes events of an incarnation, in order. Those known already are passed over. Another
    /// incarnation than before holds nothing of what was known.
    pub fn events(&mut self, incarnation: Incarnation, events: &[BlockEvent]) {
        let known = self.incarnation.replace(incarnation);
        if known.is_some_and(|known| known != incarnation) {
            self.forget();
            self.latest = 0;
        }
        for event in events {
            self.event(event);
        }
    }

    /// The engine was sent a prompt, and will hold its blocks once it is prefilled.
    pub fn sent(&mut self, blocks: &[u64]) {
        // What does not fit is the prompt's end: a block is worth nothing without those before it.
        for block in blocks.iter().take(self.max_blocks) {
            self.mention(*block);
        }
    }

    /// Blocks of a prompt, from the first on, that the engine is believed to hold.
    pub fn held_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.held.contains_key(block))
            .count()
    }

    /// Blocks believed to be held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no block is believed to be held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn event(&mut self, event: &BlockEvent) {
        if event.sequence <= self.latest {
            return;
        }
        if event.sequence != self.latest + 1 {
            self.forget();
        }
        self.latest = event.sequence;
        match event.change {
            BlockChange::Stored(block) => self.mention(block),
            BlockChange::Evicted(block) => {
                self.held.remove(&block);
            }
        }
    }

    fn forget(&mut self) {
        self.held.clear();
        self.by_mention.clear();
    }

    fn mention(&mut self, block: u64) {
        self.mentions += 1;
        self.held.insert(block, self.mentions);
        self.by_mention.push_back((self.mentions, block));
        while self.held.len() > self.max_blocks {
            self.forget_oldest();
        }
        self.drop_outdated();
    }

    fn forget_oldest(&mut self) {
        let Some((mention, block)) = self.by_mention.pop_front() else {
            return;
        };
        if self.held.get(&block) == Some(&mention) {
            self.held.remove(&block);
        }
    }

    /// Keeps the list of mentions within twice the number of blocks.
    fn drop_outdated(&mut self) {
        if self.by_mention.len() <= 2 * self.max_blocks {
            return;
        }
        let held = &self.held;
        self.by_mention
            .retain(|(mention, block)| held.get(block) == Some(mention));
    }
}
