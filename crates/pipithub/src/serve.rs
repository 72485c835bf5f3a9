//! `pipithub serve`: runs the gateway until a shutdown is requested.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use miette::Result;
use pipithub_gateway::Gateway;

use crate::baseline::Baseline;
use crate::{logging, membership, settings, shutdown};

/// Arguments of `pipithub serve`.
#[derive(Args)]
pub(crate) struct Serve {
    /// The settings file.
    #[arg(long)]
    config: PathBuf,
    /// Route by a textbook policy instead of the decision module, for comparison in scenarios.
    #[arg(long, hide = true)]
    baseline: Option<Baseline>,
}

/// Runs the gateway until SIGTERM or SIGINT, then drains it.
///
/// Fails if the settings are invalid or the fleet cannot be joined.
pub(crate) async fn run(arguments: Serve) -> Result<ExitCode> {
    let config = settings::load(&arguments.config)?;
    logging::init(config.log.json, &config.log.level);
    let membership = membership::start(&config).await?;
    let policy = arguments.baseline.map(Baseline::policy);
    let gateway = Gateway::start_with_baseline(&config, policy);
    shutdown::requested().await?;
    gateway.stop().await;
    // Membership is shut down last, so that other members see this front end until it has answered its last call.
    if let Some(membership) = membership {
        membership.shutdown().await;
    }
    Ok(ExitCode::SUCCESS)
}
