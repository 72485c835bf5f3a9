//! Times of the caller's clock.

/// Nanoseconds on the caller's clock.
pub type Time = u64;

pub(crate) const MILLISECOND: Time = 1_000_000;

pub(crate) fn to_ms(now: Time) -> i64 {
    i64::try_from(now / MILLISECOND).unwrap_or(i64::MAX)
}
