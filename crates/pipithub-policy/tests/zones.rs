//! Zones that do not answer are ejected; a front end prefers workers in its own zone.

mod common;

use common::{FrontEndHarness, MS, endpoint, forwarded_to, large_fleet_settings};
use pipithub_policy::api::{
    AttemptFinished, Endpoint, EndpointState, Event, LoadReport, Outcome, WorkerId,
};

/// The endpoints of twelve workers: every second one is in zone `b` with this state, the others are ready in zone `a`.
fn endpoints_in_two_zones(zone_b_state: EndpointState) -> Vec<Endpoint> {
    let one = |i: u32| {
        let (zone, state) = if i % 2 == 1 {
            ("b", zone_b_state)
        } else {
            ("a", EndpointState::Ready)
        };
        Endpoint {
            zone: zone.into(),
            state,
            ..endpoint(&format!("w{i}"))
        }
    };
    (0..12).map(one).collect()
}

/// Whether a worker of [`endpoints_in_two_zones`] belongs to the zone `b`.
fn is_in_zone_b(worker: &WorkerId) -> bool {
    worker.0[1..].parse::<u32>().is_ok_and(|i| i % 2 == 1)
}

/// A front end of a large fleet in one of two zones.
fn front_end_in(zone: &str, reports_concurrency: bool) -> FrontEndHarness {
    let mut settings = large_fleet_settings();
    (
        settings.limits.load_polls,
        settings.loading.reports_concurrency,
        settings.zone,
    ) = (false, reports_concurrency, zone.to_string());
    let mut front_end = FrontEndHarness::new(settings, &[]);
    front_end.update_endpoints(endpoints_in_two_zones(EndpointState::Ready));
    front_end
}

/// Sends requests for thirty functions in turn, with `answer` as in [`FrontEndHarness::run_requests`]. Returns the
/// number of attempts at workers in zone `b`.
fn attempts_in_zone_b(
    front_end: &mut FrontEndHarness,
    requests: u64,
    mut answer: impl FnMut(&WorkerId) -> Option<Outcome>,
) -> usize {
    let mut workers = Vec::new();
    for number in 0..requests {
        let function = number % 30;
        workers.extend(front_end.run_requests(function, 1, &mut answer).workers);
    }
    workers.iter().filter(|worker| is_in_zone_b(worker)).count()
}

#[test]
fn silent_zone_is_attempted_again_after_unreachable_attempts() {
    let mut front_end = front_end_in("a", false);
    attempts_in_zone_b(&mut front_end, 60, |_| Some(Outcome::Served));
    attempts_in_zone_b(&mut front_end, 60, |w| {
        (!is_in_zone_b(w)).then_some(Outcome::Served)
    });
    // From here on no connection to zone `b` can be established, so that no attempt there is ever overdue.
    let attempts = attempts_in_zone_b(&mut front_end, 400, |w| {
        Some(if is_in_zone_b(w) {
            Outcome::Unreachable
        } else {
            Outcome::Served
        })
    });
    assert!(
        (2..30).contains(&attempts),
        "some attempts in 20 s, not one for each request: {attempts}"
    );
    attempts_in_zone_b(&mut front_end, 160, |_| Some(Outcome::Served));
    let back = attempts_in_zone_b(&mut front_end, 60, |_| Some(Outcome::Served));
    assert!(back > 10, "the zone is used again once it answers: {back}");
}

#[test]
fn ejected_zone_is_used_where_it_is_the_only_one() {
    let mut front_end = front_end_in("a", false);
    attempts_in_zone_b(&mut front_end, 60, |_| Some(Outcome::Served));
    attempts_in_zone_b(&mut front_end, 60, |w| {
        (!is_in_zone_b(w)).then_some(Outcome::Served)
    });
    let near = endpoints_in_two_zones(EndpointState::Ready)
        .into_iter()
        .filter(|e| !is_in_zone_b(&e.worker));
    front_end.update_endpoints(
        near.map(|e| Endpoint {
            state: EndpointState::Removed,
            ..e
        })
        .collect(),
    );
    front_end.advance(5_000 * MS);
    let attempts = attempts_in_zone_b(&mut front_end, 60, |_| Some(Outcome::Served));
    assert!(attempts > 50, "{attempts} of 60 went to the remaining zone");
}

#[test]
fn silent_zone_is_ejected_and_returns_when_it_answers() {
    let mut front_end = front_end_in("a", false);
    let attempts = |front_end: &mut FrontEndHarness, requests: u64, answers: bool| {
        attempts_in_zone_b(front_end, requests, |w| {
            (answers || !is_in_zone_b(w)).then_some(Outcome::Served)
        })
    };
    assert!(
        attempts(&mut front_end, 60, true) > 15,
        "both zones are used"
    );
    let while_silent = attempts(&mut front_end, 120, false);
    assert!(
        while_silent < 15,
        "{while_silent} of some 60 requests went to a silent zone"
    );
    attempts(&mut front_end, 160, true);
    assert!(
        attempts(&mut front_end, 60, true) > 15,
        "the zone is used again once it answers"
    );
}

#[test]
fn front_end_prefers_replica_in_its_own_zone() {
    let functions_served_in_zone_b = |zone: &str| {
        let mut front_end = front_end_in(zone, true);
        let mut served_in_zone_b = 0;
        for function in 0..20 {
            let mut last = None;
            for _ in 0..12 {
                let (request, actions) = front_end.request(function);
                let Some(worker) = forwarded_to(&actions) else {
                    continue;
                };
                front_end.advance(50 * MS);
                // Each worker reports twelve requests of the function in flight: the concurrency of three replicas.
                let end = AttemptFinished {
                    request,
                    attempt: 0,
                    worker: worker.clone(),
                    outcome: Outcome::Served,
                    elapsed: 50 * MS,
                    settled: true,
                    replica_status: None,
                    function_concurrency: Some(12),
                    load_report: LoadReport::default(),
                };
                front_end.handle(Event::AttemptFinished(end));
                last = Some(worker);
            }
            served_in_zone_b += usize::from(last.is_some_and(|w| is_in_zone_b(&w)));
        }
        served_in_zone_b
    };
    let (from_zone_b, from_zone_a) = (
        functions_served_in_zone_b("b"),
        functions_served_in_zone_b("a"),
    );
    assert!(
        from_zone_b > 16 && from_zone_a < 4,
        "of 20 functions, zone b serves {from_zone_b} for a front end in zone b, {from_zone_a} for one in zone a"
    );
}
