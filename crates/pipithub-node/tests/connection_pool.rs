//! The connection pool without sockets: how many connections it opens, and which of them it uses.

mod pool_harness;

use std::collections::BTreeSet;

use pipithub_engine::policy::WorkerId;
use pipithub_node::connection_pool::{ConnectionPool, SendFailure};
use pipithub_node::effect::Effect;
use pool_harness::{ADDRESS, MS, PoolHarness, WORKER, worker_request};

#[test]
fn requests_get_own_connections_up_to_the_limit_and_share_them_beyond() {
    let mut harness = PoolHarness::new(2);
    (1..=3).for_each(|request| harness.submit(0, request));
    let connections = harness.requested_connections();
    assert_eq!(connections.len(), 2);
    for connection in &connections {
        harness.pool.connected(MS, *connection);
    }
    let mut writes = harness.writes();
    harness.submit(2 * MS, 4);
    writes += harness.writes();
    assert_eq!(writes, 4, "the others share the connections");
    // A broken connection fails its own requests and no others.
    harness.break_connection(3 * MS, connections[0], u64::MAX);
    let lost = harness.failures();
    assert!(
        lost.len() == 2
            && lost
                .iter()
                .all(|(_, failure)| *failure == SendFailure::ConnectionLost),
        "{lost:?}"
    );
}

#[test]
fn refused_connection_fails_waiting_request_as_unreachable() {
    let mut harness = PoolHarness::new(4);
    harness.submit(0, 1);
    let connection = harness.requested_connections()[0];
    harness.pool.connect_failed(connection, false);
    assert_eq!(harness.failures(), [(1, SendFailure::Unreachable)]);
    assert!(harness.pool.is_empty());
}

#[test]
fn connection_that_fails_by_a_local_fault_is_not_the_workers_fault() {
    let mut harness = PoolHarness::new(4);
    harness.submit(0, 1);
    let connection = harness.requested_connections()[0];
    harness.pool.connect_failed(connection, true);
    assert_eq!(harness.failures(), [(1, SendFailure::NeverSent)]);
}

#[test]
fn idle_time_after_which_connections_broke_is_learnt_and_avoided() {
    let mut harness = PoolHarness::new(4);
    let (mut now, mut broken) = (0, 0);
    for request in 0..40 {
        let is_new = harness.pool.is_empty();
        let connection = harness.send(now, request);
        if is_new {
            harness.answer(now + MS, connection, request);
        } else {
            // After 200 ms without traffic a middlebox has dropped the connection.
            harness.break_connection(now, connection, u64::MAX);
            broken += 1;
        }
        now += 200 * MS;
        harness.pool.sweep(now);
        harness.failures();
    }
    assert!((2..=3).contains(&broken), "learnt after {broken} breaks");
    // Connections are still used again after shorter idle times.
    let first = harness.send(now, 100);
    harness.answer(now, first, 100);
    assert_eq!(harness.send(now + 20 * MS, 101), first);
}

#[test]
fn worker_at_the_address_of_a_removed_one_gets_its_own_connections() {
    let mut harness = PoolHarness::new(4);
    let old = harness.send(0, 1);
    harness.answer(0, old, 1);
    let next = WorkerId::new("next");
    harness.pool.set_address(&harness.worker, "", true);
    harness.pool.set_address(&next, ADDRESS, false);
    harness.pool.sweep(MS);
    assert!(
        harness
            .effects()
            .contains(&Effect::Close { connection: old })
    );
    harness.worker = next;
    assert_ne!(harness.send(2 * MS, 2), old);
}

/// A sweep runs a hundred times a second; visiting all workers each time was most of the work of an idle front end.
#[test]
fn sweep_visits_only_workers_with_pending_work_whatever_their_number() {
    for workers in [10, 10_000] {
        let mut harness = PoolHarness::new(50);
        let name = |n: u32| WorkerId::new(&format!("w{n}"));
        (1..workers).for_each(|n| harness.pool.set_address(&name(n), "10.0.0.2:1", false));
        harness.pool.sweep(0);
        assert_eq!(harness.pool.sweep_set_len(), 0, "{workers} workers");
        harness.submit(MS, 1);
        assert_eq!(harness.pool.sweep_set_len(), 1, "a request waits");
        for connection in harness.requested_connections() {
            harness.pool.connected(2 * MS, connection);
        }
        harness.pool.sweep(3 * MS);
        assert_eq!(harness.pool.sweep_set_len(), 0, "it was sent");
        // A request that never gets a connection still fails in time.
        let request = worker_request(4 * MS, 2);
        harness.pool.submit(4 * MS, &name(3), request);
        harness.pool.sweep(5 * MS);
        assert_eq!(
            (harness.pool.sweep_set_len(), harness.failures()),
            (1, vec![])
        );
        harness.pool.sweep(600 * MS);
        let failure = (2, SendFailure::Unreachable);
        assert_eq!(
            (harness.pool.sweep_set_len(), harness.failures()),
            (0, vec![failure])
        );
        harness.pool.set_address(&name(7), "", true);
        assert_eq!(
            harness.pool.sweep_set_len(),
            1,
            "a removed worker is forgotten"
        );
        harness.pool.sweep(700 * MS);
        assert_eq!(harness.pool.sweep_set_len(), 0);
    }
}

const OTHER_ADDRESS: &str = "10.0.0.2:1";

/// How many of eight connections ten requests to one worker get after a change to the list of two workers.
fn connections_after(change: impl FnOnce(&mut ConnectionPool, &WorkerId)) -> usize {
    let other = WorkerId::new("other");
    let mut harness = PoolHarness::new(8);
    harness.pool.set_address(&other, OTHER_ADDRESS, false);
    change(&mut harness.pool, &other);
    (0..10).for_each(|request| harness.submit(MS, request));
    harness.requested_connections().len()
}

#[test]
fn connections_are_divided_among_the_workers_that_are_listed() {
    let listed = WorkerId::new(WORKER);
    assert_eq!(connections_after(|_, _| ()), 4);
    let remove = |pool: &mut ConnectionPool, other: &WorkerId| pool.set_address(other, "", true);
    assert_eq!(connections_after(remove), 8);
    let retain = |pool: &mut ConnectionPool, _: &WorkerId| {
        pool.retain_workers(&BTreeSet::from([&listed]));
    };
    assert_eq!(connections_after(retain), 8);
    let return_after_removal = |pool: &mut ConnectionPool, other: &WorkerId| {
        retain(pool, other);
        pool.sweep(0);
        pool.set_address(other, OTHER_ADDRESS, false);
    };
    assert_eq!(connections_after(return_after_removal), 4);
    let add_third = |pool: &mut ConnectionPool, _: &WorkerId| {
        pool.set_address(&WorkerId::new("third"), "10.0.0.3:1", false);
    };
    assert_eq!(connections_after(add_third), 2);
}

#[test]
fn repeated_list_entries_do_not_change_the_division_of_connections() {
    let remove_thrice = |pool: &mut ConnectionPool, other: &WorkerId| {
        (0..3).for_each(|_| pool.set_address(other, "", true));
    };
    assert_eq!(connections_after(remove_thrice), 8);
    let list_thrice = |pool: &mut ConnectionPool, other: &WorkerId| {
        (0..3).for_each(|_| pool.set_address(other, OTHER_ADDRESS, false));
    };
    assert_eq!(connections_after(list_thrice), 4);
}
