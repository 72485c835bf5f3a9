//! Tests of replays of messages whose ids were forgotten.

use pipithub_clock::ManualClock;
use pipithub_consumer::replay::{ReplayMemory, SignedId, Tolerance};

const MS: u64 = 1_000_000;
const WALL_MS: u64 = 1_800_000_000_000;
const TOLERANCE: Tolerance = Tolerance {
    behind_ms: 60_000,
    ahead_ms: 30_000,
};

fn is_new(memory: &mut ReplayMemory, id: &str, sent_ms: u64, clock: &ManualClock) -> bool {
    let reading = clock.read();
    let id = SignedId {
        key_id: "desk",
        user: "mai",
        message_id: id,
    };
    memory.is_new(id, sent_ms, reading.now, reading.wall_ms, TOLERANCE)
}

/// An id may be forgotten because the memory is full, while its message could still be accepted. A replay of the
/// message must be rejected nevertheless.
#[test]
fn message_forgotten_because_the_memory_was_full_is_not_new() {
    let mut clock = ManualClock::new(1, WALL_MS);
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
            !is_new(&mut memory, &format!("{n}"), WALL_MS + 100 * n, &clock),
            "{n}"
        );
    }
}

/// Timestamps that are far apart form more spans than are kept, so that spans are joined. No timestamp may be lost.
#[test]
fn messages_forgotten_in_any_sequence_are_not_new() {
    let clock = ManualClock::new(1, WALL_MS);
    let mut memory = ReplayMemory::with_capacity(1);
    let sent = |n: u64| WALL_MS + (n * 37 % 101) * 10_000;
    let mut accepted = Vec::new();
    for n in 0..101 {
        if is_new(&mut memory, &format!("{n}"), sent(n), &clock) {
            accepted.push(n);
        }
    }
    assert!(accepted.len() > 8, "{}", accepted.len());
    for n in accepted {
        assert!(
            !is_new(&mut memory, &format!("{n}"), sent(n), &clock),
            "{n}"
        );
    }
}

#[test]
fn message_between_forgotten_spans_is_new() {
    let mut clock = ManualClock::new(1, WALL_MS);
    let mut memory = ReplayMemory::default();
    assert!(is_new(&mut memory, "before", WALL_MS, &clock));
    clock.step_wall_ms(7_200_000);
    assert!(is_new(&mut memory, "ahead", clock.read().wall_ms, &clock));
    clock.advance(3_700_000 * MS);
    assert!(is_new(&mut memory, "later", clock.read().wall_ms, &clock));
    // The first two ids are forgotten by now. At the true time, an hour after the start, no message was signed yet.
    clock.step_wall_ms(-7_200_000);
    assert!(is_new(&mut memory, "between", clock.read().wall_ms, &clock));
    assert!(!is_new(&mut memory, "ahead", WALL_MS + 7_200_000, &clock));
    assert!(!is_new(&mut memory, "before", WALL_MS, &clock));
}

/// An id is remembered for as long as its message could be accepted, and new messages of that time are accepted.
#[test]
fn messages_signed_by_a_clock_ahead_are_remembered_until_they_expire() {
    let mut clock = ManualClock::new(1, WALL_MS);
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

/// Guards against a call that never runs because another user, or the holder of another key, has used its message id.
#[test]
fn message_id_of_another_user_or_key_is_new() {
    let clock = ManualClock::new(1, WALL_MS);
    let mut memory = ReplayMemory::with_capacity(10);
    let ids = [
        ("desk", "mai", "1"),
        ("desk", "lan", "1"),
        ("ward", "mai", "1"),
        ("desk", "mai1", ""),
    ];
    let now = clock.read().now;
    let mut is_new = |(key_id, user, message_id)| {
        let id = SignedId {
            key_id,
            user,
            message_id,
        };
        let is_remembered = memory.remembers(id);
        let is_new = memory.is_new(id, WALL_MS, now, WALL_MS, TOLERANCE);
        assert_ne!(is_new, is_remembered, "{id:?}");
        is_new
    };
    assert_eq!(ids.map(&mut is_new), [true; 4]);
    assert_eq!(ids.map(&mut is_new), [false; 4]);
}
