//! `pipithub node`: runs one front end on the platform's own protocol.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_node::shell::Node;
use tokio::task::LocalSet;

use crate::logging;

/// Arguments of `pipithub node`.
#[derive(Args)]
pub(crate) struct NodeArguments {
    /// The configuration file.
    #[arg(long, env = "LB_CONFIG")]
    config: PathBuf,
    /// The address to listen on; by default the address in the configuration.
    #[arg(long, env = "LB_LISTEN")]
    listen: Option<String>,
}

/// Runs the front end until a shutdown is requested. Fails if the configuration is invalid or the address cannot be bound.
pub(crate) async fn run(arguments: NodeArguments) -> Result<ExitCode> {
    logging::init(false, "info");
    let node = Node::bind(&arguments.config, arguments.listen)
        .await
        .into_diagnostic()?;
    LocalSet::new().run_until(node.serve()).await;
    Ok(ExitCode::SUCCESS)
}
