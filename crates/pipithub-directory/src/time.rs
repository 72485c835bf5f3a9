//! Times on the caller's clock, and their conversion from and to milliseconds.

pub use pipithub_clock::Time;

/// The nanoseconds of a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// The nanoseconds of a second.
pub(crate) const SECOND: Time = 1_000 * MILLISECOND;

/// Converts a time or a duration to milliseconds, rounded down.
pub(crate) fn to_ms(time: Time) -> i64 {
    i64::try_from(time / MILLISECOND).unwrap_or(i64::MAX)
}

/// Converts milliseconds to a time or a duration; negative values become zero.
pub(crate) fn from_ms(milliseconds: i64) -> Time {
    u64::try_from(milliseconds)
        .unwrap_or(0)
        .saturating_mul(MILLISECOND)
}
