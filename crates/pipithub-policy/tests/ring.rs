//! The order of workers in a tier larger than an order is long: shared, even, and moved little by what comes or goes.

use std::collections::BTreeMap;

use pipithub_policy::FrontEnd;
use pipithub_policy::api::{
    Action, AttemptFinished, Class, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId,
    LoadReport, Outcome, Request, RequestId, Settings, Time, WorkerId,
};

const MS: Time = 1_000_000;
const WORKERS: u64 = 3_000;
const FUNCTIONS: u64 = 9_000;

fn name(n: u64) -> WorkerId {
    WorkerId::new(&format!(
        "10.{}.{}.{}:8080",
        n / 65_536,
        n / 256 % 256,
        n % 256
    ))
}

fn list(workers: impl Iterator<Item = u64>, state: EndpointState) -> Event {
    let entry = |n| Endpoint {
        worker: name(n),
        state,
        ..Endpoint::default()
    };
    Event::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: workers.map(entry).collect(),
    }
}

struct Front {
    core: FrontEnd,
    now: Time,
    calls: u64,
}

impl Front {
    fn new(seed: u64, workers: impl Iterator<Item = u64>) -> Front {
        let settings = Settings {
            front_ends: 2,
            classes: vec![Class::default()],
            ..Settings::default()
        };
        let mut front = Front {
            core: FrontEnd::new(settings, seed),
            now: MS,
            calls: 0,
        };
        front.event(list(workers, EndpointState::Ready));
        front
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    /// Where a function that nobody called before is sent: its home.
    fn home(&mut self, function: u64) -> WorkerId {
        self.calls += 1;
        self.now += MS;
        let id = self.calls;
        let call = Request {
            id: RequestId(id),
            function: FunctionId(function),
            replica_concurrency: 1,
            ..Request::default()
        };
        let actions = self.event(Event::Arrived(call));
        let sent = actions.iter().find_map(|a| match a {
            Action::Forward { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        let worker = sent.expect("an idle tier takes the call");
        // It leaves nothing behind that the next call would meet.
        self.event(Event::AttemptFinished(AttemptFinished {
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

    fn homes(&mut self) -> BTreeMap<u64, WorkerId> {
        (0..FUNCTIONS)
            .map(|f| (f, self.home(f * 7_919 + 1)))
            .collect()
    }
}

fn moved(before: &BTreeMap<u64, WorkerId>, after: &BTreeMap<u64, WorkerId>) -> usize {
    before.iter().filter(|(f, home)| after[f] != **home).count()
}

#[test]
fn every_front_end_has_the_same_homes_whatever_the_order_of_the_list() {
    let one = Front::new(1, 0..WORKERS).homes();
    let other = Front::new(2, (0..WORKERS).rev()).homes();
    assert_eq!(one, other);
}

#[test]
fn a_worker_that_comes_or_goes_moves_twice_its_share_at_the_most() {
    let before = Front::new(1, 0..WORKERS).homes();
    // Some of them at once, so that the share is more than chance.
    let few = 60;
    let more = Front::new(1, 0..WORKERS + few).homes();
    let less = {
        let mut front = Front::new(1, 0..WORKERS);
        front.event(list(0..few, EndpointState::Removed));
        front.homes()
    };
    let share = (FUNCTIONS * few / WORKERS) as usize;
    for after in [more, less] {
        let moved = moved(&before, &after);
        assert!(
            moved >= share / 2,
            "{moved} of {share}: what is gone cannot be anyone's home"
        );
        // What it gains or held, and as much again where the end of an order slides by one.
        assert!(moved <= share * 5 / 2, "{moved} of {share}");
    }
}

#[test]
fn homes_are_spread_evenly() {
    let homes = Front::new(1, 0..WORKERS).homes();
    let mut counts: BTreeMap<&WorkerId, u64> = BTreeMap::new();
    homes
        .values()
        .for_each(|home| *counts.entry(home).or_default() += 1);
    let mean = FUNCTIONS as f64 / WORKERS as f64;
    // As by chance: three functions a worker, so one in twenty has none, and hardly one has four times the mean.
    let none = 1.0 - counts.len() as f64 / WORKERS as f64;
    assert!((0.03..0.08).contains(&none), "{none} without a home");
    let most = *counts.values().max().unwrap() as f64;
    assert!(most <= 5.0 * mean, "{most}");
    // The variance of a fair draw is its mean.
    let all = (0..WORKERS).map(|n| counts.get(&name(n)).copied().unwrap_or(0) as f64);
    let variance = all.map(|c| (c - mean).powi(2)).sum::<f64>() / WORKERS as f64;
    assert!(variance < 1.3 * mean, "{variance} of {mean}");
}
