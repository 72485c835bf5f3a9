//! Health checks and the leases that they renew once the lease of the endpoint list has ended, and what happens to requests
//! once both have ended.

mod common;
mod lease_harness;

use common::{FrontEndHarness, MS, forwarded_to, is_rejected};
use lease_harness::{
    FUNCTION, LEASE, REQUEST_LEASE, checked_worker, confirmed_front_end, endpoint_in_state,
    finish_check, finish_check_on, front_end_in_outage, report_contact, route_with_checks,
};
use pipithub_policy::api::{
    Action, EndpointListContact, EndpointState, Event, HealthCheckOutcome, Outcome, WorkerId,
};

#[test]
fn a_check_renews_the_lease_from_when_it_was_sent_and_a_served_request_does_not() {
    let (mut front_end, preferred) = front_end_in_outage();
    let (id, _) = front_end.request(FUNCTION);
    let sent_at = front_end.now;
    front_end.advance(40 * MS);
    finish_check(
        &mut front_end,
        &preferred,
        HealthCheckOutcome::Healthy,
        40 * MS,
    );
    assert_eq!(front_end.module.lease_end(&preferred), sent_at + LEASE);
    front_end.advance(LEASE - 50 * MS);
    front_end.finish_attempt(id, 0, &preferred, Outcome::Served);
    assert_eq!(front_end.module.lease_end(&preferred), sent_at + LEASE);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(
        forwarded_to(&actions),
        Some(preferred.clone()),
        "within the lease"
    );
    front_end.advance(10 * MS);
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(forwarded_to(&actions), None);
    assert_eq!(checked_worker(&actions), Some(preferred));
}

#[test]
fn requests_that_wait_for_one_worker_share_its_check() {
    let (mut front_end, preferred) = front_end_in_outage();
    let (_, first) = front_end.request(FUNCTION);
    let (_, second) = front_end.request(FUNCTION);
    assert_eq!(checked_worker(&first), Some(preferred.clone()));
    assert_eq!(checked_worker(&second), None);
    let actions = finish_check(&mut front_end, &preferred, HealthCheckOutcome::Healthy, 0);
    let is_forward = |action: &&Action| matches!(action, Action::Forward { .. });
    assert_eq!(actions.iter().filter(is_forward).count(), 2);
}

#[test]
fn an_unhealthy_worker_gets_no_request_until_a_check_finds_it_healthy() {
    let (mut front_end, preferred) = front_end_in_outage();
    let mut checks = 0;
    for _ in 0..40 {
        let served_by = route_with_checks(&mut front_end, |worker| {
            checks += usize::from(*worker == preferred);
            if *worker == preferred {
                HealthCheckOutcome::Unhealthy
            } else {
                HealthCheckOutcome::Healthy
            }
        });
        assert!(served_by.is_some_and(|worker| worker != preferred));
        front_end.advance(100 * MS);
    }
    assert!(
        (4..=8).contains(&checks),
        "{checks} checks in 4 s, with a backoff"
    );
    front_end.advance(1_600 * MS);
    let served_by =
        (0..2).map(|_| route_with_checks(&mut front_end, |_| HealthCheckOutcome::Healthy));
    assert_eq!(
        served_by.last().flatten(),
        Some(preferred),
        "the worker is in service again"
    );
}

#[test]
fn a_request_does_not_wait_for_a_check_that_is_not_answered() {
    let (mut front_end, preferred) = front_end_in_outage();
    front_end.request(FUNCTION);
    let actions = front_end.advance(50 * MS);
    let next = checked_worker(&actions).expect("one lost check may be repeated at once");
    assert_eq!(next, preferred);
    let actions = front_end.advance(50 * MS);
    let next = checked_worker(&actions).expect("another worker is checked");
    assert_ne!(next, preferred);
    let actions = finish_check(&mut front_end, &next, HealthCheckOutcome::Healthy, MS);
    assert_eq!(forwarded_to(&actions), Some(next));
    // The late answer still counts from when its check was sent.
    finish_check(
        &mut front_end,
        &preferred,
        HealthCheckOutcome::Healthy,
        100 * MS,
    );
    assert_eq!(
        front_end.module.lease_end(&preferred),
        front_end.now - 100 * MS + LEASE
    );
}

#[test]
fn one_lost_check_of_each_worker_does_not_take_all_workers_out_of_service() {
    let (mut front_end, _) = front_end_in_outage();
    let mut lost = Vec::new();
    let served_by = route_with_checks(&mut front_end, |worker| {
        if lost.contains(worker) {
            return HealthCheckOutcome::Healthy;
        }
        lost.push(worker.clone());
        HealthCheckOutcome::Unanswered
    });
    assert!(served_by.is_some());
}

#[test]
fn a_request_is_rejected_where_no_worker_is_in_service() {
    let (mut front_end, _) = front_end_in_outage();
    let (_, mut actions) = front_end.request(FUNCTION);
    let mut checks = 0;
    while let Some(worker) = checked_worker(&actions) {
        checks += 1;
        actions = finish_check(&mut front_end, &worker, HealthCheckOutcome::Unhealthy, MS);
    }
    assert!(is_rejected(&actions));
    assert_eq!(checks, 4, "each of the four workers is checked once");
}

#[test]
fn the_list_overrides_health_checks_once_it_is_current_again() {
    let (mut front_end, preferred) = front_end_in_outage();
    let (_, actions) = front_end.request(FUNCTION);
    assert_eq!(checked_worker(&actions), Some(preferred.clone()));
    // A check is in flight when the list comes back and names the worker as draining.
    front_end.update_endpoints(vec![endpoint_in_state(
        &preferred.0,
        EndpointState::Draining,
    )]);
    report_contact(&mut front_end, EndpointListContact::Current);
    assert!(
        front_end.module.lease_end(&preferred) <= front_end.now,
        "its lease ended before the list came back, so nothing may be sent any more"
    );
    let actions = finish_check(&mut front_end, &preferred, HealthCheckOutcome::Healthy, MS);
    assert!(forwarded_to(&actions).is_some_and(|worker| worker != preferred));
}

#[test]
fn a_request_decided_before_a_drain_may_be_sent_for_the_grace_but_not_past_the_lease() {
    let (mut front_end, preferred) = confirmed_front_end();
    front_end.update_endpoints(vec![endpoint_in_state(
        &preferred.0,
        EndpointState::Draining,
    )]);
    let end = front_end.now + LEASE;
    assert_eq!(
        front_end.module.lease_end(&preferred),
        end,
        "while the list is current, for the grace"
    );

    let (mut front_end, preferred) = front_end_in_outage();
    front_end.request(FUNCTION);
    let sent_at = front_end.now;
    finish_check(&mut front_end, &preferred, HealthCheckOutcome::Healthy, 0);
    front_end.advance(500 * MS);
    front_end.update_endpoints(vec![endpoint_in_state(
        &preferred.0,
        EndpointState::Draining,
    )]);
    report_contact(&mut front_end, EndpointListContact::Current);
    let end = sent_at + LEASE;
    assert_eq!(
        front_end.module.lease_end(&preferred),
        end,
        "in an outage, until the lease by the health check ends"
    );
}

/// Guards against the overload of a worker that restarted before the list was requested again: the request is no evidence
/// that the list was current then.
#[test]
fn a_worker_that_restarted_before_a_request_for_the_list_has_slow_start() {
    let (mut front_end, preferred) = confirmed_front_end();
    front_end.advance(200 * MS);
    report_contact(&mut front_end, EndpointListContact::Disconnected);
    front_end.handle(Event::WorkerDisconnected {
        worker: preferred.clone(),
    });
    front_end.advance(50 * MS);
    report_contact(&mut front_end, EndpointListContact::Requested);
    front_end.advance(REQUEST_LEASE);
    front_end.request(FUNCTION);
    let connected_at = front_end.now;
    finish_check_on(
        &mut front_end,
        &preferred,
        HealthCheckOutcome::Healthy,
        0,
        connected_at,
    );
    let sent = forwards_of_burst(&mut front_end, &preferred);
    assert!(sent < 5, "{sent} of 30 requests forwarded at once");
}

/// Has 30 requests arrive at once, and returns how many of them were forwarded to the worker.
fn forwards_of_burst(front_end: &mut FrontEndHarness, worker: &WorkerId) -> usize {
    let before = forwards_to(front_end, worker);
    for _ in 0..30 {
        front_end.request(FUNCTION);
    }
    forwards_to(front_end, worker) - before
}

/// How many requests were forwarded to a worker so far.
fn forwards_to(front_end: &FrontEndHarness, preferred: &WorkerId) -> usize {
    let is_there =
        |action: &Action| matches!(action, Action::Forward { worker, .. } if worker == preferred);
    front_end
        .actions_taken
        .iter()
        .filter(|taken| is_there(&taken.action))
        .count()
}

/// Whether the connection on which a worker answers a check is older than the one that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnsweredOn {
    OlderConnection,
    YoungerConnection,
    /// A younger one, after which yet another connection was lost.
    YoungerConnectionBeforeAnotherLoss,
}

/// Guards against the overload of a worker that restarts while discovery cannot tell it, also if another connection of
/// its new process is lost before the check.
#[test]
fn a_worker_that_restarted_during_an_outage_has_slow_start() {
    for (answered_on, is_limited) in [
        (AnsweredOn::YoungerConnection, true),
        (AnsweredOn::YoungerConnectionBeforeAnotherLoss, true),
        (AnsweredOn::OlderConnection, false),
    ] {
        let (mut front_end, preferred) = front_end_in_outage();
        let connected_before = front_end.now - 10_000 * MS;
        let disconnected = Event::WorkerDisconnected {
            worker: preferred.clone(),
        };
        front_end.handle(disconnected.clone());
        front_end.advance(100 * MS);
        let connected_at = if answered_on == AnsweredOn::OlderConnection {
            connected_before
        } else {
            front_end.now
        };
        if answered_on == AnsweredOn::YoungerConnectionBeforeAnotherLoss {
            front_end.advance(100 * MS);
            front_end.handle(disconnected);
        }
        front_end.request(FUNCTION);
        finish_check_on(
            &mut front_end,
            &preferred,
            HealthCheckOutcome::Healthy,
            0,
            connected_at,
        );
        let sent = forwards_of_burst(&mut front_end, &preferred);
        assert_eq!(
            sent < 5,
            is_limited,
            "{answered_on:?}: {sent} of 30 requests forwarded at once"
        );
    }
}
