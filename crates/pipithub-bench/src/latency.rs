//! Histograms of latencies in microseconds.

use hdrhistogram::Histogram;

/// The highest value of a histogram: a minute, in microseconds. Longer latencies count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// An empty histogram of latencies.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

/// A quantile of the latencies, in milliseconds.
pub(crate) fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}

/// Prints quantiles and the number of calls under a name.
pub(crate) fn print(name: &str, latencies: &Histogram<u64>) {
    println!(
        "{name:<28} p50 {:>8.3} ms  p99 {:>8.3} ms  p99.9 {:>8.3} ms  ({} calls)",
        quantile_ms(latencies, 0.5),
        quantile_ms(latencies, 0.99),
        quantile_ms(latencies, 0.999),
        latencies.len()
    );
}
