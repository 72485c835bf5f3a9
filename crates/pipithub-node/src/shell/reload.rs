//! Reads the configuration, and reads it again on SIGHUP.

use std::path::{Path, PathBuf};
use std::time::Duration;

use pipithub_platform::config::NodeConfig;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::{error, info};

use super::runtime::StartError;

/// A configuration that cannot be read is looked at again after this, doubling, so often: somebody may be writing it.
/// All of it lies within the 4 s after SIGHUP in which the new coordinator is to be followed.
const RELOAD_BACKOFF: Duration = Duration::from_millis(50);
const MAX_RELOAD_RETRIES: u32 = 6;

/// Reads a configuration file.
pub(super) fn load(path: &Path) -> Result<NodeConfig, StartError> {
    let text = std::fs::read_to_string(path).map_err(|error| StartError::ReadConfig {
        path: path.to_path_buf(),
        error,
    })?;
    NodeConfig::parse(&text).map_err(|error| StartError::InvalidConfig {
        path: path.to_path_buf(),
        error,
    })
}

/// Reads the configuration again on SIGHUP, and retries where it cannot be read.
pub(super) struct ConfigReloader {
    path: PathBuf,
    coordinator: watch::Sender<String>,
    retries: u32,
    retry_at: Option<Instant>,
}

impl ConfigReloader {
    /// One that tells a changed address of the coordinator to `coordinator`.
    pub(super) fn new(path: PathBuf, coordinator: watch::Sender<String>) -> Self {
        ConfigReloader {
            path,
            coordinator,
            retries: 0,
            retry_at: None,
        }
    }

    /// Reads the file after SIGHUP.
    pub(super) fn reload(&mut self) {
        self.retries = 0;
        self.read();
    }

    /// Waits until a retry is due, for ever where there is none, and reads the file then. Only the wait may be
    /// cancelled.
    pub(super) async fn retry(&mut self) {
        match self.retry_at {
            Some(time) => tokio::time::sleep_until(time).await,
            None => std::future::pending().await,
        }
        self.read();
    }

    fn read(&mut self) {
        self.retry_at = None;
        match load(&self.path) {
            Ok(config) => self.apply(config),
            Err(reason) => {
                error!(%reason, looks = self.retries, "previous configuration stays in force");
                if self.retries < MAX_RELOAD_RETRIES {
                    let backoff = RELOAD_BACKOFF * 2u32.pow(self.retries);
                    self.retry_at = Some(Instant::now() + backoff);
                    self.retries += 1;
                }
            }
        }
    }

    fn apply(&self, config: NodeConfig) {
        info!(coordinator = config.coordinator, "configuration read again");
        // One that has not moved is not asked again: each request for the list costs the whole fleet.
        self.coordinator.send_if_modified(|address| {
            let moved = *address != config.coordinator;
            *address = config.coordinator;
            moved
        });
    }
}
