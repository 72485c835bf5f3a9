//! Messages that are delivered again, and requests whose source is lost.

use pipithub_engine::policy::{Class, DeduplicationScope, Idempotency, Outcome};
use pipithub_engine::redelivery::{RedeliveryDecision, decide_unknown};
use pipithub_engine::{Cause, Input, Output, SourceId, Time, Verdict};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, WITH_KEY, answers, class, forwarded, only_answer,
    settings,
};

#[test]
fn a_redelivery_of_a_pending_call_joins_it() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = forwarded(&out)[0];
    harness.input(Input::SourceLost(SourceId(1)));
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |t| t.redelivered = true);
    assert_eq!(out, [], "it is running already");
    let out = harness.end(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, again);
}

#[test]
fn a_redelivery_of_an_answered_call_gets_the_same_answer() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    harness.input(Input::SourceLost(SourceId(1)));
    assert_eq!(
        harness.end(forwarded(&out)[0], Outcome::Served),
        [],
        "nobody can be told now"
    );
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |t| t.redelivered = true);
    let (to, reply) = only_answer(&out);
    assert_eq!((to, reply.verdict), (again, Verdict::Served));
    harness.input(Input::Settled(again));
    // A broker without transactions may lose the ack of an answer that is safe: no second answer then.
    let (third, out) = harness.trigger(NON_IDEMPOTENT, |t| t.redelivered = true);
    assert_eq!(out, [Output::Forget(third)]);
}

/// Found by the bad day: a front end whose connection was cut sent a call again after another had answered it.
#[test]
fn a_request_without_its_source_is_not_retried() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    harness.input(Input::SourceLost(SourceId(1)));
    assert_eq!(harness.end(forwarded(&out)[0], Outcome::ConnectionLost), []);
    assert_eq!(
        (
            harness.engine.pending_requests(),
            harness.engine.body_bytes(),
            harness.engine.attempts_in_flight()
        ),
        (0, 0, 0)
    );
    // Should it come back here after all, it is decided anew.
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.redelivered = true);
    assert_eq!(forwarded(&out).len(), 1);
}

/// A client that uses a name anew must not have its call settled by the answer of an earlier one.
#[test]
fn an_identity_that_is_used_anew_is_a_new_message() {
    let mut harness = Harness::new(settings());
    let (first, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    harness.end(forwarded(&out)[0], Outcome::Served);
    harness.input(Input::Settled(first));
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = forwarded(&out)[0];
    harness.input(Input::SourceLost(SourceId(1)));
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |t| t.redelivered = true);
    assert_eq!(out, []);
    assert_eq!(only_answer(&harness.end(attempt, Outcome::Served)).0, again);
    // Twice at a time: both are answered.
    let (a, out_a) = harness.trigger(IDEMPOTENT, |_| {});
    let (b, out_b) = harness.trigger(IDEMPOTENT, |_| {});
    assert_eq!(
        only_answer(&harness.end(forwarded(&out_a)[0], Outcome::Served)).0,
        a
    );
    assert_eq!(
        only_answer(&harness.end(forwarded(&out_b)[0], Outcome::Served)).0,
        b
    );
}

#[test]
fn a_message_that_another_front_end_had_is_run_only_where_that_is_harmless() {
    let fate = |class: usize, age: Option<Time>| {
        let (_, out) = Harness::new(settings()).trigger(class, |t| {
            t.redelivered = true;
            t.call.age = age;
        });
        answers(&out).first().map(|(_, r)| (r.verdict, r.cause))
    };
    let failed = Some((Verdict::Failed, Cause::MayHaveRunBefore));
    assert_eq!(fate(IDEMPOTENT, None), None);
    assert_eq!(fate(NON_IDEMPOTENT, Some(0)), failed);
    assert_eq!(
        fate(WITH_KEY, None),
        failed,
        "its first send may be of any age"
    );
    assert_eq!(fate(WITH_KEY, Some(500 * MS)), None);
    assert_eq!(
        fate(WITH_KEY, Some(2_999 * MS)),
        failed,
        "workers may forget it while it is sent"
    );
}

#[test]
fn redelivery_by_class_age_and_key() {
    let keyed = |group| Class {
        deduplication_scope: group,
        ..class(Idempotency::WithKey)
    };
    let all = keyed(DeduplicationScope::All);
    assert_eq!(
        decide_unknown(&all, Some(MS), true, MS),
        RedeliveryDecision::Run {
            within: Some(2_998 * MS)
        }
    );
    assert_eq!(
        decide_unknown(&all, Some(MS), false, MS),
        RedeliveryDecision::Fail,
        "no key, no dropping"
    );
    assert_eq!(
        decide_unknown(&all, Some(2_999 * MS), true, MS),
        RedeliveryDecision::Fail
    );
    assert_eq!(
        decide_unknown(&all, Some(Time::MAX), true, MS),
        RedeliveryDecision::Fail
    );
    assert_eq!(
        decide_unknown(&keyed(DeduplicationScope::Zone), Some(MS), true, MS),
        RedeliveryDecision::Fail,
        "which zone had it?"
    );
}

#[test]
fn a_message_with_too_many_deliveries_fails() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |t| {
        t.redelivered = true;
        t.deliveries = 21;
    });
    let (_, reply) = only_answer(&out);
    assert_eq!(
        (reply.verdict, reply.cause),
        (Verdict::Failed, Cause::TooManyDeliveries)
    );
}

#[test]
fn a_request_that_cannot_be_answered_is_cancelled() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |t| t.identity = None);
    let attempt = forwarded(&out)[0];
    let out = harness.input(Input::SourceLost(SourceId(1)));
    assert_eq!(out, [Output::Cancel(attempt)]);
    assert_eq!(
        (
            harness.engine.pending_requests(),
            harness.engine.body_bytes(),
            harness.engine.attempts_in_flight()
        ),
        (0, 0, 1)
    );
    harness.end(attempt, Outcome::Cancelled);
    assert_eq!(harness.engine.attempts_in_flight(), 0);
}

/// A message that went elsewhere after a lost connection must not be held for ever.
#[test]
fn a_request_without_its_source_is_released_at_its_deadline() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    harness.input(Input::SourceLost(SourceId(1)));
    harness.end(forwarded(&out)[0], Outcome::Served);
    assert_eq!(harness.engine.pending_requests(), 1);
    harness.pass(5_000 * MS);
    assert_eq!(
        (
            harness.engine.pending_requests(),
            harness.engine.body_bytes()
        ),
        (0, 0)
    );
}
