//! `pipithub serve`: runs the gateway until a shutdown is asked for.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use miette::Result;
use pipithub_gateway::Gateway;

use crate::baseline::Baseline;
use crate::{logging, membership, settings, shutdown};

/// What the gateway runs by.
#[derive(Args)]
pub(crate) struct Serve {
    /// The settings file.
    #[arg(long)]
    config: PathBuf,
    /// A textbook policy in the module's place, to compare with in scenarios.
    #[arg(long, hide = true)]
    baseline: Option<Baseline>,
}

/// Starts the gateway, waits for a signal and drains.
pub(crate) async fn run(arguments: Serve) -> Result<ExitCode> {
    let config = settings::load(&arguments.config)?;
    logging::init(config.log.json, &config.log.level);
    let membership = membership::start(&config).await?;
    let policy = arguments.baseline.map(Baseline::policy);
    let gateway = Gateway::start_deciding_by(&config, policy);
    shutdown::requested().await?;
    gateway.stop().await;
    // Other members shall see this one until its last call is answered.
    if let Some(membership) = membership {
        membership.shutdown().await;
    }
    Ok(ExitCode::SUCCESS)
}
