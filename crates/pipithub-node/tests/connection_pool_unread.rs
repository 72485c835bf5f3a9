//! Lines that a worker has not read, or not whole, without sockets: they are sent elsewhere or taken back.

mod pool_harness;

use bytes::Bytes;
use pipithub_engine::policy::WorkerId;
use pipithub_node::connection_pool::{
    CancelledRequest, ConnectionPool, Payload, RequestKind, SendFailure, WorkerRequest,
};
use pipithub_node::effect::Effect;
use pipithub_platform::worker::RunRequest;
use pool_harness::{MS, PoolHarness, attempt, settings, worker_request};

#[test]
fn what_was_not_written_whole_goes_out_again_and_else_did_not_run() {
    let mut b = PoolHarness::new(4);
    b.submit(0, 1);
    for _ in 0..3 {
        let connection = b.connected()[0];
        b.pool.connected(0, connection);
        assert!(b.failures().is_empty());
        // All but the line feed was taken.
        b.pool.closed(0, connection, 6, SendFailure::ConnectionLost);
    }
    assert_eq!(b.failures(), [(1, SendFailure::Unreachable)]);
    b.submit(0, 2);
    let connection = b.connected()[0];
    b.pool.connected(0, connection);
    b.pool.closed(0, connection, 7, SendFailure::ConnectionLost);
    assert_eq!(
        b.failures(),
        [(2, SendFailure::ConnectionLost)],
        "a whole line may have been read"
    );
}

#[test]
fn what_was_not_handed_over_when_an_answer_is_spoilt_did_not_run() {
    let mut pool = ConnectionPool::new(settings(1, 1));
    let worker = WorkerId::new("w");
    pool.set_address(&worker, "10.0.0.1:1", false);
    let mut b = PoolHarness {
        pool,
        worker,
        effects: Vec::new(),
    };
    let connection = b.call(0, 1).expect("written");
    b.submit(0, 2);
    b.effects();
    // One read brings the first answer, on which the second call is put, and then noise.
    assert!(
        b.pool
            .answered(MS, connection, &format!("{:016x}", 1))
            .is_some()
    );
    b.pool.close_malformed(MS, connection);
    assert!(b.failures().is_empty(), "it goes out again");
    let effects = b.effects();
    assert!(
        effects.contains(&Effect::Close { connection })
            && matches!(effects[1], Effect::Connect { .. }),
        "{effects:?}"
    );
    // What had been handed over may have run.
    let connection = b.effects.iter().find_map(|e| {
        if let Effect::Connect { connection, .. } = e {
            Some(*connection)
        } else {
            None
        }
    });
    let connection = connection.expect("a new connection");
    b.pool.connected(MS, connection);
    b.effects();
    b.pool.close_malformed(MS, connection);
    assert_eq!(b.failures(), [(2, SendFailure::Malformed)]);
}

/// A worker stops reading: what lies behind in the shell's own buffer begins whenever it reads again, UNDO or not.
#[test]
fn what_waits_behind_a_worker_that_does_not_read_is_taken_back() {
    let mut pool = ConnectionPool::new(settings(1, 8));
    let worker = WorkerId::new("w");
    pool.set_address(&worker, "10.0.0.1:1", false);
    let mut b = PoolHarness {
        pool,
        worker,
        effects: Vec::new(),
    };
    let connection = b.call(0, 1).expect("written");
    b.effects();
    (2..=4).for_each(|request| b.submit(0, request));
    assert_eq!(b.effects().len(), 3, "each line has seven bytes");
    // The system took the first line and a part of the second.
    b.pool.set_blocked(MS, connection, Some(9));
    b.submit(MS, 5);
    assert_eq!(b.effects(), [], "nothing more is put behind");
    let CancelledRequest { not_sent, .. } = b
        .pool
        .cancel(MS, &b.worker.clone(), attempt(3))
        .expect("open");
    assert!(not_sent, "it is certain that it was not sent");
    assert_eq!(
        b.effects(),
        [Effect::CancelWrite {
            connection,
            offset: 14,
            length: 7
        }]
    );
    // The one behind has moved up, and the one that has begun cannot be taken back.
    let CancelledRequest { not_sent, .. } = b
        .pool
        .cancel(MS, &b.worker.clone(), attempt(4))
        .expect("open");
    assert!(not_sent);
    assert_eq!(
        b.effects(),
        [Effect::CancelWrite {
            connection,
            offset: 14,
            length: 7
        }]
    );
    // The one that has begun to leave never becomes whole: nothing may follow its half.
    let CancelledRequest { not_sent, .. } = b
        .pool
        .cancel(MS, &b.worker.clone(), attempt(2))
        .expect("open");
    assert!(not_sent, "half a line does not run");
    assert_eq!(
        b.effects(),
        [Effect::CancelWrite {
            connection,
            offset: 9,
            length: 5
        }]
    );
    // It reads again: what left whole is still answered there, and then the fifth goes out on another connection.
    b.pool.set_blocked(2 * MS, connection, None);
    assert_eq!(b.effects(), [], "not behind half a line");
    assert!(
        b.pool
            .answered(3 * MS, connection, "0000000000000001")
            .is_some()
    );
    let effects = b.effects();
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
    b.pool.connected(4 * MS, next);
    assert!(matches!(&b.effects()[..], [Effect::Write { .. }]));
    assert_eq!(b.failures(), []);
}

/// A line states the time that its client had left when it was made: it must not reach the worker much later.
#[test]
fn what_a_worker_does_not_read_within_a_tenth_of_a_second_is_taken_back() {
    let mut pool = ConnectionPool::new(settings(1, 8));
    let worker = WorkerId::new("w");
    pool.set_address(&worker, "10.0.0.1:1", false);
    let mut b = PoolHarness {
        pool,
        worker,
        effects: Vec::new(),
    };
    let connection = b.call(0, 1).expect("written");
    (2..=4).for_each(|request| b.submit(0, request));
    b.effects();
    b.pool.set_blocked(MS, connection, Some(9));
    b.pool.sweep(100 * MS - 1);
    assert_eq!(
        (b.effects(), b.failures()),
        (vec![], vec![]),
        "it is within the slack"
    );
    b.pool.sweep(100 * MS);
    let cancel_write = |offset, length| Effect::CancelWrite {
        connection,
        offset,
        length,
    };
    assert_eq!(
        b.effects(),
        [cancel_write(21, 7), cancel_write(14, 7), cancel_write(9, 5)]
    );
    assert_eq!(
        b.failures(),
        [
            (4, SendFailure::Unreachable),
            (3, SendFailure::Unreachable),
            (2, SendFailure::Unreachable)
        ]
    );
    // What the system has taken whole may run: its answer still counts.
    assert!(
        b.pool
            .answered(101 * MS, connection, "0000000000000001")
            .is_some()
    );
    assert_eq!(b.effects(), [Effect::Close { connection }]);
}

/// A request that has stood behind half a line for a moment only goes out again on another connection.
#[test]
fn what_stands_behind_half_a_line_goes_out_again() {
    let mut b = PoolHarness::new(1);
    let connection = b.call(0, 1).expect("written");
    b.submit(0, 2);
    b.effects();
    b.pool.set_blocked(MS, connection, Some(3));
    assert!(
        b.pool
            .abandon(2 * MS, &b.worker.clone(), attempt(1))
            .is_some(),
        "half a line does not run"
    );
    let effects = b.effects();
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
    b.pool.connected(3 * MS, next);
    assert!(matches!(&b.effects()[..], [Effect::Write { connection, .. }] if *connection == next));
    assert_eq!(b.failures(), []);
}

/// Workers are told whole milliseconds: below one nothing is left to tell.
#[test]
fn a_run_with_no_time_left_is_not_written() {
    for (up, written) in [(49 * MS, true), (49 * MS + 1, false), (60 * MS, false)] {
        let mut b = PoolHarness::new(4);
        let request = Payload::Run(RunRequest {
            call: "0000000000000001".to_string(),
            class: "view".to_string(),
            function: "00000000000000aa".into(),
            key: None,
            body: Bytes::new(),
        });
        let request = WorkerRequest::new(
            RequestKind::Attempt(attempt(1)),
            "0000000000000001".to_string(),
            request,
            0,
            50 * MS,
        );
        b.pool.submit(0, &b.worker.clone(), request);
        let connection = b.connected()[0];
        b.pool.connected(up, connection);
        assert_eq!(b.effects().len(), usize::from(written), "up at {up}");
        assert_eq!(b.failures().is_empty(), written, "up at {up}");
    }
}

#[test]
fn a_call_whose_time_ran_out_before_its_connection_came_up_is_not_sent() {
    let mut b = PoolHarness::new(4);
    let mut late = worker_request(0, 1);
    late.deadline = 50 * MS;
    b.pool.submit(0, &b.worker.clone(), late);
    let connection = b.connected()[0];
    b.pool.connected(50 * MS, connection);
    assert_eq!(
        (b.effects(), b.failures()),
        (vec![], vec![(1, SendFailure::Unreachable)])
    );
}
