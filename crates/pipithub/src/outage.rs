//! `pipithub outage`: runs seeded discovery outages against front ends on loopback, and checks the rules.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_scenario::outage::{Plan, Rule, Verdict, check, run};

use crate::logging;
use crate::scenario::RunFolder;

/// The lowest accepted share of served calls, relative to the share that the same seed serves without the outage.
const MIN_RELATIVE_SERVED_RATIO: f64 = 0.9;
/// The rules, in the order of their columns in the table.
const RULES: [Rule; 5] = [
    Rule::FinalAnswer,
    Rule::EffectOnce,
    Rule::DrainedCall,
    Rule::DrainedLoadCommand,
    Rule::SlowStart,
];
/// The maximum number of violations that are printed for each seed.
const MAX_VIOLATIONS_SHOWN: usize = 3;

/// Arguments of `pipithub outage`.
#[derive(Args)]
pub(crate) struct OutageArguments {
    /// The seed of the first run; each further run uses the next higher seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Do shorter runs with fewer front ends.
    #[arg(long)]
    short: bool,
    /// Run each seed without its outage as well, and compare the shares of served calls.
    #[arg(long)]
    compare: bool,
    /// Forbid health checks, as some deployments do: calls are rejected once nothing shows that workers are in service.
    /// No share of served calls is required then.
    #[arg(long)]
    no_health_checks: bool,
    /// The tolerance added to each time limit, in milliseconds; the platform adds 50.
    #[arg(long, default_value_t = 50)]
    slack_ms: u64,
    /// The program of the front ends; by default this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// The folder for configurations and logs; by default a temporary one, which is removed if all rules held.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// Runs all seeds; exits with a failure if a rule was violated or too few calls were served.
///
/// Fails if a run could not be completed.
pub(crate) async fn play(arguments: OutageArguments) -> Result<ExitCode> {
    // Each run blocks its thread, because it creates and blocks on its own runtime.
    tokio::task::spawn_blocking(move || run_seeds(&arguments))
        .await
        .into_diagnostic()?
}

fn run_seeds(arguments: &OutageArguments) -> Result<ExitCode> {
    logging::init(false, "warn");
    let binary = match &arguments.binary {
        Some(binary) => binary.clone(),
        None => std::env::current_exe().into_diagnostic()?,
    };
    let folder = RunFolder::new(arguments.folder.clone(), "outage", Some(arguments.seed));
    println!(
        "seed nodes workers  lost twice drained load cold  served  without  checks  per worker and second  verdict"
    );
    let mut all_passed = true;
    for seed in arguments.seed..arguments.seed + arguments.count {
        let seed_folder = folder.path().join(seed.to_string());
        all_passed &= run_seed(arguments, seed, &binary, &seed_folder)?;
    }
    Ok(folder.finish(all_passed))
}

fn run_seed(arguments: &OutageArguments, seed: u64, binary: &Path, folder: &Path) -> Result<bool> {
    let mut plan = Plan::draw(seed, arguments.short);
    if arguments.no_health_checks {
        plan = plan.without_health_checks();
    }
    let slack = Duration::from_millis(arguments.slack_ms);
    let verdict = run_plan(&plan, binary, folder, slack)?;
    let served_ratio = verdict.served_ratio();
    let mut ratio_without_outage = None;
    if arguments.compare {
        let folder = folder.join("without");
        let compared = run_plan(&plan.without_outage(), binary, &folder, slack)?;
        ratio_without_outage = Some(compared.served_ratio());
    }
    let serves_enough = arguments.no_health_checks
        || ratio_without_outage
            .is_none_or(|without| served_ratio >= MIN_RELATIVE_SERVED_RATIO * without);
    let passed = verdict.breaches.is_empty() && serves_enough;
    print_row(&plan, &verdict, ratio_without_outage, passed);
    for breach in verdict.breaches.iter().take(MAX_VIOLATIONS_SHOWN) {
        println!(
            "     {:?} at {:.3} s: {}",
            breach.rule,
            breach.at.as_secs_f64(),
            breach.what
        );
    }
    if !passed {
        print_steps(&plan);
    }
    Ok(passed)
}

fn print_steps(plan: &Plan) {
    println!("     {:?}", plan.settings);
    for timed in &plan.steps {
        println!("     at {:.3} s: {:?}", timed.at.as_secs_f64(), timed.step);
    }
}

fn run_plan(plan: &Plan, binary: &Path, folder: &Path, slack: Duration) -> Result<Verdict> {
    let history = run(plan, binary, folder).into_diagnostic()?;
    Ok(check(plan, &history, slack))
}

fn print_row(plan: &Plan, verdict: &Verdict, ratio_without_outage: Option<f64>, passed: bool) {
    let [lost, twice, drained, load, cold] = RULES.map(|rule| verdict.count(rule));
    let ratio_without_outage =
        ratio_without_outage.map_or("-".to_string(), |ratio| format!("{ratio:.4}"));
    let worker_seconds = plan.workers as f64 * plan.duration.as_secs_f64();
    println!(
        "{:4} {:5} {:7} {lost:5} {twice:5} {drained:7} {load:4} {cold:4}  {:.4}  {ratio_without_outage:>7} {:7}  {:21.2}  {}",
        plan.seed,
        plan.nodes,
        plan.workers,
        verdict.served_ratio(),
        verdict.health_checks,
        verdict.health_checks as f64 / worker_seconds,
        if passed { "kept" } else { "BROKEN" },
    );
}
