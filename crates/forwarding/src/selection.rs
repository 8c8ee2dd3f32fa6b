//! The work that a request needs from a worker, and the parts of its prompt.

use crate::worker::WorkerId;

/// Upper bound for the tokens of a part in messages from outside. No prompt is this long, and sums of such numbers do not
/// overflow.
pub const MAX_PART_TOKENS: u64 = 1 << 40;

/// A part of a prompt. Equal parts at the same position in their prompts share their KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The work that a request needs from a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Need {
    /// Run the whole request.
    Run,
    /// Read the prompt (prefill) and hand over its KV cache.
    ReadPrompt,
    /// Run a request whose prompt was read by `reader`.
    Continue {
        /// The worker that read the prompt.
        reader: WorkerId,
    },
}

impl Need {
    /// Returns whether the worker reads the prompt itself, as opposed to fetching its KV cache.
    pub const fn reads_prompt(&self) -> bool {
        !matches!(self, Need::Continue { .. })
    }
}

/// Returns the part by which gateways that know nothing of the workers' caches agree on a worker: the
/// largest part before the last one, since the last part is specific to the request. If the prompt has
/// only one part, returns that part.
pub fn affinity_part(parts: &[PromptPart]) -> Option<&PromptPart> {
    let shared = match parts.len() {
        0 | 1 => parts,
        count => &parts[..count - 1],
    };
    shared.iter().max_by_key(|part| part.tokens)
}

/// Returns the number of tokens of a whole prompt.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}
