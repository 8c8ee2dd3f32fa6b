//! Hashes of prompt blocks in the engine protocol. Each hash covers its block and everything before
//! it, so that the known hashes at the start of a prompt identify a cached prefix.

use tansyhall_core::hash::rendezvous_weight;

/// The number of tokens in a block.
pub const BLOCK_TOKENS: u32 = 16;

/// The hash of a block and everything before it.
pub type BlockHash = u64;

/// Returns the hashes of a prompt's complete blocks in order. `model` is included in the hashes, so
/// that equal prompts of different models have different hashes.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut previous = rendezvous_weight(model.as_bytes(), &[]);
    let mut hashes = Vec::new();
    for block in words.chunks_exact(BLOCK_TOKENS as usize) {
        previous = rendezvous_weight(&previous.to_le_bytes(), block.join(" ").as_bytes());
        hashes.push(previous);
    }
    hashes
}
