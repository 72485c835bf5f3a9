//! Tests of cron schedules while the wall clock is stepped: each occurrence fires at most once.

use std::str::FromStr;
use std::time::Duration;

use chrono::{DateTime, TimeDelta, Utc};
use croner::Cron;
use pipithub_clock::ManualClock;
use pipithub_gateway::directory::first_poll_since;
use pipithub_gateway::schedule::{MAX_CHECK_INTERVAL, Schedule};

/// 2027-01-15 08:00:00 UTC, at the full hour.
const START_MS: u64 = 1_800_000_000_000;
const SECOND_MS: i64 = 1_000;
const HOUR_MS: i64 = 3_600 * SECOND_MS;
const NONE: [i64; 0] = [];

/// Runs a schedule as the gateway does: waits for the time that it returns, and then checks what is due.
struct ScheduleRunner {
    clock: ManualClock,
    schedule: Schedule,
    /// The planned times of the occurrences that have fired, in seconds after the start.
    planned: Vec<i64>,
}

impl ScheduleRunner {
    fn new(pattern: &str) -> Self {
        let clock = ManualClock::new(1, START_MS);
        let pattern = Cron::from_str(pattern).expect("a pattern");
        let schedule = Schedule::new([pattern], wall(&clock));
        ScheduleRunner {
            clock,
            schedule,
            planned: Vec::new(),
        }
    }

    /// Advances the clock, and returns the planned times of the occurrences that fired meanwhile.
    fn advance(&mut self, duration: Duration) -> Vec<i64> {
        let end = self.clock.read().now + duration.as_nanos() as u64;
        let first = self.planned.len();
        loop {
            let now = self.clock.read().now;
            let wait = self
                .schedule
                .time_until_check(wall(&self.clock))
                .expect("the schedule has occurrences");
            assert!(
                wait <= MAX_CHECK_INTERVAL,
                "a step would be noticed {wait:?} late"
            );
            if now + wait.as_nanos() as u64 > end {
                self.clock.advance(end - now);
                return self.planned[first..].to_vec();
            }
            // Like a sleep, this never ends earlier than requested.
            self.clock.advance((wait.as_nanos() as u64).max(1));
            self.check();
        }
    }

    fn check(&mut self) {
        for due in self.schedule.due(wall(&self.clock)) {
            assert!(
                due.planned <= wall(&self.clock),
                "fired before its planned time"
            );
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
fn each_occurrence_fires_once_at_its_time_without_steps() {
    let mut runner = ScheduleRunner::new("*/10 * * * * *");
    assert_eq!(runner.advance(seconds(35)), [10, 20, 30]);
}

#[test]
fn skipped_occurrence_fires_once_within_a_second_after_a_step_forward() {
    let mut runner = ScheduleRunner::new("0 30 * * * *");
    assert_eq!(runner.advance(seconds(60)), NONE);
    runner.clock.step_wall_ms(HOUR_MS);
    // The occurrence at 08:30 was skipped, and the next one is at 09:30.
    assert_eq!(runner.advance(seconds(2)), [30 * 60]);
    assert_eq!(runner.advance(seconds(29 * 60)), [90 * 60]);
}

#[test]
fn only_one_of_many_skipped_occurrences_fires() {
    let mut runner = ScheduleRunner::new("* * * * * *");
    assert_eq!(runner.advance(seconds(2)), [1, 2]);
    runner.clock.step_wall_ms(HOUR_MS);
    assert_eq!(runner.advance(seconds(3)), [3, 3_603, 3_604]);
}

/// The schedule must not wait for a duration that was computed before the step.
#[test]
fn step_back_does_not_delay_an_occurrence_beyond_its_wall_time() {
    let mut runner = ScheduleRunner::new("0 30 * * * *");
    assert_eq!(runner.advance(seconds(29 * 60)), NONE);
    runner.clock.step_wall_ms(-60 * SECOND_MS);
    assert_eq!(runner.advance(seconds(60)), NONE);
    assert_eq!(runner.advance(seconds(60)), [30 * 60]);
    assert_eq!(runner.advance(seconds(3_600)), [90 * 60]);
}

#[test]
fn no_occurrence_fires_twice_after_a_step_back() {
    for step_ms in [-SECOND_MS, -7 * SECOND_MS, -HOUR_MS] {
        let mut runner = ScheduleRunner::new("* * * * * *");
        assert_eq!(runner.advance(seconds(20)), (1..=20).collect::<Vec<_>>());
        runner.clock.step_wall_ms(step_ms);
        let catch_up_time = seconds(step_ms.unsigned_abs() / 1_000);
        assert_eq!(
            runner.advance(catch_up_time),
            NONE,
            "fired twice, step {step_ms}"
        );
        assert_eq!(runner.advance(seconds(3)), [21, 22, 23], "step {step_ms}");
    }
}

/// Steps the clock back and forth at different points, in part without a check after the step.
#[test]
fn no_occurrence_fires_twice_for_any_sequence_of_steps() {
    let steps = [
        7, -7, 3_600, -3_600, -1, 1, -3_600, 3_600, 59, -61, 2, 20_000, -20_000,
    ];
    for offset in 0..steps.len() {
        let mut runner = ScheduleRunner::new("*/5 * * * * *");
        for (turn, step) in steps
            .iter()
            .cycle()
            .skip(offset)
            .take(steps.len())
            .enumerate()
        {
            runner.advance(Duration::from_millis(1_300 * turn as u64 + 400));
            runner.clock.step_wall_ms(step * SECOND_MS);
            if turn % 2 == 0 {
                runner.check();
            }
        }
        runner.advance(seconds(3 * 3_600));
        let mut distinct = runner.planned.clone();
        distinct.dedup();
        assert!(
            runner.planned.is_sorted() && distinct == runner.planned,
            "offset {offset}: {:?}",
            runner.planned
        );
        assert!(!runner.planned.is_empty(), "offset {offset}");
    }
}

/// A clock that was years ahead must not silence the timers for years.
#[test]
fn schedule_restarts_after_a_step_back_of_more_than_a_day() {
    let mut runner = ScheduleRunner::new("*/10 * * * * *");
    runner.clock.step_wall_ms(24 * 365 * HOUR_MS);
    assert_eq!(
        runner.advance(seconds(2)),
        [10],
        "the skipped occurrences fire once"
    );
    runner.clock.step_wall_ms(-24 * 365 * HOUR_MS);
    assert_eq!(runner.advance(seconds(28)), [10, 20, 30]);
}

#[test]
fn stopped_or_empty_schedule_needs_no_check() {
    let mut runner = ScheduleRunner::new("* * * * * *");
    let now = wall(&runner.clock);
    runner.schedule.stop();
    assert_eq!(runner.schedule.time_until_check(now), None);
    assert_eq!(runner.schedule.due(now + TimeDelta::hours(1)), []);
    let empty = Schedule::new([], now);
    assert_eq!(empty.time_until_check(now), None);
}

/// If this machine's clock is an hour ahead, a poll that began at its present time would miss all changes for an hour.
#[test]
fn first_directory_poll_begins_before_the_servers_time_if_the_clock_is_ahead() {
    let true_time = "20270115080000Z";
    let mut clock = ManualClock::new(1, START_MS);
    clock.step_wall_ms(HOUR_MS);
    assert!(first_poll_since(clock.read().wall_ms).as_str() < true_time);
    assert_eq!(first_poll_since(0).as_str(), "19691231225958Z");
    assert!(!first_poll_since(u64::MAX).is_empty());
}
