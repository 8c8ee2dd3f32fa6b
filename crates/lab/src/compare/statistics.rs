//! Means and ranges over seeds.

use serde::Serialize;

use super::SeedOutcomes;
use crate::emulator::Outcome;

/// Mean, minimum and maximum over seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    fn from_values(values: &[f64]) -> Self {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let min = values.iter().copied().fold(f64::INFINITY, f64::min);
        let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Self { mean, min, max }
    }
}

/// Results of one strategy over all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct StrategySummary {
    /// Name of the strategy.
    #[serde(skip)]
    pub name: String,
    /// Requests that met their deadlines, as a fraction of those offered.
    pub goodput: Spread,
    /// Ratio of the goodput to the clairvoyant's goodput on the same seed.
    pub goodput_ratio_to_clairvoyant: Spread,
    /// Role changes.
    pub role_changes: Spread,
    /// Requests rejected as not run.
    pub rejected: Spread,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub p95_ttft_ms: Spread,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub p95_inter_token_ms: Spread,
}

/// Summarises all strategies, in the order of the outcomes.
pub fn summarise(outcomes: &[SeedOutcomes]) -> Vec<StrategySummary> {
    let count = outcomes.first().map_or(0, |seed| seed.strategies.len());
    (0..count)
        .map(|index| summarise_one(outcomes, index))
        .collect()
}

fn summarise_one(outcomes: &[SeedOutcomes], index: usize) -> StrategySummary {
    let spread = |value: &dyn Fn(&SeedOutcomes, &Outcome) -> f64| {
        let values: Vec<f64> = outcomes
            .iter()
            .map(|seed| value(seed, &seed.strategies[index].1))
            .collect();
        Spread::from_values(&values)
    };
    let clairvoyant_goodput =
        |seed: &SeedOutcomes| seed.strategies.last().map_or(1.0, |last| last.1.goodput());
    let millis = |micros: u64| micros as f64 / 1_000.0;
    StrategySummary {
        name: outcomes[0].strategies[index].0.clone(),
        goodput: spread(&|_, outcome| outcome.goodput()),
        goodput_ratio_to_clairvoyant: spread(&|seed, outcome| {
            outcome.goodput() / clairvoyant_goodput(seed)
        }),
        role_changes: spread(&|_, outcome| outcome.role_changes as f64),
        rejected: spread(&|_, outcome| outcome.rejected as f64),
        p95_ttft_ms: spread(&|_, outcome| millis(outcome.first_token.value_at_quantile(0.95))),
        p95_inter_token_ms: spread(&|_, outcome| {
            millis(outcome.inter_token.value_at_quantile(0.95))
        }),
    }
}
