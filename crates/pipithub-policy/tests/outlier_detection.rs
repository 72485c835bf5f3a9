//! Workers that do not answer, crash, fail or reject are ejected, and return once they recover.

mod common;

use common::{
    FrontEndHarness, MS, THREE_WORKERS, Traffic, endpoint, forwarded_to, large_fleet_settings,
    settings,
};
use pipithub_policy::api::{
    Action, Endpoint, EndpointState, FunctionId, Idempotency, Outcome, Request, WorkerId,
};

/// The number of attempts at a worker, without the first `first` attempts at any worker.
fn attempts_from(traffic: &Traffic, first: usize, worker: &WorkerId) -> usize {
    let counted = &traffic.workers[first..];
    counted.iter().filter(|at| *at == worker).count()
}

#[test]
fn silent_worker_is_ejected_and_returns_when_it_answers() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    let traffic = front_end.run_requests(1, 100, |w| (*w != preferred).then_some(Outcome::Served));
    assert!(traffic.served > 90, "served {} of 100", traffic.served);
    let wasted = traffic.attempts_at(&preferred);
    assert!(
        wasted < 25,
        "{wasted} attempts at a worker that does not answer"
    );
    let traffic = front_end.run_requests(1, 200, |_| Some(Outcome::Served));
    assert!(traffic.served > 195, "served {} of 200", traffic.served);
    let returned = attempts_from(&traffic, 100, &preferred);
    assert!(
        returned > 90,
        "the preferred worker serves again: {returned} of 100"
    );
}

#[test]
fn class_without_answers_is_ejected_while_other_class_stays() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes.push(settings.classes[0].clone());
    let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    let mut at_preferred = 0;
    for _ in 0..60 {
        for class in [0, 1] {
            let call = Request {
                function: FunctionId(1),
                replica_concurrency: 8,
                class,
                timeout: Some(4_000 * MS),
                ..Request::default()
            };
            let (id, actions) = front_end.request_with(call);
            front_end.advance(25 * MS);
            let Some(worker) = forwarded_to(&actions) else {
                continue;
            };
            at_preferred += usize::from(class == 1 && worker == preferred);
            if class == 0 || worker != preferred {
                front_end.finish_attempt(id, 0, &worker, Outcome::Served);
            }
        }
    }
    assert!(
        at_preferred < 30,
        "{at_preferred} of 60 requests of the class without answers still went there"
    );
    let (_, actions) = front_end.request(1);
    assert_eq!(
        forwarded_to(&actions),
        Some(preferred),
        "the other class stays at its preferred worker"
    );
}

#[test]
fn crashed_worker_is_ejected_and_returns_with_slow_start() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    let traffic = front_end.run_requests(1, 60, |w| {
        Some(if *w == preferred {
            Outcome::Unreachable
        } else {
            Outcome::Served
        })
    });
    assert_eq!(traffic.served, 60);
    assert!(traffic.attempts_at(&preferred) < 10);
    let started = Some(front_end.now);
    front_end.update_endpoints(vec![Endpoint {
        started_at: started,
        ..endpoint(&preferred.0)
    }]);
    let traffic = front_end.run_requests(1, 600, |_| Some(Outcome::Served));
    assert!(traffic.served > 590, "served {} of 600", traffic.served);
    assert!(
        attempts_from(&traffic, 300, &preferred) > 250,
        "the preferred worker is used again"
    );
}

#[test]
fn service_continues_after_most_workers_are_removed_and_spreads_after_their_return() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &names);
    for function in 0..6 {
        front_end.warm_up(function);
    }
    front_end.update_endpoints(
        names[..5]
            .iter()
            .map(|n| Endpoint {
                state: EndpointState::Removed,
                ..endpoint(n)
            })
            .collect(),
    );
    for function in 0..6 {
        let served = front_end
            .run_requests(function, 40, |_| Some(Outcome::Served))
            .served;
        assert!(served >= 38, "function {function}: {served} of 40");
    }
    let started = Some(front_end.now);
    front_end.update_endpoints(
        names[..5]
            .iter()
            .map(|n| Endpoint {
                started_at: started,
                ..endpoint(n)
            })
            .collect(),
    );
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..8 {
        for function in 0..6 {
            used.extend(
                front_end
                    .run_requests(function, 40, |_| Some(Outcome::Served))
                    .workers,
            );
        }
    }
    assert!(
        used.len() >= 3,
        "functions return to their preferred workers: {used:?}"
    );
}

#[test]
fn slow_requests_do_not_eject_worker() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    for i in 0..100 {
        let (id, actions) = front_end.request(1);
        front_end.advance(50 * MS);
        if let Some(worker) = forwarded_to(&actions) {
            let elapsed = if i % 25 == 0 { 2_000 * MS } else { 50 * MS };
            front_end.finish_attempt_after(id, 0, &worker, Outcome::Served, elapsed);
        }
    }
    let traffic = front_end.run_requests(1, 50, |_| Some(Outcome::Served));
    assert!(traffic.attempts_at(&preferred) > 45);
}

#[test]
fn rejections_under_overload_end_once_worker_is_idle() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1"]);
    front_end.warm_up(1);
    let mut forwarded = Vec::new();
    for _ in 0..400 {
        let (id, actions) = front_end.request(1);
        if forwarded_to(&actions).is_some() {
            forwarded.push(id);
        }
        front_end.advance(2 * MS);
    }
    assert!(
        forwarded.len() < 400,
        "some requests are rejected under overload"
    );
    for id in forwarded {
        front_end.advance(5 * MS);
        front_end.finish_attempt_after(id, 0, &WorkerId::new("w1"), Outcome::Served, 900 * MS);
    }
    let (_, actions) = front_end.request(1);
    assert!(
        forwarded_to(&actions).is_some(),
        "an idle worker accepts requests at once"
    );
}

#[test]
fn worker_at_capacity_gets_fewer_requests_until_it_accepts() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    let served = front_end
        .run_requests(1, 50, |w| {
            Some(if *w == preferred {
                Outcome::Rejected
            } else {
                Outcome::Served
            })
        })
        .served;
    assert!(
        served >= 48,
        "rejected requests are served elsewhere: {served}"
    );
    let traffic = front_end.run_requests(1, 200, |_| Some(Outcome::Served));
    assert!(attempts_from(&traffic, 100, &preferred) > 90);
}

#[test]
fn single_lost_connection_neither_moves_function_nor_cancels_other_attempts() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    let mut at_preferred = 0;
    for i in 0..100 {
        let (id, actions) = front_end.request(1);
        let worker = forwarded_to(&actions).expect("the request is forwarded");
        at_preferred += usize::from(worker == preferred);
        let (other, _) = front_end.request(1);
        let connection_lost = i % 5 == 0;
        let actions = front_end.finish_attempt(
            id,
            0,
            &worker,
            if connection_lost {
                Outcome::ConnectionLost
            } else {
                Outcome::Served
            },
        );
        if let Some(retry_worker) = forwarded_to(&actions) {
            front_end.finish_attempt(id, 1, &retry_worker, Outcome::Served);
        }
        let actions = front_end.advance(60 * MS);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "request {other} must not be cancelled"
        );
        front_end.finish_attempt(other, 0, &preferred, Outcome::Served);
    }
    assert!(
        at_preferred > 95,
        "{at_preferred} of 100 at the preferred worker"
    );
}

#[test]
fn worker_with_high_error_rate_is_ejected_and_returns_after_recovery() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::NonIdempotent), &THREE_WORKERS);
    let failing_worker = front_end.warm_up(1);
    // Several functions at each worker; three of four requests at the failing one end with an error.
    let mut attempts = 0;
    let mut run_and_count_errors = |front_end: &mut FrontEndHarness, failing: bool| {
        let mut errors = 0;
        for round in 0..300 {
            let (id, actions) = front_end.request(round % 12 + 1);
            front_end.finish_load_commands(&actions, Outcome::Served, 1);
            let Some(worker) = forwarded_to(&actions) else {
                continue;
            };
            front_end.advance(20 * MS);
            attempts += 1;
            let fails = failing && worker == failing_worker && attempts % 4 > 0;
            errors += usize::from(fails);
            front_end.finish_attempt(
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
        errors
    };
    assert_eq!(run_and_count_errors(&mut front_end, false), 0);
    let early = run_and_count_errors(&mut front_end, true);
    assert!(
        (3..30).contains(&early),
        "{early} errors, where about 75 would occur without an ejection"
    );
    assert_eq!(run_and_count_errors(&mut front_end, false), 0);
    let actions = front_end.request(1).1;
    assert_eq!(
        forwarded_to(&actions),
        Some(failing_worker),
        "the worker serves again"
    );
}

#[test]
fn errors_of_one_function_or_of_all_workers_eject_no_worker() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let preferred = front_end.warm_up(1);
    // A function that always fails is requested often: its preferred worker still serves other functions.
    for _ in 0..100 {
        let (id, actions) = front_end.request(2);
        front_end.finish_load_commands(&actions, Outcome::Served, 1);
        if let Some(worker) = forwarded_to(&actions) {
            front_end.advance(5 * MS);
            front_end.finish_attempt(id, 0, &worker, Outcome::Error);
        }
        let (id, actions) = front_end.request(1);
        assert_eq!(forwarded_to(&actions).as_ref(), Some(&preferred));
        front_end.advance(5 * MS);
        front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
    }
    // A third of all answers are errors, whichever worker they come from.
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let served = front_end
        .run_requests(1, 10, |_| Some(Outcome::Served))
        .served;
    assert_eq!(served, 10);
    let mut forwarded = 0;
    for round in 0..300 {
        let (id, actions) = front_end.request(round % 12 + 1);
        front_end.finish_load_commands(&actions, Outcome::Served, 1);
        let Some(worker) = forwarded_to(&actions) else {
            continue;
        };
        forwarded += 1;
        front_end.advance(20 * MS);
        let outcome = if (round * 7 + round / 12) % 3 == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        front_end.finish_attempt(id, 0, &worker, outcome);
    }
    // By chance one worker may look worse for a moment; without the comparison with the others, all would be ejected at
    // once.
    assert!(forwarded > 270, "forwarded {forwarded} of 300");
}

#[test]
fn function_with_late_answers_is_forwarded_again_after_recovery() {
    let mut settings = large_fleet_settings();
    settings.limits.load_polls = false;
    let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
    front_end.warm_up(1);
    // The answers of one function are late for a while; its requests must be forwarded again once that is over.
    for _ in 0..60 {
        let (id, actions) = front_end.request(2);
        if let Some(worker) = forwarded_to(&actions) {
            front_end.finish_attempt_after(id, 0, &worker, Outcome::Served, 900 * MS);
        }
        front_end.advance(500 * MS);
        front_end.warm_up(1);
    }
    front_end.advance(10_000 * MS);
    let (_, actions) = front_end.request(2);
    assert!(
        forwarded_to(&actions).is_some(),
        "a function whose requests are always rejected never gets a new estimate of its run time"
    );
}
