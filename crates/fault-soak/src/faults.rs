//! The faults that workers inject, and their probabilities.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Number of injected faults, by name.
pub type FaultCounts = BTreeMap<String, u64>;

/// A fault of one answer of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Fault {
    /// The complete answer is sent a second time after a delay.
    StutterLater,
    /// The complete answer is sent a second time in the place of a later answer.
    StutterInPlace,
    /// The beginning of the answer is sent a second time in the place of a later answer.
    StutterTorn,
    /// Further bytes follow a complete answer.
    ExtraBytes,
    /// The answer is truncated, and the connection is closed gracefully.
    CutShort,
    /// The answer is truncated, the connection stays open, and the complete answer follows.
    CutThenWhole,
    /// The answer is sent in pieces that are cut at arbitrary bytes.
    Split,
    /// The answer is sent slowly.
    Drip,
    /// The connection is reset in the middle of the answer.
    Reset,
    /// The connection is closed without an answer.
    Close,
    /// The worker does not answer.
    Hang,
    /// The complete answer has no length; the end of the connection marks its end.
    NoLength,
    /// The complete answer has no length, and is sent a second time before the connection ends.
    NoLengthTwice,
    /// The answer has no length, and the connection is reset in the middle of it.
    NoLengthReset,
    /// The worker refuses the request because it is overloaded.
    Refuse,
    /// The worker executes the request and fails.
    Fail,
    /// The worker answers that the request was meant for another worker.
    Misdirect,
    /// The worker answers that a KV cache is not available.
    HandleGone,
}

/// An aspect of an answer. An answer has at most one fault in each aspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aspect {
    /// What the worker answers, for example a refusal or a failure.
    Decision,
    /// How the bytes of the answer are sent.
    Delivery,
    /// What is sent after the answer.
    Trailing,
}

impl Fault {
    /// Faults that are injected by default.
    pub const DEFAULT: [Self; 17] = [
        Self::StutterLater,
        Self::StutterInPlace,
        Self::StutterTorn,
        Self::ExtraBytes,
        Self::CutShort,
        Self::Split,
        Self::Drip,
        Self::Reset,
        Self::Close,
        Self::Hang,
        Self::NoLength,
        Self::NoLengthTwice,
        Self::NoLengthReset,
        Self::Refuse,
        Self::Fail,
        Self::Misdirect,
        Self::HandleGone,
    ];

    /// Faults that gateways are known not to handle. They are injected only on request.
    pub const UNSOLVED: [Self; 1] = [Self::CutThenWhole];

    /// Returns the default faults, and the unsolved ones if requested.
    pub fn enabled(with_unsolved: bool) -> Vec<Self> {
        let mut enabled = Self::DEFAULT.to_vec();
        if with_unsolved {
            enabled.extend(Self::UNSOLVED);
        }
        enabled
    }

    /// Returns the aspect of an answer that the fault affects.
    pub fn aspect(self) -> Aspect {
        match self {
            Self::StutterLater | Self::StutterInPlace => Aspect::Trailing,
            Self::StutterTorn | Self::ExtraBytes => Aspect::Trailing,
            Self::Refuse | Self::Fail | Self::Misdirect | Self::HandleGone => Aspect::Decision,
            _ => Aspect::Delivery,
        }
    }

    /// Returns whether the gateway cannot receive the whole answer as the worker's answer.
    pub fn breaks_answer(self) -> bool {
        matches!(
            self,
            Self::CutShort
                | Self::CutThenWhole
                | Self::Reset
                | Self::Close
                | Self::Hang
                | Self::NoLengthTwice
                | Self::NoLengthReset
        )
    }

    /// Returns the maximum probability of the fault. Faults that delay callers are rare.
    fn max_probability(self) -> f64 {
        match self {
            Self::Hang => 0.02,
            Self::Drip | Self::Close => 0.1,
            Self::StutterLater | Self::StutterInPlace | Self::Split => 0.9,
            Self::StutterTorn => 0.5,
            _ => 0.25,
        }
    }
}

/// The faults of a worker, each with its probability.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct FaultMix(pub Vec<(Fault, f64)>);

/// Maximum number of faults drawn for one mix.
const MAX_FAULTS: usize = 5;

impl FaultMix {
    /// Draws a selection of these faults with random probabilities.
    pub fn draw(faults: &[Fault], random: &mut ChaCha8Rng) -> Self {
        let count = random.random_range(1..=MAX_FAULTS);
        let chosen = faults.sample(random, count);
        let chosen: Vec<Fault> = chosen.copied().collect();
        let weighted = chosen.into_iter().map(|fault| {
            (
                fault,
                fault.max_probability() * random.random_range(0.1..1.0),
            )
        });
        Self(weighted.collect())
    }

    /// Adds a randomly drawn fault that repeats answers.
    pub fn with_repeated_answers(mut self, random: &mut ChaCha8Rng) -> Self {
        let repeating_faults = [
            Fault::StutterLater,
            Fault::StutterInPlace,
            Fault::StutterTorn,
        ];
        let repeating_fault = *repeating_faults
            .choose(random)
            .unwrap_or(&Fault::StutterInPlace);
        self.0
            .insert(0, (repeating_fault, random.random_range(0.2..0.9)));
        self
    }

    /// Draws the fault of one answer in this aspect, if any.
    pub fn pick(&self, aspect: Aspect, random: &mut ChaCha8Rng) -> Option<Fault> {
        let faults = self.0.iter().filter(|(fault, _)| fault.aspect() == aspect);
        let mut faults = faults.copied();
        faults
            .find(|(_, probability)| random.random_bool(*probability))
            .map(|(fault, _)| fault)
    }
}
