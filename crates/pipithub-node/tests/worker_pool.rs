//! Connections to workers, without sockets.

use std::collections::BTreeSet;

use bytes::Bytes;
use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_node::worker_pool::{
    CancelledRequest, Payload, RequestKind, SendFailure, WorkerPool, WorkerPoolSettings,
    WorkerRequest,
};
use pipithub_platform::worker::RunRequest;

const MS: Time = 1_000_000;

fn worker_request(now: Time, request: u64) -> WorkerRequest {
    let task = RequestKind::Attempt(AttemptId { request, number: 0 });
    let line = Bytes::from(format!("line {request}\n"));
    WorkerRequest::new(task, format!("{request:016x}"), line, now, now + 5_000 * MS)
}

fn settings(max_connections: usize, max_requests_per_connection: usize) -> WorkerPoolSettings {
    WorkerPoolSettings {
        max_connections,
        max_requests_per_connection,
        connect_timeout: 250 * MS,
        idle_close: 30_000 * MS,
        cancel: true,
    }
}

fn settings_without_cancel(
    max_connections: usize,
    max_requests_per_connection: usize,
) -> WorkerPoolSettings {
    WorkerPoolSettings {
        cancel: false,
        ..settings(max_connections, max_requests_per_connection)
    }
}

struct PoolHarness {
    pool: WorkerPool,
    worker: WorkerId,
    effects: Vec<Effect>,
}

impl PoolHarness {
    fn new(most: usize) -> Self {
        let mut pool = WorkerPool::new(settings(most, 4));
        let worker = WorkerId::new("w");
        pool.set_address(&worker, "10.0.0.1:1", false);
        PoolHarness {
            pool,
            worker,
            effects: Vec::new(),
        }
    }

    fn submit(&mut self, now: Time, request: u64) {
        self.pool
            .submit(now, &self.worker, worker_request(now, request));
    }

    fn effects(&mut self) -> Vec<Effect> {
        self.effects.clear();
        self.pool.take_effects(&mut self.effects);
        self.effects.clone()
    }

    fn connected(&mut self) -> Vec<ConnectionId> {
        let connects = self.effects();
        connects
            .iter()
            .filter_map(|e| {
                if let Effect::Connect { connection, .. } = e {
                    Some(*connection)
                } else {
                    None
                }
            })
            .collect()
    }

    fn failures(&mut self) -> Vec<(u64, SendFailure)> {
        let number = |t: &RequestKind| {
            if let RequestKind::Attempt(id) = t {
                id.request
            } else {
                0
            }
        };
        self.pool
            .take_failures()
            .iter()
            .map(|failed| (number(&failed.request.kind), failed.failure))
            .collect()
    }

    /// One call over one connection, answered after a millisecond.
    fn call(&mut self, now: Time, request: u64) -> Option<ConnectionId> {
        self.submit(now, request);
        let mut wrote = None;
        for effect in self.effects() {
            match effect {
                Effect::Connect { connection, .. } => {
                    self.pool.connected(now, connection);
                    wrote = Some(connection);
                }
                Effect::Write { connection, .. } => wrote = Some(connection),
                Effect::Close { .. } | Effect::Retire { .. } | Effect::CancelWrite { .. } => {}
            }
        }
        wrote
    }
}

#[test]
fn each_call_gets_a_connection_of_its_own_while_there_are_descriptors() {
    let mut b = PoolHarness::new(2);
    (1..=3).for_each(|request| b.submit(0, request));
    let connections = b.connected();
    assert_eq!(connections.len(), 2, "one each, as far as they go");
    connections.iter().for_each(|c| b.pool.connected(MS, *c));
    let mut writes = b
        .effects()
        .into_iter()
        .filter(|e| matches!(e, Effect::Write { .. }))
        .count();
    b.submit(2 * MS, 4);
    writes += b
        .effects()
        .iter()
        .filter(|e| matches!(e, Effect::Write { .. }))
        .count();
    assert_eq!(writes, 4, "the others share them");
    // A broken one takes its own calls with it, and no others.
    b.pool.closed(
        3 * MS,
        connections[0],
        u64::MAX,
        SendFailure::ConnectionLost,
    );
    let lost = b.failures();
    assert!(
        lost.len() == 2
            && lost
                .iter()
                .all(|(_, how)| *how == SendFailure::ConnectionLost),
        "{lost:?}"
    );
}

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
fn a_refused_connection_gives_back_what_waits_for_it() {
    let mut b = PoolHarness::new(4);
    b.submit(0, 1);
    let connection = b.connected()[0];
    b.pool.connect_failed(connection, false);
    assert_eq!(b.failures(), [(1, SendFailure::Unreachable)]);
    assert!(b.pool.is_empty());
}

#[test]
fn connections_that_break_after_some_idle_time_are_not_used_again_so_late() {
    let mut b = PoolHarness::new(4);
    let (mut now, mut broken) = (0, 0);
    for request in 0..40 {
        let fresh = b.pool.is_empty();
        let connection = b.call(now, request).expect("written");
        if fresh {
            b.pool
                .answered(now + MS, connection, &format!("{request:016x}"));
        } else {
            // Idle for 200 ms: whatever stands between has forgotten it.
            b.pool
                .closed(now, connection, u64::MAX, SendFailure::ConnectionLost);
            broken += 1;
        }
        now += 200 * MS;
        b.pool.sweep(now);
        b.pool.take_failures();
    }
    assert!(
        (2..=3).contains(&broken),
        "learnt from the first ones: {broken}"
    );
    // Short pauses are not suspected.
    let first = b.call(now, 100).expect("written");
    b.pool.answered(now, first, &format!("{:016x}", 100));
    assert_eq!(b.call(now + 20 * MS, 101), Some(first));
}

#[test]
fn a_withdrawn_call_is_undone_and_its_answer_belongs_to_nothing() {
    let mut b = PoolHarness::new(4);
    let connection = b.call(0, 1).expect("written");
    b.effects();
    let id = AttemptId {
        request: 1,
        number: 0,
    };
    assert!(b.pool.cancel(MS, &b.worker.clone(), id).is_some());
    let line = Bytes::from_static(b"{\"cmd\":\"UNDO\",\"ref\":\"0000000000000001\"}\n");
    assert_eq!(
        b.effects(),
        [Effect::Write {
            connection,
            bytes: line
        }]
    );
    assert!(
        b.pool
            .answered(MS, connection, "0000000000000001")
            .is_none()
    );
}

#[test]
fn a_worker_under_the_address_of_one_that_has_gone_gets_connections_of_its_own() {
    let mut b = PoolHarness::new(4);
    let old = b.call(0, 1).expect("written");
    b.pool.answered(0, old, &format!("{:016x}", 1));
    let next = WorkerId::new("next");
    b.pool.set_address(&b.worker.clone(), "", true);
    b.pool.set_address(&next, "10.0.0.1:1", false);
    b.pool.sweep(MS);
    assert!(b.effects().contains(&Effect::Close { connection: old }));
    b.worker = next;
    assert!(
        b.call(2 * MS, 2)
            .is_some_and(|connection| connection != old)
    );
}

#[test]
fn what_was_not_handed_over_when_an_answer_is_spoilt_did_not_run() {
    let mut pool = WorkerPool::new(settings(1, 1));
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

/// A pool that may not tell workers to give runs up.
fn uncancelled() -> PoolHarness {
    let mut b = PoolHarness::new(4);
    b.pool = WorkerPool::new(settings_without_cancel(4, 4));
    b.pool.set_address(&b.worker, "10.0.0.1:1", false);
    b
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { request, number: 0 }
}

#[test]
fn where_the_settings_forbid_cancelling_no_worker_is_told_to_give_up() {
    let mut b = uncancelled();
    let connection = b.call(0, 1).expect("written");
    b.effects();
    b.pool.sweep(5_000 * MS);
    assert_eq!(b.failures(), [(1, SendFailure::TimedOut)]);
    assert_eq!(b.effects(), [], "no UNDO");
    assert!(
        b.pool
            .answered(5_001 * MS, connection, "0000000000000001")
            .is_none(),
        "its answer belongs to nothing"
    );
}

/// The client has left, while its call waits for a connection, or for another one after the first broke.
#[test]
fn what_nobody_waits_for_is_not_sent_where_cancelling_is_forbidden_either() {
    let mut b = uncancelled();
    b.submit(0, 1);
    let connection = b.connected()[0];
    assert!(
        b.pool.abandon(MS, &b.worker.clone(), attempt(1)).is_some(),
        "it has not left"
    );
    b.pool.connected(100 * MS, connection);
    assert_eq!(
        b.effects(),
        [],
        "nothing is written on the connection that comes up late"
    );

    b.submit(200 * MS, 2);
    assert!(matches!(&b.effects()[..], [Effect::Write { .. }]));
    assert!(
        b.pool.abandon(MS, &b.worker.clone(), attempt(2)).is_none(),
        "it may have left"
    );
    b.pool
        .closed(201 * MS, connection, 3, SendFailure::ConnectionLost);
    assert_eq!(
        (b.failures(), b.effects()),
        (vec![(2, SendFailure::NeverSent)], vec![]),
        "not written again"
    );
}

/// A worker stops reading: what lies behind in the shell's own buffer begins whenever it reads again, UNDO or not.
#[test]
fn what_waits_behind_a_worker_that_does_not_read_is_taken_back() {
    let mut pool = WorkerPool::new(settings(1, 8));
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
    let mut pool = WorkerPool::new(settings(1, 8));
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

/// An answer may come twice. The name is used again, by a further attempt or by a client that repeats itself.
#[test]
fn a_name_that_is_used_again_is_not_answered_by_a_second_copy_of_the_first_answer() {
    let mut b = PoolHarness::new(4);
    let first = b.call(0, 1).expect("written");
    b.pool
        .answered(MS, first, "0000000000000001")
        .expect("open");
    let second = b.call(2 * MS, 1).expect("written");
    assert_ne!(first, second, "not where a second copy may still come");
    assert!(b.pool.answered(3 * MS, first, "0000000000000001").is_none());
    assert!(
        b.pool
            .answered(4 * MS, second, "0000000000000001")
            .is_some()
    );
    // Nor by the answer that was on its way when it was given up.
    let third = b.call(5 * MS, 2).expect("written");
    b.pool.cancel(MS, &b.worker.clone(), attempt(2));
    let fourth = b.call(6 * MS, 2).expect("written");
    assert_ne!(third, fourth);
    // Where a worker may have one connection only, a further one is made for that.
    let mut b = PoolHarness::new(1);
    let first = b.call(0, 1).expect("written");
    b.pool
        .answered(MS, first, "0000000000000001")
        .expect("open");
    b.submit(2 * MS, 1);
    b.pool.sweep(20_000 * MS);
    assert_eq!(
        b.failures(),
        [(1, SendFailure::Unreachable)],
        "or it is given back unsent"
    );
}

#[test]
fn a_connection_that_fails_for_want_of_descriptors_here_is_not_the_workers_fault() {
    let mut b = PoolHarness::new(4);
    b.submit(0, 1);
    let connection = b.connected()[0];
    b.pool.connect_failed(connection, true);
    assert_eq!(b.failures(), [(1, SendFailure::NeverSent)]);
}

/// A sweep comes a hundred times a second: going through all workers each time was most of an idle front end's work.
#[test]
fn a_sweep_looks_at_workers_with_something_to_be_done_whatever_the_size_of_the_tier() {
    for workers in [10, 10_000] {
        let mut bench = PoolHarness::new(50);
        let name = |n: u32| WorkerId::new(&format!("w{n}"));
        (1..workers).for_each(|n| bench.pool.set_address(&name(n), "10.0.0.2:1", false));
        bench.pool.sweep(0);
        assert_eq!(
            bench.pool.watched(),
            0,
            "nothing is to be done at any of {workers}"
        );
        bench.submit(MS, 1);
        assert_eq!(
            bench.pool.watched(),
            1,
            "a request waits for its connection"
        );
        for connection in bench.connected() {
            bench.pool.connected(2 * MS, connection);
        }
        bench.pool.sweep(3 * MS);
        assert_eq!(bench.pool.watched(), 0, "it is on its way");
        // One that waits in vain is still given back in time.
        bench
            .pool
            .submit(4 * MS, &name(3), worker_request(4 * MS, 2));
        bench.pool.sweep(5 * MS);
        assert_eq!((bench.pool.watched(), bench.failures()), (1, vec![]));
        bench.pool.sweep(600 * MS);
        assert_eq!(
            (bench.pool.watched(), bench.failures()),
            (0, vec![(2, SendFailure::Unreachable)])
        );
        bench.pool.set_address(&name(7), "", true);
        assert_eq!(
            bench.pool.watched(),
            1,
            "one that has gone is to be forgotten"
        );
        bench.pool.sweep(700 * MS);
        assert_eq!(bench.pool.watched(), 0);
    }
}

/// Each worker's part of the connections goes by how many workers are there, which is kept and not counted.
#[test]
fn a_workers_part_of_the_connections_follows_those_that_come_and_go() {
    let other = WorkerId::new("other");
    let connections = |change: &dyn Fn(&mut WorkerPool)| {
        let mut bench = PoolHarness::new(8);
        bench.pool.set_address(&other, "10.0.0.2:1", false);
        change(&mut bench.pool);
        (0..10).for_each(|request| bench.submit(MS, request));
        bench.connected().len()
    };
    let here = WorkerId::new("w");
    assert_eq!(connections(&|_| ()), 4);
    assert_eq!(connections(&|pool| pool.set_address(&other, "", true)), 8);
    assert_eq!(
        connections(&|pool| (0..3).for_each(|_| pool.set_address(&other, "", true))),
        8,
        "told of it again"
    );
    assert_eq!(
        connections(&|pool| (0..3).for_each(|_| pool.set_address(&other, "10.0.0.2:1", false))),
        4
    );
    assert_eq!(
        connections(&|pool| pool.retain_workers(&BTreeSet::from([&here]))),
        8
    );
    let gone_and_back = |pool: &mut WorkerPool| {
        pool.retain_workers(&BTreeSet::from([&here]));
        pool.sweep(0);
        pool.set_address(&other, "10.0.0.2:1", false);
    };
    assert_eq!(connections(&gone_and_back), 4);
    assert_eq!(
        connections(&|pool| pool.set_address(&WorkerId::new("third"), "10.0.0.3:1", false)),
        2
    );
}
