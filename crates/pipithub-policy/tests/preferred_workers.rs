//! The preferred workers of functions: the same at all front ends, evenly distributed, and changed for few functions by
//! workers that are added or removed, also in fleets with more workers than a front end considers for one function.

mod common;

use std::collections::BTreeMap;

use common::{FrontEndHarness, MS, forwarded_to, settings};
use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Class, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    Idempotency, LoadReport, Outcome, Request, RequestId, Settings, Time, WorkerId,
};

const WORKERS: u64 = 3_000;
const FUNCTIONS: u64 = 9_000;

fn worker_id(n: u64) -> WorkerId {
    WorkerId::new(&format!(
        "10.{}.{}.{}:8080",
        n / 65_536,
        n / 256 % 256,
        n % 256
    ))
}

fn delta(workers: impl Iterator<Item = u64>, state: EndpointState) -> Event {
    let endpoint = |n| Endpoint {
        worker: worker_id(n),
        state,
        ..Endpoint::default()
    };
    Event::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: workers.map(endpoint).collect(),
    }
}

/// A front end that is sent requests to find the preferred workers of functions.
struct PreferenceProbe {
    front_end: FrontEnd,
    now: Time,
    requests: u64,
}

impl PreferenceProbe {
    fn new(seed: u64, workers: impl Iterator<Item = u64>) -> PreferenceProbe {
        let settings = Settings {
            front_ends: 2,
            classes: vec![Class::default()],
            ..Settings::default()
        };
        let mut probe = PreferenceProbe {
            front_end: FrontEnd::new(settings, seed),
            now: MS,
            requests: 0,
        };
        probe.handle(delta(workers, EndpointState::Ready));
        probe
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.front_end.handle(self.now, event, &mut actions);
        actions
    }

    /// The worker that a function is forwarded to at its first request: its preferred worker.
    fn preferred(&mut self, function: u64) -> WorkerId {
        self.requests += 1;
        self.now += MS;
        let id = self.requests;
        let request = Request {
            id: RequestId(id),
            function: FunctionId(function),
            replica_concurrency: 1,
            ..Request::default()
        };
        let actions = self.handle(Event::Arrived(request));
        let forwarded = actions.iter().find_map(|a| match a {
            Action::Forward { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        let worker = forwarded.expect("an idle fleet accepts the request");
        // The attempt ends, so that nothing is in flight when the next request arrives.
        self.handle(Event::AttemptFinished(AttemptFinished {
            request: RequestId(id),
            attempt: 0,
            worker: worker.clone(),
            outcome: Outcome::NotLoaded,
            elapsed: MS,
            settled: true,
            replica_status: None,
            function_concurrency: None,
            load_report: LoadReport::default(),
        }));
        worker
    }

    /// The preferred workers of all functions, by the number of the function.
    fn all_preferred(&mut self) -> BTreeMap<u64, WorkerId> {
        (0..FUNCTIONS)
            .map(|f| (f, self.preferred(f * 7_919 + 1)))
            .collect()
    }
}

/// The number of functions whose preferred worker has changed.
fn count_moved(before: &BTreeMap<u64, WorkerId>, after: &BTreeMap<u64, WorkerId>) -> usize {
    before
        .iter()
        .filter(|(function, worker)| after[function] != **worker)
        .count()
}

#[test]
fn preferred_workers_depend_neither_on_front_end_nor_on_order_of_endpoints() {
    let one = PreferenceProbe::new(1, 0..WORKERS).all_preferred();
    let other = PreferenceProbe::new(2, (0..WORKERS).rev()).all_preferred();
    assert_eq!(one, other);
}

#[test]
fn added_and_removed_workers_move_few_functions() {
    let before = PreferenceProbe::new(1, 0..WORKERS).all_preferred();
    // Sixty workers at once, so that the number of functions that move is well above chance.
    let changed = 60;
    let more = PreferenceProbe::new(1, 0..WORKERS + changed).all_preferred();
    let less = {
        let mut probe = PreferenceProbe::new(1, 0..WORKERS);
        probe.handle(delta(0..changed, EndpointState::Removed));
        probe.all_preferred()
    };
    let share = (FUNCTIONS * changed / WORKERS) as usize;
    for after in [more, less] {
        let moved = count_moved(&before, &after);
        assert!(
            moved >= share / 2,
            "{moved} functions moved, about {share} expected: each changed worker is preferred by some"
        );
        // The functions that the changed workers gain or lose, and as many again: each change also moves the end of the
        // list of workers that are considered for a function by one worker.
        assert!(
            moved <= share * 5 / 2,
            "{moved} functions moved, about {share} expected"
        );
    }
}

#[test]
fn preferred_workers_are_evenly_distributed() {
    let preferred = PreferenceProbe::new(1, 0..WORKERS).all_preferred();
    let mut counts: BTreeMap<&WorkerId, u64> = BTreeMap::new();
    preferred
        .values()
        .for_each(|worker| *counts.entry(worker).or_default() += 1);
    let mean = FUNCTIONS as f64 / WORKERS as f64;
    // As in a random assignment with a mean of three functions for each worker: one worker in twenty has none, and
    // hardly any has four times the mean.
    let none = 1.0 - counts.len() as f64 / WORKERS as f64;
    assert!(
        (0.03..0.08).contains(&none),
        "a share of {none} of the workers is preferred by no function"
    );
    let most = *counts.values().max().unwrap() as f64;
    assert!(
        most <= 5.0 * mean,
        "a worker is preferred by {most} functions, the mean is {mean}"
    );
    // In a random assignment the variance is about the mean.
    let all = (0..WORKERS).map(|n| counts.get(&worker_id(n)).copied().unwrap_or(0) as f64);
    let variance = all.map(|c| (c - mean).powi(2)).sum::<f64>() / WORKERS as f64;
    assert!(variance < 1.3 * mean, "variance {variance}, mean {mean}");
}

#[test]
fn preferred_worker_is_the_same_at_all_front_ends_and_stable_under_churn() {
    let preferred_of = |workers: &[&str], front_ends: u32| -> Vec<WorkerId> {
        let mut settings = settings(Idempotency::Idempotent);
        settings.front_ends = front_ends;
        let mut front_end = FrontEndHarness::new(settings, workers);
        let mut one = |function| {
            let (id, actions) = front_end.request(function);
            let worker = forwarded_to(&actions)?;
            front_end.advance(20 * MS);
            front_end.finish_attempt(id, 0, &worker, Outcome::Served);
            Some(worker)
        };
        (0..200).filter_map(&mut one).collect()
    };
    let before = preferred_of(&["w1", "w2", "w3", "w4", "w5"], 1);
    assert_eq!(before.len(), 200);
    assert_eq!(before, preferred_of(&["w5", "w3", "w1", "w2", "w4"], 3));
    let after = preferred_of(&["w1", "w2", "w3", "w4"], 1);
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after)
        .count();
    let removed = before.iter().filter(|w| **w == WorkerId::new("w5")).count();
    assert_eq!(
        moved, removed,
        "only functions that preferred the removed worker move"
    );
    assert!(
        (20..=60).contains(&removed),
        "each of five workers is preferred by its share of 200 functions: {removed}"
    );
}
