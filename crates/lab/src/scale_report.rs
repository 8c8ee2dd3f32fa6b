//! Scale runs of several sizes: a line fitted to each figure, and a page with plots.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;
use serde::Serialize;
use tansyhall_scale::{PerNode, ScaleReport};

const WIDTH: u32 = 640;
const HEIGHT: u32 = 320;
const MARK_RADIUS: u32 = 4;

/// A figure of a run, as a function of the number of nodes.
struct Figure {
    name: &'static str,
    value: fn(&ScaleReport) -> Option<f64>,
}

const FIGURES: [Figure; 12] = [
    figure("control_bytes_per_s", |it| mean(it.control_bytes_per_s)),
    figure("peer_bytes_per_s", |it| mean(it.peer_bytes_per_s)),
    figure("platform_bytes_per_s", |it| mean(it.platform_bytes_per_s)),
    figure("engine_bytes_per_s", |it| Some(it.engine_bytes_per_s)),
    figure("engine_calls_per_s", |it| Some(it.engine_calls_per_s)),
    figure("control_cpu_percent", |it| mean(it.control_cpu_percent)),
    figure("member_cpu_percent", |it| mean(it.member_cpu_percent)),
    figure("memory_mb", |it| Some(it.memory_mb)),
    figure("store_ops_per_s", |it| Some(it.store_ops_per_s)),
    figure("config_in_force_ms", |it| max(it.config_in_force_ms)),
    figure("detect_ms", |it| max(it.detect_ms)),
    figure("takeover_ms", |it| max(it.takeover_ms)),
];

const fn figure(name: &'static str, value: fn(&ScaleReport) -> Option<f64>) -> Figure {
    Figure { name, value }
}

fn mean(figure: Option<PerNode>) -> Option<f64> {
    figure.map(|it| it.mean)
}

fn max(figure: Option<PerNode>) -> Option<f64> {
    figure.map(|it| it.max)
}

/// A straight line through points, by least squares.
#[derive(Debug, Clone, Copy, Serialize)]
struct Fit {
    /// Growth of the figure with each node.
    slope: f64,
    /// The figure at no node.
    intercept: f64,
    /// Share of the variance that the line explains.
    r_squared: f64,
}

#[derive(Serialize)]
struct NamedFit {
    figure: &'static str,
    #[serde(flatten)]
    fit: Fit,
}

#[derive(Serialize)]
struct Summary<'a> {
    fits: Vec<NamedFit>,
    runs: &'a [ScaleReport],
}

/// All runs and fits as one JSON object.
pub fn summary(reports: &[ScaleReport]) -> Result<String> {
    let fits = FIGURES.iter().filter_map(|figure| {
        let fit = fit(&points(figure, reports))?;
        Some(NamedFit {
            figure: figure.name,
            fit,
        })
    });
    let summary = Summary {
        fits: fits.collect(),
        runs: reports,
    };
    Ok(serde_json::to_string(&summary)?)
}

/// Writes `index.html` and one plot for each figure into a directory.
pub fn write(directory: &Path, reports: &[ScaleReport]) -> Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Scale runs</title><h1>Scale runs</h1>\
         <p>Each figure by number of nodes; workers grow with nodes.</p>\n",
    );
    for figure in &FIGURES {
        let points = points(figure, reports);
        let Some(fit) = fit(&points) else {
            continue;
        };
        let file = format!("{}.svg", figure.name);
        let failed = |error: String| anyhow!("cannot plot {}: {error}", figure.name);
        plot(&directory.join(&file), figure.name, &points, fit).map_err(failed)?;
        writeln!(
            page,
            "<h2>{0}</h2><p>{1:.4} + {2:.5} a node, r² {3:.3}</p><img src=\"{file}\" alt=\"{0}\">",
            figure.name, fit.intercept, fit.slope, fit.r_squared
        )?;
    }
    std::fs::write(directory.join("index.html"), page)?;
    Ok(())
}

fn points(figure: &Figure, reports: &[ScaleReport]) -> Vec<(f64, f64)> {
    let point = |report: &ScaleReport| Some((report.nodes as f64, (figure.value)(report)?));
    reports.iter().filter_map(point).collect()
}

fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread_x == 0.0 {
        return None;
    }
    let joint = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
    let slope = points.iter().map(joint).sum::<f64>() / spread_x;
    let intercept = mean_y - slope * mean_x;
    let error = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
    let unexplained: f64 = points.iter().map(error).sum();
    let variance: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let r_squared = if variance > 0.0 {
        1.0 - unexplained / variance
    } else {
        1.0
    };
    Some(Fit {
        slope,
        intercept,
        r_squared,
    })
}

fn plot(file: &Path, name: &str, points: &[(f64, f64)], fit: Fit) -> Result<(), String> {
    let area = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let largest = |values: &mut dyn Iterator<Item = f64>| values.fold(f64::MIN_POSITIVE, f64::max);
    let max_x = largest(&mut points.iter().map(|(x, _)| *x)) * 1.05;
    let max_y = largest(&mut points.iter().map(|(_, y)| *y)) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .y_desc(name)
        .draw()
        .map_err(|error| error.to_string())?;
    let marks = points
        .iter()
        .map(|point| Circle::new(*point, MARK_RADIUS, BLUE.filled()));
    chart
        .draw_series(marks)
        .map_err(|error| error.to_string())?;
    let line = [0.0, max_x].map(|x| (x, fit.intercept + fit.slope * x));
    chart
        .draw_series(LineSeries::new(line, &RED))
        .map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}
