//! `pipithub membership`: the fleet as a front end sees it, read from the report in the data folder of that front end.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use pipithub_clock::wall_ms;
use pipithub_membership_runtime::{DataFolder, MemberReport, MembershipRuntime, Report};
use pipithub_settings::Config;

use crate::settings;

/// The subcommands of `pipithub membership`.
#[derive(Subcommand)]
pub(crate) enum Membership {
    /// Lists the members as the running front end sees them; exits with 0 only if that front end is a joined member.
    Status {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Lists the latest membership events with their times.
    Explain {
        /// Show only events of the member with this name.
        member: Option<String>,
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Print JSON instead of text.
        #[arg(long)]
        json: bool,
    },
}

/// Joins the fleet of the settings; `None` if the settings contain no fleet.
pub(crate) async fn start(config: &Config) -> Result<Option<MembershipRuntime>> {
    let Some(fleet) = &config.fleet else {
        return Ok(None);
    };
    let runtime = MembershipRuntime::start(&config.name, fleet.clone())
        .await
        .into_diagnostic()?;
    Ok(Some(runtime))
}

/// The last report that a front end wrote, and whether that front end is running.
struct LatestReport {
    report: Report,
    running: bool,
}

impl LatestReport {
    fn read(config: &Path) -> Result<Self> {
        let config = settings::load(config)?;
        let fleet = config.fleet.ok_or_else(|| {
            miette!("these settings have no fleet: this front end has no membership")
        })?;
        let bytes = DataFolder::read_report(&fleet.data_folder)
            .into_diagnostic()
            .wrap_err("found no membership report; has this front end ever been started?")?;
        let report = serde_json::from_slice(&bytes)
            .into_diagnostic()
            .wrap_err("failed to parse the membership report")?;
        Ok(LatestReport {
            report,
            running: DataFolder::in_use(&fleet.data_folder),
        })
    }
}

/// Shows the last report of a front end. Fails if the settings contain no fleet, or the report is missing or cannot be parsed.
pub(crate) fn run(command: Membership) -> Result<ExitCode> {
    match command {
        Membership::Status { config, json } => show_status(&LatestReport::read(&config)?, json),
        Membership::Explain {
            member,
            config,
            json,
        } => explain(
            &LatestReport::read(&config)?.report,
            member.as_deref(),
            json,
        ),
    }
}

fn show_status(latest: &LatestReport, json: bool) -> Result<ExitCode> {
    if json {
        let mut value = serde_json::to_value(&latest.report).into_diagnostic()?;
        value["running"] = latest.running.into();
        println!("{value}");
    } else {
        print_status(latest);
    }
    if latest.running && latest.report.local.state == "joined" {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

fn seconds(milliseconds: u64) -> String {
    format!("{:.1} s", milliseconds as f64 / 1e3)
}

fn print_status(latest: &LatestReport) {
    let report = &latest.report;
    let age = seconds(wall_ms().saturating_sub(report.at_ms));
    let last_gossip = report
        .age_ms
        .map_or("never".to_string(), |ms| format!("{} ago", seconds(ms)));
    let not_running = if latest.running {
        ""
    } else {
        " (last known state; not running now)"
    };
    println!(
        "{} in fleet {}: {}{not_running}; generation {}, disk {}, local health score (doubt) {} of 8",
        report.local.name,
        report.cluster,
        report.local.state,
        report.local.generation,
        report.local.disk,
        report.health_score
    );
    println!("report written {age} ago; last message from another member: {last_gossip}");
    println!(
        "{:<20} {:<10} {:<8} {:>10} {:>10} {:>10} {:<6} address",
        "member", "zone", "state", "for", "last heard", "generation", "disk"
    );
    report.members.iter().for_each(print_member);
}

fn print_member(member: &MemberReport) {
    println!(
        "{:<20} {:<10} {:<8} {:>10} {:>10} {:>10} {:<6} {}",
        member.name,
        member.zone,
        member.state,
        seconds(member.state_age_ms),
        member
            .last_message_age_ms
            .map_or("never".to_string(), seconds),
        member.generation,
        member.disk,
        member.address
    );
}

/// Prints the events of one member, or of all members if `member` is `None`.
fn explain(report: &Report, member: Option<&str>, json: bool) -> Result<ExitCode> {
    let events: Vec<_> = report
        .events
        .iter()
        .filter(|event| member.is_none_or(|name| name == event.member))
        .collect();
    if json {
        println!("{}", serde_json::to_value(&events).into_diagnostic()?);
        return Ok(ExitCode::SUCCESS);
    }
    let now = wall_ms();
    for event in &events {
        let seconds_ago = now.saturating_sub(event.at_ms) as f64 / 1e3;
        println!(
            "{seconds_ago:>9.1} s ago  {:<20} {}",
            event.member, event.description
        );
    }
    if events.is_empty() {
        println!("no such event among the last {}", report.events.len());
    }
    Ok(ExitCode::SUCCESS)
}
