//! When timers fire: schedules in wall time (UTC), without I/O.
//!
//! A schedule names occurrences in wall time, and the wall clock may be stepped. [`Schedule::due`] takes the wall time
//! and returns the timers that fire; [`Schedule::time_until_check`] returns the span of real time after which to ask
//! again, [`MAX_CHECK_INTERVAL`] at the most, so that a step is noticed within that span.
//!
//! | the wall clock | what fires |
//! | --- | --- |
//! | runs on | each occurrence once, at its time |
//! | is stepped forward | what was passed fires once, late: one call for each timer, not one for each occurrence missed |
//! | is stepped back, by [`MAX_STEP_BACK`] at the most | nothing that lies before the latest wall time seen: no occurrence fires a second time; the next one after it fires at its time |
//! | is stepped back further | the time before the step is taken for a fault of the clock; the schedule begins anew from the wall time now |
//!
//! A process held up past an occurrence is the same as a step forward. Nothing is stored across a restart: occurrences
//! that passed while the process was down do not fire.

use std::time::Duration;

use chrono::{DateTime, TimeDelta, Utc};
use croner::Cron;

/// The wall clock is looked at again after this span, however far ahead the next occurrence lies.
pub const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A clock set back further than this had been wrong before: waiting for it to catch up would silence the timers.
pub const MAX_STEP_BACK: TimeDelta = TimeDelta::hours(24);

/// A timer that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// Its place among the schedule's patterns.
    pub timer: usize,
    /// The wall time for which it was planned: the earliest one that had not fired.
    pub planned: DateTime<Utc>,
}

#[derive(Debug)]
struct Timer {
    pattern: Cron,
    /// The earliest occurrence that has not fired; `None` where the pattern has no further one.
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
    /// Every occurrence up to this wall time has fired or was passed.
    covered_until: DateTime<Utc>,
}

impl Schedule {
    /// Occurrences from this wall time on.
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
        schedule.begin_from(wall);
        schedule
    }

    fn begin_from(&mut self, wall: DateTime<Utc>) {
        self.covered_until = wall;
        for timer in &mut self.timers {
            timer.plan_after(wall);
        }
    }

    /// Takes what is due at this wall time; each occurrence is given out once.
    pub fn due(&mut self, wall: DateTime<Utc>) -> Vec<Occurrence> {
        let behind = self.covered_until.signed_duration_since(wall);
        if behind > MAX_STEP_BACK {
            self.begin_from(wall);
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

    /// After which span of real time to ask again; `None` where nothing will ever be due.
    pub fn time_until_check(&self, wall: DateTime<Utc>) -> Option<Duration> {
        let next = self.timers.iter().filter_map(|timer| timer.next).min()?;
        // An occurrence that is due already waits no longer.
        let until_next = next
            .signed_duration_since(wall)
            .to_std()
            .unwrap_or_default();
        Some(until_next.min(MAX_CHECK_INTERVAL))
    }

    /// Lets nothing fire any more.
    pub fn stop(&mut self) {
        self.timers.clear();
    }
}
