//! Times of the caller's clock and their conversion to milliseconds.

pub use pipithub_clock::Time;

/// A millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// A second.
pub(crate) const SECOND: Time = 1_000 * MILLISECOND;

/// The whole milliseconds of a time or a duration.
pub(crate) fn to_ms(time: Time) -> i64 {
    i64::try_from(time / MILLISECOND).unwrap_or(i64::MAX)
}

/// The time or duration of so many milliseconds; zero if they are negative.
pub(crate) fn from_ms(milliseconds: i64) -> Time {
    u64::try_from(milliseconds)
        .unwrap_or(0)
        .saturating_mul(MILLISECOND)
}
