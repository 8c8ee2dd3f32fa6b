//! The prefix cache against an oracle: what its changes say is what it holds, within its bound.

use std::collections::HashSet;

use proptest::prelude::*;
use tansyhall_engine_model::prefix_cache::{block_hashes, CacheChange, PrefixCache, BLOCK_TOKENS};

const CAPACITY_BLOCKS: usize = 8;

/// Prompts that share prefixes: runs of a few distinct words.
fn prompt() -> impl Strategy<Value = String> {
    prop::collection::vec(0_u8..3, 0..12).prop_map(|blocks| {
        let words = blocks
            .iter()
            .flat_map(|block| std::iter::repeat_n(format!("w{block}"), BLOCK_TOKENS as usize));
        words.collect::<Vec<_>>().join(" ")
    })
}

proptest! {
    #[test]
    fn changes_tell_exactly_what_is_held(prompts in prop::collection::vec(prompt(), 0..60)) {
        let mut cache = PrefixCache::new(CAPACITY_BLOCKS as u64 * u64::from(BLOCK_TOKENS));
        let mut held = HashSet::new();
        for prompt in prompts {
            let blocks = block_hashes("base", &prompt);
            for change in cache.insert(&blocks) {
                match change {
                    CacheChange::Stored(block) => prop_assert!(held.insert(block)),
                    CacheChange::Evicted(block) => prop_assert!(held.remove(&block)),
                }
            }
            prop_assert_eq!(held.len(), cache.len());
            prop_assert!(cache.len() <= CAPACITY_BLOCKS);
            let prefix = blocks.iter().take_while(|block| held.contains(block)).count();
            prop_assert_eq!(cache.cached_tokens(&blocks), prefix as u32 * BLOCK_TOKENS);
            let just_used = blocks.len().min(CAPACITY_BLOCKS);
            prop_assert!(prefix >= just_used, "the latest prompt is held as far as it fits");
        }
        prop_assert_eq!(cache.clear().len(), held.len());
        prop_assert!(cache.is_empty());
    }
}

#[test]
fn models_share_no_blocks() {
    let prompt = "word ".repeat(BLOCK_TOKENS as usize);
    assert_ne!(
        block_hashes("base", &prompt),
        block_hashes("other", &prompt)
    );
}
