//! The pairs as points: worth before across, worth after upwards; above the line is better.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

use super::comparison::Pair;

const SIZE: u32 = 600;

/// Writes the plot as an SVG file.
pub fn write(file: &Path, pairs: &[Pair]) -> Result<()> {
    draw(file, pairs).map_err(|error| anyhow!("cannot plot {}: {error}", file.display()))
}

fn draw(file: &Path, pairs: &[Pair]) -> Result<(), Box<dyn std::error::Error>> {
    let worths = || pairs.iter().flat_map(|pair| [pair.before, pair.after]);
    let least = worths().fold(1.0, f64::min);
    let most = worths().fold(least, f64::max);
    let range = (least - 0.02)..(most + 0.02);
    let area = SVGBackend::new(file, (SIZE, SIZE)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(range.clone(), range.clone())?;
    chart
        .configure_mesh()
        .x_desc("worth before")
        .y_desc("worth after")
        .draw()?;
    let equal = [(range.start, range.start), (range.end, range.end)];
    chart.draw_series(LineSeries::new(equal, &RGBColor(160, 160, 160)))?;
    let points = pairs.iter().map(|pair| {
        let colour = if pair.kept { BLUE } else { RED };
        Circle::new((pair.before, pair.after), 3, colour.filled())
    });
    chart.draw_series(points)?;
    area.present()?;
    Ok(())
}
