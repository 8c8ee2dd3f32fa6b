//! What a node believes about an engine: the last report, which is old, and the node's own
//! requests since it was made.

use std::collections::HashMap;
use std::hash::Hash;

use tansyhall_core::{Role, Timestamp};

/// A belief about one engine at the moment of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineEstimate {
    /// Its role.
    pub role: Role,
    /// Whether it accepts work: it is not draining, changing or thought dead.
    pub accepts_work: bool,
    /// Sequences being decoded.
    pub decoding: f64,
    /// Requests still waiting for their prompts to be prefilled.
    pub waiting: f64,
    /// Prompt tokens still to prefill.
    pub pending_prefill_tokens: f64,
    /// Room in the batch, in sequences; negative when requests queue for it.
    pub free_sequences: f64,
    /// Prompt tokens a second that the engine has been given of late.
    pub prefill_rate: f64,
    /// Tokens of the request's prompt that the engine is believed to hold in its prefix cache.
    pub cached_tokens: f64,
}

impl EngineEstimate {
    /// Tokens that the engine would prefill for a request: at least one, which gives the first
    /// token of the answer.
    pub fn tokens_to_prefill(&self, prompt_tokens: f64) -> f64 {
        (prompt_tokens - self.cached_tokens).max(1.0)
    }
}

/// An exponentially weighted rate of prompt tokens, in tokens a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    time_constant: f64,
    rate: f64,
    updated: Timestamp,
}

impl PrefillRate {
    /// A rate of zero that forgets with the given time constant, in seconds.
    pub fn new(time_constant: f64) -> Self {
        Self {
            time_constant,
            rate: 0.0,
            updated: Timestamp::default(),
        }
    }

    /// Counts tokens given at `now`.
    pub fn add(&mut self, now: Timestamp, tokens: f64) {
        self.rate = self.at(now) + tokens / self.time_constant;
        self.updated = now;
    }

    /// The rate at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.rate * (-elapsed / self.time_constant).exp()
    }
}

/// Expected output lengths by class, learned from answers that ended.
#[derive(Debug, Clone)]
pub struct OutputEstimator<C> {
    means: HashMap<C, f64>,
    max_classes: usize,
    unlearned: f64,
}

/// Weight of the newest answer in a class's mean length.
const NEWEST_WEIGHT: f64 = 0.05;

impl<C> Default for OutputEstimator<C> {
    fn default() -> Self {
        Self {
            means: HashMap::new(),
            max_classes: usize::MAX,
            unlearned: f64::INFINITY,
        }
    }
}

impl<C: Hash + Eq> OutputEstimator<C> {
    /// Nothing learned yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Nothing learned yet; at most `max_classes` classes will be. An answer of a class of which
    /// nothing is known is expected to have at most `unlearned` tokens: if it were expected to use
    /// all that it may, requests that allow much would be refused, and nothing would be learned.
    pub fn with_limits(max_classes: usize, unlearned: f64) -> Self {
        Self {
            means: HashMap::new(),
            max_classes,
            unlearned,
        }
    }

    /// Learns from an answer of `tokens` tokens.
    pub fn learn(&mut self, class: C, tokens: f64) {
        if self.means.len() >= self.max_classes && !self.means.contains_key(&class) {
            return;
        }
        let mean = self.means.entry(class).or_insert(tokens);
        *mean += NEWEST_WEIGHT * (tokens - *mean);
    }

    /// The expected length for a class, at most what the request allows.
    pub fn expect(&self, class: &C, max_tokens: f64) -> f64 {
        let mean = self.means.get(class).copied();
        mean.unwrap_or(self.unlearned).min(max_tokens)
    }
}
