//! How fast a service's engines read prompts, learnt from readings that had an engine to themselves.

use std::time::Duration;

/// Tokens a second assumed before anything was learnt.
const INITIAL_RATE: f64 = 40_000.0;
/// Weight of the newest reading.
const WEIGHT: f64 = 0.15;
/// Readings shorter than this say more of the fixed costs than of the rate.
const MIN_TOKENS: u64 = 1_500;
/// Rates outside these bounds come from beliefs that are wrong, not from engines.
const BOUNDS: std::ops::RangeInclusive<f64> = 2_000.0..=400_000.0;
/// Engines that decode read at this part of the pace.
const WHILE_DECODING: f64 = 0.5;

/// The rate of a service's engines that only read.
#[derive(Debug, Clone, Copy)]
pub struct ReadingRate(f64);

impl Default for ReadingRate {
    fn default() -> Self {
        Self(INITIAL_RATE)
    }
}

impl ReadingRate {
    /// A reading of `tokens` took this long.
    pub fn record(&mut self, tokens: u64, took: Duration) {
        let rate = tokens as f64 / took.as_secs_f64().max(1e-6);
        if tokens >= MIN_TOKENS && BOUNDS.contains(&rate) {
            self.0 += (rate - self.0) * WEIGHT;
        }
    }

    /// Seconds to read `tokens` on an engine that only reads.
    pub fn apart(&self, tokens: u64) -> f64 {
        tokens as f64 / self.0
    }

    /// Seconds to read `tokens` on an engine that decodes.
    pub fn while_decoding(&self, tokens: u64) -> f64 {
        tokens as f64 / (self.0 * WHILE_DECODING)
    }
}
