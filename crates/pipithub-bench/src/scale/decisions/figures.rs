//! Collects the values of runs by figure and size, and turns them into series.

use std::collections::BTreeMap;

use crate::scale::{Series, SizeAxis};

use super::simulated_fleet::cost::{Cost, median};

const NANOSECONDS_PER_MICROSECOND: f64 = 1e3;

/// The values of one figure, by size.
struct FigureValues {
    what: String,
    unit: &'static str,
    by_size: BTreeMap<u64, Vec<f64>>,
}

/// Values by figure and size. Figures are in the order in which they were first added.
#[derive(Default)]
pub(super) struct Figures {
    figures: Vec<FigureValues>,
}

impl Figures {
    /// Adds a value to a figure, which is created if it does not exist yet.
    pub(super) fn add(&mut self, what: &str, unit: &'static str, size: u64, value: f64) {
        let existing = self.figures.iter().position(|figure| figure.what == what);
        let index = existing.unwrap_or_else(|| {
            self.figures.push(FigureValues {
                what: what.to_string(),
                unit,
                by_size: BTreeMap::new(),
            });
            self.figures.len() - 1
        });
        self.figures[index]
            .by_size
            .entry(size)
            .or_default()
            .push(value);
    }

    /// Adds the median time of events and the median number of workers that they examined; nothing without events.
    pub(super) fn add_costs(&mut self, what: &str, size: u64, costs: &[Cost]) {
        if costs.is_empty() {
            return;
        }
        let time_us = costs
            .iter()
            .map(|cost| cost.time_ns / NANOSECONDS_PER_MICROSECOND)
            .collect();
        let examined = costs.iter().map(|cost| cost.workers_examined).collect();
        self.add(&format!("{what}, time"), "us", size, median(time_us));
        self.add(
            &format!("{what}, looked at"),
            "workers",
            size,
            median(examined),
        );
    }

    /// One series for each figure.
    pub(super) fn into_series(self, axis: SizeAxis) -> Vec<Series> {
        let series_of = |figure: FigureValues| {
            let mut series = axis.series(&figure.what, figure.unit);
            for (size, values) in figure.by_size {
                series.push(size, values);
            }
            series
        };
        self.figures.into_iter().map(series_of).collect()
    }
}
