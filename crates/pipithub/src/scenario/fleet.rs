//! Fleet scenarios: front ends run as processes with faulty links and disks, and their membership is checked.

use std::process::ExitCode;

use miette::{IntoDiagnostic, Result, miette};
use pipithub_conformance::fleet::Rule;
use pipithub_scenario::fleet::{FleetScenario, Outcome};
use serde_json::{Value, json};

use super::report::RuleResult;
use super::{RunFolder, ScenarioArguments};

/// Runs a fleet scenario and prints its result. Fails if the scenario could not be completed.
pub(super) async fn run(
    scenario: &FleetScenario,
    arguments: ScenarioArguments,
) -> Result<ExitCode> {
    let seed = arguments.seed;
    let folder = RunFolder::new(arguments.folder, "fleet", Some(seed));
    let binary = std::env::current_exe().into_diagnostic()?;
    let outcome = pipithub_scenario::fleet::run(scenario, seed, &binary, folder.path())
        .await
        .map_err(|error| miette!("{error}; logs are in {}", folder.path().display()))?;
    if arguments.json {
        println!("{}", to_json(scenario, seed, &outcome));
    } else {
        print_tables(scenario, seed, &outcome);
    }
    Ok(folder.finish(outcome.breaches.is_empty()))
}

fn rule_results(outcome: &Outcome) -> [RuleResult<'_>; Rule::ALL.len()] {
    Rule::ALL.map(|rule| {
        let breaches = outcome.breaches.iter();
        let breaches = breaches.map(|breach| (breach.rule, breach.what.as_str()));
        RuleResult::new(&rule, rule.name(), rule.description(), breaches)
    })
}

fn to_json(scenario: &FleetScenario, seed: u64, outcome: &Outcome) -> Value {
    json!({
        "day": scenario.name,
        "seed": seed,
        "runs": outcome.history.runs.len(),
        "claims": outcome.history.claims.len(),
        "rules": rule_results(outcome).map(|result| result.to_json()),
        "faults": outcome.faults,
    })
}

fn print_tables(scenario: &FleetScenario, seed: u64, outcome: &Outcome) {
    println!(
        "{}, seed {seed}: {} processes, {} membership reports",
        scenario.name,
        outcome.history.runs.len(),
        outcome.history.claims.len()
    );
    for fault in &outcome.faults {
        println!("{:>7.1} s: {}", fault.at_s, fault.description);
    }
    for result in rule_results(outcome) {
        result.print();
    }
}
