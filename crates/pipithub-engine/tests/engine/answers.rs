//! Calls that run, and their one final answer.

use pipithub_engine::policy::{Outcome, RequestId};
use pipithub_engine::{AttemptId, Input, Output, Verdict};

use crate::harness::{
    Harness, IDEMPOTENT, MS, NON_IDEMPOTENT, answers, forwarded, only_answer, settings,
};

#[test]
fn a_call_is_forwarded_and_its_answer_comes_back() {
    let mut harness = Harness::new(settings());
    let (ticket, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let out = harness.end(forwarded(&out)[0], Outcome::Served);
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
    assert_eq!(
        (
            harness.engine.pending_requests(),
            harness.engine.body_bytes()
        ),
        (0, 0)
    );
}

#[test]
fn a_non_idempotent_call_that_may_have_run_fails_and_one_that_did_not_is_retried() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let out = harness.end(forwarded(&out)[0], Outcome::Unreachable);
    let second = forwarded(&out)[0];
    assert_eq!(second.number, 1);
    let out = harness.end(second, Outcome::ConnectionLost);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Failed);
    assert_eq!(forwarded(&out), []);
}

#[test]
fn a_silent_worker_does_not_keep_a_caller_waiting_beyond_its_timeout() {
    let mut harness = Harness::new(settings());
    for (class, verdict) in [
        (IDEMPOTENT, Verdict::Rejected),
        (NON_IDEMPOTENT, Verdict::Failed),
    ] {
        let began = harness.now;
        let (ticket, out) = harness.trigger(class, |t| t.call.timeout = Some(1_500 * MS));
        let attempt = forwarded(&out)[0];
        let out = harness.pass(1_500 * MS);
        let (to, reply) = only_answer(&out);
        assert_eq!((to, reply.verdict), (ticket, verdict));
        assert!(out.contains(&Output::Cancel(attempt)));
        harness.end(attempt, Outcome::Cancelled);
        harness.input(Input::Settled(ticket));
        assert!(harness.now <= began + 1_500 * MS);
    }
}

#[test]
fn a_result_without_an_attempt_changes_nothing() {
    let mut harness = Harness::new(settings());
    let (_, out) = harness.trigger(NON_IDEMPOTENT, |_| {});
    let id = forwarded(&out)[0];
    assert_eq!(
        harness.end(AttemptId { number: 5, ..id }, Outcome::Served),
        []
    );
    assert_eq!(
        harness.end(
            AttemptId {
                request: RequestId(99),
                number: 0
            },
            Outcome::Served
        ),
        []
    );
    assert_eq!(answers(&harness.end(id, Outcome::Served)).len(), 1);
    assert_eq!(
        harness.end(id, Outcome::Served),
        [],
        "a second outcome of one attempt is none"
    );
}
