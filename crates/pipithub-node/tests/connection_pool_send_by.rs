//! The connection pool without sockets: requests that must not be written after a certain time, such as the repetition
//! of a call with an idempotency key. They are handed back unsent on every way to a worker.

mod pool_harness;

use pipithub_engine::Time;
use pipithub_node::connection_pool::SendFailure;
use pool_harness::{LINE_BYTES, MS, PoolHarness, cancel_write, settings, worker_request};

/// The time from which the requests of these tests must not be written any more.
const SEND_BY: Time = 50 * MS;

fn submit_with_limit(harness: &mut PoolHarness, now: Time, request: u64) {
    harness.submit_request(now, worker_request(now, request).send_by(Some(SEND_BY)));
}

/// Guards against a call that is sent again after its deduplication window because a new connection came up late.
#[test]
fn request_is_not_written_on_a_connection_that_is_established_too_late() {
    for (established_at, is_written) in [(SEND_BY - 1, true), (SEND_BY, false)] {
        let mut harness = PoolHarness::new(4);
        submit_with_limit(&mut harness, 0, 1);
        harness.establish_requested(established_at);
        assert_eq!(harness.writes(), usize::from(is_written));
        let failures = harness.failures();
        let not_sent = vec![(1, SendFailure::NeverSent)];
        assert_eq!(failures, if is_written { vec![] } else { not_sent });
    }
}

/// Guards against the same when all streams of the established connections are in use.
#[test]
fn request_is_not_written_when_a_stream_becomes_free_too_late() {
    for (answered_at, is_written) in [(SEND_BY - 1, true), (SEND_BY, false)] {
        let mut harness = PoolHarness::with_settings(settings(1, 1));
        let connection = harness.send(0, 1);
        submit_with_limit(&mut harness, 0, 2);
        assert_eq!(harness.writes(), 0, "the only stream is in use");
        assert!(harness.answer(answered_at, connection, 1));
        assert_eq!(harness.writes(), usize::from(is_written));
        let failures = harness.failures();
        let not_sent = vec![(2, SendFailure::NeverSent)];
        assert_eq!(failures, if is_written { vec![] } else { not_sent });
    }
}

/// Guards against a request that waits on, so that no other worker could be tried in time.
#[test]
fn waiting_request_is_handed_back_when_its_time_is_over() {
    let mut harness = PoolHarness::new(4);
    submit_with_limit(&mut harness, 0, 1);
    harness.pool.sweep(SEND_BY - 1);
    assert_eq!(harness.failures(), []);
    harness.pool.sweep(SEND_BY);
    assert_eq!(harness.failures(), [(1, SendFailure::NeverSent)]);
}

/// Guards against lines that a worker reads late because they waited, unaccepted, behind other bytes.
#[test]
fn line_that_the_system_has_not_accepted_completely_is_withdrawn() {
    for accepted in [LINE_BYTES, LINE_BYTES + 2] {
        let mut harness = PoolHarness::with_settings(settings(1, 8));
        let connection = harness.send(0, 1);
        submit_with_limit(&mut harness, 0, 2);
        harness.effects();
        harness.stop_reading(MS, connection, accepted);
        harness.pool.sweep(SEND_BY - 1);
        assert_eq!((harness.effects(), harness.failures()), (vec![], vec![]));
        harness.pool.sweep(SEND_BY);
        let withdrawn = cancel_write(connection, accepted, 2 * LINE_BYTES - accepted);
        assert_eq!(harness.effects(), [withdrawn]);
        assert_eq!(harness.failures(), [(2, SendFailure::NeverSent)]);
    }
}

/// Guards against a second write of a line that a broken connection has taken only in part.
#[test]
fn incomplete_line_is_not_written_again_on_another_connection_too_late() {
    let mut harness = PoolHarness::new(4);
    submit_with_limit(&mut harness, 0, 1);
    let first = harness.establish_requested(0);
    assert_eq!(harness.writes(), 1);
    harness.break_connection(SEND_BY - 1, first, LINE_BYTES - 1);
    harness.establish_requested(SEND_BY);
    assert_eq!(harness.writes(), 0);
    assert_eq!(harness.failures(), [(1, SendFailure::NeverSent)]);
}
