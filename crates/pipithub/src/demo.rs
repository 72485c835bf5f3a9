//! `pipithub demo`: a short fault scenario whose progress is shown every second.

use std::process::ExitCode;

use miette::{IntoDiagnostic, Report, Result, miette};
use pipithub_scenario::scenario::Scenario;

use crate::logging;
use crate::scenario::{RunFolder, print_tables};

const SCENARIO: &str = include_str!("../demo.kdl");
const SEED: u64 = 1;
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// Runs the scenario, prints the counts of each second and then the report.
///
/// Fails if the scenario could not be completed; exits with a failure if a rule was violated.
pub(crate) async fn run() -> Result<ExitCode> {
    logging::init(false, "warn");
    let scenario = Scenario::parse("demo.kdl", SCENARIO).map_err(|error| Report::new(*error))?;
    print_introduction(&scenario);
    let folder = RunFolder::new(None, "demo", None);
    let binary = std::env::current_exe().into_diagnostic()?;
    let outcome = pipithub_scenario::run::run(
        &scenario,
        SEED,
        &binary,
        folder.path(),
        None,
        |second, sent, verdicts| {
            let count_of = |verdict: &str| verdicts.get(verdict).copied().unwrap_or(0);
            println!(
                "{second:>4.0} s  published {sent:>5}  served {:>5}  refused {:>4}  failed {:>4}",
                count_of("served"),
                count_of("refused"),
                count_of("failed")
            );
        },
    )
    .await
    .map_err(|error| miette!("{error}; logs are in {}", folder.path().display()))?;
    print_tables(&scenario, SEED, &outcome);
    Ok(folder.finish(outcome.breaches.is_empty()))
}

fn print_introduction(scenario: &Scenario) {
    println!(
        "Starting a broker, {} front ends, {} workers, a model store and an endpoint list on loopback; {} calls per second.",
        scenario.front_ends, scenario.workers, scenario.rate
    );
    println!(
        "For {} seconds: a worker crashes, a front end is killed and the broker drops all connections.",
        scenario.duration / NANOSECONDS_PER_SECOND
    );
}
