//! Front ends whose endpoint list was confirmed or is out of reach, and the ends of health checks.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

use pipithub_policy::api::{
    Action, Endpoint, EndpointListContact, EndpointState, Event, HealthCheckOutcome, HealthChecked,
    Idempotency, Outcome, Settings, Time, WorkerId,
};

use crate::common::{FrontEndHarness, MS, endpoint, forwarded_to, settings};

pub(crate) const DRAIN_GRACE: Time = 1_000 * MS;
/// The drain grace less the margin of 150 ms for requests that are sent a little after the decision.
pub(crate) const LEASE: Time = 850 * MS;
/// How long the endpoint list is relied on after its source last confirmed it: 2 s until a change counts as
/// notified, and the lease.
pub(crate) const ENDPOINT_LIST_LEASE: Time = 2_000 * MS + LEASE;
/// How long the list is relied on after the start or a request for the list: the drain grace and half of the 50 ms that the
/// platform allows for the transmission to a worker.
pub(crate) const REQUEST_LEASE: Time = DRAIN_GRACE + 25 * MS;
pub(crate) const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
pub(crate) const FUNCTION: u64 = 7;

pub(crate) fn lease_settings() -> Settings {
    Settings {
        drain_grace: Some(DRAIN_GRACE),
        ..settings(Idempotency::Idempotent)
    }
}

/// A front end whose list was confirmed just now, with a function that is loaded at its preferred
/// worker.
pub(crate) fn confirmed_front_end() -> (FrontEndHarness, WorkerId) {
    let mut front_end = FrontEndHarness::new(lease_settings(), &WORKERS);
    report_contact(&mut front_end, EndpointListContact::Started);
    let preferred = front_end.warm_up(FUNCTION);
    report_contact(&mut front_end, EndpointListContact::Current);
    (front_end, preferred)
}

/// The same front end and worker, once the lease of the list has ended.
pub(crate) fn front_end_in_outage() -> (FrontEndHarness, WorkerId) {
    let (mut front_end, preferred) = confirmed_front_end();
    front_end.advance(ENDPOINT_LIST_LEASE);
    (front_end, preferred)
}

/// Reports a contact with the source of the endpoint list to the front end.
pub(crate) fn report_contact(front_end: &mut FrontEndHarness, contact: EndpointListContact) {
    front_end.handle(Event::EndpointListContact(contact));
}

/// The worker whose health is checked; `None`: none of these actions is a health check.
pub(crate) fn checked_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::CheckHealth { worker } => Some(worker.clone()),
        _ => None,
    })
}

/// Ends a health check that was sent `elapsed` ago.
pub(crate) fn finish_check(
    front_end: &mut FrontEndHarness,
    worker: &WorkerId,
    outcome: HealthCheckOutcome,
    elapsed: Time,
) -> Vec<Action> {
    finish_check_on(front_end, worker, outcome, elapsed, 0)
}

/// Ends a health check that was sent `elapsed` ago, on a connection that was established at `connected_at`.
pub(crate) fn finish_check_on(
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
pub(crate) fn route_with_checks(
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

pub(crate) fn endpoint_in_state(address: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        ..endpoint(address)
    }
}
