//! The slow-start budget of workers that have just started, summed over all front ends of a fleet.
//!
//! The operators count a warming worker as overloaded when, within `overload_window`, it is sent more than its budget N
//! and a margin for chance. Each front end decides alone, so the tests simulate a whole fleet with many starts of
//! workers and random traffic, and check the sum at every single attempt, not on average.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod scenario;

use common::MS;
use fleet::Fleet;
use pipithub_policy::api::Time;
use scenario::{Scenario, Summary, Traffic};

const SECOND: Time = 1_000 * MS;
/// The share of all budgets that a surge may use. The module draws attempts for about half of them: if the expected
/// number of attempts came near the budget, a fleet would keep within it by luck alone.
const MAX_SURGE_USE: f64 = 0.6;

/// How traffic is spread over the front ends, and whether about half of them restart in each slow-start window.
const CONDITIONS: [(Traffic, bool); 4] = [
    (Traffic::Equal, false),
    (Traffic::Unequal, false),
    (Traffic::OneBusy, false),
    (Traffic::Equal, true),
];
/// Numbers of front ends.
const FLEETS: [usize; 6] = [2, 5, 20, 30, 60, 300];

/// Runs scenarios in parallel, on as many threads as there are conditions, and returns the results of each.
fn run_all(scenarios: Vec<Scenario>) -> Vec<(Scenario, Summary)> {
    let queue = std::sync::Mutex::new(scenarios.into_iter());
    let next = || queue.lock().expect("no thread has panicked").next();
    let run_queued = || {
        let mut results = Vec::new();
        while let Some(scenario) = next() {
            let summary = Fleet::run(scenario.clone());
            results.push((scenario, summary));
        }
        results
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = CONDITIONS.iter().map(|_| scope.spawn(run_queued)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a thread ends without a panic"))
            .collect()
    })
}

/// Fails if a single window of a single worker held more attempts than its budget allows.
fn assert_none_over_budget(results: &[(Scenario, Summary)]) {
    let over_budget: Vec<_> = results
        .iter()
        .filter(|(_, summary)| summary.over_budget > 0)
        .collect();
    assert!(over_budget.is_empty(), "over budget: {over_budget:#?}");
}

/// A scenario for each fleet size under each condition, with at least `starts` starts of workers that have this first
/// budget.
fn fleets(first_budget: f64, starts: usize) -> Vec<Scenario> {
    let conditions = || CONDITIONS.into_iter();
    let fleet = |front_ends| {
        conditions().map(move |(traffic, restarts)| Scenario {
            restarts,
            ..Scenario::new(front_ends, traffic, first_budget, starts)
        })
    };
    FLEETS.into_iter().flat_map(fleet).collect()
}

#[test]
fn no_warming_worker_exceeds_budgets_of_1_to_5() {
    assert_none_over_budget(&run_all(fleets(1.0, 198)));
}

#[test]
fn no_warming_worker_exceeds_budgets_of_6_to_30() {
    assert_none_over_budget(&run_all(fleets(6.0, 63)));
}

#[test]
fn no_warming_worker_exceeds_budgets_of_40_to_200_and_much_of_them_is_used() {
    let results = run_all(fleets(40.0, 18));
    assert_none_over_budget(&results);
    for (scenario, summary) in results {
        let least = if scenario.front_ends < 300 { 0.4 } else { 0.2 };
        assert!(
            summary.sent > least * summary.budgeted,
            "too few attempts: {scenario:?}, {summary:?}"
        );
    }
}

/// Clients that retry rejected requests raise the arrivals far beyond what the workers can serve.
#[test]
fn no_warming_worker_exceeds_its_budget_under_overload_while_front_ends_restart() {
    let overload = |s: Scenario| Scenario {
        demand: 8.0,
        restarts: true,
        ..s
    };
    let small = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Unequal, 6.0, 45));
    let large = [2, 20].map(|n| Scenario::new(n, Traffic::Equal, 40.0, 9));
    assert_none_over_budget(&run_all(
        small.into_iter().chain(large).map(overload).collect(),
    ));
}

/// A surge: every front end has more requests for few warming workers than their budgets allow.
#[test]
fn no_warming_worker_exceeds_its_budget_in_a_surge_at_all_front_ends() {
    let surge = |s: Scenario| Scenario {
        warm_workers: 9,
        warming_places: 3,
        demand: 8.0,
        ..s
    };
    let small = [20, 60, 300].map(|n| Scenario::new(n, Traffic::Equal, 1.0, 63));
    let large = [20, 60].map(|n| Scenario::new(n, Traffic::Equal, 6.0, 18));
    let results = run_all(small.into_iter().chain(large).map(surge).collect());
    assert_none_over_budget(&results);
    for (scenario, summary) in results {
        let most = MAX_SURGE_USE * summary.budgeted;
        assert!(
            summary.sent < most,
            "no margin for chance: {scenario:?}, {summary:?}"
        );
    }
}

/// What warm workers serve says little about a smaller worker, but the endpoint list states its weight.
#[test]
fn no_warming_worker_exceeds_its_budget_where_some_workers_are_smaller() {
    let sized = |s: Scenario| {
        [0.5, 0.25].map(|small_size| Scenario {
            small_size,
            ..s.clone()
        })
    };
    let scenarios = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Equal, 40.0, 9));
    assert_none_over_budget(&run_all(scenarios.into_iter().flat_map(sized).collect()));
}

/// Where no worker is warm, front ends learn nothing new about what a warm one can serve.
#[test]
fn no_warming_worker_exceeds_its_budget_where_all_workers_are_warming() {
    let all_warming = |s: Scenario| Scenario {
        warm_workers: 0,
        demand: 4.0,
        ..s
    };
    let scenarios = [2, 20, 300].map(|n| Scenario::new(n, Traffic::Unequal, 40.0, 18));
    assert_none_over_budget(&run_all(scenarios.into_iter().map(all_warming).collect()));
}
