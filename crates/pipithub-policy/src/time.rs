//! Units and bounds of time.

use crate::api::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// No duration that is configured or reported counts as longer (one hour), so that no sum
/// overflows.
pub(crate) const MAX_DURATION: Time = 3_600_000 * MILLISECOND;
/// No point in time that is handed in counts as later, so that adding durations to it cannot
/// overflow.
pub(crate) const MAX_TIME: Time = Time::MAX >> 2;

/// The part of a value that is left at this age when it halves once in each half-life.
pub(crate) fn decay(age: Time, half_life: Time) -> f64 {
    0.5f64.powf(age as f64 / half_life as f64)
}
