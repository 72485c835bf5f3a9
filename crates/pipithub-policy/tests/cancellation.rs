//! What happens when clients cancel: attempts are cancelled, but they still count in the estimates and the queue.

mod common;

use common::{FrontEndHarness, MS, forwarded_to, settings};
use pipithub_policy::api::{Action, Event, Idempotency, Limits, Outcome, Settings};

/// If the work continued at the workers, clients that cancel and retry elsewhere would have it done twice.
#[test]
fn attempt_is_cancelled_after_client_cancels() {
    for (idempotency, cancel) in [
        (Idempotency::Idempotent, true),
        (Idempotency::WithKey, true),
        (Idempotency::Idempotent, false),
    ] {
        let settings = settings(idempotency);
        let limits = Limits {
            cancel,
            ..settings.limits.clone()
        };
        let mut front_end = FrontEndHarness::new(Settings { limits, ..settings }, &["w1"]);
        let (id, actions) = front_end.request(7);
        assert!(forwarded_to(&actions).is_some());
        let actions = front_end.handle(Event::ClientCancelled { request: id });
        let cancelled =
            matches!(actions[..], [Action::Cancel { request, attempt: 0 }] if request == id);
        assert_eq!(cancelled, cancel, "{idempotency:?}: {actions:?}");
        assert!(
            front_end
                .handle(Event::ClientCancelled { request: id })
                .is_empty(),
            "the cancellation of a request that has ended leads to actions"
        );
    }
}

/// Cancelled work may continue: a front end that forgot it would forward requests into a queue that is still full.
#[test]
fn cancelled_attempts_occupy_worker_until_predicted_finish() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1"]);
    let worker = front_end.warm_up(7);
    let burst = |front_end: &mut FrontEndHarness| {
        let requests: Vec<_> = (0..80).map(|_| front_end.request(7)).collect();
        requests
            .into_iter()
            .filter(|(_, actions)| forwarded_to(actions).is_some())
            .map(|(id, _)| id)
            .collect::<Vec<_>>()
    };
    let forwarded = burst(&mut front_end);
    assert!(
        forwarded.len() > 4 && forwarded.len() < 80,
        "{}",
        forwarded.len()
    );
    for id in &forwarded {
        front_end.handle(Event::ClientCancelled { request: *id });
        front_end.finish_attempt_after(*id, 0, &worker, Outcome::Cancelled, MS);
    }
    assert!(burst(&mut front_end).len() < forwarded.len() / 2);
    front_end.advance(8_000 * MS);
    assert!(
        !burst(&mut front_end).is_empty(),
        "cancelled attempts still count after their predicted finish"
    );
}

/// If clients cancel, the slow answers are missing: judged by the quick ones alone, the worker would seem healthy.
#[test]
fn cancelled_attempts_count_in_run_time_estimate() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1"]);
    let mut forwarded = 0;
    for i in 0..60 {
        let (id, actions) = front_end.request(7);
        let Some(worker) = forwarded_to(&actions) else {
            continue;
        };
        forwarded += usize::from(i >= 40);
        let (cancels, elapsed) = if i < 20 {
            (false, 400 * MS)
        } else {
            (true, 1_500 * MS)
        };
        front_end.advance(elapsed);
        if cancels {
            front_end.handle(Event::ClientCancelled { request: id });
        }
        let outcome = if cancels {
            Outcome::Cancelled
        } else {
            Outcome::Served
        };
        front_end.finish_attempt_after(id, 0, &worker, outcome, elapsed);
    }
    assert!(
        forwarded < 20,
        "all of the last 20 requests are forwarded to a worker whose clients cancel unanswered"
    );
}
