//! `pipithub membership`: how a front end's part in the fleet stands, and why it believes what it does.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use pipithub_clock::wall_ms;
use pipithub_membership_runtime::{DataFolder, MemberReport, MembershipRuntime, Report};
use pipithub_settings::Config;

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

/// Takes part in the fleet where the settings say so.
pub(crate) async fn start(config: &Config) -> Result<Option<MembershipRuntime>> {
    let Some(fleet) = &config.fleet else {
        return Ok(None);
    };
    let fleet = MembershipRuntime::start(&config.name, fleet.clone())
        .await
        .into_diagnostic()?;
    Ok(Some(fleet))
}

fn report(config: &Path) -> Result<(Report, bool)> {
    let config = crate::load_settings(config)?;
    let fleet = config
        .fleet
        .ok_or_else(|| miette!("these settings have no fleet: the front end shares nothing"))?;
    let bytes = DataFolder::read_report(&fleet.data)
        .into_diagnostic()
        .wrap_err("no report: was this front end ever started?")?;
    let report = serde_json::from_slice(&bytes)
        .into_diagnostic()
        .wrap_err("the report cannot be read")?;
    Ok((report, DataFolder::in_use(&fleet.data)))
}

pub(crate) fn run(command: Membership) -> Result<ExitCode> {
    match command {
        Membership::Status { config, json } => {
            let (report, running) = report(&config)?;
            if json {
                let mut value = serde_json::to_value(&report).into_diagnostic()?;
                value["running"] = running.into();
                println!("{value}");
            } else {
                status(&report, running);
            }
            let part = running && report.me.state == "joined";
            Ok(if part {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Membership::Explain {
            member,
            config,
            json,
        } => {
            let (report, _) = report(&config)?;
            let about = |name: &str| member.as_deref().is_none_or(|m| m == name);
            let seen: Vec<_> = report
                .happenings
                .iter()
                .filter(|h| about(&h.member))
                .collect();
            if json {
                println!("{}", serde_json::to_value(&seen).into_diagnostic()?);
            } else {
                let now = wall_ms();
                for happening in &seen {
                    let ago = now.saturating_sub(happening.at_ms) as f64 / 1e3;
                    println!(
                        "{ago:>9.1} s ago  {:<20} {}",
                        happening.member, happening.what
                    );
                }
                if seen.is_empty() {
                    println!(
                        "nothing was seen of it among the last {} changes",
                        report.happenings.len()
                    );
                }
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn status(report: &Report, running: bool) {
    let seconds = |ms: u64| format!("{:.1} s", ms as f64 / 1e3);
    let age = seconds(wall_ms().saturating_sub(report.at_ms));
    let word = report
        .age_ms
        .map_or("never".to_string(), |ms| format!("{} ago", seconds(ms)));
    println!(
        "{} of {}: {}{}; generation {}, disk {}, doubt {} of 8",
        report.me.name,
        report.cluster,
        report.me.state,
        if running {
            ""
        } else {
            " when it last ran; not running now"
        },
        report.me.generation,
        report.me.disk,
        report.doubt
    );
    println!("as of {age} ago; last word of any other member {word}");
    println!(
        "{:<20} {:<10} {:<8} {:>10} {:>10} {:>6} {:<6} address",
        "member", "zone", "state", "for", "heard", "gen", "disk"
    );
    let line = |m: &MemberReport| {
        let heard = m.heard_ms.map_or("never".to_string(), seconds);
        let (name, zone, state, held) = (&m.name, &m.zone, &m.state, seconds(m.for_ms));
        println!(
            "{name:<20} {zone:<10} {state:<8} {held:>10} {heard:>10} {:>6} {:<6} {}",
            m.generation, m.disk, m.address
        );
    };
    report.members.iter().for_each(line);
}
