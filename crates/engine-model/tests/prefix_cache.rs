//! Compares the prefix cache with a reference set that is built from the changes that it reports.

use std::collections::HashSet;

use proptest::prelude::*;
use tansyhall_engine_model::prefix_cache::{block_hashes, CacheChange, PrefixCache, BLOCK_TOKENS};

const CAPACITY_BLOCKS: usize = 8;

/// Generates prompts that share prefixes: blocks that each repeat one of three words.
fn prompt_strategy() -> impl Strategy<Value = String> {
    prop::collection::vec(0_u8..3, 0..12).prop_map(|blocks| {
        let words = blocks
            .iter()
            .flat_map(|block| std::iter::repeat_n(format!("w{block}"), BLOCK_TOKENS as usize));
        words.collect::<Vec<_>>().join(" ")
    })
}

proptest! {
    #[test]
    fn reported_changes_match_the_cache_contents(prompts in prop::collection::vec(prompt_strategy(), 0..60)) {
        let mut cache = PrefixCache::new(CAPACITY_BLOCKS as u64 * u64::from(BLOCK_TOKENS));
        let mut cached = HashSet::new();
        for prompt in prompts {
            let blocks = block_hashes("base", &prompt);
            for change in cache.insert(&blocks) {
                match change {
                    CacheChange::Stored(block) => prop_assert!(cached.insert(block)),
                    CacheChange::Evicted(block) => prop_assert!(cached.remove(&block)),
                }
            }
            prop_assert_eq!(cached.len(), cache.len());
            prop_assert!(cache.len() <= CAPACITY_BLOCKS);
            let prefix = blocks.iter().take_while(|block| cached.contains(block)).count();
            prop_assert_eq!(cache.cached_tokens(&blocks), prefix as u32 * BLOCK_TOKENS);
            let expected_blocks = blocks.len().min(CAPACITY_BLOCKS);
            prop_assert!(prefix >= expected_blocks, "the latest prompt is cached as far as it fits");
        }
        prop_assert_eq!(cache.clear().len(), cached.len());
        prop_assert!(cache.is_empty());
    }
}

#[test]
fn models_do_not_share_blocks() {
    let prompt = "word ".repeat(BLOCK_TOKENS as usize);
    assert_ne!(
        block_hashes("base", &prompt),
        block_hashes("other", &prompt)
    );
}
