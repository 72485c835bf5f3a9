//! Forwarded calls and their one final answer.

use pipithub_engine::policy::{Outcome, RequestId};
use pipithub_engine::{AttemptId, Input, Output, Verdict};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, answers, forwarded, only_answer, only_forwarded,
    settings,
};

#[test]
fn call_is_forwarded_and_answered_once_it_is_served() {
    let mut harness = Harness::new(settings());
    let (ticket, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let out = harness.finish_attempt(only_forwarded(&out), Outcome::Served);
    let (to, reply) = only_answer(&out);
    assert_eq!(
        (to, reply.verdict, reply.attempts),
        (ticket, Verdict::Served, 1)
    );
    assert_eq!(
        reply.served.as_ref().map(|s| &s.body[..]),
        Some(&b"yes"[..])
    );
    assert_eq!(harness.engine.pending_requests(), 1);
    harness.input(Input::Settled(ticket));
    harness.assert_nothing_left();
}

#[test]
fn non_idempotent_call_is_retried_only_if_it_cannot_have_run() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let out = harness.finish_attempt(only_forwarded(&out), Outcome::Unreachable);
    let second = only_forwarded(&out);
    assert_eq!(second.number, 1);
    let out = harness.finish_attempt(second, Outcome::ConnectionLost);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Failed);
    assert_eq!(forwarded(&out), []);
}

#[test]
fn call_to_a_silent_worker_is_answered_and_cancelled_at_its_timeout() {
    let mut harness = Harness::new(settings());
    for (class, verdict) in [
        (IDEMPOTENT, Verdict::Rejected),
        (NON_IDEMPOTENT, Verdict::Failed),
    ] {
        let began = harness.now;
        let (ticket, out) =
            harness.trigger(class, |trigger| trigger.call.timeout = Some(1_500 * MS));
        let attempt = only_forwarded(&out);
        let out = harness.advance(1_500 * MS);
        let (to, reply) = only_answer(&out);
        assert_eq!((to, reply.verdict), (ticket, verdict));
        assert!(out.contains(&Output::Cancel(attempt)));
        harness.finish_attempt(attempt, Outcome::Cancelled);
        harness.input(Input::Settled(ticket));
        assert!(harness.now <= began + 1_500 * MS);
    }
}

#[test]
fn result_without_an_attempt_in_flight_is_ignored() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let id = only_forwarded(&out);
    assert_eq!(
        harness.finish_attempt(AttemptId { number: 5, ..id }, Outcome::Served),
        []
    );
    assert_eq!(
        harness.finish_attempt(
            AttemptId {
                request: RequestId(99),
                number: 0
            },
            Outcome::Served
        ),
        []
    );
    assert_eq!(
        answers(&harness.finish_attempt(id, Outcome::Served)).len(),
        1
    );
    assert_eq!(
        harness.finish_attempt(id, Outcome::Served),
        [],
        "a second result of one attempt is ignored"
    );
}
