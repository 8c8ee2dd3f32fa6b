//! Predicts the times of a request on one engine.
//!
//! An iteration of an engine takes a fixed time, a time for each decoding sequence, and a time for each
//! prompt token that is prefilled in it. With `D` decoding sequences and `u` prompt tokens arriving per
//! second, an iteration lasts `T = (base + D·decode) / (1 − u·prefill)`: the time that the engine spends on
//! the prompts of other requests delays every token that it generates.

use tansyhall_core::Duration;

use crate::estimate::EngineEstimate;

/// Maximum fraction of an engine's time that prefill is predicted to take; near one, the denominator of the
/// formula would approach zero.
const MAX_PREFILL_SHARE: f64 = 0.9;

/// Costs of an engine's iterations, configured or learned from observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRates {
    /// Fixed cost of an iteration, in seconds.
    pub iteration: f64,
    /// Cost of prefilling one token, in seconds.
    pub prefill_token: f64,
    /// Cost of one decoding sequence in an iteration, in seconds.
    pub decode_sequence: f64,
    /// Number of prompt tokens prefilled in one iteration of a mixed engine.
    pub mixed_chunk: f64,
    /// Number of prompt tokens prefilled in one iteration of a prefill engine.
    pub prefill_chunk: f64,
    /// Cost of moving the KV cache of one token between engines, in seconds.
    pub transfer_token: f64,
}

/// The work that a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestEstimate {
    /// Number of tokens to prefill if no part of the prompt is cached.
    pub prefill_tokens: f64,
    /// Number of tokens in the whole prompt.
    pub prompt_tokens: f64,
    /// Expected number of tokens in the answer.
    pub output_tokens: f64,
}

/// Predicted times of one request on one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Time until the first token, in seconds.
    pub first_token: f64,
    /// Time until the last token, in seconds.
    pub last_token: f64,
    /// Delay of the requests that are already on the engine, summed over them, in seconds.
    pub harm: f64,
}

impl Prediction {
    /// Returns the time until the last token as a duration.
    pub fn last_token_duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.last_token).unwrap_or(Duration::MAX)
    }
}

/// Returns the duration of an iteration with `decoding` sequences and the engine's prefill load.
fn iteration_seconds(rates: &ServiceRates, engine: &EngineEstimate, decoding: f64) -> f64 {
    let prefill_share = (engine.prefill_rate * rates.prefill_token).min(MAX_PREFILL_SHARE);
    (rates.iteration + decoding * rates.decode_sequence) / (1.0 - prefill_share)
}

/// Returns the time until `tokens` additional prompt tokens and those already pending are prefilled.
fn prefill_seconds(rates: &ServiceRates, engine: &EngineEstimate, tokens: f64, chunk: f64) -> f64 {
    let pending = engine.pending_prefill_tokens + tokens;
    let iterations = (pending / chunk).ceil().max(1.0);
    let iteration_without_prefill = rates.iteration + engine.decoding * rates.decode_sequence;
    iterations * iteration_without_prefill + pending * rates.prefill_token
}

/// Returns the time until the engine has a free slot for another sequence in its batch.
fn admission_seconds(rates: &ServiceRates, engine: &EngineEstimate, output_tokens: f64) -> f64 {
    if engine.free_sequences >= 1.0 {
        return 0.0;
    }
    let queued_ahead = 1.0 - engine.free_sequences;
    let sequence_seconds = output_tokens * iteration_seconds(rates, engine, engine.decoding);
    queued_ahead * sequence_seconds / engine.decoding.max(1.0)
}

/// Predicts the times of a request that a mixed engine serves alone.
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
    let added_seconds =
        prefill_tokens * rates.prefill_token + request.output_tokens * rates.decode_sequence;
    Prediction {
        first_token,
        last_token: first_token + request.output_tokens * per_token,
        harm: added_seconds * engine.decoding
            + prefill_tokens * rates.prefill_token * engine.waiting,
    }
}

/// Predicts the time of a request's prompt on a prefill engine, including the first token.
pub fn predict_prefill(
    rates: &ServiceRates,
    engine: &EngineEstimate,
    request: &RequestEstimate,
) -> Prediction {
    let prefill_tokens = engine.tokens_to_prefill(request.prefill_tokens);
    let seconds = prefill_seconds(rates, engine, prefill_tokens, rates.prefill_chunk);
    let added_seconds = prefill_tokens * rates.prefill_token;
    Prediction {
        first_token: seconds,
        last_token: seconds,
        harm: added_seconds * engine.waiting,
    }
}

/// Predicts the time of a request's answer on a decode engine, including the transfer of the KV cache to it.
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
        last_token: first_token + request.output_tokens * per_token,
        harm: request.output_tokens * rates.decode_sequence * engine.decoding,
    }
}
