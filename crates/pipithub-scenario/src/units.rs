//! Units of time, in nanoseconds.

/// A millisecond.
pub(crate) const MILLISECOND: u64 = 1_000_000;
/// A second.
pub(crate) const SECOND: u64 = 1_000_000_000;

/// Nanoseconds in milliseconds, as settings files have them.
pub(crate) fn milliseconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / MILLISECOND as f64
}

/// Nanoseconds in seconds, as reports have them.
pub(crate) fn seconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / SECOND as f64
}
