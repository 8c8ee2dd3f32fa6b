//! An HTML page with a plot per strategy: goodput over time on the first seed, with the request mix
//! and the role changes.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

use super::statistics::StrategySummary;
use super::SeedOutcomes;
use crate::emulator::{Outcome, TimePoint};
use crate::workload::Workload;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 260;
/// Window of the moving average that each curve shows.
const SMOOTHING_WINDOW_SECONDS: usize = 5;

/// Writes `index.html` and its plots to a directory.
pub fn write(
    directory: &Path,
    workload: &Workload,
    outcomes: &[SeedOutcomes],
    summaries: &[StrategySummary],
) -> Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\
         <style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}\
         td,th{{padding:0.2em 0.8em;text-align:right}}</style><h1>{0}</h1>",
        workload.name
    );
    write_table(&mut page, summaries)?;
    let first = outcomes.first().ok_or_else(|| anyhow!("no seed was run"))?;
    for (name, outcome) in &first.strategies {
        let file = format!("{name}.svg");
        plot(&directory.join(&file), name, outcome)?;
        writeln!(
            page,
            "<h2>{name}</h2><img src=\"{file}\" alt=\"goodput of {name} over time\">"
        )?;
    }
    std::fs::write(directory.join("index.html"), page)?;
    Ok(())
}

fn write_table(page: &mut String, summaries: &[StrategySummary]) -> Result<()> {
    page.push_str(
        "<table><tr><th>strategy<th>goodput<th>to clairvoyant<th>role changes<th>rejected\
         <th>p95 first token ms<th>p95 inter-token ms</tr>",
    );
    for summary in summaries {
        writeln!(
            page,
            "<tr><td>{}<td>{:.3}<td>{:.3}<td>{:.1}<td>{:.0}<td>{:.0}<td>{:.1}</tr>",
            summary.name,
            summary.goodput.mean,
            summary.goodput_ratio_to_clairvoyant.mean,
            summary.role_changes.mean,
            summary.rejected.mean,
            summary.p95_ttft_ms.mean,
            summary.p95_inter_token_ms.mean,
        )?;
    }
    page.push_str(
        "</table><p>Blue: requests that met their deadlines, as a fraction of those that \
                   arrived. Grey: prompt tokens, as a fraction of all tokens. Red: role changes.</p>",
    );
    Ok(())
}

fn moving_average(timeline: &[TimePoint], value: impl Fn(&[TimePoint]) -> f64) -> Vec<(f64, f64)> {
    let windows = timeline
        .windows(SMOOTHING_WINDOW_SECONDS.min(timeline.len()).max(1))
        .enumerate();
    windows
        .map(|(second, window)| (second as f64, value(window)))
        .collect()
}

fn goodput(window: &[TimePoint]) -> f64 {
    let met: u32 = window.iter().map(|point| point.met).sum();
    let offered: u32 = window.iter().map(|point| point.offered).sum();
    f64::from(met) / f64::from(offered.max(1))
}

fn prompt_token_ratio(window: &[TimePoint]) -> f64 {
    let prompt: u64 = window.iter().map(|point| point.prompt_tokens).sum();
    let output: u64 = window.iter().map(|point| point.output_tokens).sum();
    prompt as f64 / ((prompt + output) as f64).max(1.0)
}

fn plot(file: &Path, name: &str, outcome: &Outcome) -> Result<()> {
    let area = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
    let plot_error = |error: String| anyhow!("cannot plot {name}: {error}");
    area.fill(&WHITE)
        .map_err(|error| plot_error(error.to_string()))?;
    let seconds = outcome.timeline.len() as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..1.05)
        .map_err(|error| plot_error(error.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(|error| plot_error(error.to_string()))?;
    let mix = moving_average(&outcome.timeline, prompt_token_ratio);
    let grey = RGBColor(160, 160, 160);
    chart
        .draw_series(LineSeries::new(mix, &grey))
        .map_err(|error| plot_error(error.to_string()))?;
    let met = moving_average(&outcome.timeline, goodput);
    chart
        .draw_series(LineSeries::new(met, &BLUE))
        .map_err(|error| plot_error(error.to_string()))?;
    let changes = outcome
        .timeline
        .iter()
        .enumerate()
        .filter(|(_, point)| point.role_changes > 0);
    let marks = changes
        .map(|(second, _)| PathElement::new(vec![(second as f64, 0.0), (second as f64, 1.0)], RED));
    chart
        .draw_series(marks)
        .map_err(|error| plot_error(error.to_string()))?;
    area.present()
        .map_err(|error| plot_error(error.to_string()))
}
