//! Figures over several sizes: the points, and the slope through them.

use serde::Serialize;

use super::Fit;

/// What was measured at one size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub size: u64,
    /// The median of the plays.
    pub value: f64,
    /// The least and the greatest of them.
    #[serde(rename = "least")]
    pub min: f64,
    /// See `min`.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// How many plays there were.
    pub plays: usize,
}

impl Point {
    /// The median of these values; 0 where there are none.
    pub(crate) fn of(size: u64, mut values: Vec<f64>) -> Point {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        let plays = values.len();
        Point {
            size,
            value: at(plays / 2),
            min: at(0),
            max: at(plays.saturating_sub(1)),
            plays,
        }
    }
}

/// What several series have in common: all but the figure itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizeAxis {
    /// The part they belong to.
    pub part: &'static str,
    /// What the sizes count.
    pub size_unit: &'static str,
    /// How it was run: `processes`, `hollow`, `simulated time` or `core`.
    pub method: &'static str,
    /// The size that is planned for.
    pub planned: u64,
}

impl SizeAxis {
    /// A series without points yet.
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

    /// One series for each figure, over the plays of each size.
    pub(crate) fn tabulate<T>(
        &self,
        figures: &[Figure<T>],
        sizes: &[PlaysAtSize<T>],
    ) -> Vec<Series> {
        let series_of = |figure: &Figure<T>| {
            let mut series = self.series(figure.what, figure.unit);
            for one in sizes {
                series.push(one.size, one.plays.iter().map(figure.value).collect());
            }
            series
        };
        figures.iter().map(series_of).collect()
    }
}

/// A figure that is read from each play.
pub(crate) struct Figure<T> {
    /// What it is, in words.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Reads it.
    pub value: fn(&T) -> f64,
}

impl<T> Figure<T> {
    /// A figure by its name, its unit and how it is read.
    pub(crate) const fn new(
        what: &'static str,
        unit: &'static str,
        value: fn(&T) -> f64,
    ) -> Figure<T> {
        Figure { what, unit, value }
    }
}

/// The plays of one size.
pub(crate) struct PlaysAtSize<T> {
    /// The size.
    pub size: u64,
    /// What each play showed.
    pub plays: Vec<T>,
}

/// One figure over several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Series {
    /// The part it belongs to.
    pub part: String,
    /// What was measured, in words.
    pub what: String,
    /// The unit of the values.
    pub unit: String,
    /// What the sizes count.
    #[serde(rename = "of")]
    pub size_unit: String,
    /// How it was run.
    #[serde(rename = "how")]
    pub method: String,
    /// The points, by size.
    pub points: Vec<Point>,
    /// The size that is planned for.
    pub planned: u64,
    /// The slope through the points.
    pub fit: Option<Fit>,
}

impl Series {
    /// Adds what was measured at one size.
    pub(crate) fn push(&mut self, size: u64, values: Vec<f64>) {
        self.points.push(Point::of(size, values));
    }

    /// The furthest size that was really run.
    pub(crate) fn furthest(&self) -> u64 {
        self.points.iter().map(|p| p.size).max().unwrap_or(0)
    }

    /// Prints the points and what the slope says of the planned size.
    pub(crate) fn print(&self) {
        println!(
            "\n{} / {} [{}], {}",
            self.part, self.what, self.unit, self.method
        );
        for point in &self.points {
            println!(
                "  {:>8} {:<12} {:>14.3}   ({:.3} to {:.3}, {} plays)",
                point.size, self.size_unit, point.value, point.min, point.max, point.plays
            );
        }
        if let Some(fit) = &self.fit {
            println!(
                "  grows as size^{:.2}, residual {:.0}%; furthest run {}; at {} {} it would be {:.3} ({:.1} times the furthest)",
                fit.exponent,
                fit.residual * 100.0,
                self.furthest(),
                self.planned,
                self.size_unit,
                fit.at(self.planned),
                self.planned as f64 / self.furthest().max(1) as f64
            );
        }
    }
}
