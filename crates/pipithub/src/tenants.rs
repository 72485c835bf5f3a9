//! `pipithub tenants`: shows the configured tenants, checks their directory servers, and explains how a user is resolved.

mod check;
mod explain;
mod show;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Subcommand;
use miette::{Result, miette};
use pipithub_settings::{Config, TenantsConfig};

use crate::settings;

/// The subcommands of `pipithub tenants`.
#[derive(Subcommand)]
pub(crate) enum Tenants {
    /// Lists the tenants with their quotas, directories and functions.
    Show {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Queries every server of every directory; exits with 0 only if all of them are healthy.
    Check {
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Looks a user up on every server and shows the tenant that a front end would resolve the user to.
    Explain {
        /// The user's name.
        user: String,
        /// The settings file.
        #[arg(long)]
        config: PathBuf,
        /// Also check whether the user may run this function.
        #[arg(long)]
        function: Option<String>,
    },
}

/// Runs a subcommand and prints its result.
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
