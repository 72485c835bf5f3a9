//! Zones that are silent, and the zone of a front end itself.

mod common;

use common::{Bench, MS, entry, large_tier, play, sent_to};
use pipithub_policy::api::{
    AttemptFinished, Endpoint, EndpointState, Event, LoadReport, Outcome, WorkerId,
};

/// The entries of twelve workers, every second one in a zone `b`, with the given state there.
fn zoned(state_far: EndpointState) -> Vec<Endpoint> {
    let one = |i: u32| {
        let (zone, state) = if i % 2 == 1 {
            ("b", state_far)
        } else {
            ("a", EndpointState::Ready)
        };
        Endpoint {
            zone: zone.into(),
            state,
            ..entry(&format!("w{i}"))
        }
    };
    (0..12).map(one).collect()
}

/// Whether a worker of [`zoned`] stands in the zone `b`.
fn far(worker: &WorkerId) -> bool {
    worker.0[1..].parse::<u32>().is_ok_and(|i| i % 2 == 1)
}

/// A front end of a large tier in one of two zones.
fn two_zones(zone: &str, tells_alike: bool) -> Bench {
    let mut s = large_tier();
    (s.limits.load_polls, s.loading.reports_concurrency, s.zone) =
        (false, tells_alike, zone.to_string());
    let mut b = Bench::new(s, &[]);
    b.changes(zoned(EndpointState::Ready));
    b
}

/// Calls in a row of thirty functions; `answer` as in [`play`]. Tells the sends that `which` holds of.
fn sent_where(
    b: &mut Bench,
    calls: u64,
    which: fn(&WorkerId) -> bool,
    answer: impl Fn(&WorkerId) -> Option<Outcome>,
) -> usize {
    play_many(b, calls, answer)
        .1
        .iter()
        .filter(|w| which(w))
        .count()
}

#[test]
fn a_zone_whose_try_ends_without_word_is_tried_again() {
    let mut b = two_zones("a", false);
    sent_where(&mut b, 60, far, |_| Some(Outcome::Served));
    sent_where(&mut b, 60, far, |w| (!far(w)).then_some(Outcome::Served));
    // From here on no connection comes up there: no try is ever overdue.
    let tries = sent_where(&mut b, 400, far, |w| {
        Some(if far(w) {
            Outcome::Unreachable
        } else {
            Outcome::Served
        })
    });
    assert!(
        (2..30).contains(&tries),
        "some tries in 20 s, not each call: {tries}"
    );
    sent_where(&mut b, 160, far, |_| Some(Outcome::Served));
    let back = sent_where(&mut b, 60, far, |_| Some(Outcome::Served));
    assert!(back > 10, "the zone is used again once it answers: {back}");
}

#[test]
fn a_zone_left_alone_that_is_all_there_is_is_used() {
    let mut b = two_zones("a", false);
    sent_where(&mut b, 60, far, |_| Some(Outcome::Served));
    sent_where(&mut b, 60, far, |w| (!far(w)).then_some(Outcome::Served));
    let gone = zoned(EndpointState::Ready)
        .into_iter()
        .filter(|e| !far(&e.worker));
    b.changes(
        gone.map(|e| Endpoint {
            state: EndpointState::Removed,
            ..e
        })
        .collect(),
    );
    b.pass(5_000 * MS);
    let sent = sent_where(&mut b, 60, far, |_| Some(Outcome::Served));
    assert!(sent > 50, "{sent} of 60 went to the zone that is left");
}

#[test]
fn in_a_large_tier_a_zone_that_says_nothing_is_left_and_found_again() {
    let mut b = two_zones("a", false);
    let sent_far = |b: &mut Bench, calls: u64, answers: bool| {
        let (_, workers) = play_many(b, calls, |w| {
            (answers || !far(w)).then_some(Outcome::Served)
        });
        workers.iter().filter(|w| far(w)).count()
    };
    assert!(sent_far(&mut b, 60, true) > 15, "both zones are used");
    let cut = sent_far(&mut b, 120, false);
    assert!(
        cut < 15,
        "{cut} of some 60 calls went to a zone that says nothing"
    );
    sent_far(&mut b, 160, true);
    assert!(
        sent_far(&mut b, 60, true) > 15,
        "the zone is used again once it answers"
    );
}

/// As [`play`], each call of another function.
fn play_many(
    b: &mut Bench,
    calls: u64,
    mut answer: impl FnMut(&WorkerId) -> Option<Outcome>,
) -> (usize, Vec<WorkerId>) {
    let (mut served, mut workers) = (0, Vec::new());
    for i in 0..calls {
        let (some, met) = play(b, i % 30, 1, &mut answer);
        served += some;
        workers.extend(met);
    }
    (served, workers)
}

#[test]
fn of_several_homes_a_front_end_of_a_large_tier_begins_at_one_in_its_zone() {
    let near = |zone: &str| {
        let mut b = two_zones(zone, true);
        let mut last_far = 0;
        for function in 0..20 {
            let mut last = None;
            for _ in 0..12 {
                let (request, actions) = b.call(function);
                let Some(worker) = sent_to(&actions) else {
                    continue;
                };
                b.pass(50 * MS);
                // Twelve calls of it stand there, as at each of its homes: lanes of three copies.
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
                b.event(Event::AttemptFinished(end));
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
