//! `pipithub demo`: a short scenario with faults, watched live.

use std::process::ExitCode;

use miette::{IntoDiagnostic, Result, miette};
use pipithub_scenario::scenario::Scenario;

const SCENARIO: &str = include_str!("../demo.kdl");

pub(crate) async fn run() -> Result<ExitCode> {
    crate::init_logging(false, "warn");
    let scenario = Scenario::parse("demo.kdl", SCENARIO).map_err(|e| miette::Report::new(*e))?;
    println!(
        "A broker, {} front ends, {} workers, a model store and a worker list, each on loopback; {} calls a second.",
        scenario.front_ends, scenario.workers, scenario.rate
    );
    println!(
        "{} s, in which a worker crashes, a front end is killed and the broker drops all connections.",
        scenario.duration / 1_000_000_000
    );
    let folder = crate::RunFolder::new(None, "demo", None);
    let binary = std::env::current_exe().into_diagnostic()?;
    let judged = pipithub_scenario::run::run(
        &scenario,
        1,
        &binary,
        folder.path(),
        None,
        |second, sent, verdicts| {
            let of = |v: &str| verdicts.get(v).copied().unwrap_or(0);
            println!(
                "{second:>4.0} s  sent {sent:>5}  served {:>5}  refused {:>4}  failed {:>4}",
                of("served"),
                of("refused"),
                of("failed")
            );
        },
    );
    let judged = judged
        .await
        .map_err(|e| miette!("{e}; logs are in {}", folder.path().display()))?;
    crate::print_tables(&scenario, 1, &judged);
    let kept = judged.breaches.is_empty();
    if kept {
        folder.remove_if_temporary();
    }
    Ok(if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
