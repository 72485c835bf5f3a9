//! Messages that are redelivered, and requests whose source is lost.

use pipithub_engine::policy::{Class, DeduplicationScope, Idempotency, Outcome};
use pipithub_engine::redelivery::{RedeliveryDecision, decide_unknown};
use pipithub_engine::{Cause, Input, Output, SourceId, Time, Trigger, Verdict};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, SOURCE, WITH_KEY, class, forwarded, only_answer,
    only_forwarded, settings, verdicts,
};

#[test]
fn redelivery_of_a_pending_call_joins_it() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = only_forwarded(&out);
    harness.lose_source();
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |trigger| trigger.redelivered = true);
    assert_eq!(out, [], "it is running already");
    let out = harness.finish_attempt(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, again);
}

#[test]
fn redelivery_of_an_answered_call_gets_the_same_answer() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    harness.lose_source();
    assert_eq!(
        harness.finish_attempt(only_forwarded(&out), Outcome::Served),
        [],
        "there is no ticket to answer"
    );
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |trigger| trigger.redelivered = true);
    let (to, reply) = only_answer(&out);
    assert_eq!((to, reply.verdict), (again, Verdict::Served));
    harness.input(Input::Settled(again));
    harness.assert_nothing_left();
}

/// Guards against a call that is never answered because an earlier one with its identity was answered here: a client may
/// publish a refused message again byte for byte, and a front end that held the copy may be killed. The broker does not
/// deliver a message again whose acknowledgement it has confirmed, so this one is the copy.
#[test]
fn redelivery_of_a_copy_of_a_settled_message_is_answered_by_its_class() {
    let answer_to = |class: usize| {
        let mut harness = Harness::new(settings());
        let (first, out) = harness.reject(class, |_| {});
        assert_eq!(verdicts(&out), [(Verdict::Rejected, Cause::OverQuota)]);
        harness.input(Input::Settled(first));
        let (copy, out) = harness.trigger(class, |trigger| {
            trigger.redelivered = true;
            trigger.call.age = Some(500 * MS);
        });
        let out = match forwarded(&out).first() {
            Some(attempt) => harness.finish_attempt(*attempt, Outcome::Served),
            None => out,
        };
        let (ticket, reply) = only_answer(&out);
        assert_eq!(ticket, copy);
        harness.input(Input::Settled(copy));
        harness.assert_nothing_left();
        (reply.verdict, reply.cause)
    };
    let served = (Verdict::Served, Cause::Answered);
    assert_eq!(answer_to(IDEMPOTENT), served);
    assert_eq!(answer_to(WITH_KEY), served, "within its window");
    let failed = (Verdict::Failed, Cause::MayHaveRunBefore);
    assert_eq!(answer_to(NON_IDEMPOTENT), failed);
}

/// Guards against a fault found by a scenario: a front end whose connection was cut retried a call after another front
/// end had answered it.
#[test]
fn request_without_its_source_is_not_retried() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    harness.lose_source();
    assert_eq!(
        harness.finish_attempt(only_forwarded(&out), Outcome::ConnectionLost),
        []
    );
    harness.assert_nothing_left();
    // If the message is redelivered to this front end after all, it is treated as unknown.
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.redelivered = true);
    assert_eq!(forwarded(&out).len(), 1);
}

/// A client that reuses an identity must not have its call settled by the answer to an earlier call.
#[test]
fn message_that_reuses_an_identity_is_a_new_message() {
    let mut harness = Harness::new(settings());
    let (first, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    harness.finish_attempt(only_forwarded(&out), Outcome::Served);
    harness.input(Input::Settled(first));
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = only_forwarded(&out);
    harness.lose_source();
    let (again, out) = harness.trigger(NON_IDEMPOTENT, |trigger| trigger.redelivered = true);
    assert_eq!(out, []);
    assert_eq!(
        only_answer(&harness.finish_attempt(attempt, Outcome::Served)).0,
        again
    );
}

#[test]
fn two_pending_messages_with_one_identity_are_both_answered() {
    let mut harness = Harness::new(settings());
    let (a, out_a) = harness.trigger(IDEMPOTENT, |_| {});
    let (b, out_b) = harness.trigger(IDEMPOTENT, |_| {});
    assert_eq!(
        only_answer(&harness.finish_attempt(forwarded(&out_a)[0], Outcome::Served)).0,
        a
    );
    assert_eq!(
        only_answer(&harness.finish_attempt(forwarded(&out_b)[0], Outcome::Served)).0,
        b
    );
}

#[test]
fn message_delivered_elsewhere_before_runs_only_if_that_is_harmless() {
    let answer_to = |class: usize, age: Option<Time>| {
        let (_, out) = Harness::new(settings()).trigger(class, |trigger| {
            trigger.redelivered = true;
            trigger.call.age = age;
        });
        verdicts(&out).first().copied()
    };
    let failed = Some((Verdict::Failed, Cause::MayHaveRunBefore));
    assert_eq!(answer_to(IDEMPOTENT, None), None);
    assert_eq!(answer_to(NON_IDEMPOTENT, Some(0)), failed);
    assert_eq!(
        answer_to(WITH_KEY, None),
        failed,
        "its first attempt may have any age"
    );
    assert_eq!(answer_to(WITH_KEY, Some(500 * MS)), None);
    assert_eq!(
        answer_to(WITH_KEY, Some(2_999 * MS)),
        failed,
        "workers may drop its key while it is on its way"
    );
}

#[test]
fn unknown_redelivery_with_a_key_runs_only_within_the_deduplication_window() {
    let with_key = |deduplication_scope| Class {
        deduplication_scope,
        ..class(Idempotency::WithKey)
    };
    let all = with_key(DeduplicationScope::All);
    assert_eq!(
        decide_unknown(&all, Some(MS), true, MS),
        RedeliveryDecision::Run {
            within: Some(2_998 * MS)
        }
    );
    assert_eq!(
        decide_unknown(&all, Some(MS), false, MS),
        RedeliveryDecision::Fail,
        "workers cannot deduplicate it without a key"
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
        decide_unknown(&with_key(DeduplicationScope::Zone), Some(MS), true, MS),
        RedeliveryDecision::Fail,
        "the earlier delivery may have run in another zone"
    );
}

#[test]
fn message_with_too_many_deliveries_fails() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| {
        trigger.redelivered = true;
        trigger.deliveries = 21;
    });
    let (_, reply) = only_answer(&out);
    assert_eq!(
        (reply.verdict, reply.cause),
        (Verdict::Failed, Cause::TooManyDeliveries)
    );
}

#[test]
fn request_without_identity_is_cancelled_when_its_source_is_lost() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |trigger| trigger.identity = None);
    let attempt = only_forwarded(&out);
    let out = harness.lose_source();
    assert_eq!(out, [Output::Cancel(attempt)]);
    assert_eq!(
        (
            harness.engine.pending_requests(),
            harness.engine.body_bytes(),
            harness.engine.attempts_in_flight()
        ),
        (0, 0, 1)
    );
    harness.finish_attempt(attempt, Outcome::Cancelled);
    assert_eq!(harness.engine.attempts_in_flight(), 0);
}

/// A request whose message was redelivered elsewhere after a lost connection must not stay pending forever.
#[test]
fn answered_request_without_its_source_is_released_at_its_deadline() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(IDEMPOTENT, |_| {});
    harness.lose_source();
    harness.finish_attempt(only_forwarded(&out), Outcome::Served);
    assert_eq!(harness.engine.pending_requests(), 1);
    harness.advance(5_000 * MS);
    harness.assert_nothing_left();
}

/// Guards against a call that is never answered because a message with its identity, which another front end held, is
/// redelivered here: that message is another one, as this front end still holds the delivery of its own.
#[test]
fn redelivery_does_not_join_a_request_whose_delivery_is_held() {
    let mut harness = Harness::new(settings());
    let (first, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = only_forwarded(&out);
    let (copy, out) = harness.trigger(NON_IDEMPOTENT, |trigger| trigger.redelivered = true);
    assert_eq!(verdicts(&out), [(Verdict::Failed, Cause::MayHaveRunBefore)]);
    assert_eq!(only_answer(&out).0, copy);
    harness.input(Input::Settled(copy));
    let out = harness.finish_attempt(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, first);
}

/// Guards against a call that is never answered because a client has published its message twice.
#[test]
fn each_redelivery_of_copies_joins_one_of_their_requests() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let first = only_forwarded(&out);
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let second = only_forwarded(&out);
    assert_eq!(harness.lose_source(), [], "both wait for a redelivery");
    let redelivered = |trigger: &mut Trigger| trigger.redelivered = true;
    let (to_first, out) = harness.trigger(NON_IDEMPOTENT, redelivered);
    assert_eq!(out, []);
    let (to_second, out) = harness.trigger(NON_IDEMPOTENT, redelivered);
    assert_eq!(out, []);
    let (to_third, out) = harness.trigger(NON_IDEMPOTENT, redelivered);
    assert_eq!(verdicts(&out), [(Verdict::Failed, Cause::MayHaveRunBefore)]);
    harness.input(Input::Settled(to_third));
    for (attempt, ticket) in [(second, to_second), (first, to_first)] {
        let out = harness.finish_attempt(attempt, Outcome::Served);
        assert_eq!(only_answer(&out).0, ticket);
        harness.input(Input::Settled(ticket));
    }
    harness.assert_nothing_left();
}

/// Guards against an answer that goes to a call at another broker, whose queue may have the same name.
#[test]
fn redelivery_by_another_source_joins_nothing() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let attempt = only_forwarded(&out);
    harness.lose_source();
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |trigger| {
        trigger.redelivered = true;
        trigger.ticket.source = SourceId(SOURCE.0 + 1);
    });
    assert_eq!(verdicts(&out), [(Verdict::Failed, Cause::MayHaveRunBefore)]);
    let (again, _) = harness.trigger(NON_IDEMPOTENT, |trigger| trigger.redelivered = true);
    let out = harness.finish_attempt(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, again);
}

/// Has workers reject all attempts, and returns the outputs that follow the last one.
fn end_attempts_as_rejected(harness: &mut Harness, mut outputs: Vec<Output>) -> Vec<Output> {
    while let [attempt, ..] = forwarded(&outputs)[..] {
        outputs = harness.finish_attempt(attempt, Outcome::Rejected);
        if outputs.is_empty() {
            outputs = harness.advance(50 * MS);
        }
    }
    outputs
}

/// The verdict for a redelivery after the connection was lost while the answer was committed, or before that.
fn verdict_after_loss(class: usize, outcome: Outcome, is_unconfirmed: bool) -> Verdict {
    let mut harness = Harness::new(settings());
    let (ticket, out) = harness.trigger(class, |_| {});
    let out = match outcome {
        Outcome::Rejected => end_attempts_as_rejected(&mut harness, out),
        outcome => harness.finish_attempt(only_forwarded(&out), outcome),
    };
    let (_, reply) = only_answer(&out);
    if is_unconfirmed {
        harness.input(Input::AnswerUnconfirmed(ticket));
    }
    harness.lose_source();
    let (again, out) = harness.trigger(class, |trigger| trigger.redelivered = true);
    let (to, after) = only_answer(&out);
    assert_eq!(to, again);
    assert!(is_unconfirmed || after.verdict == reply.verdict);
    harness.input(Input::Settled(again));
    harness.assert_nothing_left();
    after.verdict
}

/// Guards against a call that may have run and is rejected, or that is answered as served and never ran: the answer to a
/// message is committed without a confirmation, its client publishes the same bytes again, and the copy is redelivered here.
#[test]
fn redelivery_after_an_unconfirmed_answer_fails_if_it_must_not_run_twice() {
    for (outcome, verdict) in [
        (Outcome::Rejected, Verdict::Rejected),
        (Outcome::Served, Verdict::Served),
    ] {
        let after_loss = |class, is_unconfirmed| verdict_after_loss(class, outcome, is_unconfirmed);
        assert_eq!(after_loss(NON_IDEMPOTENT, true), Verdict::Failed);
        // The answer was not published, so that this is the message itself, or its copy is redelivered in place of it.
        assert_eq!(after_loss(NON_IDEMPOTENT, false), verdict);
        assert_eq!(after_loss(IDEMPOTENT, true), verdict);
        assert_eq!(after_loss(WITH_KEY, true), verdict);
    }
}
