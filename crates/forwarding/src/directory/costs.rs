//! What the work of a service's engines costs in seconds, learnt from this gateway's own sends.
//!
//! Three kinds of work have a model each, since an engine does them in different ways:
//!
//! - reading at an engine that only reads: prompts one after the other;
//! - reading at an engine that decodes, between the tokens of its streams;
//! - going on from a KV cache that is fetched from the reader.
//!
//! The features are what a gateway can know when it sends: requests that are there already, tokens
//! that are to be read before the answer begins, pairs of tokens that attention looks at, seconds
//! that a move takes over the link, and whether the worker is in another zone. An engine that is
//! slower than others of its service has a factor of its own (see `tracked`).

use tansyhall_core::Role;

use crate::cost_model::{CostModel, Prior};

/// Tokens in a unit of the feature.
const TOKENS_UNIT: f64 = 1_000.0;
/// Pairs of tokens in a unit of the feature.
const PAIRS_UNIT: f64 = 1e6;

/// Places of the features of a reading.
const FIXED: usize = 0;
const REQUESTS: usize = 1;
const TOKENS: usize = 2;
const PAIRS: usize = 3;
const OTHER_ZONE: usize = 4;
const FETCHES: usize = 5;
/// How many they are.
const READING_FEATURES: usize = 6;

/// Seconds that an answer takes beside all else, before anything was observed.
const FIXED_PRIOR: Prior = prior(0.015);
/// Seconds for each request that is there already, at an engine that only reads.
const READING_REQUEST_PRIOR: Prior = prior(0.006);
/// The same at an engine that decodes.
const DECODING_REQUEST_PRIOR: Prior = prior(0.0004);
/// Seconds for a unit of tokens at an engine that only reads.
const READING_TOKENS_PRIOR: Prior = prior(0.025);
/// The same at an engine that decodes.
const DECODING_TOKENS_PRIOR: Prior = prior(0.050);
/// Seconds for a unit of pairs.
const PAIRS_PRIOR: Prior = Prior {
    weight: 0.0,
    deviation: 0.0005,
};
/// Seconds of the way to another zone.
const OTHER_ZONE_PRIOR: Prior = prior(0.004);
/// Seconds that a fetch from another engine takes beside its transfer.
const FETCH_PRIOR: Prior = prior(0.004);
/// Seconds for each second that a move takes over an idle link.
const MOVE_PRIOR: Prior = prior(1.0);

/// A weight that is known to its order of magnitude.
const fn prior(weight: f64) -> Prior {
    Prior {
        weight,
        deviation: 2.0 * weight,
    }
}

/// A reading as far as a gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ReadingWork {
    /// Requests under way at the engine.
    pub(super) requests: u32,
    /// Tokens of other prompts that are to be read there.
    pub(super) waiting_tokens: u64,
    /// Tokens of this prompt that are to be read.
    pub(super) missing_tokens: u64,
    /// Tokens of the whole prompt.
    pub(super) prompt_tokens: u64,
    /// Whether parts of it are fetched from another engine.
    pub(super) fetches: bool,
    /// Whether the engine is in another zone.
    pub(super) other_zone: bool,
}

impl ReadingWork {
    fn features(&self) -> [f64; READING_FEATURES] {
        let missing = self.missing_tokens as f64;
        let kept = self.prompt_tokens as f64 - missing;
        let mut features = [0.0; READING_FEATURES];
        features[FIXED] = 1.0;
        features[REQUESTS] = f64::from(self.requests);
        features[TOKENS] = (self.waiting_tokens as f64 + missing) / TOKENS_UNIT;
        features[PAIRS] = missing * (kept.max(0.0) + missing / 2.0) / PAIRS_UNIT;
        features[OTHER_ZONE] = f64::from(u8::from(self.other_zone));
        features[FETCHES] = f64::from(u8::from(self.fetches));
        features
    }
}

/// Going on from a KV cache, as far as a gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct ContinuingWork {
    /// Requests under way at the engine.
    pub(super) requests: u32,
    /// Seconds that the move takes over an idle link.
    pub(super) move_seconds: f64,
    /// Whether the engine is in another zone.
    pub(super) other_zone: bool,
}

impl ContinuingWork {
    fn features(&self) -> [f64; 4] {
        let other_zone = f64::from(u8::from(self.other_zone));
        [1.0, f64::from(self.requests), self.move_seconds, other_zone]
    }
}

/// What was sent, with all that its cost depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EngineWork {
    /// An engine that only reads reads a prompt.
    ReadApart(ReadingWork),
    /// An engine that decodes reads a prompt and runs it.
    ReadAndRun(ReadingWork),
    /// An engine fetches the KV cache of a prompt and runs it.
    Continue(ContinuingWork),
}

impl EngineWork {
    /// A reading at an engine of that role.
    pub(super) fn reading(role: Option<Role>, work: ReadingWork) -> Self {
        match role {
            Some(Role::Prefill) => EngineWork::ReadApart(work),
            _ => EngineWork::ReadAndRun(work),
        }
    }
}

/// The models of a service.
#[derive(Debug, Clone)]
pub(super) struct EngineCosts {
    read_apart: CostModel<READING_FEATURES>,
    read_and_run: CostModel<READING_FEATURES>,
    continuing: CostModel<4>,
}

impl Default for EngineCosts {
    fn default() -> Self {
        let reading = |requests, tokens| {
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
            DECODING_REQUEST_PRIOR,
            MOVE_PRIOR,
            OTHER_ZONE_PRIOR,
        ];
        Self {
            read_apart: reading(READING_REQUEST_PRIOR, READING_TOKENS_PRIOR),
            read_and_run: reading(DECODING_REQUEST_PRIOR, DECODING_TOKENS_PRIOR),
            continuing: CostModel::new(continuing),
        }
    }
}

impl EngineCosts {
    /// Seconds until the answer begins.
    pub(super) fn seconds(&self, work: &EngineWork) -> f64 {
        match work {
            EngineWork::ReadApart(reading) => self.read_apart.seconds(&reading.features()),
            EngineWork::ReadAndRun(reading) => self.read_and_run.seconds(&reading.features()),
            EngineWork::Continue(continuing) => self.continuing.seconds(&continuing.features()),
        }
    }

    /// The answer began after so many seconds.
    pub(super) fn learn(&mut self, work: &EngineWork, seconds: f64) {
        match work {
            EngineWork::ReadApart(reading) => self.read_apart.learn(&reading.features(), seconds),
            EngineWork::ReadAndRun(reading) => {
                self.read_and_run.learn(&reading.features(), seconds);
            }
            EngineWork::Continue(continuing) => {
                self.continuing.learn(&continuing.features(), seconds);
            }
        }
    }

    /// Seconds to read tokens at an engine that only reads, beside all else.
    pub(super) fn tokens_apart(&self, tokens: u64) -> f64 {
        self.read_apart.weight(TOKENS) * tokens as f64 / TOKENS_UNIT
    }

    /// Seconds to read tokens at an engine that decodes, beside all else.
    pub(super) fn tokens_while_decoding(&self, tokens: u64) -> f64 {
        self.read_and_run.weight(TOKENS) * tokens as f64 / TOKENS_UNIT
    }

    /// Seconds that a reading keeps an engine busy which only reads: what it takes alone, without
    /// the part that every answer waits for.
    pub(super) fn busy_seconds(&self, work: &ReadingWork) -> f64 {
        let alone = ReadingWork {
            requests: 1,
            waiting_tokens: 0,
            other_zone: false,
            ..*work
        };
        let seconds = self.read_apart.seconds(&alone.features());
        seconds - self.read_apart.weight(FIXED)
    }

    /// Seconds that reading so many tokens keeps an engine busy which decodes.
    pub(super) fn busy_seconds_while_decoding(&self, tokens: u64) -> f64 {
        self.read_and_run.weight(REQUESTS) + self.tokens_while_decoding(tokens)
    }

    /// Seconds that any fetch costs an engine which only reads, beside its transfer.
    pub(super) fn any_fetch(&self) -> f64 {
        self.read_apart.weight(FETCHES)
    }

    /// Whether so few tokens cost less than what any prompt costs.
    pub(super) fn is_short(&self, tokens: u64) -> bool {
        let any_prompt = self.read_apart.weight(FIXED) + self.read_apart.weight(REQUESTS);
        self.tokens_apart(tokens) < any_prompt
    }
}
