//! How a front end uses a snapshot of the endpoint list, and a stale cached list after a restart.

mod common;

use common::{FrontEndHarness, THREE_WORKERS, endpoint, forwarded_to, settings};
use pipithub_policy::api::{EndpointUpdate, Event, Idempotency, Outcome, WorkerId};

#[test]
fn stale_cached_endpoints_suffice_after_restart() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let dead = forwarded_to(&front_end.request(1).1).unwrap();
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &THREE_WORKERS);
    let mut served = 0;
    for function in 0..40 {
        let answer = |w: &WorkerId| {
            Some(if *w == dead {
                Outcome::Unreachable
            } else {
                Outcome::Served
            })
        };
        served += front_end.run_requests(function, 2, answer).served;
    }
    assert!(served >= 76, "served {served} of 80");
}

#[test]
fn worker_missing_from_snapshot_is_removed() {
    let mut front_end = FrontEndHarness::new(settings(Idempotency::Idempotent), &["w1", "w2"]);
    let preferred = front_end.warm_up(1);
    let rest = ["w1", "w2"]
        .iter()
        .filter(|n| WorkerId::new(n) != preferred)
        .map(|n| endpoint(n))
        .collect();
    front_end.handle(Event::Endpoints {
        update: EndpointUpdate::Snapshot,
        endpoints: rest,
    });
    let (_, actions) = front_end.request(1);
    assert_ne!(
        forwarded_to(&actions).expect("forwarded to the other worker"),
        preferred
    );
}
