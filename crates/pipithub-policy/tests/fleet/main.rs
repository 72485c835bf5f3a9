//! Many front ends that send requests to the same workers, in simulated time. Each decides alone; the tests count what
//! all of them do together.

#[path = "../common/mod.rs"]
mod common;
mod simulation;
mod worker;

use common::MS;
use pipithub_policy::api::{SlowStart, Time};
use simulation::{Scenario, Simulation, Totals, WorkerStart};
use worker::{CORES, RUN_TIME};

const BASE_SCENARIO: Scenario = Scenario {
    front_ends: 60,
    workers: 12,
    utilization: 0.6,
    seconds: 30,
    load_reports: false,
    replaced_workers: 0,
};

#[test]
fn expensive_load_polls_are_avoided_at_little_loss() {
    let run = |price: f64| -> Totals {
        let scenario = Scenario {
            utilization: 0.5,
            seconds: 12,
            ..BASE_SCENARIO
        };
        Simulation::run(scenario, |s| s.costs.load_poll = price).totals
    };
    let (expensive, free) = (run(0.1), run(0.0));
    assert!(
        expensive.calls > 1_800 && free.calls == expensive.calls,
        "{expensive:?}"
    );
    assert!(
        free.load_polls * 2 > free.calls,
        "where a load poll costs nothing, more than half of the calls poll: {free:?}"
    );
    assert!(expensive.load_polls * 20 < expensive.calls, "{expensive:?}");
    assert!(
        expensive.in_time * 20 > free.in_time * 17,
        "attempts alone tell most of what load polls would: {expensive:?}, {free:?}"
    );
}

#[test]
fn popular_function_is_spread_where_workers_report_its_concurrency() {
    // The runs differ only in the setting that answers report how many calls of the function the worker has in flight.
    let run = |reported: bool| -> Totals {
        Simulation::run(BASE_SCENARIO, |s| {
            s.loading.reports_concurrency = reported;
            s.costs.load_poll = 0.1;
        })
        .totals
    };
    let (reported, unreported) = (run(true), run(false));
    assert!(
        reported.rejected * 10 < unreported.rejected * 9,
        "{reported:?}, {unreported:?}"
    );
    assert!(
        reported.in_time > unreported.in_time && reported.loads < unreported.loads,
        "{reported:?}, {unreported:?}"
    );
}

#[test]
fn preferred_worker_that_reports_high_load_gets_fewer_requests() {
    // Some functions share a preferred worker by chance. Its load stays high, so that a load report in an answer stays
    // valid.
    let run = |load_reports: bool| -> Totals {
        let scenario = Scenario {
            workers: 40,
            load_reports,
            ..BASE_SCENARIO
        };
        Simulation::run(scenario, |s| s.costs.load_poll = 0.1).totals
    };
    let (reported, unreported) = (run(true), run(false));
    assert!(
        reported.rejected * 10 < unreported.rejected * 7,
        "{reported:?}, {unreported:?}"
    );
    assert!(
        reported.in_time > unreported.in_time,
        "{reported:?}, {unreported:?}"
    );
}

/// The operators judge a warming worker by the sum of all calls that it is sent. Beyond its budget of N calls they
/// attribute only twice the square root of N and two more to chance, in a small fleet as in a large one.
#[test]
fn warming_workers_survive_what_all_front_ends_together_send() {
    let slow_start = SlowStart {
        initial_weight: 0.2,
        window: 10_000 * MS,
        overload_factor: 3.0,
        overload_window: 2_000 * MS,
    };
    for front_ends in [3, 9, 20, 30, 90] {
        for (utilization, replaced_workers) in [(0.6, 4), (1.3, 8)] {
            let scenario = Scenario {
                front_ends,
                utilization,
                seconds: 20,
                replaced_workers,
                ..BASE_SCENARIO
            };
            let outcomes = Simulation::run(scenario, |s| s.slow_start = slow_start.clone());
            let worker_starts = outcomes.worker_starts;
            assert_eq!(worker_starts.len(), replaced_workers);
            assert!(
                worker_starts.values().any(|start| start.attempts.len() > 5),
                "some warming workers get requests"
            );
            for (worker, worker_start) in &worker_starts {
                let context = format!("{front_ends} front ends, {utilization}: w{worker}");
                assert_within_budget(&slow_start, worker_start, &context);
            }
        }
    }
}

/// Fails if one overload window during the slow start of a worker holds more attempts than its budget and the margin
/// for chance.
fn assert_within_budget(slow_start: &SlowStart, worker_start: &WorkerStart, context: &str) {
    let started_at = worker_start.started_at;
    // After its slow start a worker is no longer limited.
    let is_warming = |at: &&Time| **at < started_at + slow_start.window;
    let attempts: Vec<Time> = worker_start
        .attempts
        .iter()
        .filter(is_warming)
        .copied()
        .collect();
    for (index, last) in attempts.iter().enumerate() {
        let within = attempts[..=index]
            .iter()
            .filter(|at| **at + slow_start.overload_window > *last)
            .count();
        let progress = (last - started_at) as f64 / slow_start.window as f64;
        let weight = slow_start.initial_weight + (1.0 - slow_start.initial_weight) * progress;
        let capacity = CORES as f64 / RUN_TIME as f64 * weight;
        let budget = slow_start.overload_factor * capacity * slow_start.overload_window as f64;
        assert!(
            within as f64 <= budget + 2.0 * budget.sqrt() + 2.0,
            "{context} was sent {within} attempts with a budget of {budget:.1}, at {progress:.2} of its slow start"
        );
    }
}
