//! A clock for tests: only the test advances its monotonic time and steps its wall time.

use crate::{NANOS_PER_MS, Reading, Time};

/// A monotonic clock and a wall clock that are set by the test. Times saturate instead of overflowing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManualClock {
    now: Time,
    wall_ns: u64,
}

impl ManualClock {
    /// Creates a clock at the monotonic time `now` (nanoseconds) and the Unix time `wall_ms` (milliseconds).
    pub fn new(now: Time, wall_ms: u64) -> Self {
        ManualClock {
            now,
            wall_ns: wall_ms.saturating_mul(NANOS_PER_MS),
        }
    }

    /// Advances both clocks by `duration` nanoseconds, as when time passes.
    pub fn advance(&mut self, duration: Time) {
        self.now = self.now.saturating_add(duration);
        self.wall_ns = self.wall_ns.saturating_add(duration);
    }

    /// Steps the wall clock forward or back by `step_ms` milliseconds. The monotonic time stays.
    pub fn step_wall_ms(&mut self, step_ms: i64) {
        let step_ns = step_ms.unsigned_abs().saturating_mul(NANOS_PER_MS);
        self.wall_ns = if step_ms < 0 {
            self.wall_ns.saturating_sub(step_ns)
        } else {
            self.wall_ns.saturating_add(step_ns)
        };
    }

    /// The current times of both clocks.
    pub fn read(&self) -> Reading {
        Reading {
            now: self.now,
            wall_ms: self.wall_ns / NANOS_PER_MS,
        }
    }
}
