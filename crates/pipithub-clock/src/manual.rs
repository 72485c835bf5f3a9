//! A clock for tests: time passes, and the wall clock steps, only when the test says so.

use crate::{NANOS_PER_MS, Reading, Time};

/// A pair of clocks that are moved by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManualClock {
    now: Time,
    wall_ns: u64,
}

impl ManualClock {
    /// Monotonic time `now` at Unix time `wall_ms`.
    pub fn new(now: Time, wall_ms: u64) -> Self {
        ManualClock {
            now,
            wall_ns: wall_ms.saturating_mul(NANOS_PER_MS),
        }
    }

    /// Lets a span of real time pass: both clocks advance.
    pub fn advance(&mut self, span: Time) {
        self.now = self.now.saturating_add(span);
        self.wall_ns = self.wall_ns.saturating_add(span);
    }

    /// Steps the wall clock, forward or back; no real time passes.
    pub fn step_wall_ms(&mut self, step_ms: i64) {
        let step_ns = step_ms.unsigned_abs().saturating_mul(NANOS_PER_MS);
        self.wall_ns = if step_ms < 0 {
            self.wall_ns.saturating_sub(step_ns)
        } else {
            self.wall_ns.saturating_add(step_ns)
        };
    }

    /// Both clocks as they stand.
    pub fn read(&self) -> Reading {
        Reading {
            now: self.now,
            wall_ms: self.wall_ns / NANOS_PER_MS,
        }
    }
}
