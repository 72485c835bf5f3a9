//! Zones that do not answer are ejected; the zone of a front end itself is preferred.

mod common;

use common::{FrontEndHarness, MS, endpoint, forwarded_to, large_fleet_settings};
use pipithub_policy::api::{
    AttemptFinished, Endpoint, EndpointState, Event, LoadReport, Outcome, WorkerId,
};

/// The endpoints of twelve workers, every second one in a zone `b`, with the given state there.
fn zoned(far_state: EndpointState) -> Vec<Endpoint> {
    let one = |i: u32| {
        let (zone, state) = if i % 2 == 1 {
            ("b", far_state)
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

/// Whether a worker of [`zoned`] belongs to the zone `b`.
fn far(worker: &WorkerId) -> bool {
    worker.0[1..].parse::<u32>().is_ok_and(|i| i % 2 == 1)
}

/// A front end of a large fleet in one of two zones.
fn two_zones(zone: &str, reports_concurrency: bool) -> FrontEndHarness {
    let mut settings = large_fleet_settings();
    (
        settings.limits.load_polls,
        settings.loading.reports_concurrency,
        settings.zone,
    ) = (false, reports_concurrency, zone.to_string());
    let mut front_end = FrontEndHarness::new(settings, &[]);
    front_end.update_endpoints(zoned(EndpointState::Ready));
    front_end
}

/// Requests of thirty functions in turn; `answer` as in [`FrontEndHarness::run_requests`]: the attempts at workers
/// in zone `b`.
fn attempts_in_far_zone(
    front_end: &mut FrontEndHarness,
    requests: u64,
    mut answer: impl FnMut(&WorkerId) -> Option<Outcome>,
) -> usize {
    let mut workers = Vec::new();
    for number in 0..requests {
        let function = number % 30;
        workers.extend(front_end.run_requests(function, 1, &mut answer).workers);
    }
    workers.iter().filter(|worker| far(worker)).count()
}

#[test]
fn silent_zone_is_attempted_again_after_unreachable_attempts() {
    let mut front_end = two_zones("a", false);
    attempts_in_far_zone(&mut front_end, 60, |_| Some(Outcome::Served));
    attempts_in_far_zone(&mut front_end, 60, |w| (!far(w)).then_some(Outcome::Served));
    // From here on no connection is made there: no attempt is ever overdue.
    let tries = attempts_in_far_zone(&mut front_end, 400, |w| {
        Some(if far(w) {
            Outcome::Unreachable
        } else {
            Outcome::Served
        })
    });
    assert!(
        (2..30).contains(&tries),
        "some tries in 20 settings, not each call: {tries}"
    );
    attempts_in_far_zone(&mut front_end, 160, |_| Some(Outcome::Served));
    let back = attempts_in_far_zone(&mut front_end, 60, |_| Some(Outcome::Served));
    assert!(back > 10, "the zone is used again once it answers: {back}");
}

#[test]
fn ejected_zone_is_used_where_it_is_the_only_one() {
    let mut front_end = two_zones("a", false);
    attempts_in_far_zone(&mut front_end, 60, |_| Some(Outcome::Served));
    attempts_in_far_zone(&mut front_end, 60, |w| (!far(w)).then_some(Outcome::Served));
    let near = zoned(EndpointState::Ready)
        .into_iter()
        .filter(|e| !far(&e.worker));
    front_end.update_endpoints(
        near.map(|e| Endpoint {
            state: EndpointState::Removed,
            ..e
        })
        .collect(),
    );
    front_end.advance(5_000 * MS);
    let attempts = attempts_in_far_zone(&mut front_end, 60, |_| Some(Outcome::Served));
    assert!(attempts > 50, "{attempts} of 60 went to the remaining zone");
}

#[test]
fn silent_zone_is_ejected_and_returns_when_it_answers() {
    let mut front_end = two_zones("a", false);
    let attempts = |front_end: &mut FrontEndHarness, requests: u64, answers: bool| {
        attempts_in_far_zone(front_end, requests, |w| {
            (answers || !far(w)).then_some(Outcome::Served)
        })
    };
    assert!(
        attempts(&mut front_end, 60, true) > 15,
        "both zones are used"
    );
    let cut = attempts(&mut front_end, 120, false);
    assert!(cut < 15, "{cut} of some 60 requests went to a silent zone");
    attempts(&mut front_end, 160, true);
    assert!(
        attempts(&mut front_end, 60, true) > 15,
        "the zone is used again once it answers"
    );
}

#[test]
fn front_end_prefers_replica_in_its_own_zone() {
    let near = |zone: &str| {
        let mut front_end = two_zones(zone, true);
        let mut last_far = 0;
        for function in 0..20 {
            let mut last = None;
            for _ in 0..12 {
                let (request, actions) = front_end.request(function);
                let Some(worker) = forwarded_to(&actions) else {
                    continue;
                };
                front_end.advance(50 * MS);
                // It has twelve requests in flight there, as at each of its workers: the concurrency of three replicas.
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
            last_far += usize::from(last.is_some_and(|w| far(&w)));
        }
        last_far
    };
    let (here, elsewhere) = (near("b"), near("a"));
    assert!(
        here > 16 && elsewhere < 4,
        "{here} of 20 in zone b from there, {elsewhere} from zone a"
    );
}
