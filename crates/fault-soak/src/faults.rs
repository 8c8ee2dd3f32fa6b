//! What goes wrong at workers, and how often.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Counts of faults that happened, by name.
pub type FaultCounts = BTreeMap<String, u64>;

/// What goes wrong with one answer of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Fault {
    /// The whole answer is sent again after a while.
    StutterLater,
    /// The whole answer is sent again in the place of a next one that is due.
    StutterInPlace,
    /// The beginning of the answer is sent again in the place of a next one that is due.
    StutterTorn,
    /// Bytes follow a whole answer.
    ExtraBytes,
    /// The answer ends early, and its connection ends in good order.
    CutShort,
    /// The answer ends early, its connection stays open, and the whole answer follows.
    CutThenWhole,
    /// The answer comes in pieces cut at any byte.
    Split,
    /// The answer comes slowly.
    Drip,
    /// The connection is reset in mid-answer.
    Reset,
    /// The connection is closed instead of an answer.
    Close,
    /// No answer comes.
    Hang,
    /// The whole answer has no length; it ends with its connection.
    NoLength,
    /// The whole answer has no length, and is sent again before its connection ends.
    NoLengthTwice,
    /// An answer without a length is reset in the middle.
    NoLengthReset,
    /// The worker says that it is full.
    Refuse,
    /// The worker runs the request and fails.
    Fail,
    /// The worker says that it is not the one that was meant.
    Misdirect,
    /// The worker says that a KV cache can't be had.
    HandleGone,
}

/// A part of an answer in which one fault at most happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aspect {
    /// What the worker says.
    Verdict,
    /// How its bytes arrive.
    Delivery,
    /// What follows later.
    Echo,
}

impl Fault {
    /// Those that are played unless more are asked for.
    pub const USUAL: [Self; 17] = [
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

    /// Those that gateways are known not to withstand; played on demand.
    pub const UNSOLVED: [Self; 1] = [Self::CutThenWhole];

    /// The usual ones, with the unsolved ones on demand.
    pub fn played(with_unsolved: bool) -> Vec<Self> {
        let mut played = Self::USUAL.to_vec();
        if with_unsolved {
            played.extend(Self::UNSOLVED);
        }
        played
    }

    /// The part of an answer that it touches.
    pub fn aspect(self) -> Aspect {
        match self {
            Self::StutterLater | Self::StutterInPlace => Aspect::Echo,
            Self::StutterTorn | Self::ExtraBytes => Aspect::Echo,
            Self::Refuse | Self::Fail | Self::Misdirect | Self::HandleGone => Aspect::Verdict,
            _ => Aspect::Delivery,
        }
    }

    /// The highest probability at which an answer has it; faults that hold callers up are rare.
    fn most(self) -> f64 {
        match self {
            Self::Hang => 0.02,
            Self::Drip | Self::Close => 0.1,
            Self::StutterLater | Self::StutterInPlace | Self::Split => 0.9,
            Self::StutterTorn => 0.5,
            _ => 0.25,
        }
    }
}

/// Which faults a worker has, each with its probability.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Mix(pub Vec<(Fault, f64)>);

/// The most faults of one mix.
const MAX_FAULTS: usize = 5;

impl Mix {
    /// Draws some of these faults.
    pub fn draw(faults: &[Fault], random: &mut ChaCha8Rng) -> Self {
        let count = random.random_range(1..=MAX_FAULTS);
        let chosen = faults.sample(random, count);
        let chosen: Vec<Fault> = chosen.copied().collect();
        let weighed = chosen
            .into_iter()
            .map(|fault| (fault, fault.most() * random.random_range(0.1..1.0)));
        Self(weighed.collect())
    }

    /// The same with a stutter.
    pub fn with_stutter(mut self, random: &mut ChaCha8Rng) -> Self {
        let stutters = [
            Fault::StutterLater,
            Fault::StutterInPlace,
            Fault::StutterTorn,
        ];
        let stutter = *stutters.choose(random).unwrap_or(&Fault::StutterInPlace);
        self.0.insert(0, (stutter, random.random_range(0.2..0.9)));
        self
    }

    /// The fault of one answer in this aspect.
    pub fn pick(&self, aspect: Aspect, random: &mut ChaCha8Rng) -> Option<Fault> {
        let faults = self.0.iter().filter(|(fault, _)| fault.aspect() == aspect);
        let mut faults = faults.copied();
        faults
            .find(|(_, probability)| random.random_bool(*probability))
            .map(|(fault, _)| fault)
    }
}
