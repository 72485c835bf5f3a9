//! Reads the configuration at the start and again at SIGHUP.

use std::path::{Path, PathBuf};
use std::time::Duration;

use pipithub_platform::config::NodeConfig;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::{error, info};

use super::runtime::StartError;

/// A configuration that cannot be read may just be being written, so it is read again after this backoff, which doubles
/// each time. All retries come within 4 s of SIGHUP, by which time a new coordinator must be followed.
const RELOAD_BACKOFF: Duration = Duration::from_millis(50);
const MAX_RELOAD_RETRIES: u32 = 6;

/// Reads a configuration file.
pub(super) fn load_config(path: &Path) -> Result<NodeConfig, StartError> {
    let text = std::fs::read_to_string(path).map_err(|error| StartError::ReadConfig {
        path: path.to_path_buf(),
        error,
    })?;
    NodeConfig::parse(&text).map_err(|error| StartError::InvalidConfig {
        path: path.to_path_buf(),
        error,
    })
}

/// Reads the configuration again at SIGHUP, and retries if it cannot be read.
pub(super) struct ConfigReloader {
    path: PathBuf,
    coordinator: watch::Sender<String>,
    retries: u32,
    retry_at: Option<Instant>,
}

impl ConfigReloader {
    /// Creates a reloader for the file at `path`, which sends a changed address of the coordinator to `coordinator`.
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

    /// Waits until a retry is due, forever if none is, and then reads the file. Cancelling this future is safe, because
    /// it does not wait any more once the retry is due.
    pub(super) async fn retry(&mut self) {
        match self.retry_at {
            Some(time) => tokio::time::sleep_until(time).await,
            None => std::future::pending().await,
        }
        self.read();
    }

    fn read(&mut self) {
        self.retry_at = None;
        match load_config(&self.path) {
            Ok(config) => self.apply(config),
            Err(reason) => {
                error!(%reason, retries = self.retries, "previous configuration stays in force");
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
        // The stream is kept if the address is the same, because each new request for the list puts load on the
        // coordinator.
        self.coordinator.send_if_modified(|address| {
            let changed = *address != config.coordinator;
            *address = config.coordinator;
            changed
        });
    }
}
