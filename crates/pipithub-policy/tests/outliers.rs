//! Workers that are silent, crash, fail or reject: left alone, and used again.

mod common;

use common::{Bench, MS, THREE, entry, large_tier, play, sent_to, settings};
use pipithub_policy::api::{
    Action, Endpoint, EndpointState, FunctionId, Idempotency, Outcome, ReplicaStatus, Request,
    WorkerId,
};

#[test]
fn a_silent_worker_is_left_and_used_again_when_it_answers() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    let (served, workers) = play(&mut b, 1, 100, |w| (*w != home).then_some(Outcome::Served));
    assert!(served > 90, "served {served} of 100");
    let wasted = workers.iter().filter(|w| **w == home).count();
    assert!(wasted < 25, "{wasted} sends to a silent worker");
    let (served, workers) = play(&mut b, 1, 200, |_| Some(Outcome::Served));
    assert!(served > 195, "served {served} of 200");
    let back = workers[100..].iter().filter(|w| **w == home).count();
    assert!(back > 90, "the home serves again: {back} of 100");
}

#[test]
fn a_class_that_a_worker_swallows_is_moved_though_another_is_answered() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes.push(s.classes[0].clone());
    let mut b = Bench::new(s, &THREE);
    let home = b.warm(1);
    let mut sent_home = 0;
    for _ in 0..60 {
        for class in [0, 1] {
            let call = Request {
                function: FunctionId(1),
                replica_concurrency: 8,
                class,
                timeout: Some(4_000 * MS),
                ..Request::default()
            };
            let (id, actions) = b.call_with(call);
            b.pass(25 * MS);
            let Some(worker) = sent_to(&actions) else {
                continue;
            };
            sent_home += usize::from(class == 1 && worker == home);
            if class == 0 || worker != home {
                b.finish(id, 0, &worker, Outcome::Served);
            }
        }
    }
    assert!(
        sent_home < 30,
        "{sent_home} of 60 calls of the swallowed class still went there"
    );
    let (_, actions) = b.call(1);
    assert_eq!(
        sent_to(&actions),
        Some(home),
        "the other class stays at its home"
    );
}

#[test]
fn a_crashed_worker_is_left_at_once_and_comes_back_cold() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    let (served, workers) = play(&mut b, 1, 60, |w| {
        Some(if *w == home {
            Outcome::Unreachable
        } else {
            Outcome::Served
        })
    });
    assert_eq!(served, 60);
    assert!(workers.iter().filter(|w| **w == home).count() < 10);
    let started = Some(b.now);
    b.changes(vec![Endpoint {
        started_at: started,
        ..entry(&home.0)
    }]);
    let (served, workers) = play(&mut b, 1, 600, |_| Some(Outcome::Served));
    assert!(served > 590, "served {served} of 600");
    assert!(
        workers[300..].iter().filter(|w| **w == home).count() > 250,
        "the home is used again"
    );
}

#[test]
fn the_loss_of_most_workers_neither_stops_service_nor_lasts() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut b = Bench::new(settings(Idempotency::Idempotent), &names);
    for function in 0..6 {
        b.warm(function);
    }
    b.changes(
        names[..5]
            .iter()
            .map(|n| Endpoint {
                state: EndpointState::Removed,
                ..entry(n)
            })
            .collect(),
    );
    for function in 0..6 {
        let (served, _) = play(&mut b, function, 40, |_| Some(Outcome::Served));
        assert!(served >= 38, "function {function}: {served} of 40");
    }
    let started = Some(b.now);
    b.changes(
        names[..5]
            .iter()
            .map(|n| Endpoint {
                started_at: started,
                ..entry(n)
            })
            .collect(),
    );
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..8 {
        for function in 0..6 {
            used.extend(play(&mut b, function, 40, |_| Some(Outcome::Served)).1);
        }
    }
    assert!(used.len() >= 3, "functions go home again: {used:?}");
}

#[test]
fn heavy_calls_do_not_shut_a_worker() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    for i in 0..100 {
        let (id, actions) = b.call(1);
        b.pass(50 * MS);
        if let Some(worker) = sent_to(&actions) {
            let took = if i % 25 == 0 { 2_000 * MS } else { 50 * MS };
            b.finish_noted(
                id,
                0,
                &worker,
                Outcome::Served,
                took,
                Some(ReplicaStatus::Warm),
            );
        }
    }
    let (_, workers) = play(&mut b, 1, 50, |_| Some(Outcome::Served));
    assert!(workers.iter().filter(|w| **w == home).count() > 45);
}

#[test]
fn a_refusal_spiral_does_not_feed_itself() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &["w1"]);
    b.warm(1);
    let mut out = Vec::new();
    for _ in 0..400 {
        let (id, actions) = b.call(1);
        if sent_to(&actions).is_some() {
            out.push(id);
        }
        b.pass(2 * MS);
    }
    assert!(out.len() < 400, "an overload is refused in part");
    for id in out {
        b.pass(5 * MS);
        b.finish_noted(
            id,
            0,
            &WorkerId::new("w1"),
            Outcome::Served,
            900 * MS,
            Some(ReplicaStatus::Warm),
        );
    }
    let (_, actions) = b.call(1);
    assert!(
        sent_to(&actions).is_some(),
        "an emptied worker takes calls at once"
    );
}

#[test]
fn a_full_worker_is_sent_fewer_and_then_more_again() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    let (served, _) = play(&mut b, 1, 50, |w| {
        Some(if *w == home {
            Outcome::Rejected
        } else {
            Outcome::Served
        })
    });
    assert!(
        served >= 48,
        "turned away calls are served elsewhere: {served}"
    );
    let (_, workers) = play(&mut b, 1, 200, |_| Some(Outcome::Served));
    assert!(workers[100..].iter().filter(|w| **w == home).count() > 90);
}

#[test]
fn one_broken_connection_neither_moves_a_function_nor_withdraws_its_other_calls() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    let mut at_home = 0;
    for i in 0..100 {
        let (id, actions) = b.call(1);
        let worker = sent_to(&actions).expect("served somewhere");
        at_home += usize::from(worker == home);
        let (other, _) = b.call(1);
        let broken = i % 5 == 0;
        let after = b.finish(
            id,
            0,
            &worker,
            if broken {
                Outcome::ConnectionLost
            } else {
                Outcome::Served
            },
        );
        if let Some(again) = sent_to(&after) {
            b.finish(id, 1, &again, Outcome::Served);
        }
        let after = b.pass(60 * MS);
        assert!(
            !after.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "call {other} is left to run"
        );
        b.finish(other, 0, &home, Outcome::Served);
    }
    assert!(at_home > 95, "{at_home} of 100 at home");
}

#[test]
fn a_worker_whose_calls_mostly_fail_is_left_and_used_again_when_they_do_not() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), &THREE);
    let bad = b.warm(1);
    // Several functions at each worker; three of four calls at the bad one fail.
    let mut count = 0;
    let mut lost = |b: &mut Bench, failing: bool| {
        let mut lost = 0;
        for round in 0..300 {
            let (id, actions) = b.call(round % 12 + 1);
            b.answer_orders(&actions, Outcome::Served, 1);
            let Some(worker) = sent_to(&actions) else {
                continue;
            };
            b.pass(20 * MS);
            count += 1;
            let fails = failing && worker == bad && count % 4 > 0;
            lost += usize::from(fails);
            b.finish(
                id,
                0,
                &worker,
                if fails {
                    Outcome::Error
                } else {
                    Outcome::Served
                },
            );
        }
        lost
    };
    assert_eq!(lost(&mut b, false), 0);
    let early = lost(&mut b, true);
    assert!(
        (3..30).contains(&early),
        "of about 75 calls that it is home to, lost {early}"
    );
    assert_eq!(lost(&mut b, false), 0);
    let home = b.call(1).1;
    assert_eq!(sent_to(&home), Some(bad), "it serves again");
}

#[test]
fn errors_of_one_function_or_at_all_workers_alike_shut_nobody() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let home = b.warm(1);
    // A program that always fails, often called: its home serves others.
    for _ in 0..100 {
        let (id, actions) = b.call(2);
        b.answer_orders(&actions, Outcome::Served, 1);
        if let Some(worker) = sent_to(&actions) {
            b.pass(5 * MS);
            b.finish(id, 0, &worker, Outcome::Error);
        }
        let (id, actions) = b.call(1);
        assert_eq!(sent_to(&actions).as_ref(), Some(&home));
        b.pass(5 * MS);
        b.finish(id, 0, &home, Outcome::Served);
    }
    // Half of all answers are spoilt, wherever they come from.
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    let (served, _) = play(&mut b, 1, 10, |_| Some(Outcome::Served));
    assert_eq!(served, 10);
    let mut sent = 0;
    for round in 0..300 {
        let (id, actions) = b.call(round % 12 + 1);
        b.answer_orders(&actions, Outcome::Served, 1);
        let Some(worker) = sent_to(&actions) else {
            continue;
        };
        sent += 1;
        b.pass(20 * MS);
        let outcome = if (round * 7 + round / 12) % 3 == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        b.finish(id, 0, &worker, outcome);
    }
    // Chance makes one worker look worse for a moment; without the comparison all would be shut at once.
    assert!(sent > 270, "sent {sent} of 300");
}

#[test]
fn a_run_learnt_from_the_queues_of_others_shuts_no_function_out() {
    let mut s = large_tier();
    s.limits.load_polls = false;
    let mut b = Bench::new(s, &THREE);
    b.warm(1);
    // One function's answers come late for a while; it must be sent again once that is over.
    for _ in 0..60 {
        let (id, actions) = b.call(2);
        if let Some(worker) = sent_to(&actions) {
            b.finish_noted(
                id,
                0,
                &worker,
                Outcome::Served,
                900 * MS,
                Some(ReplicaStatus::Warm),
            );
        }
        b.pass(500 * MS);
        b.warm(1);
    }
    b.pass(10_000 * MS);
    let (_, actions) = b.call(2);
    assert!(
        sent_to(&actions).is_some(),
        "a function refused for ever is never learnt again"
    );
}
