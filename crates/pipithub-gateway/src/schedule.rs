//! The schedule of cron timers in wall time (UTC), without I/O.
//!
//! Occurrences are planned in wall time, and the wall clock may be stepped. [`Schedule::due`] takes the wall time and
//! returns the timers that fire. [`Schedule::time_until_check`] returns the real time after which to call it again, at
//! most [`MAX_CHECK_INTERVAL`], so that a step of the clock is noticed within that time.
//!
//! | the wall clock | what fires |
//! | --- | --- |
//! | is not stepped | each occurrence, once, at its time |
//! | is stepped forward | each timer with skipped occurrences, once and late, however many occurrences were skipped |
//! | is stepped back by at most [`MAX_STEP_BACK`] | nothing before the latest wall time seen, so that no occurrence fires twice; then the next occurrence, at its time |
//! | is stepped back further | the clock is assumed to have been wrong before the step, and the schedule restarts from the present wall time |
//!
//! A process that was paused past an occurrence behaves as after a step forward. Nothing is stored across a restart:
//! occurrences that passed while the process was down do not fire.

use std::time::Duration;

use chrono::{DateTime, TimeDelta, Utc};
use croner::Cron;

/// The longest time between two readings of the wall clock, however far ahead the next occurrence is.
pub const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The longest step back after which the schedule waits for the clock to catch up. A clock that is stepped back further
/// was wrong before, and waiting for it would silence the timers.
pub const MAX_STEP_BACK: TimeDelta = TimeDelta::hours(24);

/// A timer that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// The timer's index among the patterns of the schedule.
    pub timer: usize,
    /// The wall time for which it was planned: the earliest occurrence that had not fired.
    pub planned: DateTime<Utc>,
}

#[derive(Debug)]
struct Timer {
    pattern: Cron,
    /// The earliest occurrence that has not fired; `None` if the pattern has no further ones.
    next: Option<DateTime<Utc>>,
}

impl Timer {
    fn plan_after(&mut self, wall: DateTime<Utc>) {
        self.next = self.pattern.find_next_occurrence(&wall, false).ok();
    }
}

/// The timers of one source.
#[derive(Debug)]
pub struct Schedule {
    timers: Vec<Timer>,
    /// Every occurrence up to this wall time has fired or was skipped.
    covered_until: DateTime<Utc>,
}

impl Schedule {
    /// Schedules the occurrences after a wall time.
    pub fn new(patterns: impl IntoIterator<Item = Cron>, wall: DateTime<Utc>) -> Self {
        let timers = patterns
            .into_iter()
            .map(|pattern| Timer {
                pattern,
                next: None,
            })
            .collect();
        let mut schedule = Schedule {
            timers,
            covered_until: wall,
        };
        schedule.restart_from(wall);
        schedule
    }

    fn restart_from(&mut self, wall: DateTime<Utc>) {
        self.covered_until = wall;
        for timer in &mut self.timers {
            timer.plan_after(wall);
        }
    }

    /// Takes the occurrences that are due at a wall time. Each occurrence is returned once, and each timer at most once
    /// in each call.
    pub fn due(&mut self, wall: DateTime<Utc>) -> Vec<Occurrence> {
        let behind = self.covered_until.signed_duration_since(wall);
        if behind > MAX_STEP_BACK {
            self.restart_from(wall);
            return Vec::new();
        }
        self.covered_until = self.covered_until.max(wall);
        let mut due = Vec::new();
        for (number, timer) in self.timers.iter_mut().enumerate() {
            if let Some(planned) = timer.next.filter(|next| *next <= wall) {
                due.push(Occurrence {
                    timer: number,
                    planned,
                });
                timer.plan_after(wall);
            }
        }
        due
    }

    /// The real time after which to call [`Schedule::due`] again; `None` if no timer has a further occurrence.
    pub fn time_until_check(&self, wall: DateTime<Utc>) -> Option<Duration> {
        let next = self.timers.iter().filter_map(|timer| timer.next).min()?;
        // The difference is negative if the occurrence is due already.
        let until_next = next
            .signed_duration_since(wall)
            .to_std()
            .unwrap_or_default();
        Some(until_next.min(MAX_CHECK_INTERVAL))
    }

    /// Removes all timers, so that nothing fires any more.
    pub fn stop(&mut self) {
        self.timers.clear();
    }
}
