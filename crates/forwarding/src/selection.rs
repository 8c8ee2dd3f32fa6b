//! What a request needs of a worker, and the score by which workers are compared.
//!
//! Workers are compared by the time in which they are expected to answer: the smoothed latency of
//! their answers, stretched by the work that this gateway has under way there, and divided by the
//! cube of the share of sends that came back whole. A worker in another zone costs the way there.
//! Prompts go to the worker that the hash of their largest shared part ranks first, unless it has
//! clearly more prompt under way than the others: every gateway ranks alike, so that a shared part
//! is read on few workers without any message between gateways.

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
    ReadPrompt {
        /// The part that decides where.
        affinity: String,
        /// Tokens to read.
        tokens: u64,
    },
    /// Runs a request whose prompt was read by this worker.
    Continue {
        /// The reader.
        reader: WorkerId,
    },
}

/// The part that decides where a prompt is read: the largest of those before the last, which is
/// the request's own; the last if it is alone.
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
