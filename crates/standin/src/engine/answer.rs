//! The text an engine answers with: a function of model, prompt and position alone, so that any
//! engine resumes any answer and a test can tell whose answer it holds.

use xxhash_rust::xxh3::xxh3_64;

/// Identifies the answer to a prompt.
pub fn prompt_hash(model: &str, prompt: &str) -> u64 {
    xxh3_64(format!("{model}\n{prompt}").as_bytes())
}

/// One token of the answer to a prompt.
pub fn answer_token(hash: u64, index: u32) -> String {
    format!("{:08x}.{index} ", hash as u32)
}

/// The whole answer to a prompt.
pub fn answer_text(model: &str, prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(model, prompt);
    (0..tokens).map(|index| answer_token(hash, index)).collect()
}
