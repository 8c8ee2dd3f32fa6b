//! Prints the comparison as a text table or as JSON.

use std::collections::BTreeMap;

use anyhow::Result;
use comfy_table::{presets, Table};
use serde::Serialize;

use super::options::Options;
use super::statistics::{Spread, StrategySummary};
use super::{find, STATIC_STRATEGIES};
use crate::workload::Workload;

#[derive(Serialize)]
struct Document<'a> {
    workload: &'a str,
    seeds: u64,
    first_seed: u64,
    faults: bool,
    ratio_to_best_static: f64,
    ratio_to_reactive: f64,
    strategies: BTreeMap<&'a str, &'a StrategySummary>,
}

/// Ratio of the system's mean goodput to that of the best strategy that never changes roles.
fn ratio_to_best_static(summaries: &[StrategySummary]) -> f64 {
    let goodput = |name: &str| find(summaries, name).map_or(0.0, |summary| summary.goodput.mean);
    let best = STATIC_STRATEGIES
        .into_iter()
        .map(goodput)
        .fold(0.0, f64::max);
    goodput("tansyhall") / best
}

fn ratio_to_reactive(summaries: &[StrategySummary]) -> f64 {
    let goodput = |name: &str| find(summaries, name).map_or(0.0, |summary| summary.goodput.mean);
    goodput("tansyhall") / goodput("reactive")
}

/// Formats the comparison as one JSON object.
pub fn json(
    workload: &Workload,
    options: &Options,
    summaries: &[StrategySummary],
) -> Result<String> {
    let strategies = summaries
        .iter()
        .map(|summary| (summary.name.as_str(), summary))
        .collect();
    let document = Document {
        workload: &workload.name,
        seeds: options.seeds,
        first_seed: options.first_seed,
        faults: options.faults,
        ratio_to_best_static: ratio_to_best_static(summaries),
        ratio_to_reactive: ratio_to_reactive(summaries),
        strategies,
    };
    Ok(serde_json::to_string(&document)?)
}

/// Formats the comparison as a table of means, minima and maxima.
pub fn text(workload: &Workload, options: &Options, summaries: &[StrategySummary]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header([
        "strategy",
        "goodput",
        "to clairvoyant",
        "role changes",
        "rejected",
        "p95 first token ms",
        "p95 inter-token ms",
    ]);
    for summary in summaries {
        let spread = |spread: &Spread, digits: usize| {
            let Spread { mean, min, max } = spread;
            format!("{mean:.digits$} [{min:.digits$}, {max:.digits$}]")
        };
        table.add_row([
            summary.name.clone(),
            spread(&summary.goodput, 3),
            spread(&summary.goodput_ratio_to_clairvoyant, 3),
            spread(&summary.role_changes, 1),
            spread(&summary.rejected, 0),
            spread(&summary.p95_ttft_ms, 0),
            spread(&summary.p95_inter_token_ms, 1),
        ]);
    }
    let faults = if options.faults { ", under faults" } else { "" };
    format!(
        "{}: {} seeds from {}{faults}\n{table}\nto the best static strategy: {:.2}, \
         to the reactive planner: {:.2}",
        workload.name,
        options.seeds,
        options.first_seed,
        ratio_to_best_static(summaries),
        ratio_to_reactive(summaries),
    )
}
