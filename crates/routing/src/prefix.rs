//! Estimates which prompt blocks an engine holds in its prefix cache, based on the engine's cache events
//! and on the prompts that this node has sent to it.
//!
//! Events arrive late, and some are lost. Their sequence numbers are consecutive, so a gap reveals a loss.
//! The lost events may have been evictions, so nothing known before the gap can be trusted, and the index
//! is cleared and rebuilt. The index is only used to predict times: an engine that does not hold a block
//! prefills it.

use std::collections::{HashMap, VecDeque};

use tansyhall_core::Incarnation;

/// A change to the content of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// The block was added to the cache.
    Stored(u64),
    /// The block was removed from the cache.
    Evicted(u64),
}

/// A cache event of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockEvent {
    /// Sequence number, which increases by one with each event of an incarnation.
    pub sequence: u64,
    /// Change to the cache.
    pub change: BlockChange,
}

/// The blocks that one engine is assumed to hold. The number of blocks is bounded; the least recently touched
/// block is removed first.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    max_blocks: usize,
    incarnation: Option<Incarnation>,
    last_sequence: u64,
    touch_count: u64,
    /// For each block, the number of the touch that was its last. A block is touched when it is stored or sent.
    last_touches: HashMap<u64, u64>,
    /// Number and block of each touch, the oldest first. An entry that is not the last touch of its block is
    /// outdated and is ignored.
    touch_order: VecDeque<(u64, u64)>,
}

impl PrefixIndex {
    /// Returns an empty index for at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            incarnation: None,
            last_sequence: 0,
            touch_count: 0,
            last_touches: HashMap::new(),
            touch_order: VecDeque::new(),
        }
    }

    /// Returns the sequence number of the last applied event; the engine is asked for the events after it.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Applies events of an incarnation, in order. Events that were applied before are ignored. A new
    /// incarnation clears the index, because the engine's cache is lost when the engine restarts.
    pub fn apply_events(&mut self, incarnation: Incarnation, events: &[BlockEvent]) {
        let previous = self.incarnation.replace(incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.clear();
            self.last_sequence = 0;
        }
        for event in events {
            self.apply_event(event);
        }
    }

    /// Records the blocks of a prompt that was sent to the engine, which will hold them once the prompt is
    /// prefilled.
    pub fn record_prompt(&mut self, blocks: &[u64]) {
        // If the prompt does not fit, its end is left out: a cached block is useless without those before it.
        for block in blocks.iter().take(self.max_blocks) {
            self.touch(*block);
        }
    }

    /// Returns how many consecutive blocks at the start of a prompt the engine is assumed to hold.
    pub fn cached_prefix_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_touches.contains_key(block))
            .count()
    }

    /// Returns the number of blocks that the engine is assumed to hold.
    pub fn len(&self) -> usize {
        self.last_touches.len()
    }

    /// Returns whether the engine is assumed to hold no block.
    pub fn is_empty(&self) -> bool {
        self.last_touches.is_empty()
    }

    fn apply_event(&mut self, event: &BlockEvent) {
        if event.sequence <= self.last_sequence {
            return;
        }
        if event.sequence != self.last_sequence + 1 {
            self.clear();
        }
        self.last_sequence = event.sequence;
        match event.change {
            BlockChange::Stored(block) => self.touch(block),
            BlockChange::Evicted(block) => {
                self.last_touches.remove(&block);
            }
        }
    }

    fn clear(&mut self) {
        self.last_touches.clear();
        self.touch_order.clear();
    }

    fn touch(&mut self, block: u64) {
        self.touch_count += 1;
        self.last_touches.insert(block, self.touch_count);
        self.touch_order.push_back((self.touch_count, block));
        while self.last_touches.len() > self.max_blocks {
            self.remove_oldest_touch();
        }
        self.remove_outdated_touches();
    }

    fn remove_oldest_touch(&mut self) {
        let Some((touch, block)) = self.touch_order.pop_front() else {
            return;
        };
        if self.last_touches.get(&block) == Some(&touch) {
            self.last_touches.remove(&block);
        }
    }

    /// Removes outdated entries when there are more than twice as many entries as the index may hold blocks.
    fn remove_outdated_touches(&mut self) {
        if self.touch_order.len() <= 2 * self.max_blocks {
            return;
        }
        let last_touches = &self.last_touches;
        self.touch_order
            .retain(|(touch, block)| last_touches.get(block) == Some(touch));
    }
}
