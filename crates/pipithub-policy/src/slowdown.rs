//! How much runs at a worker are slowed down by other work there.
//!
//! The estimate decays to 1 when no answer refreshes it, so that a slow period is not assumed to last
//! for ever.

use crate::api::Time;
use crate::time::{MILLISECOND, decay};

/// The weight of a new sample: about the last seven samples count, so that a slowdown is noticed in
/// time.
const GAIN: f64 = 0.15;
/// The time in which a slowdown that no answer refreshes goes half the way back to 1.
const HALF_LIFE: Time = 3_000 * MILLISECOND;

/// The observed slowdown of one worker.
#[derive(Debug)]
pub(crate) struct Slowdown {
    /// The mean ratio of the time of runs to their expected run time.
    factor: f64,
    /// The mean number of this front end's attempts at the worker when these runs were sent.
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
    /// Records the slowdown of one run; `concurrency` is the number of this front end's attempts at
    /// the worker when it was sent.
    pub(crate) fn record(&mut self, factor: f64, concurrency: f64) {
        self.factor += GAIN * (factor - self.factor);
        self.concurrency += GAIN * (concurrency - self.concurrency);
    }

    /// The observed slowdown, without decay.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// The slowdown that is expected with `in_flight` attempts at the worker, which last responded
    /// `age` ago.
    ///
    /// The slowdown is 1 for an idle worker, equals the observed slowdown at the concurrency at which
    /// it was observed (at least 2), and grows in proportion beyond that. An observed slowdown below 1
    /// applies to an idle worker too. A worker that is idle again is soon used again.
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

/// A slowdown that was last observed `age` ago, decayed towards 1.
pub(crate) fn decayed(slowdown: f64, age: Time) -> f64 {
    1.0 + (slowdown - 1.0) * decay(age, HALF_LIFE)
}
