//! How far runs at a worker are slowed down by what else it runs.
//!
//! The estimate returns to 1 when no answer refreshes it, so that no slow period is believed for
//! ever.

use crate::api::Time;
use crate::time::{MILLISECOND, decay};

/// Weight of a new sample: about the last seven count, so that a slowdown shows in time.
const GAIN: f64 = 0.15;
/// A slowdown that no answer refreshes goes half the way back to 1 in this time.
const HALF_LIFE: Time = 3_000 * MILLISECOND;

/// The observed slowdown of one worker.
#[derive(Debug)]
pub(crate) struct Slowdown {
    /// Mean run time of answers over the expected one.
    factor: f64,
    /// Mean number of this front end's attempts there while that was observed.
    concurrency: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown {
            factor: 1.0,
            concurrency: 1.0,
        }
    }
}

impl Slowdown {
    /// Records the slowdown of one run, and how many attempts of this front end were there.
    pub(crate) fn record(&mut self, factor: f64, concurrency: f64) {
        self.factor += GAIN * (factor - self.factor);
        self.concurrency += GAIN * (concurrency - self.concurrency);
    }

    /// The observed slowdown, without decay.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// The slowdown that is expected with this many attempts there, when the worker last responded
    /// `age` ago.
    ///
    /// It is 1 for an idle worker, the observed slowdown at the concurrency that it was observed
    /// with, and beyond that in proportion. A worker that is idle again is soon trusted.
    pub(crate) fn expected(&self, in_flight: usize, age: Time) -> f64 {
        let slowdown = decayed(self.factor, age);
        let part = in_flight as f64 / self.concurrency.max(2.0);
        if part > 1.0 {
            slowdown * part
        } else {
            slowdown.min(1.0) + (slowdown - slowdown.min(1.0)) * part
        }
    }
}

/// What is left of a slowdown that was last observed `age` ago.
pub(crate) fn decayed(slowdown: f64, age: Time) -> f64 {
    1.0 + (slowdown - 1.0) * decay(age, HALF_LIFE)
}
