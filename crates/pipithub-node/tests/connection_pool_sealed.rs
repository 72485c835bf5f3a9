//! The connection pool without sockets: an attempt counts as cancelled only once its worker was told to give it up.
//! Until then it may run at the worker, so no second attempt of its call may start.

mod pool_harness;

use pipithub_node::connection_pool::{CancelResult, SendFailure};
use pipithub_node::effect::{ConnectionId, Effect};
use pool_harness::{LINE_BYTES, MS, PoolHarness, settings};

/// The length in bytes of a cancel message.
const CANCEL_BYTES: u64 = "{\"cmd\":\"UNDO\",\"ref\":\"0000000000000001\"}\n".len() as u64;

/// A connection with requests 1 and 2 at the worker, on which request 3 was written in part only and withdrawn.
fn sealed_connection() -> (PoolHarness, ConnectionId) {
    let (mut harness, connection) = connection_with_requests(3);
    harness.stop_reading(MS, connection, 2 * LINE_BYTES + 1);
    assert!(harness.cancel(MS, 3).not_sent);
    harness.effects();
    (harness, connection)
}

/// A connection on which this many requests were written.
fn connection_with_requests(requests: u64) -> (PoolHarness, ConnectionId) {
    let mut harness = PoolHarness::with_settings(settings(1, 8));
    let connection = harness.send(0, 1);
    (2..=requests).for_each(|request| harness.submit(0, request));
    harness.effects();
    (harness, connection)
}

fn is_pending(harness: &mut PoolHarness, request: u64) -> bool {
    matches!(harness.try_cancel(MS, request), CancelResult::Pending)
}

/// Guards against two attempts at once: no cancel message can follow a partially written line.
#[test]
fn attempt_stays_out_on_a_sealed_connection_that_another_request_needs() {
    let (mut harness, connection) = sealed_connection();
    assert!(is_pending(&mut harness, 1));
    harness.pool.sweep(200 * MS);
    assert_eq!((harness.failures(), harness.effects()), (vec![], vec![]));
    // The end of the connection gives the attempt up once the other request has its answer.
    assert!(harness.answer(300 * MS, connection, 2));
    assert_eq!(harness.effects(), [Effect::Close { connection }]);
    assert_eq!(harness.failures(), [(1, SendFailure::Cancelled)]);
}

#[test]
fn sealed_connection_is_closed_when_all_its_attempts_are_cancelled() {
    let (mut harness, connection) = sealed_connection();
    assert!(is_pending(&mut harness, 1));
    assert!(is_pending(&mut harness, 2));
    assert_eq!(harness.effects(), [Effect::Close { connection }]);
    let cancelled = [(1, SendFailure::Cancelled), (2, SendFailure::Cancelled)];
    assert_eq!(harness.failures(), cancelled);
}

#[test]
fn attempt_that_stays_out_may_still_be_answered_or_lose_its_connection() {
    let (mut harness, connection) = sealed_connection();
    assert!(is_pending(&mut harness, 1));
    assert!(harness.answer(2 * MS, connection, 1), "the answer counts");
    let (mut harness, connection) = sealed_connection();
    assert!(is_pending(&mut harness, 1));
    harness.break_connection(2 * MS, connection, u64::MAX);
    let lost = [
        (1, SendFailure::ConnectionLost),
        (2, SendFailure::ConnectionLost),
    ];
    assert_eq!(harness.failures(), lost);
}

/// Guards against a cancel message that is believed to be sent while it waits behind bytes that the worker does not read.
#[test]
fn attempt_is_cancelled_when_the_system_has_accepted_its_cancel_message() {
    let (mut harness, connection) = connection_with_requests(2);
    harness.stop_reading(MS, connection, LINE_BYTES);
    assert!(is_pending(&mut harness, 1));
    assert!(
        is_pending(&mut harness, 1),
        "a second order changes nothing"
    );
    assert_eq!(harness.writes(), 1);
    let end_of_message = 2 * LINE_BYTES + CANCEL_BYTES;
    harness.stop_reading(2 * MS, connection, end_of_message - 1);
    assert_eq!(harness.failures(), []);
    harness.stop_reading(3 * MS, connection, end_of_message);
    assert_eq!(harness.failures(), [(1, SendFailure::Cancelled)]);
}

/// Guards against a cancel message whose place was forgotten when a line in front of it was withdrawn.
#[test]
fn cancel_message_moves_up_with_the_lines_in_front_of_it() {
    let (mut harness, connection) = connection_with_requests(2);
    harness.stop_reading(MS, connection, LINE_BYTES);
    assert!(is_pending(&mut harness, 1));
    assert!(harness.cancel(MS, 2).not_sent);
    harness.stop_reading(2 * MS, connection, LINE_BYTES + CANCEL_BYTES);
    assert_eq!(harness.failures(), [(1, SendFailure::Cancelled)]);
}

/// Guards against cancel messages that are thrown away, unsent, with the rest of a partially written line.
#[test]
fn attempt_whose_cancel_message_was_withdrawn_is_given_up_by_the_end_of_the_connection() {
    let (mut harness, connection) = connection_with_requests(3);
    harness.stop_reading(MS, connection, 2 * LINE_BYTES + 1);
    assert!(is_pending(&mut harness, 1));
    harness.effects();
    assert!(harness.cancel(MS, 3).not_sent);
    let bytes = LINE_BYTES - 1 + CANCEL_BYTES;
    let withdrawn = pool_harness::cancel_write(connection, 2 * LINE_BYTES + 1, bytes);
    assert_eq!(harness.effects(), [withdrawn]);
    harness.resume_reading(2 * MS, connection);
    assert_eq!(harness.failures(), [], "the worker was told nothing");
    assert!(harness.answer(3 * MS, connection, 2));
    assert_eq!(harness.failures(), [(1, SendFailure::Cancelled)]);
}

#[test]
fn attempt_stays_out_where_workers_may_not_be_asked_to_cancel() {
    let mut harness = PoolHarness::without_cancel();
    let connection = harness.send(0, 1);
    assert!(is_pending(&mut harness, 1));
    assert_eq!((harness.failures(), harness.effects()), (vec![], vec![]));
    assert!(harness.answer(2 * MS, connection, 1));
}
