//! The slope through measured points: a power of the size, by least squares over the logarithms.

use serde::Serialize;

use super::Point;

/// `value = factor * size^exponent`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Fit {
    /// The power of the size.
    pub exponent: f64,
    /// The value at size one.
    pub factor: f64,
    /// The furthest that a point lies from the slope, as a share of the slope's value there.
    pub residual: f64,
}

impl Fit {
    /// The slope through the points; `None` for fewer than two that are above zero.
    pub(crate) fn through(points: &[Point]) -> Option<Fit> {
        let logs: Vec<(f64, f64)> = points
            .iter()
            .filter(|p| p.size > 0 && p.value > 0.0)
            .map(|p| ((p.size as f64).ln(), p.value.ln()))
            .collect();
        let n = logs.len() as f64;
        let (x, y) = (
            logs.iter().map(|l| l.0).sum::<f64>() / n,
            logs.iter().map(|l| l.1).sum::<f64>() / n,
        );
        let spread: f64 = logs.iter().map(|l| (l.0 - x).powi(2)).sum();
        if logs.len() < 2 || spread <= 0.0 {
            return None;
        }
        let exponent = logs.iter().map(|l| (l.0 - x) * (l.1 - y)).sum::<f64>() / spread;
        let mut fit = Fit {
            exponent,
            factor: (y - exponent * x).exp(),
            residual: 0.0,
        };
        let off = |l: &(f64, f64)| ((l.1 - y - exponent * (l.0 - x)).exp() - 1.0).abs();
        fit.residual = logs.iter().map(off).fold(0.0, f64::max);
        Some(fit)
    }

    /// What the slope says for a size.
    pub(crate) fn at(&self, size: u64) -> f64 {
        self.factor * (size as f64).powf(self.exponent)
    }
}
