//! What a request needs of a worker.

use crate::worker::WorkerId;

/// A part of a prompt; equal parts at equal places share their KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}

/// What is asked of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Need {
    /// Runs the whole request.
    Run,
    /// Reads a prompt and hands its KV cache over.
    ReadPrompt,
    /// Runs a request whose prompt was read by this worker.
    Continue {
        /// The reader.
        reader: WorkerId,
    },
}

impl Need {
    /// Whether the worker reads the prompt, and doesn't fetch its KV cache.
    pub const fn reads(&self) -> bool {
        !matches!(self, Need::Continue { .. })
    }
}

/// The part by which gateways that know nothing of any cache agree on a worker: the largest of
/// those before the last, which is the request's own; the last if it is alone.
pub fn affinity_part(parts: &[PromptPart]) -> Option<&PromptPart> {
    let shared = match parts.len() {
        0 | 1 => parts,
        count => &parts[..count - 1],
    };
    shared.iter().max_by_key(|part| part.tokens)
}

/// Tokens of a whole prompt.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}
