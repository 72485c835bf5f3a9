//! The signals that request a graceful shutdown.

use miette::{IntoDiagnostic, Result};
use tokio::signal::unix::{SignalKind, signal};
use tracing::info;

/// The log target of the message below. Log filters of operators name it, so it stays the name of the crate's root module.
const LOG_TARGET: &str = "pipithub";

/// Waits for SIGTERM or SIGINT. Fails if no handler can be installed for them.
pub(crate) async fn requested() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted.into_diagnostic()?,
    }
    info!(target: LOG_TARGET, "shutdown requested");
    Ok(())
}
