//! `pipithub tenants`: what the settings say, what the directories say, and what would be decided.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::Subcommand;
use miette::{Result, miette};
use pipithub_directory::{Directory, Input, Output, Query, Resolution, SearchResponse, Settings};
use pipithub_gateway::directory::ask;
use pipithub_settings::TenantsConfig;

use crate::settings;

#[derive(Subcommand)]
pub(crate) enum Tenants {
    /// Lists tenants with their places, functions and shares.
    Show {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Asks every server of every directory how it stands; ends with 0 only where all are well.
    Check {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Asks every server about a user, and says what a front end would make of it.
    Explain {
        /// The user.
        user: String,
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Also whether they may run this function.
        #[arg(long)]
        function: Option<String>,
    },
}

fn tenants(config: &Path) -> Result<(pipithub_settings::Config, TenantsConfig)> {
    let config = settings::load(config)?;
    let tenants = config
        .tenants
        .clone()
        .ok_or_else(|| miette!("these settings have no tenants"))?;
    Ok((config, tenants))
}

pub(crate) async fn run(command: Tenants) -> Result<ExitCode> {
    match command {
        Tenants::Show { config } => show(&tenants(&config)?.1),
        Tenants::Check { config } => return check(&tenants(&config)?.1).await,
        Tenants::Explain {
            user,
            config,
            function,
        } => {
            let (config, tenants) = tenants(&config)?;
            return explain(&config, &tenants, &user, function.as_deref()).await;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn show(config: &TenantsConfig) {
    let weights: f64 = config
        .admission
        .quotas
        .tenants
        .iter()
        .map(|t| t.weight)
        .sum();
    println!(
        "{:<16} {:>6} {:>12} {:>8}  {:<12} functions",
        "tenant", "share", "rate", "most", "directory"
    );
    for (tenant, share) in config.tenants.iter().zip(&config.admission.quotas.tenants) {
        let rate = share.rate.map_or("-".to_string(), |rate| {
            format!("{}/s +{}", rate.per_second, rate.burst)
        });
        let most = if share.max_in_flight >= 1_000_000 {
            "-".to_string()
        } else {
            share.max_in_flight.to_string()
        };
        println!(
            "{:<16} {:>5.1}% {rate:>12} {most:>8}  {:<12} {}",
            tenant.name,
            share.weight / weights * 100.0,
            config.directories[tenant.place.directory].name,
            tenant.functions.join(" ")
        );
        println!("{:<16} {}", "", tenant.base);
    }
}

async fn check(config: &TenantsConfig) -> Result<ExitCode> {
    let mut well = true;
    println!(
        "{:<12} {:<24} {:>10}  state",
        "directory", "server", "answered"
    );
    for directory in &config.directories {
        let mut marks = Vec::new();
        let mut lines = Vec::new();
        for (n, server) in directory.servers.iter().enumerate() {
            let began = Instant::now();
            let answer = ask(directory, n, Query::ServerState).await;
            let took = format!("{:.1} ms", began.elapsed().as_secs_f64() * 1e3);
            let mark = answer.as_ref().ok().and_then(|a| a.change_number);
            marks.extend(mark);
            lines.push((server.address.clone(), took, answer, mark));
        }
        let newest = marks.iter().max().copied();
        for (address, took, answer, mark) in lines {
            let state = match answer {
                Err(why) => why,
                Ok(SearchResponse {
                    base_exists: false, ..
                }) => {
                    format!(
                        "nothing at {}: still loading, or a wrong base",
                        directory.base
                    )
                }
                Ok(_) if directory.mark_attribute.is_some() && mark.is_none() => {
                    "tells no mark: it cannot be seen whether it is behind".to_string()
                }
                Ok(_) if mark < newest => "behind another server".to_string(),
                Ok(_) => "well".to_string(),
            };
            well &= state == "well";
            println!("{:<12} {address:<24} {took:>10}  {state}", directory.name);
        }
    }
    Ok(if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
async fn explain(
    config: &pipithub_settings::Config,
    tenants: &TenantsConfig,
    user: &str,
    function: Option<&str>,
) -> Result<ExitCode> {
    let user: std::sync::Arc<str> = pipithub_ldap::dn::fold(user).into();
    let mut core = Directory::new(Settings {
        directories: tenants
            .directories
            .iter()
            .map(|d| d.lookups.clone())
            .collect(),
        tenants: tenants.tenants.iter().map(|t| t.place.clone()).collect(),
        max_users: 16,
        max_queue: 16,
        seed: 1,
        wall_clock_offset_ms: 0,
    });
    let relevant = core.roster().directories_for(&user).to_vec();
    if relevant.is_empty() {
        println!("{user}: no directory has the realm of this name");
    }
    for directory in &relevant {
        let directory = &tenants.directories[usize::from(*directory)];
        for (n, server) in directory.servers.iter().enumerate() {
            match ask(directory, n, Query::Users(vec![user.clone()])).await {
                Err(why) => println!("{} {}: no answer: {why}", directory.name, server.address),
                Ok(answer) if !answer.base_exists => {
                    println!(
                        "{} {}: its tree is not there",
                        directory.name, server.address
                    );
                }
                Ok(answer) => {
                    let mark = answer
                        .change_number
                        .map_or("no mark".to_string(), |m| format!("mark {m}"));
                    let names: Vec<String> =
                        answer.entries.iter().map(|f| f.dn.to_string()).collect();
                    let told = if names.is_empty() {
                        "nobody of this name".to_string()
                    } else {
                        names.join(" and ")
                    };
                    println!("{} {}: {told} ({mark})", directory.name, server.address);
                }
            }
        }
    }
    // The same core as a front end's decides, over the same answers.
    let mut out = Vec::new();
    core.handle(
        0,
        Input::LookUp {
            user: user.clone(),
            urgent: true,
        },
        &mut out,
    );
    while let Some(output) = out.pop() {
        if let Output::Search {
            id,
            directory,
            server,
            query,
        } = output
        {
            let asked = ask(&tenants.directories[directory], server, query).await;
            let outcome = asked.map_err(|_| pipithub_directory::SearchError::ConnectionLost);
            core.handle(
                1,
                Input::SearchEnded {
                    search: id,
                    outcome,
                },
                &mut out,
            );
        }
    }
    let tenant = match core.roster().resolve(&user, 1) {
        Resolution::Tenant { tenant, .. } => Some(usize::from(tenant.0)),
        Resolution::NoTenant => {
            println!("{user}: no tenant's; calls are refused (no-tenant)");
            None
        }
        Resolution::Ambiguous => {
            println!("{user}: claimed more than once; calls are refused (claimed-twice)");
            None
        }
        Resolution::Unknown => {
            println!(
                "{user}: not known; calls wait {} ms and are refused (user-unknown)",
                tenants.admission.max_identity_wait / 1_000_000
            );
            None
        }
    };
    let Some(tenant) = tenant else {
        return Ok(ExitCode::FAILURE);
    };
    println!("{user}: {}'s", tenants.tenants[tenant].name);
    if let Some(function) = function {
        let may = config
            .engine
            .owners
            .allow(Some(pipithub_engine::Tenant(tenant as u16)), function);
        println!(
            "{function}: {}",
            if may {
                "may be run"
            } else {
                "refused (other-tenant)"
            }
        );
        return Ok(if may {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    Ok(ExitCode::SUCCESS)
}
