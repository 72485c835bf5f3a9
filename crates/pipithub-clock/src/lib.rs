//! Time for the shells: monotonic time for spans, and the wall clock for what is said to others.
//!
//! The wall clock may be stepped by seconds or by hours, in either direction. Deadlines, windows, waits and grace periods
//! are therefore spans of monotonic time. Wall time is only compared with other wall times: stamps in messages, schedules
//! that operators write, records that outlive a process. This crate is the one place that asks the system for it;
//! `clippy.toml` forbids the calls elsewhere. Cores take both times as values, and their tests move a [`ManualClock`].

mod manual;

pub use manual::ManualClock;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NANOS_PER_MS: Time = 1_000_000;

/// A point in time or a duration, in nanoseconds; the one definition for all crates.
///
/// Where a point is counted from is said by what hands it out: a [`Clock`], a simulation, or a peer's protocol. It is a
/// plain number, not a type of its own, as the decision module weighs times as numbers (quotients, means and rates) in most
/// places where it uses them.
pub type Time = u64;

/// Both clocks, read together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Monotonic time; for spans.
    pub now: Time,
    /// Unix time in milliseconds; may have been stepped since the last reading.
    pub wall_ms: u64,
}

impl Reading {
    /// The monotonic time that a stamp of the wall clock stands for, judged by this reading: a stamp in the future counts
    /// as now, one from before the start of monotonic time as its beginning. A later step of the wall clock doesn't move
    /// what this gave.
    pub fn time_of_stamp(&self, stamp_ms: u64) -> Time {
        let age_ms = self.wall_ms.saturating_sub(stamp_ms);
        self.now
            .saturating_sub(age_ms.saturating_mul(NANOS_PER_MS))
            .max(1)
    }
}

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
        Clock {
            start: Instant::now(),
            base: 1,
        }
    }
}

impl Clock {
    /// Counts Unix time, as it was when the clock was made: times told by others compare with its own, and a step of the
    /// system's clock moves no deadline.
    pub fn unix() -> Self {
        Clock {
            start: Instant::now(),
            base: wall_ns().max(1),
        }
    }

    /// Nanoseconds now.
    pub fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time + self.base
    }

    /// Both clocks now.
    pub fn read(&self) -> Reading {
        Reading {
            now: self.now(),
            wall_ms: wall_ms(),
        }
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.base))
    }

    /// Sleeps until then; for ever where there is no then.
    #[cfg(feature = "tokio")]
    pub async fn sleep_until(&self, time: Option<Time>) {
        match time {
            Some(time) => tokio::time::sleep_until(self.instant(time).into()).await,
            None => std::future::pending().await,
        }
    }
}

/// Unix time in nanoseconds.
#[expect(
    clippy::disallowed_methods,
    reason = "the one place that asks the system for wall time"
)]
pub fn wall_ns() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos() as u64)
}

/// Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    wall_ns() / NANOS_PER_MS
}
