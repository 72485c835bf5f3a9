//! A process whose disk fails sends nothing until its generation is on disk, and joins once the disk works.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use pipithub_membership::{GenerationRecord, JoinState, Settings};
use pipithub_membership_runtime::{DataFolder, MembershipRuntime};
use pipithub_settings::FleetSettings;
use pipithub_storage::{FileSystem, Step, SystemFiles, WritableFile};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// The system's files, with one step of saving that fails until `healthy` becomes true. Each failure is sent to
/// `failures`.
struct FailingFiles {
    step: Step,
    healthy: watch::Receiver<bool>,
    failures: mpsc::UnboundedSender<()>,
}

impl FailingFiles {
    fn check(&self, step: Step) -> io::Result<()> {
        if self.step != step || *self.healthy.borrow() {
            return Ok(());
        }
        let _ = self.failures.send(());
        Err(ErrorKind::StorageFull.into())
    }
}

/// A file whose next write fails if `write` is an error, and whose next sync fails if `sync` is one. A write that fails
/// still writes half of the bytes.
struct FailingFile {
    file: Box<dyn WritableFile>,
    write: io::Result<()>,
    sync: io::Result<()>,
}

impl WritableFile for FailingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let half = bytes.len() / 2;
        match std::mem::replace(&mut self.write, Ok(())) {
            Ok(()) => self.file.write(bytes),
            Err(error) => self.file.write(&bytes[..half]).and(Err(error)),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        std::mem::replace(&mut self.sync, Ok(()))?;
        self.file.sync()
    }
}

impl FileSystem for FailingFiles {
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        self.check(Step::Create)?;
        let file = SystemFiles.create_new(path)?;
        Ok(Box::new(FailingFile {
            file,
            write: self.check(Step::Write),
            sync: self.check(Step::SyncFile),
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check(Step::Rename)?;
        SystemFiles.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        SystemFiles.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.check(Step::SyncFolder)?;
        SystemFiles.sync_folder(folder)
    }
}

/// Panics if the event does not occur within [`EVENT_TIMEOUT`], so that a broken process fails the test instead of
/// blocking it.
async fn within_timeout<T>(event: impl Future<Output = T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, event)
        .await
        .expect("the event did not occur in time")
}

fn settings(data: &Path, seed: SocketAddr) -> FleetSettings {
    FleetSettings {
        membership: Settings {
            cluster: "campus".into(),
            seeds: vec![seed],
            ..Settings::default()
        },
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        zone: String::new(),
        data_folder: data.to_path_buf(),
        address_overrides: BTreeMap::new(),
    }
}

fn generation_on_disk(data: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(data.join("generation")).ok()?;
    Some(
        GenerationRecord::decode(&text)
            .expect("failed to decode the generation record")
            .generation,
    )
}

async fn check_nothing_is_sent_while_step_fails(step: Step) {
    let root = tempfile::tempdir().expect("failed to create a temporary folder");
    let seed = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("failed to open the seed's socket");
    let former = GenerationRecord {
        cluster: "campus".into(),
        name: "front-1".into(),
        generation: 4,
    };
    std::fs::write(root.path().join("generation"), former.encode())
        .expect("failed to write the former record");
    let (set_healthy, healthy) = watch::channel(false);
    let (failures, mut failed) = mpsc::unbounded_channel();
    let files = Arc::new(FailingFiles {
        step,
        healthy,
        failures,
    });
    let config = settings(
        root.path(),
        seed.local_addr().expect("failed to get the seed's address"),
    );
    let membership = MembershipRuntime::start_with_files("front-1", config, files)
        .await
        .expect("failed to start the membership");
    for _ in 0..3 {
        within_timeout(failed.recv())
            .await
            .expect("the saver has ended");
        let generation = generation_on_disk(root.path());
        // The new record is visible after the rename, but does not count as saved until the folder is synced.
        let renamed = step == Step::SyncFolder && generation == Some(5);
        assert!(generation == Some(4) || renamed, "{step:?}: {generation:?}");
    }
    let mut buffer = [0; 2048];
    let received = seed.try_recv(&mut buffer).map_err(|error| error.kind());
    assert_eq!(
        received,
        Err(ErrorKind::WouldBlock),
        "{step:?}: sent before the generation was saved"
    );
    let view = membership.view();
    let join_state = view.borrow().as_ref().map(|view| view.join_state.clone());
    assert!(
        join_state.is_none_or(|state| state == JoinState::SavingGeneration),
        "{step:?}"
    );
    set_healthy.send(true).expect("the saver has ended");
    within_timeout(seed.recv(&mut buffer))
        .await
        .expect("failed to receive a join request");
    assert_eq!(
        generation_on_disk(root.path()),
        Some(5),
        "{step:?}: sent before the generation was saved"
    );
    membership.shutdown().await;
    let folder = DataFolder::lock(root.path()).expect("failed to lock the data folder");
    assert!(
        folder
            .read_generation()
            .expect("failed to read the generation record")
            .is_some()
    );
}

#[tokio::test]
async fn process_with_a_full_disk_sends_nothing_until_its_generation_is_saved() {
    check_nothing_is_sent_while_step_fails(Step::Create).await;
    check_nothing_is_sent_while_step_fails(Step::Write).await;
}

#[tokio::test]
async fn process_whose_syncs_fail_sends_nothing_until_its_generation_is_saved() {
    check_nothing_is_sent_while_step_fails(Step::SyncFile).await;
    check_nothing_is_sent_while_step_fails(Step::SyncFolder).await;
}

#[tokio::test]
async fn process_whose_renames_fail_sends_nothing_until_its_generation_is_saved() {
    check_nothing_is_sent_while_step_fails(Step::Rename).await;
}
