//! Graceful shutdown: the signals that ask for it.

use miette::{IntoDiagnostic, Result};
use tokio::signal::unix::{SignalKind, signal};
use tracing::info;

/// The target of this module's log line, which was first written by the crate's root: filters of logs name it.
const LOG_TARGET: &str = "pipithub";

/// Waits until SIGTERM or SIGINT asks the process to shut down.
pub(crate) async fn requested() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted.into_diagnostic()?,
    }
    info!(target: LOG_TARGET, "asked to stop");
    Ok(())
}
