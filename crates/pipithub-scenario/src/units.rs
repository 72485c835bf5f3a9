//! Units of time, in nanoseconds.

/// Nanoseconds of a millisecond.
pub(crate) const MILLISECOND: u64 = 1_000_000;
/// Nanoseconds of a second.
pub(crate) const SECOND: u64 = 1_000_000_000;

/// Converts nanoseconds to milliseconds, the unit of settings files.
pub(crate) fn milliseconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / MILLISECOND as f64
}

/// Converts nanoseconds to seconds, the unit of reports.
pub(crate) fn seconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / SECOND as f64
}
