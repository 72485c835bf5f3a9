//! Membership at several sizes: each play is a process of its own (`pipithub-bench members`), so that one's memory and
//! CPU are not another's.

use std::process::Command;

use super::{Plan, Series};
use crate::Result;
use crate::membership::{Measurements, Scenario};

/// Larger ones are for `--sizes`: from some 300 on a fleet may take minutes of simulated time to come together, which the
/// simulation plays slower than they pass.
const SIZES: [u64; 4] = [20, 60, 120, 200];
const PLANNED: u64 = 1_700;
/// Days that are played beside one another; those whose CPU counts run alone.
const PARALLEL_PLAYS: usize = 3;

/// A figure of a day: which, in words, its unit, and what to make of the row's value.
type Figure = (
    Scenario,
    &'static str,
    &'static str,
    fn(&Measurements) -> f64,
);

const FIGURES: &[Figure] = &[
    (
        Scenario::Ordinary,
        "start at once until all know all",
        "s",
        |r| r.convergence,
    ),
    (
        Scenario::Ordinary,
        "a death until the first knows",
        "s",
        |r| r.first_detection,
    ),
    (Scenario::Ordinary, "a death until all know", "s", |r| {
        r.full_detection
    }),
    (
        Scenario::Ordinary,
        "suspicions of the living for each member",
        "",
        |r| r.suspected,
    ),
    (Scenario::Ordinary, "false deaths in all", "", |r| {
        r.false_deaths
    }),
    (
        Scenario::Ordinary,
        "bytes at rest, mean member",
        "B/s",
        |r| r.bytes,
    ),
    (
        Scenario::Ordinary,
        "bytes at rest, worst member",
        "B/s",
        |r| r.bytes_worst,
    ),
    (
        Scenario::Ordinary,
        "datagrams at rest, mean member",
        "1/s",
        |r| r.messages,
    ),
    (
        Scenario::Ordinary,
        "datagrams at rest, worst member",
        "1/s",
        |r| r.messages_worst,
    ),
    (
        Scenario::Ordinary,
        "bytes in the worst second of the start, mean member",
        "B/s",
        |r| r.bytes_start,
    ),
    (
        Scenario::Ordinary,
        "bytes in the worst second after a death, mean member",
        "B/s",
        |r| r.bytes_after_fault,
    ),
    (
        Scenario::Ordinary,
        "CPU at rest for each member",
        "% of a core",
        |r| r.cpu * 100.0,
    ),
    (
        Scenario::Ordinary,
        "CPU during the start for each member",
        "% of a core",
        |r| r.cpu_start * 100.0,
    ),
    (
        Scenario::Ordinary,
        "CPU of the simulation for each member",
        "% of a core",
        |r| r.cpu_simulation * 100.0,
    ),
    (Scenario::Ordinary, "memory for each member", "KiB", |r| {
        r.memory / 1_024.0
    }),
    (
        Scenario::Loss,
        "loss 1%: start at once until all know all",
        "s",
        |r| r.convergence,
    ),
    (
        Scenario::Loss,
        "loss 1%: a death until the first knows",
        "s",
        |r| r.first_detection,
    ),
    (
        Scenario::Loss,
        "loss 1%: a death until all know",
        "s",
        |r| r.full_detection,
    ),
    (
        Scenario::Loss,
        "loss 1%: suspicions of the living for each member",
        "",
        |r| r.suspected,
    ),
    (Scenario::Loss, "loss 1%: false deaths in all", "", |r| {
        r.false_deaths
    }),
    (
        Scenario::Loss,
        "loss 1%: bytes at rest, mean member",
        "B/s",
        |r| r.bytes,
    ),
    (
        Scenario::Loss,
        "loss 1%: bytes at rest, worst member",
        "B/s",
        |r| r.bytes_worst,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: until the first knows",
        "s",
        |r| r.first_detection,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: until all know all",
        "s",
        |r| r.full_detection,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: suspicions of the living for each member",
        "",
        |r| r.suspected,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: false deaths in all",
        "",
        |r| r.false_deaths,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: bytes in the worst second, mean member",
        "B/s",
        |r| r.bytes_after_fault,
    ),
    (
        Scenario::Seventh,
        "a seventh dies: bytes in the worst second, worst member",
        "B/s",
        |r| r.bytes_after_fault_worst,
    ),
    (
        Scenario::TwentyFirst,
        "one in 21 dies: until the first knows",
        "s",
        |r| r.first_detection,
    ),
    (
        Scenario::TwentyFirst,
        "one in 21 dies: until all know all",
        "s",
        |r| r.full_detection,
    ),
    (
        Scenario::TwentyFirst,
        "one in 21 dies: false deaths in all",
        "",
        |r| r.false_deaths,
    ),
    (
        Scenario::TwentyFirst,
        "one in 21 dies: bytes in the worst second, mean member",
        "B/s",
        |r| r.bytes_after_fault,
    ),
    (
        Scenario::Regions,
        "three regions cut for 60 s: from the mend until all know all",
        "s",
        |r| r.full_detection,
    ),
    (
        Scenario::Regions,
        "three regions cut for 60 s: bytes in the worst second, mean member",
        "B/s",
        |r| r.bytes_after_fault,
    ),
    (
        Scenario::Regions,
        "three regions cut for 60 s: bytes in the worst second, worst member",
        "B/s",
        |r| r.bytes_after_fault_worst,
    ),
    (
        Scenario::Restart,
        "all restarted in 60 s: from the last until all know all",
        "s",
        |r| r.full_detection,
    ),
    (
        Scenario::Restart,
        "all restarted in 60 s: false deaths in all",
        "",
        |r| r.false_deaths,
    ),
    (
        Scenario::Restart,
        "all restarted in 60 s: bytes in the worst second, mean member",
        "B/s",
        |r| r.bytes_after_fault,
    ),
    (
        Scenario::Restart,
        "all restarted in 60 s: bytes in the worst second, worst member",
        "B/s",
        |r| r.bytes_after_fault_worst,
    ),
];

/// Plays one day in a process of its own.
fn play(day: Scenario, size: u64, seed: u64) -> Result<Measurements> {
    let day = clap::ValueEnum::to_possible_value(&day).ok_or("a day without a name")?;
    let (size, seed) = (size.to_string(), seed.to_string());
    let arguments = [
        "members",
        "--day",
        day.get_name(),
        "--size",
        &size,
        "--seed",
        &seed,
    ];
    let done = Command::new(std::env::current_exe()?)
        .args(arguments)
        .output()?;
    if !done.status.success() {
        return Err(format!("{arguments:?}: {}", String::from_utf8_lossy(&done.stderr)).into());
    }
    Ok(serde_json::from_slice(&done.stdout)?)
}

/// Days from the settled fleet on take 60 s of rest and then the blow.
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let how = "simulated time";
    let series = |f: &Figure| Series::new("members", f.1, f.2, "members", how, PLANNED);
    let mut all: Vec<Series> = FIGURES.iter().map(series).collect();
    for size in plan.sizes_or(&SIZES) {
        for day in <Scenario as clap::ValueEnum>::value_variants() {
            let seeds: Vec<u64> = (0..plan.plays as u64).map(|n| plan.seed + n).collect();
            let beside = if *day == Scenario::Ordinary {
                1
            } else {
                PARALLEL_PLAYS
            };
            let mut rows = Vec::new();
            for seeds in seeds.chunks(beside) {
                let played: Vec<Result<Measurements>> = std::thread::scope(|scope| {
                    let threads: Vec<_> = seeds
                        .iter()
                        .map(|seed| scope.spawn(|| play(*day, size, *seed)))
                        .collect();
                    let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
                    joined
                        .map(|r| r.unwrap_or_else(|_| Err("a play broke off".into())))
                        .collect()
                });
                for row in played {
                    rows.push(row?);
                }
            }
            eprintln!("{size} members, {day:?}: {} plays", rows.len());
            for (figure, series) in FIGURES.iter().zip(&mut all).filter(|(f, _)| f.0 == *day) {
                // Below zero: it did not come to it, which is no value.
                let values: Vec<f64> = rows.iter().map(figure.3).filter(|v| *v >= 0.0).collect();
                if values.len() < rows.len() {
                    eprintln!(
                        "{size} members, {}: never in {} plays",
                        figure.1,
                        rows.len() - values.len()
                    );
                }
                if !values.is_empty() {
                    series.push(size, values);
                }
            }
        }
    }
    Ok(all)
}
