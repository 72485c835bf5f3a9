//! Starts and stops the membership of this process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use pipithub_membership::{
    GenerationRecord, Identity, Membership, RecordError, SettingsError, View,
};
use pipithub_settings::FleetSettings;
use pipithub_storage::{FileSystem, SystemFiles};
use rand::TryRng;
use rand::rngs::{SysError, SysRng};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tracing::warn;

use crate::data_folder::{DataFolder, DataFolderError, GENERATION_FILE};
use crate::driver::Driver;

/// Why the membership cannot start.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The data folder cannot be used.
    #[error(transparent)]
    DataFolder(#[from] DataFolderError),
    /// The generation record cannot be used.
    #[error("{path}: {source}")]
    Record {
        /// Path of the record.
        path: PathBuf,
        /// Why it cannot be used.
        source: RecordError,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The UDP socket cannot be opened.
    #[error("{address}: {source}")]
    Socket {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system supplies no random numbers.
    #[error("failed to get a random number: {0}")]
    Random(#[from] SysError),
}

/// The running membership of a process. [`MembershipRuntime::shutdown`] leaves the cluster; if the value is dropped,
/// the task stops in the same way, but nothing waits for it.
#[derive(Debug)]
pub struct MembershipRuntime {
    view: watch::Receiver<Option<View>>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl MembershipRuntime {
    /// Locks the data folder, opens the socket and starts the membership under `name`.
    ///
    /// # Errors
    /// The data folder or its generation record cannot be used, the settings are invalid, or the socket cannot be
    /// opened.
    pub async fn start(
        name: &str,
        config: FleetSettings,
    ) -> Result<MembershipRuntime, RuntimeError> {
        MembershipRuntime::start_with_files(name, config, Arc::new(SystemFiles)).await
    }

    /// As [`MembershipRuntime::start`], with the generation record saved through the given file system.
    ///
    /// # Errors
    /// As for [`MembershipRuntime::start`].
    pub async fn start_with_files(
        name: &str,
        config: FleetSettings,
        files: Arc<dyn FileSystem>,
    ) -> Result<MembershipRuntime, RuntimeError> {
        let folder = DataFolder::lock(&config.data_folder)?;
        let stored = folder.read_generation()?;
        let next = GenerationRecord::next(stored.as_deref(), &config.membership.cluster, name)
            .map_err(|source| RuntimeError::Record {
                path: config.data_folder.join(GENERATION_FILE),
                source,
            })?;
        let socket_error = |source| RuntimeError::Socket {
            address: config.listen,
            source,
        };
        let socket = UdpSocket::bind(config.listen).await.map_err(socket_error)?;
        let address = socket.local_addr().map_err(socket_error)?;
        let identity = Identity {
            name: name.to_string(),
            address: config.advertise.unwrap_or(address),
            zone: config.zone.clone(),
            generation: next.record.generation,
            boot_id: random_number()?,
            renewal: 0,
            disk: next.disk,
        };
        let membership = Membership::new(config.membership.clone(), identity, random_number()?)?;
        let (view_sender, view) = watch::channel(None);
        let (stop, stopped) = watch::channel(false);
        let generation_saver = folder.start_generation_saver(files);
        let driver = Driver::new(
            membership,
            config,
            folder,
            socket,
            generation_saver,
            view_sender,
        );
        let task = tokio::spawn(driver.run(stopped));
        Ok(MembershipRuntime {
            view,
            address,
            stop,
            task,
        })
    }

    /// The UDP address that the process listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A receiver of the current view of the cluster; its value is `None` until the first view is taken.
    pub fn view(&self) -> watch::Receiver<Option<View>> {
        self.view.clone()
    }

    /// Leaves the cluster, so that the other members need not detect the end of this process, and waits until the last
    /// report is written.
    pub async fn shutdown(self) {
        let _ = self.stop.send(true);
        if let Err(error) = self.task.await {
            warn!(%error, "membership task failed");
        }
    }
}

fn random_number() -> Result<u64, RuntimeError> {
    Ok(SysRng.try_next_u64()?)
}
