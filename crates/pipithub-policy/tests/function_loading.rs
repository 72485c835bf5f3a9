//! Loads of functions: how many begin, the effect of failures and of a slow store, and loads by command.

mod common;

use common::{
    FrontEndHarness, MS, THREE_WORKERS, forwarded_to, large_fleet_settings, load_commands, settings,
};
use pipithub_policy::api::{
    Action, Event, FunctionId, Idempotency, LoadReport, Outcome, ReplicaStatus, Request, RequestId,
    Settings, Time, WorkerId,
};

#[test]
fn requests_for_one_function_wait_for_one_load() {
    let mut front_end = FrontEndHarness::new(
        settings(Idempotency::Idempotent),
        &["w1", "w2", "w3", "w4", "w5", "w6"],
    );
    let mut workers = std::collections::BTreeSet::new();
    for _ in 0..60 {
        workers.extend(forwarded_to(&front_end.request(1).1));
        front_end.advance(10 * MS);
    }
    assert_eq!(
        workers.len(),
        1,
        "the requests do not all wait for one load: {workers:?}"
    );
}

#[test]
fn loads_of_functions_called_once_are_bounded() {
    let mut front_end =
        FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1", "w2", "w3", "w4"]);
    let forwarded = (0..200).filter(|f| {
        front_end.advance(2 * MS);
        forwarded_to(&front_end.request(1_000 + f).1).is_some()
    });
    let forwarded = forwarded.count();
    assert!((1..200).contains(&forwarded), "{forwarded}");
}

#[test]
fn missing_replica_is_loaded_by_one_command_where_requests_begin_no_loads() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.loading.loads_on_request = false;
    let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
    let (id, actions) = front_end.request(1);
    let preferred = forwarded_to(&actions).expect("presumed at its preferred worker");
    let after = front_end.finish_attempt(id, 0, &preferred, Outcome::NotLoaded);
    let at = load_commands(&after);
    assert_eq!(at.len(), 1, "not exactly one load command");
    assert!(
        forwarded_to(&after).is_none(),
        "the request does not wait for the load command"
    );
    front_end.advance(300 * MS);
    let after = front_end.finish_load_commands(&after, Outcome::Served, 1);
    assert_eq!(forwarded_to(&after).as_ref(), Some(&at[0]));
}

#[test]
fn request_with_little_time_is_not_forwarded_speculatively() {
    for (timeout, speculates) in [(4_000 * MS, true), (700 * MS, false)] {
        let mut settings = large_fleet_settings();
        settings.limits.load_polls = false;
        settings.loading.load_commands = false;
        let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
        let preferred = front_end.warm_up(1);
        // The preferred worker rejects. The other front ends have probably sent requests on to the next worker and
        // loaded the function there.
        let request = Request {
            function: FunctionId(1),
            replica_concurrency: 4,
            load_time: Some(2_000 * MS),
            timeout: Some(timeout),
            ..Request::default()
        };
        let mut retried = 0;
        for _ in 0..20 {
            let (id, actions) = front_end.request_with(request.clone());
            let Some(worker) = forwarded_to(&actions) else {
                continue;
            };
            let after = front_end.finish_attempt(
                id,
                0,
                &worker,
                if worker == preferred {
                    Outcome::Rejected
                } else {
                    Outcome::Served
                },
            );
            if let Some(next) = forwarded_to(&after) {
                retried += 1;
                front_end.finish_attempt(id, 1, &next, Outcome::Served);
                break;
            }
        }
        assert_eq!(retried > 0, speculates, "with {} ms left", timeout / MS);
    }
}

/// If the store rejects fetches, each request would go on to the next worker and begin another load there.
#[test]
fn loads_pause_after_failures_and_resume_later() {
    for outcome in [Outcome::Error, Outcome::NotLoaded] {
        let names: Vec<String> = (0..20).map(|i| format!("w{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut front_end = FrontEndHarness::new(
            Settings {
                front_ends: 20,
                ..settings(Idempotency::Idempotent)
            },
            &names,
        );
        let preferred = front_end.warm_up(1);
        let attempts = |front_end: &mut FrontEndHarness, requests: u64, store_works: bool| {
            let mut attempts = 0;
            for function in 0..requests {
                let (id, mut actions) = front_end.request(100 + front_end.now / MS + function);
                let mut attempt = 0;
                while let Some(worker) = forwarded_to(&actions) {
                    attempts += 1;
                    let (outcome, status) = if store_works {
                        (Outcome::Served, ReplicaStatus::LoadStarted)
                    } else {
                        (outcome, ReplicaStatus::LoadFailed)
                    };
                    actions = front_end.finish_attempt_with(
                        id,
                        attempt,
                        &worker,
                        outcome,
                        40 * MS,
                        Some(status),
                    );
                    attempt += 1;
                }
            }
            attempts
        };
        assert!(
            attempts(&mut front_end, 20, false) < 30,
            "{outcome:?}: too many loads begin while the store fails"
        );
        let (id, actions) = front_end.request(1);
        assert_eq!(
            forwarded_to(&actions).as_ref(),
            Some(&preferred),
            "a loaded replica does not continue to serve"
        );
        front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
        front_end.advance(5_000 * MS);
        assert!(
            attempts(&mut front_end, 5, true) >= 5,
            "{outcome:?}: loads do not resume"
        );
    }
}

/// No request may begin a load that takes longer than its client waits: only a command loads such a function at another
/// worker.
#[test]
fn function_that_loads_longer_than_clients_wait_is_spread_by_command() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1", "w2"]);
    let preferred = front_end.warm_up(1);
    let mut commands = Vec::new();
    for _ in 0..60 {
        let (_, actions) = front_end.request_with(Request {
            function: FunctionId(1),
            replica_concurrency: 4,
            memory_mb: 100.0,
            load_time: Some(6_000 * MS),
            timeout: Some(4_000 * MS),
            ..Request::default()
        });
        let worker = forwarded_to(&actions);
        assert!(
            worker.is_none_or(|worker| worker == preferred),
            "a request is forwarded to wait for a load that takes longer than its client waits"
        );
        commands.extend(load_commands(&actions));
    }
    assert_eq!(
        commands.len(),
        1,
        "not exactly one load command: {commands:?}"
    );
    assert_ne!(commands[0], preferred);
}

/// The first `count` functions, numbered from `from` on, whose preferred worker is this one.
fn functions_preferring(
    workers: &[&str],
    preferred: &WorkerId,
    from: u64,
    count: usize,
) -> Vec<u64> {
    let preferred_by = |function: &u64| {
        forwarded_to(
            &FrontEndHarness::new(settings(Idempotency::Idempotent), workers)
                .request(*function)
                .1,
        )
    };
    (from..)
        .filter(|f| preferred_by(f).as_ref() == Some(preferred))
        .take(count)
        .collect()
}

/// Ejects the worker by failed connections, one for each of these functions that prefer it.
fn eject(front_end: &mut FrontEndHarness, worker: &WorkerId, functions: &[u64]) {
    for function in functions {
        let (id, actions) = front_end.request(*function);
        assert_eq!(forwarded_to(&actions).as_ref(), Some(worker));
        front_end.finish_attempt(id, 0, worker, Outcome::Unreachable);
    }
}

#[test]
fn functions_of_ejected_worker_begin_limited_number_of_loads_elsewhere() {
    let preferred = WorkerId::new("w1");
    let functions = functions_preferring(&THREE_WORKERS, &preferred, 1, 40);
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    eject(&mut front_end, &preferred, &functions[..2]);
    let forwarded = functions[2..]
        .iter()
        .filter(|f| forwarded_to(&front_end.request(**f).1).is_some())
        .count();
    assert!(
        (6..=12).contains(&forwarded),
        "{forwarded} loads begin elsewhere, not 6 to 12 (at most four per worker)"
    );
}

#[test]
fn requests_stuck_at_ejected_worker_do_not_block_other_loads() {
    let preferred = WorkerId::new("w1");
    let functions = functions_preferring(&THREE_WORKERS, &preferred, 1, 20);
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    // As many loads as are allowed wait at the worker when it is ejected.
    for function in &functions[..14] {
        front_end.request(*function);
    }
    front_end.advance(700 * MS);
    for id in 1..=2 {
        front_end.finish_attempt(RequestId(id), 0, &preferred, Outcome::Unreachable);
    }
    let (_, actions) = front_end.request(functions[16]);
    assert!(
        forwarded_to(&actions).is_some_and(|w| w != preferred),
        "loaded at a remaining worker"
    );
}

/// A worker adds one replica at a time, however many requests wait for it. If each request counted as a load, they
/// would block all other loads.
#[test]
fn requests_waiting_for_further_replica_count_as_one_load() {
    let mut settings = settings(Idempotency::Idempotent);
    (settings.loading.reports_concurrency, settings.front_ends) = (true, 2);
    let mut front_end = FrontEndHarness::new(settings, &THREE_WORKERS);
    let ejected = WorkerId::new("w1");
    let functions = functions_preferring(&THREE_WORKERS, &ejected, 100, 3);
    let others =
        ["w2", "w3"].map(|w| functions_preferring(&THREE_WORKERS, &WorkerId::new(w), 1, 1)[0]);
    for function in others {
        front_end.warm_up(function);
    }
    let is_forwarded_to_other = |front_end: &mut FrontEndHarness, function| {
        let request = Request {
            function: FunctionId(function),
            replica_concurrency: 1,
            ..Request::default()
        };
        forwarded_to(&front_end.request_with(request).1).is_some_and(|w| w != ejected)
    };
    let waiting = (0..20)
        .flat_map(|_| others)
        .filter(|f| is_forwarded_to_other(&mut front_end, *f))
        .count();
    assert!(
        waiting >= 9,
        "only {waiting} requests wait, too few to exceed the six loads that are allowed"
    );
    eject(&mut front_end, &ejected, &functions[..2]);
    assert!(
        forwarded_to(&front_end.request(functions[2]).1).is_some_and(|w| w != ejected),
        "loaded at a remaining worker"
    );
}

#[test]
fn slow_store_lowers_number_of_concurrent_loads() {
    let preferred = WorkerId::new("w1");
    let functions = functions_preferring(&THREE_WORKERS, &preferred, 1, 40);
    let forwarded = |load_time: Time| {
        let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
        for function in 1_000..1_010 {
            let (id, actions) = front_end.request(function);
            let worker = forwarded_to(&actions).expect("the request is forwarded");
            front_end.finish_attempt_with(
                id,
                0,
                &worker,
                Outcome::Served,
                load_time,
                Some(ReplicaStatus::LoadStarted),
            );
        }
        eject(&mut front_end, &preferred, &functions[..2]);
        functions[2..]
            .iter()
            .filter(|f| forwarded_to(&front_end.request(**f).1).is_some())
            .count()
    };
    // Requests declare a load time of 500 ms.
    let (usual, slow) = (forwarded(550 * MS), forwarded(2_050 * MS));
    assert!(
        slow >= 1 && slow * 2 <= usual,
        "{slow} loads with a slow store, {usual} with the usual one"
    );
}

/// A request that is forwarded while its function loads by command has no predicted finish.
#[test]
fn request_waiting_for_load_command_is_never_overdue() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.front_ends = 9;
    settings.loading.loads_on_request = false;
    let mut front_end = FrontEndHarness::new(settings, &["w1"]);
    let worker = WorkerId::new("w1");
    let (id, actions) = front_end.request(7);
    assert!(
        forwarded_to(&actions).is_some(),
        "not forwarded to the preferred worker, where the function is presumed"
    );
    let actions = front_end.finish_attempt(id, 0, &worker, Outcome::NotLoaded);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::LoadFunction { .. })),
        "no load command: {actions:?}"
    );
    // The worker reports busy cores, so that it gets requests only if no other worker takes them; there is no other.
    let load = LoadReport {
        cpu_utilization: Some(1.0),
        in_flight: Some(1.0),
        ..LoadReport::default()
    };
    front_end.handle(Event::LoadPolled {
        worker: worker.clone(),
        answered: true,
        report: load,
    });
    for _ in 0..3 {
        let (_, actions) = front_end.request(7);
        assert!(
            forwarded_to(&actions).is_some(),
            "not forwarded to wait for the load: {actions:?}"
        );
    }
    // Maintenance must neither overflow nor consider the worker silent and cancel its attempts.
    let actions = front_end.advance(120 * MS);
    let cancel = actions.iter().find(|a| matches!(a, Action::Cancel { .. }));
    assert_eq!(
        cancel, None,
        "an attempt is cancelled before its answer is due"
    );
}
