//! Tests of the keys that workers see, and of the change from plain keys to scoped ones.

use std::collections::BTreeSet;

use pipithub_admission::{KeyChange, KeyDecision, KeyOwner, KeyedCall};
use pipithub_clock::Reading;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;
const WALL_MS: u64 = 1_800_000_000_000;

/// Guards against a call that a worker takes for the repeat of another user's: it is answered as served and never runs.
#[test]
fn equal_keys_of_different_owners_are_different_at_workers() {
    let owners = [
        (KeyOwner::User("mai"), "1"),
        (KeyOwner::User("lan"), "1"),
        (KeyOwner::Tenant("mai"), "1"),
        (KeyOwner::User("mai/1"), "2"),
        (KeyOwner::User("mai"), "1/2"),
        (KeyOwner::User("mai%2F1"), "2"),
        (KeyOwner::User("mai"), "%2F1/2"),
    ];
    let scoped: BTreeSet<String> = owners
        .iter()
        .map(|(owner, key)| owner.scoped_key(key))
        .collect();
    assert_eq!(scoped.len(), owners.len(), "{scoped:?}");
    assert_eq!(KeyOwner::User("mai").scoped_key("1"), "user:mai/1");
    assert_eq!(KeyOwner::Tenant("north").scoped_key("1"), "tenant:north/1");
}

/// Guards against a call that runs twice, once by its plain key and once by the scoped one, because front ends change their
/// keys, or are upgraded, in the middle of its deduplication window.
#[test]
fn no_scoped_key_is_sent_while_workers_may_know_the_plain_one() {
    const CALL: KeyedCall = KeyedCall {
        needs_key: true,
        redelivered: false,
        lifetime: 14 * SECOND,
    };
    const REDELIVERED: KeyedCall = KeyedCall {
        redelivered: true,
        ..CALL
    };
    const WITHOUT_NEED: KeyedCall = KeyedCall {
        needs_key: false,
        ..CALL
    };
    // The clocks of front ends are ahead or behind by up to 30 s, and one was started long after the change.
    let started_at = |wall_ms: u64| Reading {
        now: 5 * SECOND,
        wall_ms,
    };
    let change = |reading| KeyChange::new(Some(WALL_MS + 60_000), reading);
    let at_true_time = |seconds: u64, ahead_seconds: u64| {
        let reading = started_at(WALL_MS + ahead_seconds * 1_000);
        change(reading).decide(5 * SECOND + seconds * SECOND, CALL)
    };
    // Relative to the earliest clock: the other one reaches the change 60 s later.
    let last_plain = (0..200)
        .rev()
        .find(|s| at_true_time(*s, 0) == KeyDecision::SendPlain);
    let first_scoped = (0..200).find(|s| at_true_time(*s, 60) == KeyDecision::SendScoped);
    assert_eq!(last_plain, Some(59));
    assert_eq!(
        first_scoped,
        Some(74),
        "the last plain key, its lifetime, and a second"
    );
    assert!(matches!(at_true_time(60, 0), KeyDecision::Reject { .. }));
    let during = change(started_at(WALL_MS + 60_000));
    assert_eq!(during.decide(5 * SECOND, REDELIVERED), KeyDecision::Fail);
    assert_eq!(
        during.decide(5 * SECOND, WITHOUT_NEED),
        KeyDecision::SendScoped
    );
    let late = change(started_at(WALL_MS + 3_600_000));
    assert_eq!(late.decide(5 * SECOND, CALL), KeyDecision::SendScoped);
    let never_plain = KeyChange::new(None, started_at(WALL_MS));
    assert_eq!(never_plain.decide(0, CALL), KeyDecision::SendScoped);
}
