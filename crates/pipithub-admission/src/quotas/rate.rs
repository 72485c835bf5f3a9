//! The rate of events as an exponentially decaying mean.

use crate::Time;

/// The time constant of the mean, in nanoseconds.
const TIME_CONSTANT: f64 = 2e9;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Events count as observed for at least this part of the time constant, because a single event has no rate.
const MIN_OBSERVED: f64 = 0.1;

/// The rate of events over the last few seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    mean: f64,
    updated_at: Time,
    /// When the first event was recorded; `None` if there is none. A mean over a short time must be corrected, as no
    /// events were observed before.
    first_event: Option<Time>,
}

impl DecayingRate {
    /// The number of events per second, corrected for the time that was observed.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        let observed = now.saturating_sub(self.first_event.unwrap_or(now)) as f64 / TIME_CONSTANT;
        self.decayed(now) / (1.0 - (-observed.max(MIN_OBSERVED)).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        self.mean * (-(now.saturating_sub(self.updated_at) as f64) / TIME_CONSTANT).exp()
    }

    /// Records an event.
    pub(super) fn record(&mut self, now: Time) {
        *self = DecayingRate {
            mean: self.decayed(now) + NANOSECONDS_PER_SECOND / TIME_CONSTANT,
            updated_at: now,
            first_event: self.first_event.or(Some(now)),
        };
    }
}
