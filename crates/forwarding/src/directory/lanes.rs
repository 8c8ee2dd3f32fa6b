//! Lanes of the engines that only read prompts. An engine reads one prompt after the other, so that
//! a short one behind a long one waits many times its own length, and reports of other gateways'
//! long prompts come too late to avoid that. So some engines are preferred for short prompts and
//! the others for long ones, in proportion to the reading that each kind asks for:
//!
//! 1. the tokens to read of both kinds are kept as sums that decay by half in [`HALF_LIFE`];
//! 2. engines are ranked by a hash of their key, and the first ones, as many as the share of short
//!    prompts demands, form the lane of short prompts;
//! 3. an engine of the other lane costs a prompt some seconds more, so that either lane helps out
//!    when the other is much fuller.

use std::time::Duration;

use tansyhall_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::load_exchange::WorkerKey;

/// Prompts shorter than this are short.
pub(super) const SHORT_TOKENS: u64 = 1_000;
/// Time in which what was asked for counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Tokens that a reading costs beside its own.
const READING_OVERHEAD: u64 = 300;
/// With fewer engines there are no lanes.
const MIN_ENGINES: usize = 4;
/// Seconds that the other lane costs a short prompt.
const SHORT_DETOUR: f64 = 0.040;
/// Seconds that the other lane costs a long prompt.
const LONG_DETOUR: f64 = 0.200;

/// How much reading short and long prompts ask for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReadingMix {
    short: f64,
    long: f64,
    at: Timestamp,
}

impl ReadingMix {
    /// A prompt of `prompt_tokens` is to be read, of which `missing_tokens` are in no cache.
    pub(super) fn record(&mut self, now: Timestamp, prompt_tokens: u64, missing_tokens: u64) {
        let age = now.since(self.at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.at = now;
        self.short *= factor;
        self.long *= factor;
        let tokens = (missing_tokens + READING_OVERHEAD) as f64;
        match prompt_tokens < SHORT_TOKENS {
            true => self.short += tokens,
            false => self.long += tokens,
        }
    }

    /// How many of so many engines are for short prompts.
    fn short_engines(&self, engines: usize) -> usize {
        if engines < MIN_ENGINES || self.short <= 0.0 || self.long <= 0.0 {
            return 0;
        }
        let share = self.short / (self.short + self.long);
        let engines_for_short = (engines as f64 * share).round() as usize;
        engines_for_short.clamp(1, engines - 1)
    }
}

/// The engines that are preferred for short prompts.
#[derive(Debug, Default)]
pub(super) struct ShortLane(Vec<WorkerKey>);

impl ShortLane {
    /// The lane of the engines that only read.
    pub(super) fn of(mix: ReadingMix, readers: impl Iterator<Item = WorkerKey>) -> Self {
        let mut keys: Vec<WorkerKey> = readers.collect();
        keys.sort_by_key(|key| xxh3_64(&key.0.to_le_bytes()));
        keys.truncate(mix.short_engines(keys.len()));
        Self(keys)
    }

    /// Seconds that an engine which only reads costs more than one of the prompt's own lane.
    pub(super) fn detour_seconds(&self, engine: WorkerKey, prompt_tokens: u64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        match (self.0.contains(&engine), prompt_tokens < SHORT_TOKENS) {
            (true, true) | (false, false) => 0.0,
            (false, true) => SHORT_DETOUR,
            (true, false) => LONG_DETOUR,
        }
    }
}
