//! Membership at several sizes. Each run is a process of its own (`pipithub-bench members`), so that memory and CPU are
//! measured separately.

mod figures;

use std::process::Command;

use clap::ValueEnum;

use super::{Plan, Series, SizeAxis};
use crate::Result;
use crate::membership::{Measurements, Scenario};
use figures::{FIGURES, ScenarioFigure};

/// The default sizes. Larger fleets, which `--sizes` selects, may take minutes of simulated time to converge, and the
/// simulation of more than about 300 members is slower than real time.
const SIZES: [u64; 4] = [20, 60, 120, 200];
const AXIS: SizeAxis = SizeAxis {
    part: "members",
    size_unit: "members",
    method: "simulated time",
    planned: 1_700,
};
/// The number of concurrent runs, except of the scenario whose CPU is measured.
const PARALLEL_RUNS: usize = 3;

/// Runs all scenarios at each size and collects their figures.
pub(super) fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let mut all: Vec<Series> = FIGURES
        .iter()
        .map(|figure| AXIS.series(figure.what, figure.unit))
        .collect();
    for size in plan.sizes_or(&SIZES) {
        for scenario in Scenario::value_variants() {
            let rows = run_all(plan, *scenario, size)?;
            eprintln!("{size} members, {scenario:?}: {} runs", rows.len());
            for (figure, series) in FIGURES.iter().zip(&mut all) {
                if figure.scenario == *scenario {
                    add_values(figure, series, size, &rows);
                }
            }
        }
    }
    Ok(all)
}

fn add_values(figure: &ScenarioFigure, series: &mut Series, size: u64, rows: &[Measurements]) {
    // A value below zero means that the event did not happen.
    let values: Vec<f64> = rows
        .iter()
        .map(figure.value)
        .filter(|value| *value >= 0.0)
        .collect();
    let missing = rows.len() - values.len();
    if missing > 0 {
        eprintln!(
            "{size} members, {}: did not happen in {missing} runs",
            figure.what
        );
    }
    if !values.is_empty() {
        series.push(size, values);
    }
}

/// Runs a scenario with each of the plan's seeds.
fn run_all(plan: &Plan, scenario: Scenario, size: u64) -> Result<Vec<Measurements>> {
    let seeds: Vec<u64> = (0..plan.runs as u64).map(|run| plan.seed + run).collect();
    let parallel = if scenario == Scenario::Ordinary {
        1
    } else {
        PARALLEL_RUNS
    };
    let mut rows = Vec::new();
    for seeds in seeds.chunks(parallel) {
        for row in run_in_parallel(scenario, size, seeds) {
            rows.push(row?);
        }
    }
    Ok(rows)
}

fn run_in_parallel(scenario: Scenario, size: u64, seeds: &[u64]) -> Vec<Result<Measurements>> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(|| run_scenario(scenario, size, *seed)))
            .collect();
        threads
            .into_iter()
            .map(std::thread::ScopedJoinHandle::join)
            .map(|joined| joined.unwrap_or_else(|_| Err("a run panicked".into())))
            .collect()
    })
}

/// Runs one scenario in a process of its own.
fn run_scenario(scenario: Scenario, size: u64, seed: u64) -> Result<Measurements> {
    let name = scenario
        .to_possible_value()
        .ok_or("a scenario without a name")?;
    let (size, seed) = (size.to_string(), seed.to_string());
    let arguments = [
        "members",
        "--day",
        name.get_name(),
        "--size",
        &size,
        "--seed",
        &seed,
    ];
    let output = Command::new(std::env::current_exe()?)
        .args(arguments)
        .output()?;
    if !output.status.success() {
        let reason = String::from_utf8_lossy(&output.stderr);
        return Err(format!("{arguments:?}: {reason}").into());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}
