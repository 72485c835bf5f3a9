//! The slope through measured points: a power of the size, by least squares over the logarithms.

use serde::Serialize;

use super::Point;

/// `value = factor * size^exponent`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Fit {
    /// The exponent of the size.
    pub exponent: f64,
    /// The value at size one.
    pub factor: f64,
    /// The largest relative deviation of a point from the slope.
    pub residual: f64,
}

impl Fit {
    /// The slope through the points; `None` for fewer than two that are above zero.
    pub(crate) fn through(points: &[Point]) -> Option<Fit> {
        let logs: Vec<LogPoint> = points.iter().filter_map(LogPoint::of).collect();
        let count = logs.len() as f64;
        let mean_size = logs.iter().map(|log| log.size).sum::<f64>() / count;
        let mean_value = logs.iter().map(|log| log.value).sum::<f64>() / count;
        let spread: f64 = logs.iter().map(|log| (log.size - mean_size).powi(2)).sum();
        if logs.len() < 2 || spread <= 0.0 {
            return None;
        }
        let covariance: f64 = logs
            .iter()
            .map(|log| (log.size - mean_size) * (log.value - mean_value))
            .sum();
        let exponent = covariance / spread;
        let deviation = |log: &LogPoint| {
            let from_slope = log.value - mean_value - exponent * (log.size - mean_size);
            (from_slope.exp() - 1.0).abs()
        };
        Some(Fit {
            exponent,
            factor: (mean_value - exponent * mean_size).exp(),
            residual: logs.iter().map(deviation).fold(0.0, f64::max),
        })
    }

    /// The value of the slope at a size.
    pub(crate) fn at(&self, size: u64) -> f64 {
        self.factor * (size as f64).powf(self.exponent)
    }
}

/// The logarithms of a point's size and value.
struct LogPoint {
    size: f64,
    value: f64,
}

impl LogPoint {
    /// `None` for a point whose size or value is zero, which has no logarithm.
    fn of(point: &Point) -> Option<LogPoint> {
        (point.size > 0 && point.value > 0.0).then(|| LogPoint {
            size: (point.size as f64).ln(),
            value: point.value.ln(),
        })
    }
}
