//! Snapshots of the cached records of users: one is read at the start, and one is written at each interval.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use pipithub_clock::{Clock, wall_ms};
use pipithub_directory::{Directory, Roster, snapshot};
use pipithub_settings::{SnapshotConfig, TenantsConfig};
use pipithub_storage::{Durability, Saver, SystemFiles, Target};
use tokio::task::JoinHandle;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at};
use tracing::{info, warn};

/// The snapshot file of a front end; each front end has its own.
fn snapshot_file(settings: &SnapshotConfig, front_end: &str) -> PathBuf {
    settings.path.with_extension(front_end)
}

/// Identifies the directories and tenants of the settings. A snapshot of others must not be restored.
fn fingerprint(config: &TenantsConfig) -> [u8; 32] {
    let directories = config.directories.iter().flat_map(|directory| {
        let realms = directory.lookups.realms.iter().map(String::as_str);
        [
            "directory",
            &directory.name,
            &directory.base,
            &directory.user_attribute,
        ]
        .into_iter()
        .chain(realms)
    });
    let tenants = config
        .tenants
        .iter()
        .flat_map(|tenant| ["tenant", &tenant.name, &tenant.base]);
    snapshot::fingerprint(directories.chain(tenants))
}

/// Restores the core's records from the snapshot, if there is one that can be read.
pub(super) fn restore(config: &TenantsConfig, front_end: &str, core: &mut Directory, clock: Clock) {
    let Some(settings) = &config.snapshot else {
        return;
    };
    let file = snapshot_file(settings, front_end);
    match std::fs::read(&file) {
        Ok(bytes) => restore_from(&bytes, config, settings, &file, core, clock),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(error) => warn!(file = %file.display(), %error, "failed to read directory snapshot"),
    }
}

fn restore_from(
    bytes: &[u8],
    config: &TenantsConfig,
    settings: &SnapshotConfig,
    file: &Path,
    core: &mut Directory,
    clock: Clock,
) {
    let max_age = |directory: u16| {
        let directory = config.directories.get(usize::from(directory))?;
        Some(directory.lookups.lifetimes.max_stale)
    };
    match snapshot::read(
        bytes,
        clock.now(),
        wall_ms() as i64,
        fingerprint(config),
        &settings.key,
        max_age,
    ) {
        Ok(records) => {
            info!(file = %file.display(), users = records.len(), "directory snapshot loaded");
            core.restore(clock.now(), records);
        }
        Err(error) => {
            warn!(file = %file.display(), %error, "directory snapshot rejected; users will be looked up again");
        }
    }
}

/// Writes snapshots at the interval of the settings.
pub(super) struct SnapshotWriter {
    config: Arc<TenantsConfig>,
    settings: SnapshotConfig,
    saver: Arc<Saver>,
    clock: Clock,
    interval: Interval,
    writing: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Creates a writer whose first snapshot is due after one interval; `None` if the settings have no snapshots.
    pub(super) fn new(config: &Arc<TenantsConfig>, front_end: &str, clock: Clock) -> Option<Self> {
        let settings = config.snapshot.clone()?;
        let target = Target::new(snapshot_file(&settings, front_end), Durability::Synced);
        let period = Duration::from_nanos(settings.interval);
        let mut interval = interval_at(Instant::now() + period, period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Some(SnapshotWriter {
            config: config.clone(),
            settings,
            saver: Arc::new(Saver::start(Arc::new(SystemFiles), target)),
            clock,
            interval,
            writing: None,
        })
    }

    /// Waits until the next snapshot is due.
    pub(super) async fn due(&mut self) {
        self.interval.tick().await;
    }

    /// Writes a snapshot in the background, unless the previous one is still being written.
    pub(super) fn write(&mut self, roster: &Roster) {
        let is_idle = self.writing.as_ref().is_none_or(JoinHandle::is_finished);
        if !is_idle {
            return;
        }
        let (saver, config) = (self.saver.clone(), self.config.clone());
        let key = self.settings.key.clone();
        // Cloning the roster shares its records.
        let (roster, now) = (roster.clone(), self.clock.now());
        self.writing = Some(tokio::task::spawn_blocking(move || {
            let wall = wall_ms() as i64;
            let bytes = snapshot::write(&roster, now, wall, fingerprint(&config), &key);
            saver.save(now, bytes);
        }));
    }
}
