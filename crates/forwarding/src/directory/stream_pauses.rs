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
//! then.

use std::collections::VecDeque;
use std::time::Duration;

use tansyhall_core::Timestamp;

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
/// Bounds of the factor of an engine.
const FACTOR_BOUNDS: (f64, f64) = (0.2, 5.0);
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct EngineActivity {
    /// Streams in progress, including this one.
    pub(super) streams: u32,
    /// Tokens of other prompts that are read there meanwhile.
    pub(super) reading_tokens: u64,
}

impl EngineActivity {
    fn features(&self) -> [f64; FEATURES] {
        let units = self.reading_tokens as f64 / TOKENS_UNIT;
        let mut features = [0.0; FEATURES];
        features[0] = 1.0;
        features[1] = f64::from(self.streams);
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
    observations: u32,
}

impl Default for ServicePauses {
    fn default() -> Self {
        let [first, second, third] = TOKENS_PRIORS;
        Self {
            model: CostModel::new([FIXED_PRIOR, STREAM_PRIOR, first, second, third]),
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
        engine: &EnginePauses,
        activity: EngineActivity,
    ) -> Option<f64> {
        let is_known = self.is_known();
        is_known.then(|| self.model.seconds(&activity.features()) * engine.factor())
    }

    /// Learns that the longest pause of a stream was `pause`, which decoded at the engine from `since` on.
    pub(super) fn learn(&mut self, engine: &mut EnginePauses, since: Timestamp, pause: Duration) {
        let seconds = pause.as_secs_f64();
        let features = engine.activity_since(since).features();
        self.model.learn(&features, seconds / engine.factor());
        self.observations = self.observations.saturating_add(1);
        engine.learn_factor(seconds, self.model.seconds(&features));
    }
}

/// What is known of the pauses at one engine.
#[derive(Debug, Default)]
pub(super) struct EnginePauses {
    /// The natural logarithm of the factor.
    log_factor: f64,
    observations: u32,
    streams: Peaks,
    reading_tokens: Peaks,
}

impl EnginePauses {
    /// Returns how much longer pauses are at this engine than at others of its service.
    fn factor(&self) -> f64 {
        self.log_factor.exp()
    }

    /// Records the load of the engine from now on.
    pub(super) fn record_load(&mut self, now: Timestamp, load: Load) {
        self.streams.record(now, u64::from(load.sends));
        self.reading_tokens.record(now, load.reading_tokens);
    }

    /// Returns the greatest activity of the engine since then.
    fn activity_since(&self, since: Timestamp) -> EngineActivity {
        let streams = self.streams.max_since(since);
        EngineActivity {
            streams: u32::try_from(streams).unwrap_or(u32::MAX),
            reading_tokens: self.reading_tokens.max_since(since),
        }
    }

    fn learn_factor(&mut self, seconds: f64, expected_seconds: f64) {
        if seconds <= 0.0 || expected_seconds <= 0.0 {
            return;
        }
        let (least, most) = FACTOR_BOUNDS;
        let observed = (seconds / expected_seconds).clamp(least, most).ln();
        self.observations = self.observations.saturating_add(1);
        let all = f64::from(self.observations) + FACTOR_PRIOR_OBSERVATIONS;
        let weight = (1.0 / all).max(FACTOR_WEIGHT);
        self.log_factor += (observed - self.log_factor) * weight;
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
        self.earlier.push_back((now, ended));
        if self.earlier.len() > MAX_PEAKS {
            self.earlier.pop_front();
        }
    }

    /// Returns the greatest value since then.
    fn max_since(&self, since: Timestamp) -> u64 {
        let mut earlier = self.earlier.iter();
        let highest = earlier.find(|(ended_at, _)| *ended_at > since);
        highest.map_or(self.current, |(_, peak)| self.current.max(*peak))
    }
}
