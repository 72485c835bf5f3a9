//! The connection pool without sockets: lines that a worker has not read, or not completely, are withdrawn or sent on
//! another connection.

mod pool_harness;

use bytes::Bytes;
use pipithub_node::connection_pool::{Payload, RequestKind, SendFailure, WorkerRequest};
use pipithub_node::effect::Effect;
use pipithub_platform::worker::RunRequest;
use pool_harness::{
    LINE_BYTES, MS, PoolHarness, attempt, cancel_write, reference, settings, worker_request,
};

#[test]
fn incompletely_written_request_is_resent_twice_and_then_fails_as_unreachable() {
    let mut harness = PoolHarness::new(4);
    harness.submit(0, 1);
    for _ in 0..3 {
        let connection = harness.establish_requested(0);
        assert!(harness.failures().is_empty());
        // All but the line feed was accepted.
        harness.break_connection(0, connection, LINE_BYTES - 1);
    }
    assert_eq!(harness.failures(), [(1, SendFailure::Unreachable)]);
}

#[test]
fn completely_written_request_is_lost_with_its_connection() {
    let mut harness = PoolHarness::new(4);
    harness.submit(0, 2);
    let connection = harness.establish_requested(0);
    harness.break_connection(0, connection, LINE_BYTES);
    assert_eq!(
        harness.failures(),
        [(2, SendFailure::ConnectionLost)],
        "a complete line may have been read"
    );
}

#[test]
fn malformed_answer_fails_written_requests_and_resends_those_not_handed_over() {
    let mut harness = PoolHarness::with_settings(settings(1, 1));
    let connection = harness.send(0, 1);
    harness.submit(0, 2);
    harness.effects();
    // One read returns the first answer, after which the second request is written, and then a malformed line.
    assert!(harness.answer(MS, connection, 1));
    harness.pool.close_malformed(MS, connection);
    assert!(harness.failures().is_empty(), "it is sent again");
    let effects = harness.effects();
    let [
        Effect::Close { connection: closed },
        Effect::Connect {
            connection: next, ..
        },
    ] = effects[..]
    else {
        panic!("{effects:?}")
    };
    assert_eq!(closed, connection);
    // A line that was handed over to the shell may have run.
    harness.pool.connected(MS, next);
    harness.effects();
    harness.pool.close_malformed(MS, next);
    assert_eq!(harness.failures(), [(2, SendFailure::Malformed)]);
}

/// A worker stops reading. Lines in the shell's buffer would run once the worker reads again, even if they were
/// cancelled.
#[test]
fn cancelled_request_that_the_worker_has_not_read_is_withdrawn() {
    let mut harness = PoolHarness::with_settings(settings(1, 8));
    let connection = harness.send(0, 1);
    (2..=4).for_each(|request| harness.submit(0, request));
    assert_eq!(harness.effects().len(), 3);
    // The operating system has accepted the first line and two bytes of the second.
    let accepted = LINE_BYTES + 2;
    harness.stop_reading(MS, connection, accepted);
    harness.submit(MS, 5);
    assert_eq!(harness.effects(), [], "nothing more is written behind them");
    // The line behind a withdrawn one moves up, to the same offset.
    for request in [3, 4] {
        let cancelled = harness.cancel(MS, request);
        assert!(cancelled.not_sent, "request {request} has not been sent");
        let withdrawn = cancel_write(connection, 2 * LINE_BYTES, LINE_BYTES);
        assert_eq!(harness.effects(), [withdrawn]);
    }
    // Of a partially accepted line the rest is withdrawn, and nothing may follow it.
    assert!(
        harness.cancel(MS, 2).not_sent,
        "an incomplete line does not run"
    );
    assert_eq!(
        harness.effects(),
        [cancel_write(connection, accepted, LINE_BYTES - 2)]
    );
}

#[test]
fn connection_with_an_incomplete_line_is_closed_after_its_last_answer_and_replaced() {
    let mut harness = PoolHarness::with_settings(settings(1, 8));
    let connection = harness.send(0, 1);
    harness.submit(0, 2);
    harness.stop_reading(MS, connection, LINE_BYTES + 2);
    harness.submit(MS, 5);
    harness.cancel(MS, 2);
    harness.effects();
    harness.resume_reading(2 * MS, connection);
    assert_eq!(
        harness.effects(),
        [],
        "nothing is written behind an incomplete line"
    );
    assert!(
        harness.answer(3 * MS, connection, 1),
        "a complete line is still answered"
    );
    let effects = harness.effects();
    let [
        Effect::Close { connection: closed },
        Effect::Connect {
            connection: next, ..
        },
    ] = effects[..]
    else {
        panic!("{effects:?}")
    };
    assert_eq!(closed, connection);
    harness.pool.connected(4 * MS, next);
    assert!(matches!(&harness.effects()[..], [Effect::Write { .. }]));
    assert_eq!(harness.failures(), []);
}

/// A line states how much time its client had left when the line was made, so it must not reach the worker much later.
#[test]
fn request_that_is_not_written_within_100_ms_is_withdrawn_and_fails() {
    let mut harness = PoolHarness::with_settings(settings(1, 8));
    let connection = harness.send(0, 1);
    (2..=4).for_each(|request| harness.submit(0, request));
    harness.effects();
    harness.stop_reading(MS, connection, LINE_BYTES + 2);
    harness.pool.sweep(100 * MS - 1);
    assert_eq!((harness.effects(), harness.failures()), (vec![], vec![]));
    harness.pool.sweep(100 * MS);
    assert_eq!(
        harness.effects(),
        [
            cancel_write(connection, 3 * LINE_BYTES, LINE_BYTES),
            cancel_write(connection, 2 * LINE_BYTES, LINE_BYTES),
            cancel_write(connection, LINE_BYTES + 2, LINE_BYTES - 2)
        ]
    );
    assert_eq!(
        harness.failures(),
        [
            (4, SendFailure::Unreachable),
            (3, SendFailure::Unreachable),
            (2, SendFailure::Unreachable)
        ]
    );
    assert!(
        harness.answer(101 * MS, connection, 1),
        "a completely accepted line may run, and its answer counts"
    );
    assert_eq!(harness.effects(), [Effect::Close { connection }]);
}

#[test]
fn request_behind_an_incomplete_line_is_resent_on_another_connection() {
    let mut harness = PoolHarness::new(1);
    let connection = harness.send(0, 1);
    harness.submit(0, 2);
    harness.effects();
    harness.stop_reading(MS, connection, 3);
    assert!(
        harness.abandon(2 * MS, 1),
        "an incomplete line does not run"
    );
    let effects = harness.effects();
    let [
        Effect::CancelWrite {
            offset: 3,
            length: 11,
            ..
        },
        Effect::Close { .. },
        Effect::Connect {
            connection: next, ..
        },
    ] = effects[..]
    else {
        panic!("{effects:?}")
    };
    harness.pool.connected(3 * MS, next);
    assert!(
        matches!(&harness.effects()[..], [Effect::Write { connection, .. }] if *connection == next)
    );
    assert_eq!(harness.failures(), []);
}

fn run_request(deadline: u64) -> WorkerRequest {
    let run = RunRequest {
        call: reference(1),
        class: "view".to_string(),
        function: "00000000000000aa".into(),
        key: None,
        body: Bytes::new(),
    };
    let kind = RequestKind::Attempt(attempt(1));
    WorkerRequest::new(kind, reference(1), Payload::Run(run), 0, deadline)
}

/// Lines state times in whole milliseconds, so less than one millisecond cannot be stated.
#[test]
fn run_with_less_than_a_millisecond_left_is_not_written() {
    for (established_at, is_written) in [(49 * MS, true), (49 * MS + 1, false), (60 * MS, false)] {
        let mut harness = PoolHarness::new(4);
        harness.submit_request(0, run_request(50 * MS));
        harness.establish_requested(established_at);
        let writes = harness.effects().len();
        assert_eq!(writes, usize::from(is_written), "at {established_at}");
        let has_failed = !harness.failures().is_empty();
        assert_eq!(has_failed, !is_written, "at {established_at}");
    }
}

#[test]
fn request_whose_deadline_passes_while_connecting_is_not_written() {
    let mut harness = PoolHarness::new(4);
    let mut request = worker_request(0, 1);
    request.deadline = 50 * MS;
    harness.submit_request(0, request);
    harness.establish_requested(50 * MS);
    assert_eq!(
        (harness.effects(), harness.failures()),
        (vec![], vec![(1, SendFailure::Unreachable)])
    );
}
