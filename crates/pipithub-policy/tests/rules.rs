//! The guarantees to clients and operators: final answers, single execution, draining workers and the rate limit of
//! load commands. For each there are tests that fail if the code that ensures it is removed. Slow start is tested in
//! `warming_workers.rs` and `slow_start/`.

mod common;

use common::{
    FrontEndHarness, MS, TimedAction, endpoint, forwarded_to, is_failed, is_rejected,
    load_commands, settings,
};
use pipithub_policy::api::{
    Action, DeduplicationScope, Endpoint, EndpointState, Event, Idempotency, LoadRateLimit,
    Outcome, Request, RequestId, Time, WorkerId,
};

#[test]
fn request_at_silent_worker_gets_one_final_answer_in_time() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::WithKey,
        Idempotency::NonIdempotent,
    ] {
        let mut front_end = FrontEndHarness::new(settings(idempotency), &["w1"]);
        let (_, actions) = front_end.request(1);
        assert!(forwarded_to(&actions).is_some());
        let ends = |a: &[Action]| is_rejected(a) || is_failed(a);
        let early = front_end.advance(3_900 * MS);
        let late = front_end.advance(100 * MS);
        assert_eq!(
            usize::from(ends(&early)) + usize::from(ends(&late)),
            1,
            "{idempotency:?}"
        );
        assert!(!ends(&front_end.advance(5_000 * MS)));
    }
}

#[test]
fn request_without_workers_is_rejected_at_once() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::NonIdempotent), &[]);
    let (_, actions) = front_end.request(1);
    let expected = Action::Reject {
        request: RequestId(1),
        retry_after: Some(500 * MS),
    };
    assert!(actions.contains(&expected));
}

#[test]
fn request_without_time_is_rejected_and_not_forwarded() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1"]);
    for timeout in [0, MS, 4 * MS] {
        let (_, actions) = front_end.request_with(Request {
            timeout: Some(timeout),
            ..Request::default()
        });
        assert!(is_rejected(&actions) && forwarded_to(&actions).is_none());
    }
}

#[test]
fn request_that_may_have_run_is_retried_only_where_its_class_allows() {
    use Outcome::*;
    for outcome in [Error, TimedOut, ConnectionLost, Cancelled] {
        let mut front_end =
            FrontEndHarness::new(settings(Idempotency::NonIdempotent), &["w1", "w2"]);
        let (id, actions) = front_end.request(1);
        let after = front_end.finish_attempt(id, 0, &forwarded_to(&actions).unwrap(), outcome);
        assert!(
            is_failed(&after) && !is_rejected(&after) && forwarded_to(&after).is_none(),
            "{outcome:?}"
        );

        let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1", "w2"]);
        let (id, actions) = front_end.request(1);
        let after = front_end.finish_attempt(id, 0, &forwarded_to(&actions).unwrap(), outcome);
        assert!(forwarded_to(&after).is_some(), "{outcome:?}");
    }
    for outcome in [Rejected, Unreachable, NotSent, NotLoaded] {
        let mut front_end =
            FrontEndHarness::new(settings(Idempotency::NonIdempotent), &["w1", "w2"]);
        let (id, actions) = front_end.request(1);
        let first = forwarded_to(&actions).unwrap();
        let after = front_end.finish_attempt(id, 0, &first, outcome);
        let second = forwarded_to(&after).expect("a request that never ran is retried");
        // Only if the replica was missing, or its load failed, the next attempt may be at the same worker.
        assert_eq!(second == first, outcome == NotLoaded, "{outcome:?}");
    }
}

#[test]
fn request_with_idempotency_key_is_retried_only_in_its_scope_and_window() {
    let mut settings = settings(Idempotency::WithKey);
    settings.classes[0].deduplication_scope = DeduplicationScope::Zone;
    let set_zones = |front_end: &mut FrontEndHarness, first: &WorkerId, other_zone: &str| {
        let names = ["w1", "w2"];
        let zone_of = |n: &&str| {
            if WorkerId::new(n) == *first {
                "a"
            } else {
                other_zone
            }
        };
        let endpoints = names
            .iter()
            .map(|n| Endpoint {
                zone: zone_of(n).to_string(),
                ..endpoint(n)
            })
            .collect();
        front_end.update_endpoints(endpoints);
    };
    for (other_zone, wait, is_retried) in [
        ("a", 100, true),
        ("b", 100, false),
        ("a", 2_480, true),
        ("a", 2_495, false),
    ] {
        let mut front_end = FrontEndHarness::new(settings.clone(), &["w1", "w2"]);
        let (id, actions) = front_end.request(1);
        let first = forwarded_to(&actions).unwrap();
        set_zones(&mut front_end, &first, other_zone);
        front_end.now += wait * MS;
        let after = front_end.finish_attempt(id, 0, &first, Outcome::ConnectionLost);
        assert_eq!(
            forwarded_to(&after).is_some(),
            is_retried,
            "other zone {other_zone}, after {wait} ms"
        );
        assert_eq!(
            is_failed(&after),
            !is_retried,
            "a rejection would promise that a retry is harmless"
        );
    }
}

/// Guards against a second effect where the list moves workers to another group while a request is in flight: the
/// workers that drop its repetitions are those that had its first attempt in their group.
#[test]
fn retry_with_idempotency_key_stays_in_the_group_of_the_worker_when_the_attempt_was_sent() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut settings = settings(Idempotency::WithKey);
        settings.classes[0].deduplication_scope = scope;
        let mut front_end = FrontEndHarness::new(settings, &["w1", "w2"]);
        let (id, actions) = front_end.request(1);
        let first = forwarded_to(&actions).expect("an attempt");
        let moved = |name: &&str| Endpoint {
            zone: "b".to_string(),
            cell: 7,
            ..endpoint(name)
        };
        front_end.update_endpoints(["w1", "w2"].iter().map(moved).collect());
        let after = front_end.finish_attempt(id, 0, &first, Outcome::ConnectionLost);
        assert!(
            forwarded_to(&after).is_none() && is_failed(&after),
            "{scope:?}"
        );
    }
}

/// The times from which the forwarded requests must not be written any more.
fn send_limits(actions: &[Action]) -> Vec<Option<Time>> {
    let limit = |action: &Action| match action {
        Action::Forward { send_by, .. } => Some(*send_by),
        _ => None,
    };
    actions.iter().filter_map(limit).collect()
}

/// Guards against a request that is decided within its deduplication window and written after it.
#[test]
fn retry_with_idempotency_key_states_until_when_it_may_be_written() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::WithKey,
        Idempotency::NonIdempotent,
    ] {
        for outcome in [Outcome::ConnectionLost, Outcome::Rejected] {
            let settings = settings(idempotency);
            let window = settings.classes[0].deduplication_window;
            let margin = 4 * settings.tick;
            let mut front_end = FrontEndHarness::new(settings, &["w1", "w2"]);
            let sent_at = front_end.now;
            let (id, actions) = front_end.request(1);
            assert_eq!(send_limits(&actions), [None], "nothing can have run yet");
            let first = forwarded_to(&actions).expect("an attempt");
            front_end.advance(100 * MS);
            let actions = front_end.finish_attempt(id, 0, &first, outcome);
            let may_have_run = outcome == Outcome::ConnectionLost;
            let expected = match idempotency {
                Idempotency::NonIdempotent if may_have_run => vec![],
                Idempotency::WithKey if may_have_run => vec![Some(sent_at + window - margin)],
                _ => vec![None],
            };
            assert_eq!(
                send_limits(&actions),
                expected,
                "{idempotency:?} {outcome:?}"
            );
        }
    }
}

#[test]
fn request_with_idempotency_key_is_rejected_where_all_workers_deduplicate() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::WithKey), &["w1"]);
    let (id, actions) = front_end.request(1);
    let after = front_end.finish_attempt(
        id,
        0,
        &forwarded_to(&actions).unwrap(),
        Outcome::ConnectionLost,
    );
    assert!(is_rejected(&after));
}

#[test]
fn draining_and_removed_workers_get_neither_requests_nor_load_commands() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut front_end =
            FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1", "w2", "w3"]);
        let preferred = front_end.warm_up(1);
        front_end.update_endpoints(vec![Endpoint {
            state,
            ..endpoint(&preferred.0)
        }]);
        front_end.actions_taken.clear();
        for i in 0..200 {
            let (id, actions) = front_end.request(i % 7);
            front_end.advance(20 * MS);
            if let Some(worker) = forwarded_to(&actions) {
                front_end.finish_attempt(
                    id,
                    0,
                    &worker,
                    if i % 3 == 0 {
                        Outcome::Rejected
                    } else {
                        Outcome::Served
                    },
                );
            }
        }
        for TimedAction { action, .. } in &front_end.actions_taken {
            if let Action::Forward { worker, .. } | Action::LoadFunction { worker, .. } = action {
                assert_ne!(*worker, preferred, "{state:?}");
            }
        }
    }
}

/// Requests functions that are loaded nowhere, and fails each load at once. Returns when the requests arrived.
fn request_unloaded_functions(front_end: &mut FrontEndHarness) -> Vec<Time> {
    let mut arrivals = Vec::new();
    for function in 0..400 {
        arrivals.push(front_end.now);
        let (id, mut actions) = front_end.request(function);
        front_end.advance(35 * MS);
        if let Some(worker) = forwarded_to(&actions) {
            actions.extend(front_end.finish_attempt(id, 0, &worker, Outcome::NotLoaded));
        }
        while !load_commands(&actions).is_empty() {
            actions = front_end.finish_load_commands(&actions, Outcome::Rejected, 0);
        }
    }
    arrivals
}

/// A limit on load commands that [`request_unloaded_functions`] reaches.
const RATE_LIMIT: LoadRateLimit = LoadRateLimit {
    window: 5_000 * MS,
    burst: 3.0,
    per_request: 0.15,
};

/// A front end whose load commands have this limit, at workers that load functions by command only.
fn front_end_with_rate_limit(limit: Option<LoadRateLimit>) -> FrontEndHarness {
    let mut settings = settings(Idempotency::Idempotent);
    settings.loading.loads_on_request = false;
    settings.loading.rate_limit = limit;
    FrontEndHarness::new(settings, &["w1", "w2", "w3", "w4"])
}

/// Guards against load commands that are counted when they are decided and sent in a later window.
#[test]
fn load_commands_stay_within_rate_limit_however_late_each_is_sent() {
    let mut front_end = front_end_with_rate_limit(Some(RATE_LIMIT));
    let arrivals = request_unloaded_functions(&mut front_end);
    let sent: Vec<std::ops::Range<Time>> = front_end
        .actions_taken
        .iter()
        .filter_map(|taken| match taken.action {
            Action::LoadFunction { send_by, .. } => Some(taken.at..send_by.expect("a limit")),
            _ => None,
        })
        .collect();
    assert!(sent.len() > 20, "too few to reach the limit");
    for end in sent.iter().flat_map(|times| [times.start, times.end - 1]) {
        let begin = end - RATE_LIMIT.window;
        let may_be_in_window =
            |times: &&std::ops::Range<Time>| times.start <= end && times.end - 1 > begin;
        let commands = sent.iter().filter(may_be_in_window).count() as f64;
        let requests = arrivals
            .iter()
            .filter(|at| (begin + 1..=end).contains(at))
            .count() as f64;
        let allowed = RATE_LIMIT.burst + RATE_LIMIT.per_request * requests;
        assert!(
            commands <= allowed,
            "{commands} commands, {allowed} allowed"
        );
    }
}

#[test]
fn load_commands_without_rate_limit_may_be_sent_at_any_time() {
    let mut front_end = front_end_with_rate_limit(None);
    request_unloaded_functions(&mut front_end);
    let limits = |taken: &TimedAction| match taken.action {
        Action::LoadFunction { send_by, .. } => Some(send_by),
        _ => None,
    };
    let limits: Vec<_> = front_end.actions_taken.iter().filter_map(limits).collect();
    assert!(!limits.is_empty() && limits.iter().all(Option::is_none));
}

#[test]
fn load_commands_stay_within_rate_limit_in_any_window() {
    let limit = LoadRateLimit {
        window: 5_000 * MS,
        burst: 3.0,
        per_request: 0.15,
    };
    let mut settings = settings(Idempotency::Idempotent);
    settings.loading.loads_on_request = false;
    settings.loading.rate_limit = Some(limit.clone());
    let mut front_end = FrontEndHarness::new(settings, &["w1", "w2", "w3", "w4"]);
    let arrivals = request_unloaded_functions(&mut front_end);
    let commands: Vec<Time> = front_end
        .actions_taken
        .iter()
        .filter(|taken| matches!(taken.action, Action::LoadFunction { replicas: 1.., .. }))
        .map(|taken| taken.at)
        .collect();
    assert!(
        commands.len() > 20,
        "only {} load commands, too few to reach the limit",
        commands.len()
    );
    for &end in &commands {
        let in_window = |at: &&Time| **at <= end && **at + limit.window > end;
        let given = commands.iter().filter(in_window).count() as f64;
        let requests = arrivals.iter().filter(in_window).count() as f64;
        assert!(
            given <= limit.burst + limit.per_request * requests,
            "{given} load commands for {requests} requests"
        );
    }
}

#[test]
fn request_has_one_attempt_at_a_time_and_no_more_than_allowed() {
    let mut front_end = FrontEndHarness::new(
        settings(Idempotency::Idempotent),
        &["w1", "w2", "w3", "w4", "w5", "w6"],
    );
    let (id, actions) = front_end.request(1);
    let mut worker = forwarded_to(&actions);
    let mut attempts = 0;
    while let Some(w) = worker {
        let again = front_end.handle(Event::Timer { token: id.0 });
        assert!(
            forwarded_to(&again).is_none(),
            "forwarded again while an attempt is in flight"
        );
        front_end.now += 10 * MS;
        worker = forwarded_to(&front_end.finish_attempt(id, attempts, &w, Outcome::Rejected));
        attempts += 1;
    }
    assert_eq!(attempts, 4);
}
