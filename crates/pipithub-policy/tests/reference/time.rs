//! Units and bounds of time.

use pipithub_policy::api::Time;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Time = 1_000_000;
/// The longest duration, one hour; longer ones in settings or events count as this, so that sums do
/// not overflow.
pub(crate) const MAX_DURATION: Time = 3_600_000 * MILLISECOND;
/// The latest point in time; later ones in events count as this.
pub(crate) const MAX_TIME: Time = Time::MAX >> 2;
