//! A fleet's scenario: front ends as processes, with faulty links and disks, whose membership is checked.

use std::process::ExitCode;

use miette::{IntoDiagnostic, Result, miette};
use pipithub_conformance::fleet::Rule;
use pipithub_scenario::fleet::{FleetScenario, Outcome};
use serde_json::{Value, json};

use super::report::{print_rule, rule_to_json};
use super::{RunFolder, ScenarioArguments};

/// Runs the scenario and shows what became of each rule.
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
    if outcome.breaches.is_empty() {
        folder.remove_if_temporary();
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("logs and data folders are in {}", folder.path().display());
    Ok(ExitCode::FAILURE)
}

fn breaches_of(outcome: &Outcome, rule: Rule) -> Vec<&str> {
    outcome
        .breaches
        .iter()
        .filter(|breach| breach.rule == rule)
        .map(|breach| breach.what.as_str())
        .collect()
}

fn to_json(scenario: &FleetScenario, seed: u64, outcome: &Outcome) -> Value {
    let rules = Rule::ALL.map(|rule| rule_to_json(rule.name(), &breaches_of(outcome, rule)));
    json!({
        "day": scenario.name,
        "seed": seed,
        "runs": outcome.history.runs.len(),
        "claims": outcome.history.claims.len(),
        "rules": rules,
        "faults": outcome.faults,
    })
}

fn print_tables(scenario: &FleetScenario, seed: u64, outcome: &Outcome) {
    println!(
        "{}, seed {seed}: {} runs, {} claims",
        scenario.name,
        outcome.history.runs.len(),
        outcome.history.claims.len()
    );
    for fault in &outcome.faults {
        println!("{:>7.1} s {}", fault.at_s, fault.description);
    }
    for rule in Rule::ALL {
        print_rule(rule.name(), &breaches_of(outcome, rule));
    }
}
