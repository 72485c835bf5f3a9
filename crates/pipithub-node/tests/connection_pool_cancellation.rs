//! The connection pool without sockets: requests that are cancelled, and answers that come after that.

mod pool_harness;

use bytes::Bytes;
use pipithub_node::connection_pool::SendFailure;
use pipithub_node::effect::Effect;
use pool_harness::{MS, PoolHarness};

#[test]
fn cancelled_request_is_cancelled_at_the_worker_and_its_late_answer_is_ignored() {
    let mut harness = PoolHarness::new(4);
    let connection = harness.send(0, 1);
    harness.cancel(MS, 1);
    let bytes = Bytes::from_static(b"{\"cmd\":\"UNDO\",\"ref\":\"0000000000000001\"}\n");
    assert_eq!(harness.effects(), [Effect::Write { connection, bytes }]);
    assert!(!harness.answer(MS, connection, 1));
}

#[test]
fn timed_out_request_is_not_cancelled_at_the_worker_if_settings_forbid_it() {
    let mut harness = PoolHarness::without_cancel();
    let connection = harness.send(0, 1);
    harness.pool.sweep(5_000 * MS);
    assert_eq!(harness.failures(), [(1, SendFailure::TimedOut)]);
    assert_eq!(harness.effects(), [], "no cancel message");
    assert!(
        !harness.answer(5_001 * MS, connection, 1),
        "its late answer is ignored"
    );
}

#[test]
fn abandoned_request_is_not_written_when_its_connection_comes_up() {
    let mut harness = PoolHarness::without_cancel();
    harness.submit(0, 1);
    let connection = harness.requested_connections()[0];
    assert!(harness.abandon(MS, 1), "it was not sent");
    harness.pool.connected(100 * MS, connection);
    assert_eq!(harness.effects(), []);
}

#[test]
fn abandoned_request_is_not_resent_when_its_connection_breaks() {
    let mut harness = PoolHarness::without_cancel();
    harness.submit(0, 1);
    let connection = harness.establish_requested(0);
    assert_eq!(harness.writes(), 1);
    assert!(!harness.abandon(MS, 1), "it may have been sent");
    harness.break_connection(MS, connection, 3);
    assert_eq!(
        (harness.failures(), harness.effects()),
        (vec![(1, SendFailure::NeverSent)], vec![])
    );
}

/// An answer may come twice, and the second time its reference may be in use again: for another attempt, or because a
/// client repeats a call.
#[test]
fn reused_reference_is_sent_on_another_connection_than_its_last_use() {
    let mut harness = PoolHarness::new(4);
    let first = harness.send(0, 1);
    assert!(harness.answer(MS, first, 1));
    let second = harness.send(2 * MS, 1);
    assert_ne!(first, second, "a duplicate answer may still come there");
    assert!(!harness.answer(3 * MS, first, 1));
    assert!(harness.answer(4 * MS, second, 1));
    // The answer to a cancelled request may still come too.
    let third = harness.send(5 * MS, 2);
    harness.cancel(MS, 2);
    let fourth = harness.send(6 * MS, 2);
    assert_ne!(third, fourth);
}

#[test]
fn reused_reference_fails_unsent_if_no_other_connection_is_established() {
    let mut harness = PoolHarness::new(1);
    let first = harness.send(0, 1);
    assert!(harness.answer(MS, first, 1));
    harness.submit(2 * MS, 1);
    harness.pool.sweep(20_000 * MS);
    assert_eq!(harness.failures(), [(1, SendFailure::Unreachable)]);
}
