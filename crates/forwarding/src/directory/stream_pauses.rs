//! The longest pause that a stream is expected to make between two events, learned from the streams that ended.
//!
//! Engines decode all their streams together, one token of each per step, and an event holds several tokens. A step
//! takes longer with more streams, and while the engine reads a prompt in pieces between the steps. The expected pause
//! is the product of two estimates:
//!
//! - what is common to the engines of a service: a linear cost model of the streams in progress and of the prompt
//!   tokens that are read beside them ([`ServicePauses`]);
//! - the factor of the single engine, since engines of one service differ in speed ([`EnginePauses`]).
//!
//! A long prompt stretches all steps of one event, and further tokens of it only stretch later events. The model
//! therefore divides the tokens into bands, each with its own weight.
//!
//! A stream is learned from with the greatest load that its engine had while it decoded, since the longest pause occurs
//! then. When a stream is placed, only the load at that time is known; by how much it usually grows is learned as well.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;

use super::tracked::smooth;
use crate::cost_model::{CostModel, Prior};
use crate::load_exchange::Load;

/// Longer pauses are impossible: no request is given more time than this.
pub const MAX_STREAM_PAUSE: Duration = Duration::from_secs(600);
/// Number of streams of a service that must have been observed before their pauses count in choices: the factors of the
/// first engines include the error of the common model, which is small after so many.
const MIN_OBSERVATIONS: u32 = 16;

/// Tokens per unit of the token features.
const TOKENS_UNIT: f64 = 1_000.0;
/// Upper ends of the bands of tokens, in units: within one piece of a prompt, within the pieces that are read during one
/// event, and beyond.
const TOKEN_BANDS: [f64; 3] = [1.0, 6.0, 24.0];
/// The number of features: a constant, the streams in progress, and the bands of tokens.
const FEATURES: usize = 2 + TOKEN_BANDS.len();
/// Seconds between two events of a stream that is alone at its engine, before anything was observed.
const FIXED_PRIOR: Prior = prior(0.06);
/// Seconds for each stream in progress.
const STREAM_PRIOR: Prior = prior(0.002);
/// Seconds for a unit of tokens in each band: about the time that a decode engine takes to read them.
const TOKENS_PRIORS: [Prior; 3] = [prior(0.05), prior(0.05), prior(0.005)];

/// Weight of the newest stream in an engine's factor, after the first few.
const FACTOR_WEIGHT: f64 = 0.1;
/// Number of observations that the assumption of a factor of 1 counts for.
const FACTOR_PRIOR_OBSERVATIONS: f64 = 1.0;
/// Time in which half of an engine's factor is forgotten. An engine that got no more streams because of a passing fault
/// would otherwise never be observed again.
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(60);
/// Bounds of the factor of an engine.
const FACTOR_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Weight of the newest stream in the usual growth of the activity.
const GROWTH_WEIGHT: f64 = 0.02;
/// More tokens hardly lengthen the pause of a stream, and must not dominate the mean.
const MAX_GROWTH_TOKENS: f64 = 6_000.0;
/// Number of earlier peaks of the load of an engine that are kept. Streams that began before the oldest are learned from
/// with a load that may be too low.
const MAX_PEAKS: usize = 16;

/// A weight of which only the order of magnitude is known.
const fn prior(weight: f64) -> Prior {
    Prior {
        weight,
        deviation: 2.0 * weight,
    }
}

/// What an engine does while a stream decodes there.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct EngineActivity {
    /// Streams in progress, including this one.
    pub(super) streams: f64,
    /// Tokens of other prompts that are read there meanwhile.
    pub(super) reading_tokens: f64,
}

impl EngineActivity {
    /// Returns the activity with this load, which includes the stream, at an engine with so many slots. Requests that
    /// wait for a slot are no streams yet.
    pub(super) fn of(load: Load, slots: u32) -> Self {
        Self {
            streams: f64::from(load.sends.min(slots)),
            reading_tokens: load.reading_tokens as f64,
        }
    }

    /// Returns the activity with more streams and more tokens to read.
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            streams: self.streams + other.streams,
            reading_tokens: self.reading_tokens + other.reading_tokens,
        }
    }

    fn features(&self) -> [f64; FEATURES] {
        let units = self.reading_tokens / TOKENS_UNIT;
        let mut features = [0.0; FEATURES];
        features[0] = 1.0;
        features[1] = self.streams;
        let mut band_start = 0.0;
        for (feature, band_end) in features[2..].iter_mut().zip(TOKEN_BANDS) {
            *feature = units.clamp(band_start, band_end) - band_start;
            band_start = band_end;
        }
        features
    }
}

/// The pauses of the streams of a service, at an engine of usual speed.
#[derive(Debug, Clone)]
pub(super) struct ServicePauses {
    model: CostModel<FEATURES>,
    /// By how much the activity of an engine usually exceeds that at the time when a stream was placed there.
    growth: EngineActivity,
    observations: u32,
}

impl Default for ServicePauses {
    fn default() -> Self {
        let [first, second, third] = TOKENS_PRIORS;
        Self {
            model: CostModel::new([FIXED_PRIOR, STREAM_PRIOR, first, second, third]),
            growth: EngineActivity::default(),
            observations: 0,
        }
    }
}

impl ServicePauses {
    /// Returns whether enough streams were observed.
    pub(super) fn is_known(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }

    /// Returns the expected longest pause in seconds of a stream at an engine; `None` if too few streams were observed.
    pub(super) fn expected_seconds(
        &self,
        now: Timestamp,
        engine: &EnginePauses,
        activity: EngineActivity,
    ) -> Option<f64> {
        let is_known = self.is_known();
        is_known.then(|| self.model.seconds(&activity.features()) * engine.factor(now))
    }

    /// Returns by how much the activity of an engine usually grows after a stream was placed there.
    pub(super) fn growth(&self) -> EngineActivity {
        self.growth
    }

    /// Learns from a stream that ended at the engine.
    pub(super) fn learn(&mut self, now: Timestamp, engine: &mut EnginePauses, stream: EndedStream) {
        let seconds = stream.pause.as_secs_f64();
        let activity = engine.activity_since(stream.read_at);
        self.learn_growth(stream.placed_beside, activity);
        let features = activity.features();
        self.model.learn(&features, seconds / engine.factor(now));
        self.observations = self.observations.saturating_add(1);
        engine.learn_factor(now, seconds, self.model.seconds(&features));
    }

    fn learn_growth(&mut self, before: EngineActivity, greatest: EngineActivity) {
        let streams = (greatest.streams - before.streams).max(0.0);
        let tokens = (greatest.reading_tokens - before.reading_tokens).max(0.0);
        let tokens = tokens.min(MAX_GROWTH_TOKENS);
        let growth = &mut self.growth;
        growth.streams = smooth(growth.streams, streams, GROWTH_WEIGHT);
        growth.reading_tokens = smooth(growth.reading_tokens, tokens, GROWTH_WEIGHT);
    }
}

/// A stream that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedStream {
    /// The activity of its engine when it was placed.
    pub(super) placed_beside: EngineActivity,
    /// When its prompt was read.
    pub(super) read_at: Timestamp,
    /// Its longest pause.
    pub(super) pause: Duration,
}

/// What is known of the pauses at one engine.
#[derive(Debug, Default)]
pub(super) struct EnginePauses {
    /// The natural logarithm of the factor when it was learned.
    log_factor: f64,
    learned_at: Timestamp,
    observations: u32,
    streams: Peaks,
    reading_tokens: Peaks,
}

impl EnginePauses {
    /// Returns how much longer pauses are at this engine than at others of its service.
    fn factor(&self, now: Timestamp) -> f64 {
        self.log_factor_at(now).exp()
    }

    fn log_factor_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.learned_at).as_secs_f64();
        self.log_factor * 0.5_f64.powf(age / FACTOR_HALF_LIFE.as_secs_f64())
    }

    /// Records the load of the engine from now on.
    pub(super) fn record_load(&mut self, now: Timestamp, load: Load, slots: u32) {
        self.streams.record(now, u64::from(load.sends.min(slots)));
        self.reading_tokens.record(now, load.reading_tokens);
    }

    /// Returns the greatest activity of the engine since then.
    fn activity_since(&self, since: Timestamp) -> EngineActivity {
        EngineActivity {
            streams: self.streams.max_since(since) as f64,
            reading_tokens: self.reading_tokens.max_since(since) as f64,
        }
    }

    fn learn_factor(&mut self, now: Timestamp, seconds: f64, expected_seconds: f64) {
        if seconds <= 0.0 || expected_seconds <= 0.0 {
            return;
        }
        let (least, most) = FACTOR_BOUNDS;
        let observed = (seconds / expected_seconds).clamp(least, most).ln();
        self.observations = self.observations.saturating_add(1);
        let all = f64::from(self.observations) + FACTOR_PRIOR_OBSERVATIONS;
        let weight = (1.0 / all).max(FACTOR_WEIGHT);
        self.log_factor = smooth(self.log_factor_at(now), observed, weight);
        self.learned_at = now;
    }
}

/// A value that changes over time, with its latest peaks.
#[derive(Debug, Default)]
struct Peaks {
    current: u64,
    /// Earlier values with the times at which they ended. Later ones are lower: a value is dropped as soon as one that
    /// is as high has ended after it.
    earlier: VecDeque<(Timestamp, u64)>,
}

impl Peaks {
    fn record(&mut self, now: Timestamp, value: u64) {
        let ended = std::mem::replace(&mut self.current, value);
        if ended == value {
            return;
        }
        while self.earlier.back().is_some_and(|(_, peak)| *peak <= ended) {
            self.earlier.pop_back();
        }
        if self.earlier.len() >= MAX_PEAKS {
            self.earlier.pop_front();
        }
        self.earlier.push_back((now, ended));
    }

    /// Returns the greatest value since then.
    fn max_since(&self, since: Timestamp) -> u64 {
        let mut earlier = self.earlier.iter();
        let highest = earlier.find(|(ended_at, _)| *ended_at > since);
        highest.map_or(self.current, |(_, peak)| self.current.max(*peak))
    }
}
