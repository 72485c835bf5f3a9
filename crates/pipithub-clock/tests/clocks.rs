//! Both clocks, and the manual one that tests step.

use pipithub_clock::{Clock, ManualClock, Reading, wall_ms};

const SECOND: u64 = 1_000_000_000;
const HOUR_MS: i64 = 3_600_000;

#[test]
fn a_step_of_the_wall_moves_no_monotonic_time() {
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
fn the_clock_reads_both_times() {
    let clock = Clock::default();
    let (before, wall_before) = (clock.now(), wall_ms());
    let reading = clock.read();
    assert!(reading.now >= before && reading.now <= clock.now());
    // The wall clock may be stepped while this runs; that it is set at all can be said.
    assert!(reading.wall_ms > 0 && wall_before > 0);
}

#[test]
fn a_stamp_becomes_a_monotonic_time_that_no_later_step_moves() {
    let mut clock = ManualClock::new(100 * SECOND, 1_000_000);
    assert_eq!(clock.read().time_of_stamp(995_000), 95 * SECOND);
    clock.step_wall_ms(HOUR_MS);
    // The same five seconds, told by a stamp of the stepped clock.
    assert_eq!(
        clock.read().time_of_stamp(995_000 + HOUR_MS as u64),
        95 * SECOND
    );
    assert_eq!(
        clock.read().time_of_stamp(u64::MAX),
        100 * SECOND,
        "in the future: now"
    );
    assert_eq!(
        clock.read().time_of_stamp(0),
        1,
        "before the beginning: never 0, which means unknown"
    );
}
