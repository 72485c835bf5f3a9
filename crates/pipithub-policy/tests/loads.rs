//! Loads of functions: how many begin, after failures, from a slow store and by command.

mod common;

use common::{Bench, MS, THREE, held, large_tier, sent_to, settings};
use pipithub_policy::api::{
    FunctionId, Idempotency, Outcome, ReplicaStatus, Request, RequestId, Settings, Time, WorkerId,
};

#[test]
fn a_slow_store_is_not_asked_twice_for_one_function() {
    let mut b = Bench::new(
        settings(Idempotency::Idempotent),
        &["w1", "w2", "w3", "w4", "w5", "w6"],
    );
    let mut workers = std::collections::BTreeSet::new();
    for _ in 0..60 {
        workers.extend(sent_to(&b.call(1).1));
        b.pass(10 * MS);
    }
    assert_eq!(workers.len(), 1, "all wait for one load: {workers:?}");
}

#[test]
fn one_off_functions_do_not_begin_loads_without_bound() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &["w1", "w2", "w3", "w4"]);
    let sends = (0..200).filter(|f| {
        b.pass(2 * MS);
        sent_to(&b.call(1_000 + f).1).is_some()
    });
    let sends = sends.count();
    assert!((1..200).contains(&sends), "{sends}");
}

#[test]
fn a_worker_that_loads_only_by_order_is_served_by_one() {
    let mut s = settings(Idempotency::Idempotent);
    s.loading.loads_on_request = false;
    let mut b = Bench::new(s, &THREE);
    let (id, actions) = b.call(1);
    let home = sent_to(&actions).expect("presumed at its home");
    let after = b.finish(id, 0, &home, Outcome::NotLoaded);
    let at = held(&after);
    assert_eq!(at.len(), 1, "one order");
    assert!(sent_to(&after).is_none(), "the call waits for it");
    b.pass(300 * MS);
    let after = b.answer_orders(&after, Outcome::Served, 1);
    assert_eq!(sent_to(&after).as_ref(), Some(&at[0]));
}

#[test]
fn a_call_with_little_time_begins_no_load_on_a_guess() {
    for (budget, guessed) in [(4_000 * MS, true), (700 * MS, false)] {
        let mut s = large_tier();
        s.limits.load_polls = false;
        s.loading.load_commands = false;
        let mut b = Bench::new(s, &THREE);
        let home = b.warm(1);
        // The home turns calls away: the others have moved on to the next worker and loaded it there.
        let call = Request {
            function: FunctionId(1),
            replica_concurrency: 4,
            load_time: Some(2_000 * MS),
            timeout: Some(budget),
            ..Request::default()
        };
        let mut sent = 0;
        for _ in 0..20 {
            let (id, actions) = b.call_with(call.clone());
            let Some(worker) = sent_to(&actions) else {
                continue;
            };
            let after = b.finish(
                id,
                0,
                &worker,
                if worker == home {
                    Outcome::Rejected
                } else {
                    Outcome::Served
                },
            );
            if let Some(next) = sent_to(&after) {
                sent += 1;
                b.finish(id, 1, &next, Outcome::Served);
                break;
            }
        }
        assert_eq!(sent > 0, guessed, "with {} ms left", budget / MS);
    }
}

/// A store that turns fetches away: each call went on to the next worker, and began the next load there.
#[test]
fn loads_that_fail_are_not_begun_again_for_a_while() {
    for outcome in [Outcome::Error, Outcome::NotLoaded] {
        let names: Vec<String> = (0..20).map(|i| format!("w{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut b = Bench::new(
            Settings {
                front_ends: 20,
                ..settings(Idempotency::Idempotent)
            },
            &names,
        );
        let home = b.warm(1);
        let sends = |b: &mut Bench, calls: u64, works: bool| {
            let mut sends = 0;
            for function in 0..calls {
                let (id, mut actions) = b.call(100 + b.now / MS + function);
                let mut attempt = 0;
                while let Some(worker) = sent_to(&actions) {
                    sends += 1;
                    let (outcome, note) = if works {
                        (Outcome::Served, ReplicaStatus::LoadStarted)
                    } else {
                        (outcome, ReplicaStatus::LoadFailed)
                    };
                    actions = b.finish_noted(id, attempt, &worker, outcome, 40 * MS, Some(note));
                    attempt += 1;
                }
            }
            sends
        };
        assert!(
            sends(&mut b, 20, false) < 30,
            "{outcome:?}: loads are asked of a store that fails"
        );
        let (id, actions) = b.call(1);
        assert_eq!(
            sent_to(&actions).as_ref(),
            Some(&home),
            "a warm copy goes on serving"
        );
        b.finish(id, 0, &home, Outcome::Served);
        b.pass(5_000 * MS);
        assert!(
            sends(&mut b, 5, true) >= 5,
            "{outcome:?}: loads are begun again"
        );
    }
}

/// A load longer than any client waits: no call may begin it, so only an order takes the function further.
#[test]
fn a_function_too_slow_to_load_for_its_calls_is_spread_by_order() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &["w1", "w2"]);
    let home = b.warm(1);
    let mut orders = Vec::new();
    for _ in 0..60 {
        let (_, actions) = b.call_with(Request {
            function: FunctionId(1),
            replica_concurrency: 4,
            memory_mb: 100.0,
            load_time: Some(6_000 * MS),
            timeout: Some(4_000 * MS),
            ..Request::default()
        });
        let sent = sent_to(&actions);
        assert!(
            sent.is_none_or(|w| w == home),
            "a call is sent into a load that it cannot outlast"
        );
        orders.extend(held(&actions));
    }
    assert_eq!(
        orders.len(),
        1,
        "one order, for the other worker: {orders:?}"
    );
    assert_ne!(orders[0], home);
}

/// Functions whose home is this worker, from this number on.
fn homed_at(workers: &[&str], home: &WorkerId, from: u64, count: usize) -> Vec<u64> {
    let home_of = |function: &u64| {
        sent_to(
            &Bench::new(settings(Idempotency::Idempotent), workers)
                .call(*function)
                .1,
        )
    };
    (from..)
        .filter(|f| home_of(f).as_ref() == Some(home))
        .take(count)
        .collect()
}

/// Two connections to the worker fail, so that it is left alone.
fn cut_off(b: &mut Bench, worker: &WorkerId, functions: &[u64]) {
    for function in functions {
        let (id, actions) = b.call(*function);
        assert_eq!(sent_to(&actions).as_ref(), Some(worker));
        b.finish(id, 0, worker, Outcome::Unreachable);
    }
}

#[test]
fn functions_of_a_lost_home_begin_no_more_loads_elsewhere_than_are_allowed_at_a_time() {
    let home = WorkerId::new("w1");
    let functions = homed_at(&THREE, &home, 1, 40);
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    cut_off(&mut b, &home, &functions[..2]);
    let sent = functions[2..]
        .iter()
        .filter(|f| sent_to(&b.call(**f).1).is_some())
        .count();
    assert!(
        (6..=12).contains(&sent),
        "four for each worker at the most: {sent}"
    );
}

#[test]
fn calls_that_hang_at_a_lost_worker_are_no_loads_that_bar_others() {
    let home = WorkerId::new("w1");
    let functions = homed_at(&THREE, &home, 1, 20);
    let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
    // As many loads as are allowed hang there when it is lost.
    functions[..14].iter().for_each(|f| drop(b.call(*f)));
    b.pass(700 * MS);
    (1..=2).for_each(|id| drop(b.finish(RequestId(id), 0, &home, Outcome::Unreachable)));
    let (_, actions) = b.call(functions[16]);
    assert!(
        sent_to(&actions).is_some_and(|w| w != home),
        "loaded at one that is left"
    );
}

/// A worker adds one copy at a time, however many calls wait for it: counted each, they bar all other loads.
#[test]
fn calls_that_wait_beside_taken_lanes_are_one_load_together() {
    let mut s = settings(Idempotency::Idempotent);
    (s.loading.reports_concurrency, s.front_ends) = (true, 2);
    let mut b = Bench::new(s, &THREE);
    let lost = WorkerId::new("w1");
    let functions = homed_at(&THREE, &lost, 100, 3);
    let others = ["w2", "w3"].map(|w| homed_at(&THREE, &WorkerId::new(w), 1, 1)[0]);
    for function in others {
        b.warm(function);
    }
    let busy = |b: &mut Bench, function| {
        let call = Request {
            function: FunctionId(function),
            replica_concurrency: 1,
            ..Request::default()
        };
        sent_to(&b.call_with(call).1).is_some_and(|w| w != lost)
    };
    let waiting = (0..20)
        .flat_map(|_| others)
        .filter(|f| busy(&mut b, *f))
        .count();
    assert!(
        waiting >= 9,
        "beside taken lanes, more than six loads, which are allowed: {waiting}"
    );
    cut_off(&mut b, &lost, &functions[..2]);
    assert!(
        sent_to(&b.call(functions[2]).1).is_some_and(|w| w != lost),
        "loaded at one that is left"
    );
}

#[test]
fn the_slower_the_store_the_fewer_loads_are_under_way() {
    let home = WorkerId::new("w1");
    let functions = homed_at(&THREE, &home, 1, 40);
    let sent = |took: Time| {
        let mut b = Bench::new(settings(Idempotency::Idempotent), &THREE);
        for function in 1_000..1_010 {
            let (id, actions) = b.call(function);
            let worker = sent_to(&actions).expect("sent");
            b.finish_noted(
                id,
                0,
                &worker,
                Outcome::Served,
                took,
                Some(ReplicaStatus::LoadStarted),
            );
        }
        cut_off(&mut b, &home, &functions[..2]);
        functions[2..]
            .iter()
            .filter(|f| sent_to(&b.call(**f).1).is_some())
            .count()
    };
    // Calls give the usual time of a load as 500 ms.
    let (usual, slow) = (sent(550 * MS), sent(2_050 * MS));
    assert!(slow >= 1 && slow * 2 <= usual, "{slow} beside {usual}");
}
