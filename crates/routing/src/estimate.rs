//! A node's estimate of the load of an engine, based on the engine's last report, which is already
//! outdated, and on the requests that the node itself has sent since.

use std::collections::HashMap;
use std::hash::Hash;

use tansyhall_core::{Role, Timestamp};

/// Estimated state of one engine at the time of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineEstimate {
    /// Role of the engine.
    pub role: Role,
    /// Whether the engine accepts work: it is not draining, not changing its role and not considered failed.
    pub accepts_work: bool,
    /// Number of sequences being decoded.
    pub decoding: f64,
    /// Number of requests whose prompts are not prefilled yet.
    pub waiting: f64,
    /// Number of prompt tokens still to be prefilled.
    pub pending_prefill_tokens: f64,
    /// Free slots in the batch, in sequences; negative if requests are queued for a slot.
    pub free_sequences: f64,
    /// Prompt tokens per second that the engine accepted recently.
    pub prefill_rate: f64,
    /// Number of tokens of the request's prompt that are assumed to be in the engine's prefix cache.
    pub cached_tokens: f64,
}

impl EngineEstimate {
    /// Returns the number of tokens that the engine would prefill for a request. It is at least one,
    /// because the prefill also generates the first token of the answer.
    pub fn tokens_to_prefill(&self, prompt_tokens: f64) -> f64 {
        (prompt_tokens - self.cached_tokens).max(1.0)
    }
}

/// An exponentially weighted moving rate of prompt tokens, in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    time_constant_seconds: f64,
    rate: f64,
    updated_at: Timestamp,
}

impl PrefillRate {
    /// Returns a rate of zero that decays with the given time constant.
    pub fn new(time_constant_seconds: f64) -> Self {
        Self {
            time_constant_seconds,
            rate: 0.0,
            updated_at: Timestamp::default(),
        }
    }

    /// Adds tokens that the engine accepted at `now`.
    pub fn add(&mut self, now: Timestamp, tokens: f64) {
        self.rate = self.at(now) + tokens / self.time_constant_seconds;
        self.updated_at = now;
    }

    /// Returns the rate at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / self.time_constant_seconds).exp()
    }
}

/// Expected answer lengths by request class, learned from completed answers.
#[derive(Debug, Clone)]
pub struct OutputEstimator<C> {
    means: HashMap<C, f64>,
    max_classes: usize,
    max_unlearned_tokens: f64,
}

/// Weight of the newest answer in the moving mean of a class.
const NEWEST_WEIGHT: f64 = 0.05;

impl<C> Default for OutputEstimator<C> {
    fn default() -> Self {
        Self {
            means: HashMap::new(),
            max_classes: usize::MAX,
            max_unlearned_tokens: f64::INFINITY,
        }
    }
}

impl<C: Hash + Eq> OutputEstimator<C> {
    /// Returns an estimator that has learned nothing yet, without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an estimator that has learned nothing yet and learns at most `max_classes` classes. An
    /// answer of an unknown class is expected to have at most `max_unlearned_tokens` tokens. If it were
    /// expected to use the whole allowance of its request, requests with a large allowance would be refused
    /// and nothing would be learned.
    pub fn with_limits(max_classes: usize, max_unlearned_tokens: f64) -> Self {
        Self {
            means: HashMap::new(),
            max_classes,
            max_unlearned_tokens,
        }
    }

    /// Updates the mean of a class with an answer of `tokens` tokens.
    pub fn learn(&mut self, class: C, tokens: f64) {
        if self.means.len() >= self.max_classes && !self.means.contains_key(&class) {
            return;
        }
        let mean = self.means.entry(class).or_insert(tokens);
        *mean += NEWEST_WEIGHT * (tokens - *mean);
    }

    /// Returns the expected length of an answer of a class in tokens, at most the `max_tokens` that the request
    /// allows.
    pub fn expected_tokens(&self, class: &C, max_tokens: f64) -> f64 {
        let mean = self.means.get(class).copied();
        mean.unwrap_or(self.max_unlearned_tokens).min(max_tokens)
    }
}
