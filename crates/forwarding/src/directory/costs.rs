//! The cost in seconds of the work of a service's engines, learned from this gateway's own sends.
//!
//! There is one model for each of three kinds of work, since engines process them in different
//! ways:
//!
//! - reading a prompt on a prefill engine: prompts are processed one after the other;
//! - reading a prompt on a decode engine, between the tokens of its streams;
//! - continuing from a KV cache that is fetched from the engine that read the prompt.
//!
//! The features are what a gateway can know when it sends a request: the requests that are already
//! in progress, the tokens that must be read before the answer begins, the pairs of tokens that
//! attention compares, the seconds of the KV cache transfer over the link, and whether the worker
//! is in another zone. An engine that is slower than others of its service has a separate factor
//! (see `tracked`).

use tansyhall_core::Role;

use crate::cost_model::{CostModel, Prior};

/// Tokens per unit of the token feature.
const TOKENS_UNIT: f64 = 1_000.0;
/// Pairs of tokens per unit of the pair feature.
const PAIRS_UNIT: f64 = 1e6;

/// Indices of the features of reading a prompt.
const FIXED: usize = 0;
const REQUESTS: usize = 1;
const TOKENS: usize = 2;
const PAIRS: usize = 3;
const OTHER_ZONE: usize = 4;
const FETCHES: usize = 5;
/// The number of these features.
const PREFILL_FEATURES: usize = 6;

/// Seconds of every answer, whatever else it needs, before anything was observed.
const FIXED_PRIOR: Prior = prior(0.015);
/// Seconds for each request already in progress on a prefill engine.
const PREFILL_ENGINE_REQUEST_PRIOR: Prior = prior(0.006);
/// Seconds for each request already in progress on a decode engine.
const DECODE_ENGINE_REQUEST_PRIOR: Prior = prior(0.0004);
/// Seconds for a unit of tokens on a prefill engine.
const PREFILL_ENGINE_TOKENS_PRIOR: Prior = prior(0.025);
/// Seconds for a unit of tokens on a decode engine.
const DECODE_ENGINE_TOKENS_PRIOR: Prior = prior(0.050);
/// Seconds for a unit of token pairs.
const PAIRS_PRIOR: Prior = Prior {
    weight: 0.0,
    deviation: 0.0005,
};
/// Seconds of network latency to another zone.
const OTHER_ZONE_PRIOR: Prior = prior(0.004);
/// Seconds that a fetch from another engine takes in addition to its transfer.
const FETCH_PRIOR: Prior = prior(0.004);
/// Seconds for each second that a transfer takes over an idle link.
const TRANSFER_PRIOR: Prior = prior(1.0);

/// A weight of which only the order of magnitude is known.
const fn prior(weight: f64) -> Prior {
    Prior {
        weight,
        deviation: 2.0 * weight,
    }
}

/// The work of reading a prompt, as far as a gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct PrefillWork {
    /// Requests in progress at the engine.
    pub(super) requests: u32,
    /// Tokens of other prompts that are still to be read there.
    pub(super) waiting_tokens: u64,
    /// Tokens of this prompt that must be read.
    pub(super) missing_tokens: u64,
    /// Tokens of the complete prompt.
    pub(super) prompt_tokens: u64,
    /// Whether parts of it are fetched from another engine.
    pub(super) fetches: bool,
    /// Whether the engine is in another zone.
    pub(super) other_zone: bool,
}

impl PrefillWork {
    fn features(&self) -> [f64; PREFILL_FEATURES] {
        let missing = self.missing_tokens as f64;
        let kept = self.prompt_tokens as f64 - missing;
        let mut features = [0.0; PREFILL_FEATURES];
        features[FIXED] = 1.0;
        features[REQUESTS] = f64::from(self.requests);
        features[TOKENS] = (self.waiting_tokens as f64 + missing) / TOKENS_UNIT;
        features[PAIRS] = missing * (kept.max(0.0) + missing / 2.0) / PAIRS_UNIT;
        features[OTHER_ZONE] = f64::from(u8::from(self.other_zone));
        features[FETCHES] = f64::from(u8::from(self.fetches));
        features
    }
}

/// The work of continuing from a fetched KV cache, as far as a gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ContinuingWork {
    /// Requests in progress at the engine.
    pub(super) requests: u32,
    /// Seconds that the KV cache transfer takes over an idle link.
    pub(super) transfer_seconds: f64,
    /// Whether the engine is in another zone.
    pub(super) other_zone: bool,
}

impl ContinuingWork {
    fn features(&self) -> [f64; 4] {
        let other_zone = f64::from(u8::from(self.other_zone));
        [
            1.0,
            f64::from(self.requests),
            self.transfer_seconds,
            other_zone,
        ]
    }
}

/// The work that was sent to an engine, with all that its cost depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EngineWork {
    /// A prefill engine reads a prompt.
    SeparatePrefill(PrefillWork),
    /// A decode engine reads a prompt and runs it.
    ColocatedPrefill(PrefillWork),
    /// A decode engine fetches the KV cache of a prompt and runs it.
    Continue(ContinuingWork),
}

impl EngineWork {
    /// Returns the work of reading a prompt at an engine with this role.
    pub(super) fn prefill(role: Option<Role>, work: PrefillWork) -> Self {
        match role {
            Some(Role::Prefill) => EngineWork::SeparatePrefill(work),
            _ => EngineWork::ColocatedPrefill(work),
        }
    }
}

/// The cost models of a service.
#[derive(Debug, Clone)]
pub(super) struct EngineCosts {
    separate: CostModel<PREFILL_FEATURES>,
    colocated: CostModel<PREFILL_FEATURES>,
    continuing: CostModel<4>,
}

impl Default for EngineCosts {
    fn default() -> Self {
        let prefill = |requests, tokens| {
            let priors = [
                FIXED_PRIOR,
                requests,
                tokens,
                PAIRS_PRIOR,
                OTHER_ZONE_PRIOR,
                FETCH_PRIOR,
            ];
            CostModel::new(priors)
        };
        let continuing = [
            FIXED_PRIOR,
            DECODE_ENGINE_REQUEST_PRIOR,
            TRANSFER_PRIOR,
            OTHER_ZONE_PRIOR,
        ];
        Self {
            separate: prefill(PREFILL_ENGINE_REQUEST_PRIOR, PREFILL_ENGINE_TOKENS_PRIOR),
            colocated: prefill(DECODE_ENGINE_REQUEST_PRIOR, DECODE_ENGINE_TOKENS_PRIOR),
            continuing: CostModel::new(continuing),
        }
    }
}

impl EngineCosts {
    /// Returns the expected seconds until the answer begins.
    pub(super) fn seconds(&self, work: &EngineWork) -> f64 {
        match work {
            EngineWork::SeparatePrefill(work) => self.separate.seconds(&work.features()),
            EngineWork::ColocatedPrefill(work) => self.colocated.seconds(&work.features()),
            EngineWork::Continue(continuing) => self.continuing.seconds(&continuing.features()),
        }
    }

    /// Learns that the answer began after this many seconds.
    pub(super) fn learn(&mut self, work: &EngineWork, seconds: f64) {
        match work {
            EngineWork::SeparatePrefill(work) => self.separate.learn(&work.features(), seconds),
            EngineWork::ColocatedPrefill(work) => {
                self.colocated.learn(&work.features(), seconds);
            }
            EngineWork::Continue(continuing) => {
                self.continuing.learn(&continuing.features(), seconds);
            }
        }
    }

    /// Returns the seconds to read tokens on a prefill engine, without any other cost.
    pub(super) fn separate_prefill_seconds(&self, tokens: u64) -> f64 {
        self.separate.weight(TOKENS) * tokens as f64 / TOKENS_UNIT
    }

    /// Returns the seconds to read tokens on a decode engine, without any other cost.
    pub(super) fn colocated_prefill_seconds(&self, tokens: u64) -> f64 {
        self.colocated.weight(TOKENS) * tokens as f64 / TOKENS_UNIT
    }

    /// Returns the seconds for which reading a prompt occupies a prefill engine: the time on an
    /// idle engine without the fixed time of every answer.
    pub(super) fn prefill_engine_seconds(&self, work: &PrefillWork) -> f64 {
        let alone = PrefillWork {
            requests: 1,
            waiting_tokens: 0,
            other_zone: false,
            ..*work
        };
        let seconds = self.separate.seconds(&alone.features());
        seconds - self.separate.weight(FIXED)
    }

    /// Returns the seconds for which reading this many tokens occupies a decode engine.
    pub(super) fn decode_engine_seconds(&self, tokens: u64) -> f64 {
        self.colocated.weight(REQUESTS) + self.colocated_prefill_seconds(tokens)
    }

    /// Returns the seconds that any fetch costs a prefill engine in addition to the transfer.
    pub(super) fn fetch_overhead_seconds(&self) -> f64 {
        self.separate.weight(FETCHES)
    }

    /// Returns whether reading this many tokens costs less than the fixed part of any prompt.
    pub(super) fn is_short(&self, tokens: u64) -> bool {
        let any_prompt = self.separate.weight(FIXED) + self.separate.weight(REQUESTS);
        self.separate_prefill_seconds(tokens) < any_prompt
    }
}
