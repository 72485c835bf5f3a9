//! Units and bounds of time.

use pipithub_policy::api::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// No duration that is configured or reported counts as longer (one hour), so that no sum
/// overflows.
pub(crate) const MAX_DURATION: Time = 3_600_000 * MILLISECOND;
/// No point in time that is handed in counts as later.
pub(crate) const MAX_TIME: Time = Time::MAX >> 2;
