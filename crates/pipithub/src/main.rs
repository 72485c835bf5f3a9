//! The command line.

mod demo;
mod emulator;
mod membership;
mod publish;
mod tenants;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use pipithub_conformance::rules::Rule;
use pipithub_gateway::{Gateway, Policy};
use pipithub_node::shell::Node;
use pipithub_scenario::fleet::FleetScenario;
use pipithub_scenario::run::Outcome;
use pipithub_scenario::scenario::Scenario;
use pipithub_settings::Config;
use tracing::info;
use tracing_subscriber::EnvFilter;

/// Breaches of one rule that the tables show; JSON holds all.
const MAX_BREACHES_SHOWN: usize = 10;

/// A gateway that runs calls on workers which load functions or models on demand.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the gateway.
    Serve {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// A textbook policy in the module's place, to compare with in drills.
        #[arg(long, hide = true)]
        baseline: Option<Baseline>,
    },
    /// Runs one front end of the platform: clients over JSON-RPC lines, its configuration in `LB_CONFIG`.
    Node {
        /// The configuration file.
        #[arg(long, env = "LB_CONFIG")]
        config: PathBuf,
        /// Where to listen; by default as the configuration says.
        #[arg(long, env = "LB_LISTEN")]
        listen: Option<String>,
    },
    /// Works on settings files.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Runs a stand-in for something that the gateway meets.
    #[command(visible_alias = "standin")]
    Emulator {
        #[command(subcommand)]
        command: emulator::Emulator,
    },
    /// Shows tenants, checks their directories, explains whose a user is.
    Tenants {
        #[command(subcommand)]
        command: tenants::Tenants,
    },
    /// Shows who is in the fleet, as a running front end believes, and why.
    #[command(visible_alias = "members")]
    Membership {
        #[command(subcommand)]
        command: membership::Membership,
    },
    /// Publishes calls to a queue and shows their answers.
    Publish(publish::Publish),
    /// Runs everything on loopback for some seconds and shows what comes of it.
    Demo,
    /// Runs a scripted day and has the rules checked; ends with 0 only where all were kept.
    #[command(visible_alias = "drill")]
    Scenario {
        /// The day.
        file: PathBuf,
        /// Its seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON instead of tables.
        #[arg(long)]
        json: bool,
        /// Where logs and records go; by default a folder for temporary files, removed where all rules were kept.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Decide by a textbook policy instead, to compare with.
        #[arg(long)]
        baseline: Option<Baseline>,
    },
}

/// A policy to compare with.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Baseline {
    RoundRobin,
    LeastLoaded,
}

impl Baseline {
    fn policy(self) -> Policy {
        match self {
            Baseline::RoundRobin => Policy::RoundRobin,
            Baseline::LeastLoaded => Policy::LeastLoaded,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Baseline::RoundRobin => "round-robin",
            Baseline::LeastLoaded => "least-loaded",
        }
    }
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Reads a settings file and tells all that is wrong with it.
    Check {
        /// The file.
        file: PathBuf,
    },
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut builder = match &arguments.command {
        // One thread: its machine has part of one core.
        Command::Node { .. } => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build().into_diagnostic()?;
    runtime.block_on(run(arguments.command))
}

fn init_logging(json: bool, level: &str) {
    let filter = EnvFilter::try_from_default_env()
        .or_else(|_| EnvFilter::try_new(level))
        .unwrap_or_default();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second call, as in tests, changes nothing.
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
}

fn load_settings(path: &Path) -> Result<Config> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())?;
    Config::parse(&path.display().to_string(), &text).map_err(|faults| miette::Report::new(*faults))
}

async fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Serve { config, baseline } => {
            let config = load_settings(&config)?;
            init_logging(config.log.json, &config.log.level);
            let membership = membership::start(&config).await?;
            let gateway = Gateway::start_deciding_by(&config, baseline.map(Baseline::policy));
            shutdown_requested().await?;
            gateway.stop().await;
            if let Some(membership) = membership {
                membership.shutdown().await;
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Node { config, listen } => {
            init_logging(false, "info");
            let node = Node::bind(&config, listen).await.into_diagnostic()?;
            tokio::task::LocalSet::new().run_until(node.serve()).await;
            Ok(ExitCode::SUCCESS)
        }
        Command::Config {
            command: ConfigCommand::Check { file },
        } => {
            let config = load_settings(&file)?;
            let queues: usize = config.amqp.iter().map(|a| a.queues.len()).sum();
            println!(
                "{}: good; {} classes, {} brokers with {queues} queues, {} timers",
                file.display(),
                config.classes.len(),
                config.amqp.len(),
                config.cron.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Emulator { command } => {
            init_logging(false, "info");
            emulator::run(command).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Membership { command } => membership::run(command),
        Command::Tenants { command } => tenants::run(command).await,
        Command::Publish(publish) => publish::run(publish).await,
        Command::Demo => demo::run().await,
        Command::Scenario {
            file,
            seed,
            json,
            folder,
            baseline,
        } => {
            init_logging(false, "warn");
            let text = std::fs::read_to_string(&file)
                .into_diagnostic()
                .wrap_err_with(|| file.display().to_string())?;
            if FleetScenario::is_fleet_scenario(&text) {
                return run_fleet_scenario(&file, &text, seed, json, folder).await;
            }
            let scenario = Scenario::parse(&file.display().to_string(), &text)
                .map_err(|e| miette::Report::new(*e))?;
            let folder = RunFolder::new(folder, "drill", Some(seed));
            let binary = std::env::current_exe().into_diagnostic()?;
            let baseline = baseline.map(Baseline::name);
            let judged = pipithub_scenario::run::run(
                &scenario,
                seed,
                &binary,
                folder.path(),
                baseline,
                |_, _, _| {},
            )
            .await;
            let judged =
                judged.map_err(|e| miette!("{e}; logs are in {}", folder.path().display()))?;
            if json {
                println!("{}", to_json(&scenario, seed, &judged));
            } else {
                print_tables(&scenario, seed, &judged);
            }
            if judged.breaches.is_empty() {
                folder.remove_if_temporary();
                Ok(ExitCode::SUCCESS)
            } else {
                eprintln!("logs and records are in {}", folder.path().display());
                Ok(ExitCode::FAILURE)
            }
        }
    }
}

/// Where a run keeps its logs and records.
pub(crate) struct RunFolder {
    path: PathBuf,
    temporary: bool,
}

impl RunFolder {
    /// The folder that the user named, or else one for temporary files that bears this kind of run in its name.
    pub(crate) fn new(named: Option<PathBuf>, kind: &str, seed: Option<u64>) -> Self {
        if let Some(path) = named {
            return RunFolder {
                path,
                temporary: false,
            };
        }
        let process = std::process::id();
        let name = match seed {
            Some(seed) => format!("pipithub-{kind}-{process}-{seed}"),
            None => format!("pipithub-{kind}-{process}"),
        };
        RunFolder {
            path: std::env::temp_dir().join(name),
            temporary: true,
        }
    }

    /// Where it is.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Removes the folder unless the user named it; what cannot be removed is left to the system.
    pub(crate) fn remove_if_temporary(&self) {
        if self.temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// One rule with its breaches, as JSON.
fn rule_to_json(name: &str, breaches: &[&str]) -> serde_json::Value {
    serde_json::json!({"rule": name, "kept": breaches.is_empty(), "breaches": breaches})
}

/// Prints one rule with its first breaches.
fn print_rule(name: &str, breaches: &[&str]) {
    let verdict = match breaches.len() {
        0 => "kept".to_string(),
        count => format!("BROKEN {count} times"),
    };
    println!("{name:<30} {verdict}");
    for breach in breaches.iter().take(MAX_BREACHES_SHOWN) {
        println!("    {breach}");
    }
}

/// Runs a scenario of a fleet.
async fn run_fleet_scenario(
    file: &Path,
    text: &str,
    seed: u64,
    json: bool,
    folder: Option<PathBuf>,
) -> Result<ExitCode> {
    use pipithub_conformance::fleet::Rule;
    let scenario = FleetScenario::parse(&file.display().to_string(), text)
        .map_err(|e| miette::Report::new(*e))?;
    let folder = RunFolder::new(folder, "fleet", Some(seed));
    let binary = std::env::current_exe().into_diagnostic()?;
    let judged = pipithub_scenario::fleet::run(&scenario, seed, &binary, folder.path()).await;
    let judged = judged.map_err(|e| miette!("{e}; logs are in {}", folder.path().display()))?;
    let (history, broken) = (&judged.history, judged.breaches.len());
    let of = |rule: Rule| -> Vec<&str> {
        judged
            .breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .map(|breach| breach.what.as_str())
            .collect()
    };
    if json {
        let rules = Rule::ALL.map(|rule| rule_to_json(rule.name(), &of(rule)));
        let value = serde_json::json!({
            "day": scenario.name, "seed": seed, "runs": history.runs.len(), "claims": history.claims.len(),
            "rules": rules, "faults": judged.faults,
        });
        println!("{value}");
    } else {
        println!(
            "{}, seed {seed}: {} runs, {} claims",
            scenario.name,
            history.runs.len(),
            history.claims.len()
        );
        judged
            .faults
            .iter()
            .for_each(|fault| println!("{:>7.1} s {}", fault.at_s, fault.description));
        for rule in Rule::ALL {
            print_rule(rule.name(), &of(rule));
        }
    }
    if broken > 0 {
        eprintln!("logs and data folders are in {}", folder.path().display());
        return Ok(ExitCode::FAILURE);
    }
    folder.remove_if_temporary();
    Ok(ExitCode::SUCCESS)
}

async fn shutdown_requested() -> Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted.into_diagnostic()?,
    }
    info!("asked to stop");
    Ok(())
}

fn breaches_of(judged: &Outcome, rule: Rule) -> Vec<&str> {
    judged
        .breaches
        .iter()
        .filter(|breach| breach.rule == rule)
        .map(|breach| breach.what.as_str())
        .collect()
}

fn to_json(scenario: &Scenario, seed: u64, judged: &Outcome) -> serde_json::Value {
    let rule = |rule: &Rule| rule_to_json(rule.name(), &breaches_of(judged, *rule));
    serde_json::json!({
        "day": scenario.name,
        "seed": seed,
        "calls": judged.calls,
        "rules": Rule::ALL.iter().map(rule).collect::<Vec<_>>(),
        "report": judged.report,
        "faults": judged.faults,
    })
}

fn print_tables(scenario: &Scenario, seed: u64, judged: &Outcome) {
    println!(
        "{}, seed {seed}: {} calls, {} answers at the client",
        scenario.name, judged.calls, judged.answered
    );
    println!(
        "{:>7} {:>6} {:>8} {:>6} {:>8} {:>7} {:>8}",
        "from", "calls", "in time", "late", "refused", "failed", "service"
    );
    let line = |name: String, w: &pipithub_conformance::report::Window| {
        let (calls, in_time, late, refused, failed) =
            (w.calls, w.in_time, w.late, w.refused, w.failed);
        println!(
            "{name:>7} {calls:>6} {in_time:>8} {late:>6} {refused:>8} {failed:>7} {:>8.3}",
            w.service
        );
    };
    let mut faults = judged.faults.iter().peekable();
    for window in &judged.report.windows {
        line(format!("{:.0} s", window.from_s), window);
        while let Some(fault) = faults.next_if(|f| f.at_s < window.from_s + 2.0) {
            println!("{:>7} {:.1} s {}", "", fault.at_s, fault.description);
        }
    }
    line("whole".into(), &judged.report.whole);
    let [p50, p99, p999] = judged.report.latency_ms;
    println!(
        "served in p50 {p50:.1} ms, p99 {p99:.1} ms, p99.9 {p999:.1} ms; {:.3} attempts a call",
        judged.report.attempts
    );
    for rule in Rule::ALL {
        print_rule(rule.name(), &breaches_of(judged, rule));
    }
}
