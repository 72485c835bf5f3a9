//! Calls that are rejected before they run.

use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate, WorkerId};
use pipithub_engine::{Cause, Engine, EngineSettings, Input, Verdict};

use crate::harness::{Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, forwarded, only_answer, settings};

#[test]
fn a_call_with_almost_no_time_is_rejected_at_once_and_never_forwarded() {
    let mut harness = Harness::new(settings());
    for budget in [0, 1, 5 * MS, 20 * MS] {
        // Nobody knows the function, so only a load of a second could serve it: 20 ms cannot be met.
        let (_, out) = harness.trigger(NON_IDEMPOTENT, |t| t.call.timeout = Some(budget));
        assert_eq!(forwarded(&out), []);
        assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected, "{budget}");
    }
}

/// Found by a scenario: a call that had waited in its queue was given its class's whole time anew, and was answered when its
/// client had long gone.
#[test]
fn time_in_the_queue_counts() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.call.waited = 3_000 * MS);
    assert_eq!(forwarded(&out).len(), 1);
    let out = harness.pass(1_000 * MS);
    assert_eq!(
        only_answer(&out).1.verdict,
        Verdict::Rejected,
        "its 4 s are over"
    );
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.call.waited = 5_000 * MS);
    assert_eq!(only_answer(&out).1.cause, Cause::TooLate);
}

#[test]
fn every_bound_answers_at_once() {
    let mut harness = Harness::new(EngineSettings {
        max_pending: 2,
        ..settings()
    });
    harness.trigger(IDEMPOTENT, |t| t.identity = Some("a".into()));
    harness.trigger(IDEMPOTENT, |t| t.identity = Some("b".into()));
    assert_eq!(harness.engine.capacity(), 0);
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.identity = Some("c".into()));
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);

    let mut harness = Harness::new(EngineSettings {
        max_body_bytes: 5,
        ..settings()
    });
    harness.trigger(IDEMPOTENT, |t| t.identity = Some("a".into()));
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.identity = Some("b".into()));
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);

    let mut harness = Harness::new(settings());
    harness.input(Input::Drain);
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    assert_eq!(only_answer(&out).1.cause, Cause::Draining);

    let mut harness = Harness::new(EngineSettings {
        max_function_names: 10,
        ..settings()
    });
    for n in 0..100 {
        harness.now += MS;
        harness.trigger(IDEMPOTENT, |t| {
            t.identity = None;
            t.call.function = format!("one-off {n}").into();
        });
    }
}

#[test]
fn before_the_first_endpoint_list_there_is_no_capacity() {
    let mut engine = Engine::new(settings(), 7);
    assert_eq!(engine.capacity(), 0);
    engine.handle(
        0,
        Input::Endpoints {
            update: EndpointUpdate::Lost,
            endpoints: Vec::new(),
        },
        &mut Vec::new(),
    );
    assert_eq!(engine.capacity(), 0, "a list that could not be had is none");
    engine.handle(
        0,
        Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: Vec::new(),
        },
        &mut Vec::new(),
    );
    assert_eq!(engine.capacity(), settings().max_pending);
}

#[test]
fn without_workers_a_call_is_rejected_and_after_their_return_forwarded() {
    let mut harness = Harness::new(settings());
    let gone = |n: u32| Endpoint {
        worker: WorkerId::new(&format!("w{n}")),
        state: EndpointState::Removed,
        ..Endpoint::default()
    };
    harness.input(Input::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: (0..3).map(gone).collect(),
    });
    assert_eq!(harness.engine.ready_workers(), 0);
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.identity = None);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected);
    let back = Endpoint {
        worker: WorkerId::new("w9"),
        ..Endpoint::default()
    };
    harness.input(Input::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: vec![back],
    });
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.identity = None);
    assert_eq!(forwarded(&out).len(), 1);
}
