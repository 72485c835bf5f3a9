//! Plots of series as SVG files with logarithmic axes.

use std::path::Path;

use plotters::prelude::*;

use super::Series;
use crate::Result;

/// Plots a series and its slope up to the planned size. Points that are not above zero are left out; a series without
/// others gives no file.
pub(super) fn draw(series: &Series, folder: &Path) -> Result<()> {
    let points: Vec<(f64, f64)> = series
        .points
        .iter()
        .filter(|p| p.value > 0.0)
        .map(|p| (p.size as f64, p.value))
        .collect();
    if points.is_empty() {
        return Ok(());
    }
    let sanitize = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = format!("{}-{}", series.part, series.what)
        .chars()
        .map(sanitize)
        .collect();
    let path = folder.join(name + ".svg");
    let root = SVGBackend::new(&path, (800, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let planned = (series.planned as f64).max(points.iter().map(|p| p.0).fold(1.0, f64::max));
    let slope: Vec<(f64, f64)> = series
        .fit
        .iter()
        .flat_map(|fit| {
            let first = points.iter().map(|p| p.0).fold(planned, f64::min);
            [first, planned].map(|size| (size, fit.factor * size.powf(fit.exponent)))
        })
        .collect();
    let all = || points.iter().chain(&slope);
    let range = |of: fn(&(f64, f64)) -> f64| {
        all().map(of).fold(f64::INFINITY, f64::min) / 1.5..all().map(of).fold(0.0, f64::max) * 1.5
    };
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{} / {}", series.part, series.what),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(90)
        .build_cartesian_2d(range(|p| p.0).log_scale(), range(|p| p.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc(format!("{} ({})", series.size_unit, series.method))
        .y_desc(series.unit.as_str())
        .draw()?;
    chart.draw_series(LineSeries::new(slope.iter().copied(), &RED))?;
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLUE.filled())))?;
    root.present()?;
    Ok(())
}
