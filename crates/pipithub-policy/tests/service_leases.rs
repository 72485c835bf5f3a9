//! Leases: how long a worker counts as in service after the endpoint list or a health check showed it so,
//! and what happens to requests once both leases have ended.

mod common;

use common::{FrontEndHarness, MS, endpoint, forwarded_to, is_rejected, load_commands, settings};
use pipithub_policy::api::{
    Action, Endpoint, EndpointListContact, EndpointState, Event, HealthCheckOutcome, HealthChecked,
    Idempotency, Outcome, Settings, Time, WorkerId,
};

const DRAIN_GRACE: Time = 1_000 * MS;
/// The drain grace less the margin of 150 ms for requests that are sent a little after the decision.
const LEASE: Time = 850 * MS;
/// How long the endpoint list is relied on after its source last confirmed it: 2 s until a change counts as
/// notified, and the lease.
const ENDPOINT_LIST_LEASE: Time = 2_000 * MS + LEASE;
/// How long the list is relied on after the start or a request for the list: the drain grace and half of the 50 ms that the
/// platform allows for the transmission to a worker.
const REQUEST_LEASE: Time = DRAIN_GRACE + 25 * MS;
const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
const FUNCTION: u64 = 7;

fn lease_settings() -> Settings {
    Settings {
        drain_grace: Some(DRAIN_GRACE),
        ..settings(Idempotency::Idempotent)
    }
}

/// A front end whose list was confirmed just now, with a function that is loaded at its preferred
/// worker.
fn confirmed_front_end() -> (FrontEndHarness, WorkerId) {
    let mut front_end = FrontEndHarness::new(lease_settings(), &WORKERS);
    report_contact(&mut front_end, EndpointListContact::Started);
    let preferred = front_end.warm_up(FUNCTION);
    report_contact(&mut front_end, EndpointListContact::Current);
    (front_end, preferred)
}

/// The same front end and worker, once the lease of the list has ended.
fn front_end_in_outage() -> (FrontEndHarness, WorkerId) {
    let (mut front_end, preferred) = confirmed_front_end();
    front_end.advance(ENDPOINT_LIST_LEASE);
    (front_end, preferred)
}

/// Reports a contact with the source of the endpoint list to the front end.
fn report_contact(front_end: &mut FrontEndHarness, contact: EndpointListContact) {
    front_end.handle(Event::EndpointListContact(contact));
}

/// The worker whose health is checked; `None`: none of these actions is a health check.
fn checked_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::CheckHealth { worker } => Some(worker.clone()),
        _ => None,
    })
}

/// Ends a health check that was sent `elapsed` ago.
fn finish_check(
    front_end: &mut FrontEndHarness,
    worker: &WorkerId,
    outcome: HealthCheckOutcome,
    elapsed: Time,
) -> Vec<Action> {
    finish_check_on(front_end, worker, outcome, elapsed, 0)
}

/// Ends a health check that was sent `elapsed` ago, on a connection that was established at `connected_at`.
fn finish_check_on(
    front_end: &mut FrontEndHarness,
    worker: &WorkerId,
    outcome: HealthCheckOutcome,
    elapsed: Time,
    connected_at: Time,
) -> Vec<Action> {
    front_end.handle(Event::HealthChecked(HealthChecked {
        worker: worker.clone(),
        outcome,
        elapsed,
        connected_at,
    }))
}

/// Has a request arrive and ends every health check that it waits for with the result of `outcome`. Returns
/// the worker that served the request; `None`: it was not forwarded.
fn route_with_checks(
    front_end: &mut FrontEndHarness,
    mut outcome: impl FnMut(&WorkerId) -> HealthCheckOutcome,
) -> Option<WorkerId> {
    let (id, mut actions) = front_end.request(FUNCTION);
    let mut served_by = forwarded_to(&actions);
    // A check may also be sent together with a forward: then no request waits for it.
    while let Some(worker) = checked_worker(&actions) {
        let outcome = outcome(&worker);
        actions = finish_check(front_end, &worker, outcome, MS);
        served_by = served_by.or(forwarded_to(&actions));
    }
    let worker = served_by?;
    front_end.finish_attempt(id, 0, &worker, Outcome::Served);
    Some(worker)
}

fn endpoint_in_state(address: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        ..endpoint(address)
    }
}

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
    let before = forwards_to(&front_end, &preferred);
    for _ in 0..30 {
        front_end.request(FUNCTION);
    }
    let sent = forwards_to(&front_end, &preferred) - before;
    assert!(sent < 5, "{sent} of 30 requests forwarded at once");
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
        let before = forwards_to(&front_end, &preferred);
        for _ in 0..30 {
            front_end.request(FUNCTION);
        }
        let sent = forwards_to(&front_end, &preferred) - before;
        assert_eq!(
            sent < 5,
            is_limited,
            "{answered_on:?}: {sent} of 30 requests forwarded at once"
        );
    }
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
