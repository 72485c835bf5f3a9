//! `pipithub scenario`: runs a fault scenario over processes on loopback and checks the guarantees.

mod fleet;
mod report;
mod run_folder;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Report, Result, WrapErr, miette};
use pipithub_scenario::fleet::FleetScenario;
use pipithub_scenario::scenario::Scenario;

pub(crate) use report::print_tables;
pub(crate) use run_folder::RunFolder;

use crate::baseline::Baseline;
use crate::logging;

/// Arguments of `pipithub scenario`.
#[derive(Args)]
pub(crate) struct ScenarioArguments {
    /// The scenario file, in KDL.
    file: PathBuf,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// The folder for logs and records; by default a temporary one, which is removed if all guarantees held.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Route by a textbook policy instead of the gateway's own, for comparison.
    #[arg(long)]
    baseline: Option<Baseline>,
}

/// Runs the scenario in a file: either a gateway scenario or a fleet scenario.
///
/// Fails if the file cannot be read or is invalid, or the scenario could not be completed; exits with a failure
/// if a rule was violated.
pub(crate) async fn run(arguments: ScenarioArguments) -> Result<ExitCode> {
    logging::init(false, "warn");
    let name = arguments.file.display().to_string();
    let text = std::fs::read_to_string(&arguments.file)
        .into_diagnostic()
        .wrap_err_with(|| name.clone())?;
    if FleetScenario::is_fleet_scenario(&text) {
        let scenario = FleetScenario::parse(&name, &text).map_err(|error| Report::new(*error))?;
        return fleet::run(&scenario, arguments).await;
    }
    let scenario = Scenario::parse(&name, &text).map_err(|error| Report::new(*error))?;
    run_gateway_scenario(&scenario, arguments).await
}

async fn run_gateway_scenario(
    scenario: &Scenario,
    arguments: ScenarioArguments,
) -> Result<ExitCode> {
    let seed = arguments.seed;
    let folder = RunFolder::new(arguments.folder, "scenario", Some(seed));
    let binary = std::env::current_exe().into_diagnostic()?;
    let baseline = arguments.baseline.map(Baseline::name);
    let outcome = pipithub_scenario::run::run(
        scenario,
        seed,
        &binary,
        folder.path(),
        baseline,
        |_, _, _| {},
    )
    .await
    .map_err(|error| miette!("{error}; logs are in {}", folder.path().display()))?;
    if arguments.json {
        println!("{}", report::to_json(scenario, seed, &outcome));
    } else {
        report::print_tables(scenario, seed, &outcome);
    }
    Ok(folder.finish(outcome.breaches.is_empty()))
}
