//! What was forgotten is not new.

use pipithub_clock::ManualClock;
use pipithub_consumer::replay::{ReplayMemory, Tolerance};

const MS: u64 = 1_000_000;
const WALL: u64 = 1_800_000_000_000;
const TOLERANCE: Tolerance = Tolerance {
    behind_ms: 60_000,
    ahead_ms: 30_000,
};

fn is_new(memory: &mut ReplayMemory, id: &str, sent_ms: u64, clock: &ManualClock) -> bool {
    let reading = clock.read();
    memory.is_new(id, sent_ms, reading.now, reading.wall_ms, TOLERANCE)
}

/// For want of room an id had been forgotten while its message was still in its time.
#[test]
fn what_was_forgotten_for_want_of_room_is_not_new() {
    let mut clock = ManualClock::new(1, WALL);
    let mut memory = ReplayMemory::with_capacity(10);
    for n in 0..100 {
        assert!(
            is_new(&mut memory, &format!("{n}"), clock.read().wall_ms, &clock),
            "{n}"
        );
        clock.advance(100 * MS);
    }
    for n in 0..100 {
        assert!(
            !is_new(&mut memory, &format!("{n}"), WALL + 100 * n, &clock),
            "{n}"
        );
    }
}

/// Timestamps far apart: the spans stay few and none of them is lost.
#[test]
fn forgotten_timestamps_stay_forgotten_in_any_order() {
    let clock = ManualClock::new(1, WALL);
    let mut memory = ReplayMemory::with_capacity(1);
    let sent = |n: u64| WALL + (n * 37 % 101) * 10_000;
    let mut taken = Vec::new();
    for n in 0..101 {
        if is_new(&mut memory, &format!("{n}"), sent(n), &clock) {
            taken.push(n);
        }
    }
    assert!(taken.len() > 8, "{}", taken.len());
    for n in taken {
        assert!(
            !is_new(&mut memory, &format!("{n}"), sent(n), &clock),
            "{n}"
        );
    }
}

#[test]
fn between_forgotten_spans_messages_are_new() {
    let mut clock = ManualClock::new(1, WALL);
    let mut memory = ReplayMemory::default();
    assert!(is_new(&mut memory, "before", WALL, &clock));
    clock.step_wall_ms(7_200_000);
    assert!(is_new(&mut memory, "ahead", clock.read().wall_ms, &clock));
    clock.advance(3_700_000 * MS);
    assert!(is_new(&mut memory, "later", clock.read().wall_ms, &clock));
    // Both are forgotten by now; back at the true time, an hour after the start, nothing was signed before.
    clock.step_wall_ms(-7_200_000);
    assert!(is_new(&mut memory, "between", clock.read().wall_ms, &clock));
    assert!(!is_new(&mut memory, "ahead", WALL + 7_200_000, &clock));
    assert!(!is_new(&mut memory, "before", WALL, &clock));
}

/// An id is remembered for as long as its message could still be accepted; new messages of that time are not refused.
#[test]
fn messages_signed_ahead_are_remembered_until_their_time_is_over() {
    let mut clock = ManualClock::new(1, WALL);
    let mut memory = ReplayMemory::default();
    clock.step_wall_ms(7_200_000);
    let ahead_ms = clock.read().wall_ms;
    assert!(is_new(&mut memory, "first", ahead_ms, &clock));
    assert!(is_new(&mut memory, "second", ahead_ms + 500, &clock));
    clock.step_wall_ms(-7_200_000);
    clock.advance(3_700_000 * MS);
    assert!(is_new(
        &mut memory,
        "meanwhile",
        clock.read().wall_ms,
        &clock
    ));
    clock.advance(3_500_200 * MS);
    assert_eq!(clock.read().wall_ms, ahead_ms + 200);
    assert!(is_new(&mut memory, "third", ahead_ms + 200, &clock));
    assert!(!is_new(&mut memory, "first", ahead_ms, &clock));
    assert!(!is_new(&mut memory, "second", ahead_ms + 500, &clock));
}
