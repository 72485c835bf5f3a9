//! Events a second, as a mean that decays exponentially.

use crate::Time;

/// The mean's time constant, in nanoseconds.
const TIME_CONSTANT: f64 = 2e9;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// The rate is told as if events had been counted for at least this part of the time constant: of one event no rate can
/// be told.
const MIN_OBSERVED: f64 = 0.1;

/// A rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    mean: f64,
    updated_at: Time,
    /// The first event: a mean that has just begun is not that of a quiet time.
    first_event: Option<Time>,
}

impl DecayingRate {
    /// Events a second, corrected for the time that has been observed at all.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        let observed = now.saturating_sub(self.first_event.unwrap_or(now)) as f64 / TIME_CONSTANT;
        self.decayed(now) / (1.0 - (-observed.max(MIN_OBSERVED)).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        self.mean * (-(now.saturating_sub(self.updated_at) as f64) / TIME_CONSTANT).exp()
    }

    /// Counts an event.
    pub(super) fn record(&mut self, now: Time) {
        *self = DecayingRate {
            mean: self.decayed(now) + NANOSECONDS_PER_SECOND / TIME_CONSTANT,
            updated_at: now,
            first_event: self.first_event.or(Some(now)),
        };
    }
}
