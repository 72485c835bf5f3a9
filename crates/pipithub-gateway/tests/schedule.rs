//! Schedules across steps of the wall clock: each occurrence once, none twice.

use std::str::FromStr;
use std::time::Duration;

use chrono::{DateTime, TimeDelta, Utc};
use croner::Cron;
use pipithub_clock::ManualClock;
use pipithub_gateway::directory::first_poll_since;
use pipithub_gateway::schedule::{MAX_CHECK_INTERVAL, Schedule};

/// 2027-01-15 08:00:00 UTC, a whole hour.
const START_MS: u64 = 1_800_000_000_000;
const SECOND_MS: i64 = 1_000;
const HOUR_MS: i64 = 3_600 * SECOND_MS;
const NONE: [i64; 0] = [];

/// A schedule run as its shell runs it: wait for the span that it gives, then ask what is due.
struct Run {
    clock: ManualClock,
    schedule: Schedule,
    /// Seconds from the start at which what fired had been planned.
    planned: Vec<i64>,
}

impl Run {
    fn new(pattern: &str) -> Self {
        let clock = ManualClock::new(1, START_MS);
        let pattern = Cron::from_str(pattern).expect("a pattern");
        let schedule = Schedule::new([pattern], wall(&clock));
        Run {
            clock,
            schedule,
            planned: Vec::new(),
        }
    }

    /// Lets real time pass; what fired in it, by its planned time.
    fn pass(&mut self, span: Duration) -> Vec<i64> {
        let end = self.clock.read().now + span.as_nanos() as u64;
        let first = self.planned.len();
        loop {
            let now = self.clock.read().now;
            let wait = self
                .schedule
                .time_until_check(wall(&self.clock))
                .expect("it has occurrences");
            assert!(
                wait <= MAX_CHECK_INTERVAL,
                "a step would be seen {wait:?} late"
            );
            if now + wait.as_nanos() as u64 > end {
                self.clock.advance(end - now);
                return self.planned[first..].to_vec();
            }
            // As sleeps do, it ends no earlier than asked for.
            self.clock.advance((wait.as_nanos() as u64).max(1));
            self.ask();
        }
    }

    fn ask(&mut self) {
        for due in self.schedule.due(wall(&self.clock)) {
            assert!(due.planned <= wall(&self.clock), "before its time");
            self.planned
                .push(due.planned.timestamp() - (START_MS / 1_000) as i64);
        }
    }
}

fn wall(clock: &ManualClock) -> DateTime<Utc> {
    DateTime::from_timestamp_millis(clock.read().wall_ms as i64).expect("in range")
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn without_steps_each_occurrence_fires_once_at_its_time() {
    let mut run = Run::new("*/10 * * * * *");
    assert_eq!(run.pass(seconds(35)), [10, 20, 30]);
}

#[test]
fn after_a_step_forward_what_was_passed_fires_once_and_within_a_second() {
    let mut run = Run::new("0 30 * * * *");
    assert_eq!(run.pass(seconds(60)), NONE);
    run.clock.step_wall_ms(HOUR_MS);
    // The occurrence at half past eight was passed; the next one is at half past nine.
    assert_eq!(run.pass(seconds(2)), [30 * 60]);
    assert_eq!(run.pass(seconds(29 * 60)), [90 * 60]);
}

#[test]
fn of_many_occurrences_passed_one_fires() {
    let mut run = Run::new("* * * * * *");
    assert_eq!(run.pass(seconds(2)), [1, 2]);
    run.clock.step_wall_ms(HOUR_MS);
    assert_eq!(run.pass(seconds(3)), [3, 3_603, 3_604]);
}

/// The wait had been taken in one go from the wall time before the step.
#[test]
fn a_step_back_makes_no_occurrence_later_than_its_wall_time() {
    let mut run = Run::new("0 30 * * * *");
    assert_eq!(run.pass(seconds(29 * 60)), NONE);
    run.clock.step_wall_ms(-60 * SECOND_MS);
    assert_eq!(run.pass(seconds(60)), NONE);
    assert_eq!(run.pass(seconds(60)), [30 * 60]);
    assert_eq!(run.pass(seconds(3_600)), [90 * 60]);
}

#[test]
fn after_a_step_back_nothing_fires_twice() {
    for step_ms in [-SECOND_MS, -7 * SECOND_MS, -HOUR_MS] {
        let mut run = Run::new("* * * * * *");
        assert_eq!(run.pass(seconds(20)), (1..=20).collect::<Vec<_>>());
        run.clock.step_wall_ms(step_ms);
        let caught_up = seconds(step_ms.unsigned_abs() / 1_000);
        assert_eq!(run.pass(caught_up), NONE, "fired before, step {step_ms}");
        assert_eq!(run.pass(seconds(3)), [21, 22, 23], "step {step_ms}");
    }
}

/// Steps at every point of the run, there and back again, some while nothing asks.
#[test]
fn whatever_the_steps_no_occurrence_fires_twice() {
    let steps = [
        7, -7, 3_600, -3_600, -1, 1, -3_600, 3_600, 59, -61, 2, 20_000, -20_000,
    ];
    for offset in 0..steps.len() {
        let mut run = Run::new("*/5 * * * * *");
        for (turn, step) in steps
            .iter()
            .cycle()
            .skip(offset)
            .take(steps.len())
            .enumerate()
        {
            run.pass(Duration::from_millis(1_300 * turn as u64 + 400));
            run.clock.step_wall_ms(step * SECOND_MS);
            if turn % 2 == 0 {
                run.ask();
            }
        }
        run.pass(seconds(3 * 3_600));
        let mut once = run.planned.clone();
        once.dedup();
        assert!(
            run.planned.is_sorted() && once == run.planned,
            "offset {offset}: {:?}",
            run.planned
        );
        assert!(!run.planned.is_empty(), "offset {offset}");
    }
}

/// A clock that had been years ahead must not silence its timers for years.
#[test]
fn after_a_step_back_of_more_than_a_day_the_schedule_begins_anew() {
    let mut run = Run::new("*/10 * * * * *");
    run.clock.step_wall_ms(24 * 365 * HOUR_MS);
    assert_eq!(run.pass(seconds(2)), [10], "what was passed, once");
    run.clock.step_wall_ms(-24 * 365 * HOUR_MS);
    assert_eq!(run.pass(seconds(28)), [10, 20, 30]);
}

#[test]
fn stopped_or_without_occurrences_nothing_is_waited_for() {
    let mut run = Run::new("* * * * * *");
    run.schedule.stop();
    assert_eq!(run.schedule.time_until_check(wall(&run.clock)), None);
    assert_eq!(run.schedule.due(wall(&run.clock) + TimeDelta::hours(1)), []);
    let none = Schedule::new([], wall(&run.clock));
    assert_eq!(none.time_until_check(wall(&run.clock)), None);
}

/// Asked from now on by a clock an hour ahead, a directory would tell no change for an hour.
#[test]
fn the_first_poll_of_a_directory_reaches_back_over_a_step() {
    let true_time = "20270115080000Z";
    let mut clock = ManualClock::new(1, START_MS);
    clock.step_wall_ms(HOUR_MS);
    assert!(first_poll_since(clock.read().wall_ms).as_str() < true_time);
    assert_eq!(first_poll_since(0).as_str(), "19691231225958Z");
    assert!(!first_poll_since(u64::MAX).is_empty());
}
