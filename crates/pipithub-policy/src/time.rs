//! Units and limits of time.

use crate::api::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// The longest duration, one hour. Longer durations in settings and events count as this one, so that
/// no sum overflows.
pub(crate) const MAX_DURATION: Time = 3_600_000 * MILLISECOND;
/// The latest point in time. Later ones in events count as this one, so that adding durations cannot
/// overflow.
pub(crate) const MAX_TIME: Time = Time::MAX >> 2;

/// The share of a value that is left at an age, if the value halves once in each half-life.
pub(crate) fn decay(age: Time, half_life: Time) -> f64 {
    0.5f64.powf(age as f64 / half_life as f64)
}
