//! Queues as load reports and cancelled attempts tell of them.

mod common;

use common::{Bench, MS, THREE, failed, large_tier, probed, refused, report, sent_to, settings};
use pipithub_policy::api::{Action, Event, Idempotency, Limits, Outcome, ReplicaStatus, Settings};

#[test]
fn in_a_large_tier_a_worker_that_tells_a_long_queue_is_passed_over() {
    let mut b = Bench::new(large_tier(), &THREE);
    let (id, actions) = b.call(1);
    assert!(
        sent_to(&actions).is_none(),
        "the call waits to hear of its home"
    );
    let home = probed(&actions).expect("the home is asked for its load");
    let after = b.event(report(&home, Some(1.0), None));
    assert_eq!(
        sent_to(&after),
        Some(home.clone()),
        "a short queue is taken"
    );
    b.pass(50 * MS);
    b.finish(id, 0, &home, Outcome::Served);
    b.pass(2_000 * MS);
    let (_, actions) = b.call(1);
    assert_eq!(
        probed(&actions),
        Some(home.clone()),
        "old word is not trusted"
    );
    let after = b.event(report(&home, Some(200.0), None));
    assert_ne!(
        sent_to(&after),
        Some(home.clone()),
        "a long queue stands before the newcomer"
    );
    assert_ne!(probed(&after), Some(home), "the next worker is asked");
}

#[test]
fn a_lost_probe_holds_no_call_for_long() {
    let mut b = Bench::new(large_tier(), &THREE);
    let (id, actions) = b.call(1);
    let home = probed(&actions).expect("the home is asked");
    let mut after = b.pass(40 * MS);
    let next = probed(&after).expect("silence is the worst word: the next worker is asked");
    assert_ne!(next, home);
    after.extend(b.pass(200 * MS));
    let ends = sent_to(&after).is_some() || refused(&after) || failed(&after);
    assert!(ends, "call {id} is sent or refused within a quarter second");
}

#[test]
fn in_a_large_tier_busy_cores_make_a_worker_second_choice() {
    let mut b = Bench::new(large_tier(), &["w1"]);
    let (_, actions) = b.call(1);
    let home = probed(&actions).expect("asked");
    b.event(report(&home, None, Some(0.2)));
    b.pass(2_000 * MS);
    let (_, actions) = b.call(1);
    assert!(probed(&actions).is_some());
    let after = b.event(report(&home, None, Some(1.0)));
    assert_eq!(
        sent_to(&after),
        Some(home),
        "with no other worker it still gets the call"
    );
}

/// Clients that leave before their time and ask again elsewhere: what they left goes on at the workers.
#[test]
fn work_that_nobody_waits_for_is_withdrawn() {
    for (effect, cancel) in [
        (Idempotency::Idempotent, true),
        (Idempotency::WithKey, true),
        (Idempotency::Idempotent, false),
    ] {
        let settings = settings(effect);
        let limits = Limits {
            cancel,
            ..settings.limits.clone()
        };
        let mut b = Bench::new(Settings { limits, ..settings }, &["w1"]);
        let (id, actions) = b.call(7);
        assert!(sent_to(&actions).is_some());
        let actions = b.event(Event::ClientCancelled { request: id });
        let withdrawn =
            matches!(actions[..], [Action::Cancel { request, attempt: 0 }] if request == id);
        assert_eq!(withdrawn, cancel, "{effect:?}: {actions:?}");
        assert!(
            b.event(Event::ClientCancelled { request: id }).is_empty(),
            "it has ended already"
        );
    }
}

/// Withdrawn work may run on: a front end that forgot it would send into a queue that is still full.
#[test]
fn withdrawn_work_is_replayed_to_its_foreseen_end() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &["w1"]);
    let worker = b.warm(7);
    let burst = |b: &mut Bench| {
        let calls: Vec<_> = (0..80).map(|_| b.call(7)).collect();
        calls
            .into_iter()
            .filter(|(_, a)| sent_to(a).is_some())
            .map(|(id, _)| id)
            .collect::<Vec<_>>()
    };
    let taken = burst(&mut b);
    assert!(taken.len() > 4 && taken.len() < 80, "{}", taken.len());
    for id in &taken {
        b.event(Event::ClientCancelled { request: *id });
        b.finish_noted(*id, 0, &worker, Outcome::Cancelled, MS, None);
    }
    assert!(burst(&mut b).len() < taken.len() / 2);
    b.pass(8_000 * MS);
    assert!(!burst(&mut b).is_empty(), "it is not held for ever");
}

/// Clients that leave take the slow answers with them: the quick ones alone would show a sound worker.
#[test]
fn withdrawn_attempts_teach_how_long_they_took() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), &["w1"]);
    let mut taken = 0;
    for i in 0..60 {
        let (id, actions) = b.call(7);
        let Some(worker) = sent_to(&actions) else {
            continue;
        };
        taken += usize::from(i >= 40);
        let (leaves, took) = if i < 20 {
            (false, 400 * MS)
        } else {
            (true, 1_500 * MS)
        };
        b.pass(took);
        if leaves {
            b.event(Event::ClientCancelled { request: id });
        }
        let outcome = if leaves {
            Outcome::Cancelled
        } else {
            Outcome::Served
        };
        b.finish_noted(
            id,
            0,
            &worker,
            outcome,
            took,
            Some(ReplicaStatus::Warm).filter(|_| !leaves),
        );
    }
    assert!(
        taken < 20,
        "a worker is trusted that clients leave unanswered"
    );
}
