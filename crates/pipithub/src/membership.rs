//! `pipithub membership`: how a front end's part in the fleet stands, and why it believes what it does.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use pipithub_clock::wall_ms;
use pipithub_membership_runtime::{DataFolder, MemberReport, MembershipRuntime, Report};
use pipithub_settings::Config;

use crate::settings;

/// What is shown of the membership.
#[derive(Subcommand)]
pub(crate) enum Membership {
    /// Lists the members as the running front end believes them to be; ends with 0 only where it takes part.
    Status {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Tells what was seen of a member, or of this front end itself, and when.
    Explain {
        /// The member's name; all where none is given.
        member: Option<String>,
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Print JSON instead of lines.
        #[arg(long)]
        json: bool,
    },
}

/// Joins the fleet where the settings name one.
pub(crate) async fn start(config: &Config) -> Result<Option<MembershipRuntime>> {
    let Some(fleet) = &config.fleet else {
        return Ok(None);
    };
    let runtime = MembershipRuntime::start(&config.name, fleet.clone())
        .await
        .into_diagnostic()?;
    Ok(Some(runtime))
}

/// The report that a front end has written last, and whether that front end runs now.
struct LatestReport {
    report: Report,
    running: bool,
}

impl LatestReport {
    fn read(config: &Path) -> Result<Self> {
        let config = settings::load(config)?;
        let fleet = config
            .fleet
            .ok_or_else(|| miette!("these settings have no fleet: the front end shares nothing"))?;
        let bytes = DataFolder::read_report(&fleet.data)
            .into_diagnostic()
            .wrap_err("no report: was this front end ever started?")?;
        let report = serde_json::from_slice(&bytes)
            .into_diagnostic()
            .wrap_err("the report cannot be read")?;
        Ok(LatestReport {
            report,
            running: DataFolder::in_use(&fleet.data),
        })
    }
}

/// Shows the membership as the front end's last report has it.
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
    if latest.running && latest.report.me.state == "joined" {
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
        " when it last ran; not running now"
    };
    println!(
        "{} of {}: {}{not_running}; generation {}, disk {}, doubt {} of 8",
        report.me.name,
        report.cluster,
        report.me.state,
        report.me.generation,
        report.me.disk,
        report.doubt
    );
    println!("as of {age} ago; last word of any other member {last_gossip}");
    println!(
        "{:<20} {:<10} {:<8} {:>10} {:>10} {:>6} {:<6} address",
        "member", "zone", "state", "for", "heard", "gen", "disk"
    );
    report.members.iter().for_each(print_member);
}

fn print_member(member: &MemberReport) {
    println!(
        "{:<20} {:<10} {:<8} {:>10} {:>10} {:>6} {:<6} {}",
        member.name,
        member.zone,
        member.state,
        seconds(member.for_ms),
        member.heard_ms.map_or("never".to_string(), seconds),
        member.generation,
        member.disk,
        member.address
    );
}

/// Shows what was seen of one member, or of all.
fn explain(report: &Report, member: Option<&str>, json: bool) -> Result<ExitCode> {
    let seen: Vec<_> = report
        .happenings
        .iter()
        .filter(|event| member.is_none_or(|name| name == event.member))
        .collect();
    if json {
        println!("{}", serde_json::to_value(&seen).into_diagnostic()?);
        return Ok(ExitCode::SUCCESS);
    }
    let now = wall_ms();
    for event in &seen {
        let seconds_ago = now.saturating_sub(event.at_ms) as f64 / 1e3;
        println!(
            "{seconds_ago:>9.1} s ago  {:<20} {}",
            event.member, event.what
        );
    }
    if seen.is_empty() {
        println!(
            "nothing was seen of it among the last {} changes",
            report.happenings.len()
        );
    }
    Ok(ExitCode::SUCCESS)
}
