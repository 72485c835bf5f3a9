//! The clocks of the system, and the manual clock of other crates' tests.

use pipithub_clock::{Clock, ManualClock, Reading, wall_ms};

const SECOND: u64 = 1_000_000_000;
const HOUR_MS: i64 = 3_600_000;

#[test]
fn step_of_the_wall_clock_leaves_monotonic_time_unchanged() {
    let mut clock = ManualClock::new(5, 10_000);
    clock.advance(SECOND);
    assert_eq!(
        clock.read(),
        Reading {
            now: 5 + SECOND,
            wall_ms: 11_000
        }
    );
    clock.step_wall_ms(HOUR_MS);
    assert_eq!(
        clock.read(),
        Reading {
            now: 5 + SECOND,
            wall_ms: 11_000 + HOUR_MS as u64
        }
    );
    clock.step_wall_ms(-HOUR_MS - 1_000);
    assert_eq!(
        clock.read(),
        Reading {
            now: 5 + SECOND,
            wall_ms: 10_000
        }
    );
    clock.step_wall_ms(i64::MIN);
    clock.step_wall_ms(i64::MAX);
    clock.advance(u64::MAX);
    assert_eq!(clock.read().now, u64::MAX, "no overflow");
}

#[test]
fn reading_holds_monotonic_and_wall_time() {
    let clock = Clock::default();
    let (before, wall_before) = (clock.now(), wall_ms());
    let reading = clock.read();
    assert!(reading.now >= before && reading.now <= clock.now());
    // The wall clock may be stepped while the test runs, so the test only checks that it is set.
    assert!(reading.wall_ms > 0 && wall_before > 0);
}

#[test]
fn timestamp_has_the_same_monotonic_time_after_a_step_of_the_wall_clock() {
    let mut clock = ManualClock::new(100 * SECOND, 1_000_000);
    assert_eq!(clock.read().time_of_timestamp(995_000), 95 * SECOND);
    clock.step_wall_ms(HOUR_MS);
    // The age is still five seconds, by a timestamp of the stepped clock.
    assert_eq!(
        clock.read().time_of_timestamp(995_000 + HOUR_MS as u64),
        95 * SECOND
    );
    assert_eq!(
        clock.read().time_of_timestamp(u64::MAX),
        100 * SECOND,
        "a timestamp in the future"
    );
    assert_eq!(
        clock.read().time_of_timestamp(0),
        1,
        "a timestamp before the origin gives 1, because 0 means unknown"
    );
}
