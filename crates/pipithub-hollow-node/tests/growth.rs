//! How the traffic and the state of a front end grow with the number of workers, in counted bytes and entries.

mod harness;

use pipithub_emulator::coordinator::{Counts, Tier};
use pipithub_hollow_node::HollowFrontEnd;
use pipithub_platform::list::MAX_ENDPOINTS;
use tokio::task::LocalSet;

const SIZES: [usize; 3] = [10, 100, 1_000];

/// The connections and bytes that a coordinator has received from its front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    connections: u64,
    bytes: u64,
}

impl Sent {
    fn between(before: Counts, after: Counts) -> Self {
        Sent {
            connections: after.connections - before.connections,
            bytes: after.received_bytes - before.received_bytes,
        }
    }
}

/// The coordinator sends the sixty comments of an idle minute at once.
#[tokio::test]
async fn idle_front_end_sends_the_same_bytes_whatever_the_number_of_workers() {
    let mut measured = Vec::new();
    for workers in SIZES {
        let local = LocalSet::new();
        let counted = local.run_until(async {
            let coordinator = harness::start_coordinator();
            let front_end = harness::start_hollow(&coordinator);
            let mut tier = Tier::new(workers, 7);
            harness::publish_all(&coordinator, &front_end, &tier).await;
            let start = coordinator.counts();
            for _ in 0..60 {
                coordinator.comment();
            }
            // Once the front end has applied the event that follows the comments, it has read the comments.
            let changed = tier.replace(0);
            let index = coordinator.publish(false, &changed, &tier);
            harness::wait_until(|| {
                front_end.last_event() == index
                    && coordinator.counts().comments >= start.comments + 60
            })
            .await;
            (
                Sent::between(Counts::default(), start),
                Sent::between(start, coordinator.counts()),
            )
        });
        measured.push(counted.await);
    }
    // With any number of workers, there is one connection with one request of the same length, and nothing is sent
    // after that.
    let (first, _) = measured[0];
    assert!(first.connections == 1 && first.bytes > 0, "{measured:?}");
    let nothing = Sent {
        connections: 0,
        bytes: 0,
    };
    assert!(
        measured.iter().all(|sent| *sent == (first, nothing)),
        "{measured:?}"
    );
}

/// A front end states its last event when it reconnects, so that the complete list is not sent again.
#[tokio::test]
async fn events_sent_after_a_reconnect_grow_with_the_changes_only() {
    let mut measured = Vec::new();
    for workers in SIZES {
        for changes in [1, 10] {
            let local = LocalSet::new();
            let sent = local.run_until(async {
                let coordinator = harness::start_coordinator();
                let front_end = harness::start_hollow(&coordinator);
                let mut tier = Tier::new(workers, 7);
                harness::publish_all(&coordinator, &front_end, &tier).await;
                coordinator.change_behaviour(|b| b.cut = true);
                harness::wait_until(|| coordinator.counts().open == 0).await;
                let start = coordinator.counts();
                let mut index = 0;
                for worker in 0..changes {
                    let changed = tier.replace(worker);
                    index = coordinator.publish(false, &changed, &tier);
                }
                coordinator.change_behaviour(|b| b.cut = false);
                harness::wait_until(|| front_end.last_event() == index).await;
                let end = coordinator.counts();
                // Does not count the comments, of 3 bytes each, because their number depends on the time taken.
                (end.sent_bytes - 3 * end.comments) - (start.sent_bytes - 3 * start.comments)
            });
            measured.push((changes, sent.await));
        }
    }
    // Only the number of digits in some fields depends on the number of workers.
    let max_bytes = |n| {
        measured
            .iter()
            .filter(|s| s.0 == n)
            .map(|s| s.1)
            .max()
            .unwrap_or(0)
    };
    let min_bytes = |n| {
        measured
            .iter()
            .filter(|s| s.0 == n)
            .map(|s| s.1)
            .min()
            .unwrap_or(0)
    };
    assert!(
        max_bytes(1) <= min_bytes(1) + 64 && max_bytes(10) <= min_bytes(10) + 10 * 64,
        "{measured:?}"
    );
    assert!(
        min_bytes(10) > 5 * min_bytes(1) / 2,
        "10 events should take far more bytes than 1: {measured:?}"
    );
}

/// Workers are replaced every day, so the state of a front end must not grow with the number of replacements.
#[tokio::test]
async fn core_forgets_replaced_workers() {
    let entries = |front_end: &HollowFrontEnd| front_end.core_state().matches("worker-").count();
    for replaced in [1, 200] {
        LocalSet::new()
            .run_until(async {
                let coordinator = harness::start_coordinator();
                let front_end = harness::start_hollow(&coordinator);
                let mut tier = Tier::new(50, 7);
                harness::publish_all(&coordinator, &front_end, &tier).await;
                let fresh = entries(&front_end);
                assert!(fresh >= 50, "{fresh}");
                let mut index = 0;
                for worker in 0..replaced {
                    let changed = tier.replace(worker % 50);
                    index = coordinator.publish(false, &changed, &tier);
                }
                harness::wait_until(|| front_end.last_event() == index).await;
                // The next sweep removes the last of the replaced workers.
                harness::wait_until(|| entries(&front_end) == fresh).await;
            })
            .await;
    }
}

#[tokio::test]
async fn too_long_list_leaves_the_previous_one_and_the_next_event_is_applied() {
    for workers in [MAX_ENDPOINTS + 1, 100_000] {
        LocalSet::new()
            .run_until(async {
                let coordinator = harness::start_coordinator();
                let front_end = harness::start_hollow(&coordinator);
                let mut tier = Tier::new(10, 7);
                harness::publish_all(&coordinator, &front_end, &tier).await;
                let before = front_end.core_state().matches("worker-").count();
                let too_long = Tier::new(workers, 7);
                coordinator.publish(true, too_long.hosts(), &too_long);
                // The front end reconnects and states the last event that it could apply.
                harness::wait_until(|| coordinator.counts().connections >= 3).await;
                let requests = coordinator.requests();
                assert!(
                    requests[1..]
                        .iter()
                        .all(|r| r.contains("last-event-id: 1\r\n")),
                    "{requests:?}"
                );
                assert_eq!(
                    (
                        front_end.last_event(),
                        front_end.core_state().matches("worker-").count()
                    ),
                    (1, before)
                );
                let changed = tier.replace(0);
                coordinator.clear_history();
                let index = coordinator.publish(false, &changed, &tier);
                harness::wait_until(|| front_end.last_event() == index).await;
                harness::wait_until(|| front_end.core_state().matches("worker-").count() == before)
                    .await;
            })
            .await;
    }
}
