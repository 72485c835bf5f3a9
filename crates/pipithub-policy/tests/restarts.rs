//! What outlasts restarts and churn.

mod common;

use common::{Bench, MS, THREE, play, sent_to, settings};
use pipithub_policy::api::{Idempotency, Outcome, WorkerId};

#[test]
fn the_home_is_the_same_at_every_front_end_and_stable_under_churn() {
    let homes = |workers: &[&str], seed: u32| -> Vec<WorkerId> {
        let mut s = settings(Idempotency::Idempotent);
        s.front_ends = seed;
        let mut b = Bench::new(s, workers);
        let mut one = |function| {
            let (id, actions) = b.call(function);
            let worker = sent_to(&actions)?;
            b.pass(20 * MS);
            b.finish(id, 0, &worker, Outcome::Served);
            Some(worker)
        };
        (0..200).filter_map(&mut one).collect()
    };
    let all = homes(&["w1", "w2", "w3", "w4", "w5"], 1);
    assert_eq!(all.len(), 200);
    assert_eq!(all, homes(&["w5", "w3", "w1", "w2", "w4"], 3));
    let less = homes(&["w1", "w2", "w3", "w4"], 1);
    let moved = all.iter().zip(&less).filter(|(a, b)| a != b).count();
    let lost = all.iter().filter(|w| **w == WorkerId::new("w5")).count();
    assert_eq!(moved, lost, "only what stood at the lost worker moves");
    assert!(
        (20..=60).contains(&lost),
        "each worker is home to its part: {lost}"
    );
}

#[test]
fn after_a_restart_a_stale_list_is_enough_to_serve() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let dead = sent_to(&b.call(1).1).unwrap();
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let mut served = 0;
    for function in 0..40 {
        let answer = |w: &WorkerId| {
            Some(if *w == dead {
                Outcome::Unreachable
            } else {
                Outcome::Served
            })
        };
        served += play(&mut b, function, 2, answer).0;
    }
    assert!(served >= 76, "served {served} of 80");
}
