//! The results of a scenario, as tables and as JSON.

use pipithub_conformance::report::Window;
use pipithub_conformance::rules::Rule;
use pipithub_scenario::run::Outcome;
use pipithub_scenario::scenario::Scenario;
use serde_json::{Value, json};

/// The maximum number of breaches shown for one rule in the tables; the JSON output contains all of them.
const MAX_BREACHES_SHOWN: usize = 10;
/// The length of a window of the table in seconds. Faults are listed below the window in which they begin.
const WINDOW_SECONDS: f64 = 2.0;

/// The result of one rule, in a gateway scenario or a fleet scenario.
pub(super) struct RuleResult<'a> {
    /// The name of the rule in JSON.
    name: &'static str,
    /// The text for the rule in the table.
    description: &'static str,
    /// A description of each breach.
    breaches: Vec<&'a str>,
}

impl<'a> RuleResult<'a> {
    /// The result of `rule`, selected from all breaches of a scenario. Each breach is a pair of
    /// the violated rule and a description.
    pub(super) fn new<R: PartialEq>(
        rule: &R,
        name: &'static str,
        description: &'static str,
        all_breaches: impl Iterator<Item = (R, &'a str)>,
    ) -> Self {
        RuleResult {
            name,
            description,
            breaches: all_breaches
                .filter(|(breached, _)| breached == rule)
                .map(|(_, breach)| breach)
                .collect(),
        }
    }

    /// The rule with all its breaches.
    pub(super) fn to_json(&self) -> Value {
        json!({
            "rule": self.name,
            "kept": self.breaches.is_empty(),
            "breaches": self.breaches,
        })
    }

    /// Prints the rule with its first breaches.
    pub(super) fn print(&self) {
        let verdict = match self.breaches.len() {
            0 => "kept".to_string(),
            1 => "VIOLATED once".to_string(),
            count => format!("VIOLATED {count} times"),
        };
        println!("{:<45} {verdict}", self.description);
        for breach in self.breaches.iter().take(MAX_BREACHES_SHOWN) {
            println!("    {breach}");
        }
    }
}

fn rule_results(outcome: &Outcome) -> [RuleResult<'_>; Rule::ALL.len()] {
    Rule::ALL.map(|rule| {
        let breaches = outcome.breaches.iter();
        let breaches = breaches.map(|breach| (breach.rule, breach.what.as_str()));
        RuleResult::new(&rule, rule.name(), rule.description(), breaches)
    })
}

/// The complete result as JSON.
pub(super) fn to_json(scenario: &Scenario, seed: u64, outcome: &Outcome) -> Value {
    json!({
        "day": scenario.name,
        "seed": seed,
        "calls": outcome.calls,
        "rules": rule_results(outcome).map(|result| result.to_json()),
        "report": outcome.report,
        "faults": outcome.faults,
    })
}

/// Prints the calls of each time window with the faults that began in it, the latencies, and the verdict on each rule.
pub(crate) fn print_tables(scenario: &Scenario, seed: u64, outcome: &Outcome) {
    println!(
        "{}, seed {seed}: {} calls, {} answers received",
        scenario.name, outcome.calls, outcome.answered
    );
    print_windows(outcome);
    let [p50, p99, p999] = outcome.report.latency_ms;
    println!(
        "latency of served calls: p50 {p50:.1} ms, p99 {p99:.1} ms, p99.9 {p999:.1} ms; {:.3} attempts per call",
        outcome.report.attempts
    );
    for result in rule_results(outcome) {
        result.print();
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
            println!("{:>7} {:.1} s: {}", "", fault.at_s, fault.description);
        }
    }
    print_window("total", &outcome.report.whole);
    println!("service: the part of the calls that was served in time, weighted by class");
}

fn print_window(name: &str, window: &Window) {
    println!(
        "{name:>7} {:>6} {:>8} {:>6} {:>8} {:>7} {:>8.3}",
        window.calls, window.in_time, window.late, window.refused, window.failed, window.service
    );
}
