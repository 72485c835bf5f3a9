//! Time for the shells: a point that only grows, and the wall clock for records.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a length of it, in nanoseconds.
pub type Time = u64;

/// Counts nanoseconds from its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Nanoseconds since it was made; from 1 on, as 0 means unknown in some protocols.
    pub fn now(&self) -> Time {
        self.0.elapsed().as_nanos() as Time + 1
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.0 + Duration::from_nanos(time.saturating_sub(1))
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
