//! Reads the configuration, and reads it again on SIGHUP.

use std::path::Path;
use std::time::Duration;

use pipithub_platform::config::NodeConfig;
use tokio::time::Instant;

use super::runtime::StartError;

/// A configuration that cannot be read is looked at again after this, doubling, so often: somebody may be writing it. All
/// of it lies within the 4 s after SIGHUP in which the new coordinator is to be followed.
pub(super) const RELOAD_BACKOFF: Duration = Duration::from_millis(50);
pub(super) const MAX_RELOAD_RETRIES: u32 = 6;

/// Waits until a time; for ever where there is none.
pub(super) async fn at(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

pub(super) fn load(path: &Path) -> Result<NodeConfig, StartError> {
    let fault = |reason: String| StartError::Config {
        place: path.to_path_buf(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    NodeConfig::parse(&text).map_err(fault)
}
