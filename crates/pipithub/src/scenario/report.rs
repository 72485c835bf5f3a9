//! The results of a gateway's scenario, as tables and as JSON.

use pipithub_conformance::report::Window;
use pipithub_conformance::rules::Rule;
use pipithub_scenario::run::Outcome;
use pipithub_scenario::scenario::Scenario;
use serde_json::{Value, json};

/// Breaches of one rule that the tables show; JSON holds all.
const MAX_BREACHES_SHOWN: usize = 10;
/// Seconds of a window of the table, to which the faults that begin within it are added.
const WINDOW_SECONDS: f64 = 2.0;

/// One rule with its breaches, as JSON.
pub(super) fn rule_to_json(name: &str, breaches: &[&str]) -> Value {
    json!({"rule": name, "kept": breaches.is_empty(), "breaches": breaches})
}

/// Prints one rule with its first breaches.
pub(super) fn print_rule(name: &str, breaches: &[&str]) {
    let verdict = match breaches.len() {
        0 => "kept".to_string(),
        count => format!("BROKEN {count} times"),
    };
    println!("{name:<30} {verdict}");
    for breach in breaches.iter().take(MAX_BREACHES_SHOWN) {
        println!("    {breach}");
    }
}

fn breaches_of(outcome: &Outcome, rule: Rule) -> Vec<&str> {
    outcome
        .breaches
        .iter()
        .filter(|breach| breach.rule == rule)
        .map(|breach| breach.what.as_str())
        .collect()
}

/// The whole result as JSON.
pub(super) fn to_json(scenario: &Scenario, seed: u64, outcome: &Outcome) -> Value {
    let rules = Rule::ALL.map(|rule| rule_to_json(rule.name(), &breaches_of(outcome, rule)));
    json!({
        "day": scenario.name,
        "seed": seed,
        "calls": outcome.calls,
        "rules": rules,
        "report": outcome.report,
        "faults": outcome.faults,
    })
}

/// Prints calls by windows of time with the faults between them, latencies, and each rule's verdict.
pub(crate) fn print_tables(scenario: &Scenario, seed: u64, outcome: &Outcome) {
    println!(
        "{}, seed {seed}: {} calls, {} answers at the client",
        scenario.name, outcome.calls, outcome.answered
    );
    print_windows(outcome);
    let [p50, p99, p999] = outcome.report.latency_ms;
    println!(
        "served in p50 {p50:.1} ms, p99 {p99:.1} ms, p99.9 {p999:.1} ms; {:.3} attempts a call",
        outcome.report.attempts
    );
    for rule in Rule::ALL {
        print_rule(rule.name(), &breaches_of(outcome, rule));
    }
}

fn print_windows(outcome: &Outcome) {
    println!(
        "{:>7} {:>6} {:>8} {:>6} {:>8} {:>7} {:>8}",
        "from", "calls", "in time", "late", "refused", "failed", "service"
    );
    let mut faults = outcome.faults.iter().peekable();
    for window in &outcome.report.windows {
        print_window(&format!("{:.0} s", window.from_s), window);
        let end = window.from_s + WINDOW_SECONDS;
        while let Some(fault) = faults.next_if(|fault| fault.at_s < end) {
            println!("{:>7} {:.1} s {}", "", fault.at_s, fault.description);
        }
    }
    print_window("whole", &outcome.report.whole);
}

fn print_window(name: &str, window: &Window) {
    println!(
        "{name:>7} {:>6} {:>8} {:>6} {:>8} {:>7} {:>8.3}",
        window.calls, window.in_time, window.late, window.refused, window.failed, window.service
    );
}
