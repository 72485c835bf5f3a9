//! In a large fleet a front end relies on load reports: whom it polls, and what it does after the answers.

mod common;

use common::{
    FrontEndHarness, MS, THREE_WORKERS, forwarded_to, is_failed, is_rejected, large_fleet_settings,
    load_polled, polled_worker,
};
use pipithub_policy::api::Outcome;

#[test]
fn worker_that_reports_long_queue_is_skipped() {
    let mut front_end = FrontEndHarness::new(large_fleet_settings(), &THREE_WORKERS);
    let (id, actions) = front_end.request(1);
    assert!(
        forwarded_to(&actions).is_none(),
        "the request waits for a report of its preferred worker"
    );
    let preferred = polled_worker(&actions).expect("the preferred worker is polled");
    let after = front_end.handle(load_polled(&preferred, Some(1.0), None));
    assert_eq!(
        forwarded_to(&after),
        Some(preferred.clone()),
        "a short queue is accepted"
    );
    front_end.advance(50 * MS);
    front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
    front_end.advance(2_000 * MS);
    let (_, actions) = front_end.request(1);
    assert_eq!(
        polled_worker(&actions),
        Some(preferred.clone()),
        "an old report is not relied on"
    );
    let after = front_end.handle(load_polled(&preferred, Some(200.0), None));
    assert_ne!(
        forwarded_to(&after),
        Some(preferred.clone()),
        "a long queue is avoided"
    );
    assert_ne!(
        polled_worker(&after),
        Some(preferred),
        "the next worker is polled"
    );
}

#[test]
fn lost_load_poll_does_not_hold_request_for_long() {
    let mut front_end = FrontEndHarness::new(large_fleet_settings(), &THREE_WORKERS);
    let (id, actions) = front_end.request(1);
    let preferred = polled_worker(&actions).expect("the preferred worker is polled");
    let mut after = front_end.advance(40 * MS);
    let next = polled_worker(&after).expect("without an answer the next worker is polled");
    assert_ne!(next, preferred);
    after.extend(front_end.advance(200 * MS));
    let ends = forwarded_to(&after).is_some() || is_rejected(&after) || is_failed(&after);
    assert!(
        ends,
        "request {id} is forwarded or rejected within a quarter second"
    );
}

#[test]
fn worker_with_busy_cores_is_second_choice() {
    let mut front_end = FrontEndHarness::new(large_fleet_settings(), &["w1"]);
    let (_, actions) = front_end.request(1);
    let preferred = polled_worker(&actions).expect("it is polled");
    front_end.handle(load_polled(&preferred, None, Some(0.2)));
    front_end.advance(2_000 * MS);
    let (_, actions) = front_end.request(1);
    assert!(polled_worker(&actions).is_some());
    let after = front_end.handle(load_polled(&preferred, None, Some(1.0)));
    assert_eq!(
        forwarded_to(&after),
        Some(preferred),
        "with no other worker it still gets the request"
    );
}
