//! Conversion between the caller's clock and wall time, which determines days and daily peaks.

use crate::daily_peak::DAY_MS;
use crate::time::{Time, to_ms};

/// Records store days, as days since the Unix epoch, modulo this.
const DAY_MODULUS: i64 = 256;

/// The offset of wall time from the caller's clock, which changes when the wall clock is stepped.
pub(super) struct WallClock {
    /// The wall time in Unix milliseconds at time 0 of the caller's clock.
    offset_ms: i64,
}

impl WallClock {
    /// Creates a clock; `offset_ms` is the wall time in Unix milliseconds at time 0 of the caller's clock.
    pub(super) fn new(offset_ms: i64) -> Self {
        WallClock { offset_ms }
    }

    /// Sets the wall time in Unix milliseconds at `now`.
    pub(super) fn set(&mut self, now: Time, wall_ms: i64) {
        self.offset_ms = wall_ms.saturating_sub(to_ms(now));
    }

    /// Converts a time in milliseconds on the caller's clock to Unix milliseconds.
    pub(super) fn to_wall_ms(&self, at_ms: i64) -> i64 {
        self.offset_ms.saturating_add(at_ms)
    }

    /// Converts Unix milliseconds to a time in milliseconds on the caller's clock.
    pub(super) fn to_caller_ms(&self, wall_ms: i64) -> i64 {
        wall_ms.saturating_sub(self.offset_ms)
    }

    /// The day of a time, as records store it.
    pub(super) fn day(&self, now: Time) -> u8 {
        self.to_wall_ms(to_ms(now))
            .div_euclid(DAY_MS)
            .rem_euclid(DAY_MODULUS) as u8
    }
}
