//! The lease that the endpoint list gives on its workers: how long a front end relies on the list after it was confirmed, after
//! the connection to its source broke, and after the list was requested again.

mod common;
mod lease_harness;

use common::{FrontEndHarness, MS, forwarded_to, is_rejected, load_commands};
use lease_harness::{
    ENDPOINT_LIST_LEASE, FUNCTION, LEASE, REQUEST_LEASE, WORKERS, checked_worker,
    confirmed_front_end, finish_check, lease_settings, report_contact,
};
use pipithub_policy::api::{
    Action, EndpointListContact, HealthCheckOutcome, Outcome, Time, WorkerId,
};

#[test]
fn no_health_check_is_sent_while_the_list_is_confirmed() {
    let (mut front_end, preferred) = confirmed_front_end();
    for _ in 0..100 {
        front_end.advance(1_000 * MS);
        report_contact(&mut front_end, EndpointListContact::Current);
        let (id, actions) = front_end.request(FUNCTION);
        assert_eq!(forwarded_to(&actions), Some(preferred.clone()));
        front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
    }
    let is_check = |action: &Action| matches!(action, Action::CheckHealth { .. });
    assert!(
        !front_end
            .actions_taken
            .iter()
            .any(|taken| is_check(&taken.action))
    );
}

#[test]
fn the_list_lease_ends_after_the_notification_delay_and_the_drain_grace() {
    let (mut front_end, preferred) = confirmed_front_end();
    assert_eq!(
        front_end.module.lease_end(&preferred),
        front_end.now + ENDPOINT_LIST_LEASE
    );
    front_end.advance(ENDPOINT_LIST_LEASE - MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), Some(preferred.clone()));
    front_end.advance(MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), None);
    assert_eq!(checked_worker(&actions), Some(preferred.clone()));
    let actions = finish_check(&mut front_end, &preferred, HealthCheckOutcome::Healthy, 0);
    assert_eq!(forwarded_to(&actions), Some(preferred));
}

/// Guards against a draining worker that gets work because the list was requested again and nothing came, where the front
/// end went on with its list until the delay after a break was over.
#[test]
fn a_request_for_the_list_ends_the_lease_with_the_drain_grace() {
    let (mut front_end, preferred) = confirmed_front_end();
    front_end.advance(200 * MS);
    report_contact(&mut front_end, EndpointListContact::Disconnected);
    front_end.advance(50 * MS);
    report_contact(&mut front_end, EndpointListContact::Requested);
    assert_eq!(
        front_end.module.lease_end(&preferred),
        front_end.now + REQUEST_LEASE
    );
    front_end.advance(REQUEST_LEASE - MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), Some(preferred.clone()));
    front_end.advance(MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), None);
    assert_eq!(checked_worker(&actions), Some(preferred));
}

/// Guards against a list that stays in use because its source is asked over and over and never answers.
#[test]
fn repeated_requests_never_extend_a_lease() {
    let mut front_end = FrontEndHarness::new(lease_settings(), &WORKERS);
    let worker = WorkerId::new("w1");
    report_contact(&mut front_end, EndpointListContact::Started);
    let end = front_end.now + REQUEST_LEASE;
    for _ in 0..4 {
        assert_eq!(front_end.module.lease_end(&worker), end, "after the start");
        report_contact(&mut front_end, EndpointListContact::Requested);
        front_end.advance(400 * MS);
    }
    report_contact(&mut front_end, EndpointListContact::Current);
    report_contact(&mut front_end, EndpointListContact::Requested);
    let end = front_end.now + REQUEST_LEASE;
    for _ in 0..4 {
        assert_eq!(
            front_end.module.lease_end(&worker),
            end,
            "after a heartbeat"
        );
        front_end.advance(400 * MS);
        report_contact(&mut front_end, EndpointListContact::Requested);
    }
    assert!(end <= front_end.now, "a request does not renew it either");
    report_contact(&mut front_end, EndpointListContact::Current);
    assert_eq!(
        front_end.module.lease_end(&worker),
        front_end.now + ENDPOINT_LIST_LEASE
    );
}

/// The same as [`confirmed_front_end`], with settings that forbid health checks.
fn confirmed_front_end_without_checks() -> (FrontEndHarness, WorkerId) {
    let mut settings = lease_settings();
    settings.limits.health_checks = false;
    let mut front_end = FrontEndHarness::new(settings, &WORKERS);
    report_contact(&mut front_end, EndpointListContact::Started);
    let preferred = front_end.warm_up(FUNCTION);
    report_contact(&mut front_end, EndpointListContact::Current);
    (front_end, preferred)
}

/// Whether requests are forwarded until `lease` from now, and rejected unsent and unchecked from then on.
fn assert_lease_ends_after(front_end: &mut FrontEndHarness, preferred: &WorkerId, lease: Time) {
    assert_eq!(front_end.module.lease_end(preferred), front_end.now + lease);
    front_end.advance(lease - MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), Some(preferred.clone()));
    front_end.advance(MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert!(is_rejected(&actions), "{actions:?}");
    assert_eq!(
        (forwarded_to(&actions), checked_worker(&actions)),
        (None, None)
    );
}

/// Guards against new work for a worker that drains while discovery is silent, where no check can show that it drains.
#[test]
fn without_health_checks_nothing_is_sent_once_a_drain_would_count_as_notified_for_the_grace() {
    let (mut front_end, preferred) = confirmed_front_end_without_checks();
    assert_lease_ends_after(&mut front_end, &preferred, 4_000 * MS + LEASE);
    assert!(load_commands(&front_end.advance(10_000 * MS)).is_empty());
    // The tier is back with the first sign of life.
    report_contact(&mut front_end, EndpointListContact::Current);
    let (_, actions) = front_end.request(FUNCTION);
    assert!(forwarded_to(&actions).is_some());
}

/// Guards against the longer delay of a silent source where the connection to the source broke.
#[test]
fn without_health_checks_a_broken_connection_ends_the_lease_sooner() {
    let (mut front_end, preferred) = confirmed_front_end_without_checks();
    front_end.advance(500 * MS);
    report_contact(&mut front_end, EndpointListContact::Disconnected);
    assert_lease_ends_after(&mut front_end, &preferred, 2_000 * MS + LEASE);
}

/// A change counts as notified when the source is asked again, whether or not it answers or sends the change.
#[test]
fn without_health_checks_a_request_for_the_list_ends_the_lease_sooner() {
    let (mut front_end, preferred) = confirmed_front_end_without_checks();
    front_end.advance(1_600 * MS);
    report_contact(&mut front_end, EndpointListContact::Requested);
    assert_lease_ends_after(&mut front_end, &preferred, REQUEST_LEASE);
}

/// Where checks take over at the end of the lease, a break that is noticed changes nothing.
#[test]
fn with_health_checks_a_broken_connection_does_not_change_the_lease() {
    let (mut front_end, preferred) = confirmed_front_end();
    let end = front_end.module.lease_end(&preferred);
    front_end.advance(500 * MS);
    report_contact(&mut front_end, EndpointListContact::Disconnected);
    assert_eq!(front_end.module.lease_end(&preferred), end);
}

#[test]
fn without_heartbeats_the_last_list_stays_in_use() {
    let mut settings = lease_settings();
    settings.limits.health_checks = false;
    let mut front_end = FrontEndHarness::new(settings, &WORKERS);
    front_end.advance(60_000 * MS);
    let (_, actions) = front_end.request(FUNCTION);
    let worker = forwarded_to(&actions).expect("the request is forwarded");
    assert_eq!(front_end.module.lease_end(&worker), Time::MAX);
}
