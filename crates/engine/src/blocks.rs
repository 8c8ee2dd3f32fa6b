//! How the engine protocol names the blocks of a prompt: by hashes that cover everything before
//! them, so that a run of known hashes from the start is a cached prefix.

use tansyhall_core::hash::rendezvous_weight;

/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = 16;

/// Identifies a block by its content and everything before it.
pub type BlockHash = u64;

/// The hashes of a prompt's whole blocks, from the first on. `model` keeps equal prompts of
/// different models apart.
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
