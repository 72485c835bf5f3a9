//! Figures over several sizes: the points, and the slope through them.

use serde::Serialize;

use super::Fit;

/// The values of a figure at one size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    /// The size, in the unit of the series.
    pub size: u64,
    /// The median of the runs.
    pub value: f64,
    /// The lowest value of the runs.
    #[serde(rename = "least")]
    pub min: f64,
    /// The highest value of the runs.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// The number of runs.
    #[serde(rename = "plays")]
    pub runs: usize,
}

impl Point {
    /// A point with the median of these values; all values are 0 if there are none.
    pub(crate) fn of(size: u64, mut values: Vec<f64>) -> Point {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        let runs = values.len();
        Point {
            size,
            value: at(runs / 2),
            min: at(0),
            max: at(runs.saturating_sub(1)),
            runs,
        }
    }
}

/// What the series of one measurement have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeAxis {
    /// The part of the site that is measured.
    pub part: &'static str,
    /// What the sizes count.
    pub size_unit: &'static str,
    /// The method of measurement: `processes`, `hollow`, `simulated time` or `core`.
    pub method: &'static str,
    /// The size of the planned site.
    pub planned: u64,
}

impl SizeAxis {
    /// A series of a figure, without points.
    pub(crate) fn series(&self, what: &str, unit: &str) -> Series {
        Series {
            part: self.part.to_string(),
            what: what.to_string(),
            unit: unit.to_string(),
            size_unit: self.size_unit.to_string(),
            method: self.method.to_string(),
            points: Vec::new(),
            planned: self.planned,
            fit: None,
        }
    }

    /// One series for each figure, from the runs of each size.
    pub(crate) fn tabulate<T>(
        &self,
        figures: &[Figure<T>],
        sizes: &[RunsAtSize<T>],
    ) -> Vec<Series> {
        let series_of = |figure: &Figure<T>| {
            let mut series = self.series(figure.what, figure.unit);
            for one in sizes {
                series.push(one.size, one.runs.iter().map(figure.value).collect());
            }
            series
        };
        figures.iter().map(series_of).collect()
    }
}

/// A figure that each run gives a value of.
pub(crate) struct Figure<T> {
    /// The name of the figure.
    pub what: &'static str,
    /// The unit of its values.
    pub unit: &'static str,
    /// Reads the value from the result of a run.
    pub value: fn(&T) -> f64,
}

impl<T> Figure<T> {
    /// A figure with its name, its unit and the function that reads it.
    pub(crate) const fn new(
        what: &'static str,
        unit: &'static str,
        value: fn(&T) -> f64,
    ) -> Figure<T> {
        Figure { what, unit, value }
    }
}

/// The runs at one size.
pub(crate) struct RunsAtSize<T> {
    /// The size, in the unit of the series.
    pub size: u64,
    /// The result of each run.
    pub runs: Vec<T>,
}

/// One figure over several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Series {
    /// The part of the site that was measured.
    pub part: String,
    /// The name of the figure.
    pub what: String,
    /// The unit of the values.
    pub unit: String,
    /// What the sizes count.
    #[serde(rename = "of")]
    pub size_unit: String,
    /// The method of measurement.
    #[serde(rename = "how")]
    pub method: String,
    /// The points, by size.
    pub points: Vec<Point>,
    /// The size of the planned site.
    pub planned: u64,
    /// The slope through the points.
    pub fit: Option<Fit>,
}

impl Series {
    /// Adds the values at one size.
    pub(crate) fn push(&mut self, size: u64, values: Vec<f64>) {
        self.points.push(Point::of(size, values));
    }

    /// The largest measured size; 0 without points.
    pub(crate) fn largest_size(&self) -> u64 {
        self.points.iter().map(|p| p.size).max().unwrap_or(0)
    }

    /// Prints the points, the slope through them and the extrapolation to the planned size.
    pub(crate) fn print(&self) {
        println!(
            "\n{} / {} [{}], {}",
            self.part, self.what, self.unit, self.method
        );
        for point in &self.points {
            println!(
                "  {:>8} {:<12} {:>14.3}   ({:.3} to {:.3}, {} runs)",
                point.size, self.size_unit, point.value, point.min, point.max, point.runs
            );
        }
        if let Some(fit) = &self.fit {
            println!(
                "  grows as size^{:.2}, residual {:.0}%; largest measured size {}; extrapolated to {} {}: {:.3} ({:.1} times the largest size)",
                fit.exponent,
                fit.residual * 100.0,
                self.largest_size(),
                self.planned,
                self.size_unit,
                fit.at(self.planned),
                self.planned as f64 / self.largest_size().max(1) as f64
            );
        }
    }
}
