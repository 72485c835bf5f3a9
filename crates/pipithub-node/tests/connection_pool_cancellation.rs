//! Requests that are cancelled, and answers that come after that, without sockets.

mod pool_harness;

use bytes::Bytes;
use pipithub_engine::AttemptId;
use pipithub_engine::policy::RequestId;
use pipithub_node::connection_pool::SendFailure;
use pipithub_node::effect::Effect;
use pool_harness::{MS, PoolHarness, attempt, uncancelled};

#[test]
fn a_withdrawn_call_is_undone_and_its_answer_belongs_to_nothing() {
    let mut b = PoolHarness::new(4);
    let connection = b.call(0, 1).expect("written");
    b.effects();
    let id = AttemptId {
        request: RequestId(1),
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
