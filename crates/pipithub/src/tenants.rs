//! `pipithub tenants`: what the settings say, what the directories say, and what would be decided.

mod check;
mod explain;
mod show;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use miette::{Result, miette};
use pipithub_settings::{Config, TenantsConfig};

use crate::settings;

/// What is asked about tenants.
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

/// Runs the command and prints what it finds.
pub(crate) async fn run(command: Tenants) -> Result<ExitCode> {
    match command {
        Tenants::Show { config } => {
            show::print(tenants_of(&settings::load(&config)?)?);
            Ok(ExitCode::SUCCESS)
        }
        Tenants::Check { config } => Ok(check::run(tenants_of(&settings::load(&config)?)?).await),
        Tenants::Explain {
            user,
            config,
            function,
        } => explain_user(&config, &user, function.as_deref()).await,
    }
}

fn tenants_of(config: &Config) -> Result<&TenantsConfig> {
    config
        .tenants
        .as_ref()
        .ok_or_else(|| miette!("these settings have no tenants"))
}

async fn explain_user(config: &Path, user: &str, function: Option<&str>) -> Result<ExitCode> {
    let config = settings::load(config)?;
    let tenants = tenants_of(&config)?;
    let Some(tenant) = explain::tenant_of(tenants, user).await else {
        return Ok(ExitCode::FAILURE);
    };
    match function {
        Some(function) if !explain::may_run(&config, tenant, function) => Ok(ExitCode::FAILURE),
        _ => Ok(ExitCode::SUCCESS),
    }
}
