//! Monotonic time for durations, and wall time for timestamps that are exchanged or stored.
//!
//! The wall clock may be stepped by seconds or hours, in either direction. Deadlines, windows, timeouts and grace
//! periods are therefore measured in monotonic time. Wall time is only compared with other wall times: timestamps in
//! messages, schedules, records that outlive a process. Only this crate asks the system for wall time; `clippy.toml`
//! forbids it elsewhere. The crates without I/O take both times as values, and their tests use a [`ManualClock`].

mod manual;

pub use manual::ManualClock;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NANOS_PER_MS: Time = 1_000_000;

/// A point in time or a duration, in nanoseconds. All crates use this definition.
///
/// The origin of a point in time depends on its source: a [`Clock`], a simulation, or a peer's protocol. It is a plain
/// number rather than a type of its own, because the decision module mostly calculates with it: quotients, means and
/// rates.
pub type Time = u64;

/// Monotonic and wall time, read at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Monotonic time in nanoseconds, for durations.
    pub now: Time,
    /// Unix time in milliseconds. The wall clock may have been stepped since an earlier reading.
    pub wall_ms: u64,
}

impl Reading {
    /// The monotonic time of a wall-clock timestamp (Unix milliseconds), according to this reading. A timestamp in the
    /// future gives the current time, one before the origin of monotonic time gives 1. Later steps of the wall clock do
    /// not affect the result.
    pub fn time_of_timestamp(&self, timestamp_ms: u64) -> Time {
        let age_ms = self.wall_ms.saturating_sub(timestamp_ms);
        self.now
            .saturating_sub(age_ms.saturating_mul(NANOS_PER_MS))
            .max(1)
    }
}

/// A monotonic clock in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The time that corresponds to `start`. It is at least 1, because 0 means an unknown time in some protocols.
    base: Time,
}

impl Default for Clock {
    /// A clock that starts at 1 when it is created.
    fn default() -> Self {
        Clock {
            start: Instant::now(),
            base: 1,
        }
    }
}

impl Clock {
    /// A clock that starts at the current Unix time, so that its times can be compared with those of other machines.
    /// Later steps of the wall clock do not affect it.
    pub fn unix() -> Self {
        Clock {
            start: Instant::now(),
            base: wall_ns().max(1),
        }
    }

    /// The current time of this clock, in nanoseconds.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time + self.base
    }

    /// The current time of this clock and of the wall clock.
    pub fn read(&self) -> Reading {
        Reading {
            now: self.now(),
            wall_ms: wall_ms(),
        }
    }

    /// The instant that corresponds to a time of this clock. Times before its start give the start.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.base))
    }

    /// Waits until a time of this clock; for ever if it is `None`.
    #[cfg(feature = "tokio")]
    pub async fn sleep_until(&self, time: Option<Time>) {
        match time {
            Some(time) => tokio::time::sleep_until(self.instant(time).into()).await,
            None => std::future::pending().await,
        }
    }
}

/// The current Unix time in nanoseconds; 0 if the system's clock is set before 1970.
#[expect(
    clippy::disallowed_methods,
    reason = "the only place that asks the system for wall time"
)]
pub fn wall_ns() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos() as u64)
}

/// The current Unix time in milliseconds; 0 if the system's clock is set before 1970.
pub fn wall_ms() -> u64 {
    wall_ns() / NANOS_PER_MS
}
