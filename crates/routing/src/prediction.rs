//! Predicted times at one engine.
//!
//! An iteration of an engine costs a fixed part, a part for each sequence that is decoding, and a
//! part for each prompt token prefilled in it. With `D` sequences decoding and a prefill load of
//! `u` tokens a second arriving, an iteration lasts `T = (base + D·decode) / (1 − u·prefill)`: the
//! time the engine spends on other requests' prompts stretches every token it generates.

use tansyhall_core::Duration;

use crate::estimate::EngineEstimate;

/// Largest part of an engine's time that predicted prefill may take; beyond it the formula's
/// denominator would vanish.
const MAX_PREFILL_SHARE: f64 = 0.9;

/// Costs of an engine's iterations, configured or learned from observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRates {
    /// Fixed cost of an iteration, in seconds.
    pub iteration: f64,
    /// Cost of prefilling one token, in seconds.
    pub prefill_token: f64,
    /// Cost of one decoding sequence in an iteration, in seconds.
    pub decode_sequence: f64,
    /// Prompt tokens prefilled in one iteration of a mixed engine.
    pub mixed_chunk: f64,
    /// Prompt tokens prefilled in one iteration of a prefill engine.
    pub prefill_chunk: f64,
    /// Moving the KV cache of one token between engines, in seconds.
    pub transfer_token: f64,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestEstimate {
    /// Tokens to prefill where none of the prompt is cached.
    pub prefill_tokens: f64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Expected tokens of the answer.
    pub output_tokens: f64,
}

/// Predicted times of one request at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Until the first token, in seconds.
    pub first_token: f64,
    /// Until the last token, in seconds.
    pub whole: f64,
    /// Time taken from requests already there, summed over them, in seconds.
    pub harm: f64,
}

impl Prediction {
    /// The time to the last token as a duration.
    pub fn whole_duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.whole).unwrap_or(Duration::MAX)
    }
}

/// The length of an iteration with `decoding` sequences and the engine's prefill load.
fn iteration_seconds(rates: &ServiceRates, engine: &EngineEstimate, decoding: f64) -> f64 {
    let prefill_share = (engine.prefill_rate * rates.prefill_token).min(MAX_PREFILL_SHARE);
    (rates.iteration + decoding * rates.decode_sequence) / (1.0 - prefill_share)
}

/// Time until `tokens` more prompt tokens, and those already pending, are prefilled.
fn prefill_seconds(rates: &ServiceRates, engine: &EngineEstimate, tokens: f64, chunk: f64) -> f64 {
    let pending = engine.pending_prefill_tokens + tokens;
    let iterations = (pending / chunk).ceil().max(1.0);
    let other = rates.iteration + engine.decoding * rates.decode_sequence;
    iterations * other + pending * rates.prefill_token
}

/// Time until the engine has room for one more sequence in its batch.
fn admission_seconds(rates: &ServiceRates, engine: &EngineEstimate, output_tokens: f64) -> f64 {
    if engine.free_sequences >= 1.0 {
        return 0.0;
    }
    let ahead = 1.0 - engine.free_sequences;
    let lifetime = output_tokens * iteration_seconds(rates, engine, engine.decoding);
    ahead * lifetime / engine.decoding.max(1.0)
}

/// A whole request at a mixed engine.
pub fn predict_mixed(
    rates: &ServiceRates,
    engine: &EngineEstimate,
    request: &RequestEstimate,
) -> Prediction {
    let wait = admission_seconds(rates, engine, request.output_tokens);
    let prefill_tokens = engine.tokens_to_prefill(request.prefill_tokens);
    let prefill = prefill_seconds(rates, engine, prefill_tokens, rates.mixed_chunk);
    let first_token = wait + prefill;
    let per_token = iteration_seconds(rates, engine, engine.decoding + 1.0);
    let added =
        prefill_tokens * rates.prefill_token + request.output_tokens * rates.decode_sequence;
    Prediction {
        first_token,
        whole: first_token + request.output_tokens * per_token,
        harm: added * engine.decoding + prefill_tokens * rates.prefill_token * engine.waiting,
    }
}

/// The prompt of a request at a prefill engine, the first token included.
pub fn predict_prefill(
    rates: &ServiceRates,
    engine: &EngineEstimate,
    request: &RequestEstimate,
) -> Prediction {
    let prefill_tokens = engine.tokens_to_prefill(request.prefill_tokens);
    let seconds = prefill_seconds(rates, engine, prefill_tokens, rates.prefill_chunk);
    let added = prefill_tokens * rates.prefill_token;
    Prediction {
        first_token: seconds,
        whole: seconds,
        harm: added * engine.waiting,
    }
}

/// The answer of a request at a decode engine, from a KV cache that must be moved there first.
pub fn predict_decode(
    rates: &ServiceRates,
    engine: &EngineEstimate,
    request: &RequestEstimate,
) -> Prediction {
    let transfer = request.prompt_tokens * rates.transfer_token;
    let wait = admission_seconds(rates, engine, request.output_tokens);
    let per_token = iteration_seconds(rates, engine, engine.decoding + 1.0);
    let first_token = transfer + wait + per_token;
    Prediction {
        first_token,
        whole: first_token + request.output_tokens * per_token,
        harm: request.output_tokens * rates.decode_sequence * engine.decoding,
    }
}
