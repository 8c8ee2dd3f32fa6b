//! Generated text. It depends only on model, prompt and token index, so that any engine can resume any
//! answer and a test can tell which request an answer belongs to.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of model and prompt from which the tokens of the answer are generated.
pub fn prompt_hash(model: &str, prompt: &str) -> u64 {
    xxh3_64(format!("{model}\n{prompt}").as_bytes())
}

/// Returns the token with this index of the answer to a prompt.
pub fn answer_token(hash: u64, index: u32) -> String {
    format!("{:08x}.{index} ", hash as u32)
}

/// Returns the complete answer to a prompt.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(model, prompt);
    (0..tokens).map(|index| answer_token(hash, index)).collect()
}
