//! What grows with the tier and what must not: bytes and entries, counted.

mod rig;

use pipithub_emulator::coordinator::{Counts, Tier};
use pipithub_hollow_node::Hollow;
use pipithub_platform::list::MAX_ENDPOINTS;
use tokio::task::LocalSet;

const SIZES: [usize; 3] = [10, 100, 1_000];

/// What was counted between the two.
fn asked(before: Counts, after: Counts) -> (u64, u64) {
    (
        after.connections - before.connections,
        after.received_bytes - before.received_bytes,
    )
}

/// A minute has sixty comments; they come at once here.
#[tokio::test]
async fn what_a_front_end_asks_in_a_quiet_minute_does_not_grow_with_the_workers() {
    let mut seen = Vec::new();
    for workers in SIZES {
        let local = LocalSet::new();
        let counted = local.run_until(async {
            let coordinator = rig::coordinator();
            let front = rig::hollow(&coordinator);
            let mut tier = Tier::new(workers, 7);
            rig::whole(&coordinator, &front, &tier).await;
            let start = coordinator.counts();
            for _ in 0..60 {
                coordinator.comment();
            }
            // What comes behind them has been read once they have.
            let changed = tier.replace(0);
            let index = coordinator.publish(false, &changed, &tier);
            rig::until(|| {
                front.last() == index && coordinator.counts().comments >= start.comments + 60
            })
            .await;
            (
                asked(Counts::default(), start),
                asked(start, coordinator.counts()),
            )
        });
        seen.push(counted.await);
    }
    // One connection and one request with the list, of the same bytes; nothing after that.
    assert!(
        seen.iter().all(|s| *s == ((1, seen[0].0.1), (0, 0))) && seen[0].0.1 > 0,
        "{seen:?}"
    );
}

/// What the front end tells of what it has is what keeps the list from being handed out anew.
#[tokio::test]
async fn what_is_handed_out_after_a_cut_grows_with_what_changed_and_not_with_the_workers() {
    let mut seen = Vec::new();
    for workers in SIZES {
        for changes in [1, 10] {
            let local = LocalSet::new();
            let told = local.run_until(async {
                let coordinator = rig::coordinator();
                let front = rig::hollow(&coordinator);
                let mut tier = Tier::new(workers, 7);
                rig::whole(&coordinator, &front, &tier).await;
                coordinator.behave(|b| b.cut = true);
                rig::until(|| coordinator.counts().open == 0).await;
                let start = coordinator.counts();
                let mut index = 0;
                for at in 0..changes {
                    let changed = tier.replace(at);
                    index = coordinator.publish(false, &changed, &tier);
                }
                coordinator.behave(|b| b.cut = false);
                rig::until(|| front.last() == index).await;
                let end = coordinator.counts();
                (end.sent_bytes - 3 * end.comments) - (start.sent_bytes - 3 * start.comments)
            });
            seen.push((changes, told.await));
        }
    }
    // Beyond names and numbers, which have the same length at any size here, but for their digits.
    let most = |n| {
        seen.iter()
            .filter(|s| s.0 == n)
            .map(|s| s.1)
            .max()
            .unwrap_or(0)
    };
    let least = |n| {
        seen.iter()
            .filter(|s| s.0 == n)
            .map(|s| s.1)
            .min()
            .unwrap_or(0)
    };
    assert!(
        most(1) <= least(1) + 64 && most(10) <= least(10) + 10 * 64,
        "{seen:?}"
    );
    assert!(
        least(10) > 5 * least(1) / 2,
        "events are counted at all: {seen:?}"
    );
}

/// Machines come and go each day: what a front end keeps of them must not grow from day to day.
#[tokio::test]
async fn replaced_workers_leave_nothing_behind_in_the_core() {
    let entries = |front: &Hollow| front.show().matches("worker-").count();
    for replaced in [1, 200] {
        LocalSet::new()
            .run_until(async {
                let coordinator = rig::coordinator();
                let front = rig::hollow(&coordinator);
                let mut tier = Tier::new(50, 7);
                rig::whole(&coordinator, &front, &tier).await;
                let fresh = entries(&front);
                assert!(fresh >= 50, "{fresh}");
                let mut index = 0;
                for at in 0..replaced {
                    let changed = tier.replace(at % 50);
                    index = coordinator.publish(false, &changed, &tier);
                }
                rig::until(|| front.last() == index).await;
                // The next sweep lets go of the last of them.
                rig::until(|| entries(&front) == fresh).await;
            })
            .await;
    }
}

/// A list that is too long must not take the former one away, and must not be the end of it either.
#[tokio::test]
async fn a_list_beyond_the_bounds_leaves_the_former_one_and_a_good_one_is_taken_after_it() {
    for beyond in [MAX_ENDPOINTS + 1, 100_000] {
        LocalSet::new()
            .run_until(async {
                let coordinator = rig::coordinator();
                let front = rig::hollow(&coordinator);
                let mut tier = Tier::new(10, 7);
                rig::whole(&coordinator, &front, &tier).await;
                let before = front.show().matches("worker-").count();
                let long = Tier::new(beyond, 7);
                coordinator.publish(true, long.hosts(), &long);
                // It asks again from the last event that it could use.
                rig::until(|| coordinator.counts().connections >= 3).await;
                let requests = coordinator.requests();
                assert!(
                    requests[1..]
                        .iter()
                        .all(|r| r.contains("last-event-id: 1\r\n")),
                    "{requests:?}"
                );
                assert_eq!(
                    (front.last(), front.show().matches("worker-").count()),
                    (1, before)
                );
                let changed = tier.replace(0);
                coordinator.forget();
                let index = coordinator.publish(false, &changed, &tier);
                rig::until(|| front.last() == index).await;
                rig::until(|| front.show().matches("worker-").count() == before).await;
            })
            .await;
    }
}
