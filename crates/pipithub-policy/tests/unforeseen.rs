//! A call that is sent where an order to load is under way has no foreseen end: it is never overdue.

mod common;

use common::{Bench, MS, sent_to, settings};
use pipithub_policy::api::{Action, Event, Idempotency, LoadReport, Outcome, WorkerId};

#[test]
fn a_send_beside_an_order_under_way_is_not_silence() {
    let mut s = settings(Idempotency::Idempotent);
    s.front_ends = 9;
    s.loading.loads_on_request = false;
    let mut bench = Bench::new(s, &["w1"]);
    let worker = WorkerId::new("w1");
    let (id, actions) = bench.call(7);
    assert!(sent_to(&actions).is_some(), "presumed at its home");
    let actions = bench.finish(id, 0, &worker, Outcome::NotLoaded);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::LoadFunction { .. })),
        "ordered there: {actions:?}"
    );
    // The worker tells that its cores are busy: second choice, and there is no other.
    let load = LoadReport {
        cpu_utilization: Some(1.0),
        in_flight: Some(1.0),
        ..LoadReport::default()
    };
    bench.event(Event::LoadPolled {
        worker: worker.clone(),
        answered: true,
        report: load,
    });
    for _ in 0..3 {
        let (_, actions) = bench.call(7);
        assert!(
            sent_to(&actions).is_some(),
            "sent to wait for the order: {actions:?}"
        );
    }
    // Housekeeping must neither overflow nor take the worker for silent, and call back what is there.
    let actions = bench.pass(120 * MS);
    let back = actions.iter().find(|a| matches!(a, Action::Cancel { .. }));
    assert_eq!(back, None, "no word was due yet");
}
