//! Tests of the textbook policies: which worker gets a request, when it is retried, and how it ends.

use pipithub_baselines::{Baseline, Policy};
use pipithub_engine::Decide;
use pipithub_engine::policy::{
    Action, AttemptFinished, Class, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate,
    Event, Idempotency, Limits, LoadReport, Outcome, Request, RequestId, Settings, Time, WorkerId,
};

const TICK: Time = 1_000_000;
const TIMEOUT: Time = 1_000 * TICK;
const DEDUPLICATION_WINDOW: Time = 100 * TICK;

// The indexes of the classes in the settings.
const IDEMPOTENT: usize = 0;
const WITH_KEY: usize = 1;
const NON_IDEMPOTENT: usize = 2;

fn settings() -> Settings {
    let class = |idempotency| Class {
        idempotency,
        client_timeout: TIMEOUT,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: DEDUPLICATION_WINDOW,
        ..Class::default()
    };
    Settings {
        tick: TICK,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::WithKey),
            class(Idempotency::NonIdempotent),
        ],
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            ..Limits::default()
        },
        ..Settings::default()
    }
}

fn worker(name: &str) -> WorkerId {
    WorkerId::new(name)
}

fn endpoint(name: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        worker: worker(name),
        state,
        ..Endpoint::default()
    }
}

fn handle(baseline: &mut Baseline, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    baseline.handle(now, event, &mut actions);
    actions
}

fn with_workers(policy: Policy, names: &[&str]) -> Baseline {
    let mut baseline = Baseline::new(policy, settings());
    let endpoints = names
        .iter()
        .map(|name| endpoint(name, EndpointState::Ready))
        .collect();
    let update = EndpointUpdate::Snapshot;
    handle(&mut baseline, 0, Event::Endpoints { update, endpoints });
    baseline
}

fn arrive(baseline: &mut Baseline, now: Time, id: u64, class: usize) -> Vec<Action> {
    let request = Request {
        id: RequestId(id),
        class,
        ..Request::default()
    };
    handle(baseline, now, Event::Arrived(request))
}

fn finish(
    baseline: &mut Baseline,
    now: Time,
    id: u64,
    name: &str,
    outcome: Outcome,
) -> Vec<Action> {
    let attempt = AttemptFinished {
        request: RequestId(id),
        attempt: 0,
        worker: worker(name),
        outcome,
        elapsed: TICK,
        settled: outcome == Outcome::Served,
        replica_status: None,
        function_concurrency: None,
        load_report: LoadReport::default(),
    };
    handle(baseline, now, Event::AttemptFinished(attempt))
}

fn forward(id: u64, name: &str) -> Action {
    Action::Forward {
        request: RequestId(id),
        worker: worker(name),
        timeout: None,
        send_by: None,
    }
}

fn reject(id: u64) -> Action {
    Action::Reject {
        request: RequestId(id),
        retry_after: None,
    }
}

fn set_timer(id: u64) -> Action {
    Action::SetTimer {
        after: TIMEOUT - 2 * TICK,
        token: id,
    }
}

#[test]
fn round_robin_uses_workers_in_turn() {
    let mut baseline = with_workers(Policy::RoundRobin, &["a", "b", "c"]);
    for (id, name) in [(1, "b"), (2, "c"), (3, "a"), (4, "b")] {
        assert_eq!(
            arrive(&mut baseline, 0, id, IDEMPOTENT),
            [set_timer(id), forward(id, name)]
        );
    }
}

#[test]
fn least_loaded_uses_the_worker_with_the_fewest_requests_in_flight() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b"]);
    for (id, name) in [(1, "a"), (2, "b"), (3, "a")] {
        assert_eq!(
            arrive(&mut baseline, 0, id, IDEMPOTENT),
            [set_timer(id), forward(id, name)]
        );
    }
    assert_eq!(finish(&mut baseline, TICK, 1, "a", Outcome::Served), []);
    assert_eq!(finish(&mut baseline, TICK, 3, "a", Outcome::Served), []);
    assert_eq!(
        arrive(&mut baseline, TICK, 4, IDEMPOTENT),
        [set_timer(4), forward(4, "a")]
    );
}

#[test]
fn draining_removed_or_unlisted_worker_gets_no_request() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b", "c"]);
    let delta = vec![
        endpoint("a", EndpointState::Draining),
        endpoint("b", EndpointState::Removed),
    ];
    let update = EndpointUpdate::Delta;
    let endpoints = delta;
    handle(&mut baseline, 0, Event::Endpoints { update, endpoints });
    assert_eq!(
        arrive(&mut baseline, 0, 1, IDEMPOTENT),
        [set_timer(1), forward(1, "c")]
    );
    let update = EndpointUpdate::Snapshot;
    let endpoints = vec![endpoint("d", EndpointState::Ready)];
    handle(&mut baseline, 0, Event::Endpoints { update, endpoints });
    assert_eq!(
        arrive(&mut baseline, 0, 2, IDEMPOTENT),
        [set_timer(2), forward(2, "d")]
    );
}

#[test]
fn request_without_a_worker_is_rejected() {
    let mut baseline = with_workers(Policy::RoundRobin, &[]);
    assert_eq!(
        arrive(&mut baseline, 0, 1, NON_IDEMPOTENT),
        [set_timer(1), reject(1)]
    );
}

#[test]
fn retry_uses_another_worker_until_the_attempts_are_exhausted() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b", "c", "d"]);
    arrive(&mut baseline, 0, 1, IDEMPOTENT);
    let lost = Outcome::ConnectionLost;
    assert_eq!(finish(&mut baseline, TICK, 1, "a", lost), [forward(1, "b")]);
    assert_eq!(
        finish(&mut baseline, 2 * TICK, 1, "b", lost),
        [forward(1, "c")]
    );
    assert_eq!(finish(&mut baseline, 3 * TICK, 1, "c", lost), [reject(1)]);
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b", "c"]);
    arrive(&mut baseline, 0, 1, NON_IDEMPOTENT);
    assert_eq!(
        finish(&mut baseline, TICK, 1, "a", Outcome::Rejected),
        [forward(1, "b")]
    );
    assert_eq!(
        finish(&mut baseline, 2 * TICK, 1, "b", Outcome::TimedOut),
        [Action::Fail {
            request: RequestId(1)
        }]
    );
}

#[test]
fn request_with_an_idempotency_key_is_retried_within_its_deduplication_window() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b"]);
    let last_moment = DEDUPLICATION_WINDOW - 10 * TICK - 1;
    arrive(&mut baseline, 0, 1, WITH_KEY);
    assert_eq!(
        finish(&mut baseline, last_moment, 1, "a", Outcome::Error),
        [forward(1, "b")]
    );
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b"]);
    arrive(&mut baseline, 0, 2, WITH_KEY);
    assert_eq!(
        finish(&mut baseline, last_moment + 1, 2, "a", Outcome::Error),
        [Action::Fail {
            request: RequestId(2)
        }]
    );
}

#[test]
fn no_request_is_forwarded_at_its_deadline() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a", "b"]);
    arrive(&mut baseline, 0, 1, IDEMPOTENT);
    assert_eq!(
        finish(&mut baseline, TIMEOUT - 2 * TICK, 1, "a", Outcome::Error),
        [reject(1)]
    );
}

#[test]
fn timer_cancels_and_ends_a_request_only_near_its_deadline() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a"]);
    arrive(&mut baseline, 0, 1, NON_IDEMPOTENT);
    let early = TIMEOUT - 3 * TICK - 1;
    assert_eq!(handle(&mut baseline, early, Event::Timer { token: 1 }), []);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: 0,
    };
    assert_eq!(
        handle(&mut baseline, early + 1, Event::Timer { token: 1 }),
        [
            cancel,
            Action::Fail {
                request: RequestId(1)
            }
        ]
    );
    assert_eq!(
        handle(&mut baseline, early + 2, Event::Timer { token: 1 }),
        []
    );
}

#[test]
fn cancelled_request_gets_no_answer() {
    let mut baseline = with_workers(Policy::LeastLoaded, &["a"]);
    arrive(&mut baseline, 0, 1, IDEMPOTENT);
    assert_eq!(
        handle(
            &mut baseline,
            TICK,
            Event::ClientCancelled {
                request: RequestId(1)
            }
        ),
        [Action::Cancel {
            request: RequestId(1),
            attempt: 0
        }]
    );
    let finished = finish(&mut baseline, 2 * TICK, 1, "a", Outcome::Cancelled);
    assert_eq!(finished, []);
}
