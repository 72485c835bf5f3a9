//! Calls that are rejected on arrival, and the capacity for calls.

use pipithub_engine::policy::EndpointUpdate;
use pipithub_engine::{Cause, Engine, EngineSettings, Input, MessageIdentity, Verdict};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, forwarded, only_answer, ready, removed, settings,
};

#[test]
fn call_with_too_little_time_is_rejected_at_once_and_never_forwarded() {
    let mut harness = Harness::new(settings());
    for budget in [0, 1, 5 * MS, 20 * MS] {
        // No worker has the function loaded, and a load takes a second, so 20 ms cannot be met.
        let (_, out) = harness.trigger(NON_IDEMPOTENT, |trigger| {
            trigger.call.timeout = Some(budget);
        });
        assert_eq!(forwarded(&out), []);
        assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected, "{budget}");
    }
}

/// Guards against a fault found by a scenario: a call that had waited in its queue was given the full timeout of its
/// class again, and was answered long after its client had left.
#[test]
fn time_waited_in_the_queue_counts_towards_the_client_timeout() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.call.waited = 3_000 * MS);
    assert_eq!(forwarded(&out).len(), 1);
    let out = harness.advance(1_000 * MS);
    assert_eq!(
        only_answer(&out).1.verdict,
        Verdict::Rejected,
        "its timeout of 4 s has passed"
    );
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.call.waited = 5_000 * MS);
    assert_eq!(only_answer(&out).1.cause, Cause::TooLate);
}

#[test]
fn call_beyond_max_pending_is_rejected_at_capacity() {
    let mut harness = Harness::new(EngineSettings {
        max_pending: 2,
        ..settings()
    });
    harness.trigger(IDEMPOTENT, |trigger| {
        trigger.identity = Some(MessageIdentity(2));
    });
    harness.trigger(IDEMPOTENT, |trigger| {
        trigger.identity = Some(MessageIdentity(3));
    });
    assert_eq!(harness.engine.capacity(), 0);
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| {
        trigger.identity = Some(MessageIdentity(4));
    });
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);
}

#[test]
fn call_beyond_max_body_bytes_is_rejected_at_capacity() {
    let mut harness = Harness::new(EngineSettings {
        max_body_bytes: 5,
        ..settings()
    });
    harness.trigger(IDEMPOTENT, |trigger| {
        trigger.identity = Some(MessageIdentity(2));
    });
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| {
        trigger.identity = Some(MessageIdentity(3));
    });
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);
}

#[test]
fn call_while_draining_is_rejected() {
    let mut harness = Harness::new(settings());
    harness.input(Input::Drain);
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    assert_eq!(only_answer(&out).1.cause, Cause::Draining);
}

#[test]
fn calls_are_accepted_beyond_max_function_names() {
    let mut harness = Harness::new(EngineSettings {
        max_function_names: 10,
        ..settings()
    });
    for n in 0..100 {
        harness.now += MS;
        harness.trigger(IDEMPOTENT, |trigger| {
            trigger.identity = None;
            trigger.call.function = format!("one-off {n}").into();
        });
    }
    assert_eq!(harness.engine.pending_requests(), 100);
}

#[test]
fn before_the_first_endpoint_list_there_is_no_capacity() {
    let mut engine = Engine::new(settings(), 7);
    assert_eq!(engine.capacity(), 0);
    let empty = |update| Input::Endpoints {
        update,
        endpoints: Vec::new(),
    };
    engine.handle(0, empty(EndpointUpdate::Lost), &mut Vec::new());
    assert_eq!(engine.capacity(), 0, "a failed watch gives no list");
    engine.handle(0, empty(EndpointUpdate::Snapshot), &mut Vec::new());
    assert_eq!(engine.capacity(), settings().max_pending);
}

#[test]
fn call_without_workers_is_rejected_and_one_after_a_worker_returns_is_forwarded() {
    let mut harness = Harness::new(settings());
    let all_removed = ["w0", "w1", "w2"].map(removed).to_vec();
    harness.update_endpoints(EndpointUpdate::Delta, all_removed);
    assert_eq!(harness.engine.ready_workers(), 0);
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.identity = None);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected);
    harness.update_endpoints(EndpointUpdate::Delta, vec![ready("w9")]);
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.identity = None);
    assert_eq!(forwarded(&out).len(), 1);
}
