//! Time for the shells: a point that only grows, and the wall clock for records.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a length of it, in nanoseconds.
pub type Time = u64;

/// Counts nanoseconds from a start that it bears a number for.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The time at the start; from 1 on, as 0 means unknown in some protocols.
    base: Time,
}

impl Default for Clock {
    /// Counts from its making.
    fn default() -> Self {
        Clock { start: Instant::now(), base: 1 }
    }
}

impl Clock {
    /// Counts Unix time, as it was when the clock was made: times told by others compare with its own, and a step of the
    /// system's clock moves no deadline.
    pub fn unix() -> Self {
        Clock { start: Instant::now(), base: wall_ns().max(1) }
    }

    /// Nanoseconds now.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time + self.base
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.base))
    }

    /// Sleeps until then; for ever where there is no then.
    pub async fn sleep_until(&self, time: Option<Time>) {
        match time {
            Some(time) => tokio::time::sleep_until(self.instant(time).into()).await,
            None => std::future::pending().await,
        }
    }
}

/// Unix time in nanoseconds.
pub fn wall_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64)
}

/// Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    wall_ns() / 1_000_000
}
