//! Comparison of the figures of a real run and of an emulated run.

use std::fmt;

use serde::Serialize;
use tansyhall_load::Summary;

use crate::emulator::Outcome;

/// Maximum deviation of a ratio from 1 for the emulator to agree with the real run.
const MAX_RATIO_DEVIATION: f64 = 0.10;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Results of one run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Figures {
    /// Requests that arrived.
    pub requests: u64,
    /// Fraction of requests that met their deadlines.
    pub goodput: f64,
    /// Requests answered `not-run`.
    pub rejected: u64,
    /// Median time to the first token, in milliseconds.
    pub p50_first_token_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub p95_first_token_ms: f64,
    /// Median time to the last token, in milliseconds.
    pub p50_whole_ms: f64,
    /// 95th percentile of the time to the last token, in milliseconds.
    pub p95_whole_ms: f64,
}

impl Figures {
    /// Returns the figures of a load that was run in real time.
    pub fn from_load_summary(summary: &Summary) -> Self {
        Self {
            requests: summary.requests,
            goodput: summary.in_deadline as f64 / summary.requests.max(1) as f64,
            rejected: summary.not_run,
            p50_first_token_ms: summary.p50_first_token_ms as f64,
            p95_first_token_ms: summary.p95_first_token_ms as f64,
            p50_whole_ms: summary.p50_whole_ms as f64,
            p95_whole_ms: summary.p95_whole_ms as f64,
        }
    }

    /// Returns the figures of an emulated run.
    pub fn from_emulation(outcome: &Outcome) -> Self {
        let first_token =
            |quantile| outcome.first_token.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        let whole = |quantile| outcome.whole.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            requests: outcome.offered,
            goodput: outcome.goodput(),
            rejected: outcome.rejected,
            p50_first_token_ms: first_token(0.50),
            p95_first_token_ms: first_token(0.95),
            p50_whole_ms: whole(0.50),
            p95_whole_ms: whole(0.95),
        }
    }
}

/// Ratios of the real figures to the emulated figures.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Ratios {
    /// Ratio of the goodputs.
    pub goodput: f64,
    /// Ratio of the median times to the first token.
    pub p50_first_token: f64,
    /// Ratio of the 95th percentiles of the times to the first token.
    pub p95_first_token: f64,
    /// Ratio of the median times to the last token.
    pub p50_whole: f64,
    /// Ratio of the 95th percentiles of the times to the last token.
    pub p95_whole: f64,
}

/// Figures of both runs and their ratios.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Agreement {
    /// The run in real time.
    pub real: Figures,
    /// The run in virtual time.
    pub emulated: Figures,
    /// Ratios of the real figures to the emulated figures.
    pub ratios: Ratios,
    /// Whether every ratio is between 0.9 and 1.1.
    pub within_tolerance: bool,
}

impl Agreement {
    /// Compares a real and an emulated run of the same trace.
    pub fn new(real: Figures, emulated: Figures) -> Self {
        let ratios = Ratios {
            goodput: real.goodput / emulated.goodput,
            p50_first_token: real.p50_first_token_ms / emulated.p50_first_token_ms,
            p95_first_token: real.p95_first_token_ms / emulated.p95_first_token_ms,
            p50_whole: real.p50_whole_ms / emulated.p50_whole_ms,
            p95_whole: real.p95_whole_ms / emulated.p95_whole_ms,
        };
        let all = [
            ratios.goodput,
            ratios.p50_first_token,
            ratios.p95_first_token,
            ratios.p50_whole,
            ratios.p95_whole,
        ];
        Self {
            real,
            emulated,
            ratios,
            within_tolerance: all
                .iter()
                .all(|ratio| (ratio - 1.0).abs() <= MAX_RATIO_DEVIATION),
        }
    }
}

impl fmt::Display for Agreement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            real,
            emulated,
            ratios,
            ..
        } = self;
        let rows = [
            ("goodput", real.goodput, emulated.goodput, ratios.goodput),
            (
                "first token, median ms",
                real.p50_first_token_ms,
                emulated.p50_first_token_ms,
                ratios.p50_first_token,
            ),
            (
                "first token, 95th ms",
                real.p95_first_token_ms,
                emulated.p95_first_token_ms,
                ratios.p95_first_token,
            ),
            (
                "whole, median ms",
                real.p50_whole_ms,
                emulated.p50_whole_ms,
                ratios.p50_whole,
            ),
            (
                "whole, 95th ms",
                real.p95_whole_ms,
                emulated.p95_whole_ms,
                ratios.p95_whole,
            ),
        ];
        writeln!(
            f,
            "{:<24}{:>10}{:>10}{:>8}",
            "", "real", "emulated", "ratio"
        )?;
        for (name, real, emulated, ratio) in rows {
            writeln!(f, "{name:<24}{real:>10.3}{emulated:>10.3}{ratio:>8.3}")?;
        }
        let agrees = if self.within_tolerance { "yes" } else { "no" };
        write!(f, "every ratio within 10 %: {agrees}")
    }
}
