//! Connections to workers, without sockets: how many there are, and which of them are used.

mod pool_harness;

use std::collections::BTreeSet;

use pipithub_engine::policy::WorkerId;
use pipithub_node::connection_pool::{ConnectionPool, SendFailure};
use pipithub_node::effect::Effect;
use pool_harness::{MS, PoolHarness, worker_request};

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
    let connections = |change: &dyn Fn(&mut ConnectionPool)| {
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
    let gone_and_back = |pool: &mut ConnectionPool| {
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
