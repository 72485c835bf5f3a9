//! `pipithub node`: runs one front end on the platform's own protocol.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use miette::{IntoDiagnostic, Result};
use pipithub_node::shell::Node;
use tokio::task::LocalSet;

use crate::logging;

/// What a front end runs by.
#[derive(Args)]
pub(crate) struct NodeArguments {
    /// The configuration file.
    #[arg(long, env = "LB_CONFIG")]
    config: PathBuf,
    /// Where to listen; by default as the configuration says.
    #[arg(long, env = "LB_LISTEN")]
    listen: Option<String>,
}

/// Binds the front end's socket and serves until a shutdown is asked for.
pub(crate) async fn run(arguments: NodeArguments) -> Result<ExitCode> {
    logging::init(false, "info");
    let node = Node::bind(&arguments.config, arguments.listen)
        .await
        .into_diagnostic()?;
    LocalSet::new().run_until(node.serve()).await;
    Ok(ExitCode::SUCCESS)
}
