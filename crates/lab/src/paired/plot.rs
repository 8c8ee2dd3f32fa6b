//! Plots the pairs as points: score before on the x axis, score after on the y axis. Points above the
//! diagonal are improvements.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

use super::comparison::Pair;

const SIZE_PIXELS: u32 = 600;

/// Writes the plot as an SVG file.
pub fn write(file: &Path, pairs: &[Pair]) -> Result<()> {
    draw(file, pairs).map_err(|error| anyhow!("cannot plot {}: {error}", file.display()))
}

fn draw(file: &Path, pairs: &[Pair]) -> Result<(), Box<dyn std::error::Error>> {
    let scores = || pairs.iter().flat_map(|pair| [pair.before, pair.after]);
    let min = scores().fold(1.0, f64::min);
    let max = scores().fold(min, f64::max);
    let range = (min - 0.02)..(max + 0.02);
    let area = SVGBackend::new(file, (SIZE_PIXELS, SIZE_PIXELS)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(range.clone(), range.clone())?;
    chart
        .configure_mesh()
        .x_desc("score before")
        .y_desc("score after")
        .draw()?;
    let diagonal = [(range.start, range.start), (range.end, range.end)];
    chart.draw_series(LineSeries::new(diagonal, &RGBColor(160, 160, 160)))?;
    let points = pairs.iter().map(|pair| {
        let colour = if pair.passed { BLUE } else { RED };
        Circle::new((pair.before, pair.after), 3, colour.filled())
    });
    chart.draw_series(points)?;
    area.present()?;
    Ok(())
}
