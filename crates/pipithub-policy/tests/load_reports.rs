//! In a large fleet a front end relies on load reports: which workers it polls, and how it uses their reports.

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
        "the request does not wait for a load report of its preferred worker"
    );
    let preferred = polled_worker(&actions).expect("the preferred worker is polled");
    let after = front_end.handle(load_polled(&preferred, Some(1.0), None));
    assert_eq!(
        forwarded_to(&after),
        Some(preferred.clone()),
        "a worker with a short queue does not get the request"
    );
    front_end.advance(50 * MS);
    front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
    front_end.advance(2_000 * MS);
    let (_, actions) = front_end.request(1);
    assert_eq!(
        polled_worker(&actions),
        Some(preferred.clone()),
        "an old report is relied on"
    );
    let after = front_end.handle(load_polled(&preferred, Some(200.0), None));
    assert_ne!(
        forwarded_to(&after),
        Some(preferred.clone()),
        "a worker with a long queue gets the request"
    );
    assert_ne!(
        polled_worker(&after),
        Some(preferred),
        "the same worker is polled again"
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
        "request {id} is neither forwarded nor ended within 240 ms"
    );
}

#[test]
fn worker_with_busy_cores_is_second_choice() {
    let mut front_end = FrontEndHarness::new(large_fleet_settings(), &["w1"]);
    let (_, actions) = front_end.request(1);
    let preferred = polled_worker(&actions).expect("the worker is polled");
    front_end.handle(load_polled(&preferred, None, Some(0.2)));
    front_end.advance(2_000 * MS);
    let (_, actions) = front_end.request(1);
    assert!(polled_worker(&actions).is_some());
    let after = front_end.handle(load_polled(&preferred, None, Some(1.0)));
    assert_eq!(
        forwarded_to(&after),
        Some(preferred),
        "a worker with busy cores does not get the request though there is no other worker"
    );
}
