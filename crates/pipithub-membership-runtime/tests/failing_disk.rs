//! A process whose disk fails for a while sends nothing under a generation that is not on disk, and takes part as soon
//! as it is.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use pipithub_membership::{GenerationRecord, JoinState, Settings};
use pipithub_membership_runtime::{DataFolder, MembershipRuntime};
use pipithub_settings::FleetSettings;
use pipithub_storage::{FileSystem, Step, SystemFiles, WritableFile};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// The system's files, one of whose steps fails until it is healed.
struct FailingFiles {
    step: Step,
    healthy: watch::Receiver<bool>,
    failures: mpsc::UnboundedSender<()>,
}

impl FailingFiles {
    fn fail(&self, step: Step) -> io::Result<()> {
        if self.step != step || *self.healthy.borrow() {
            return Ok(());
        }
        let _ = self.failures.send(());
        Err(ErrorKind::StorageFull.into())
    }
}

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
        self.fail(Step::Create)?;
        let file = SystemFiles.create_new(path)?;
        Ok(Box::new(FailingFile {
            file,
            write: self.fail(Step::Write),
            sync: self.fail(Step::SyncFile),
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fail(Step::Rename)?;
        SystemFiles.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        SystemFiles.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.fail(Step::SyncFolder)?;
        SystemFiles.sync_folder(folder)
    }
}

fn settings(data: &Path, seed: SocketAddr) -> FleetSettings {
    FleetSettings {
        members: Settings {
            cluster: "campus".into(),
            seeds: vec![seed],
            ..Settings::default()
        },
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        zone: String::new(),
        data: data.to_path_buf(),
        via: BTreeMap::new(),
    }
}

fn generation_on_disk(data: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(data.join("generation")).ok()?;
    Some(GenerationRecord::decode(&text).expect("whole").generation)
}

async fn a_process_stays_out_while_this_step_fails(step: Step) {
    let root = tempfile::tempdir().expect("a folder");
    let seed = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let before = GenerationRecord {
        cluster: "campus".into(),
        name: "front-1".into(),
        generation: 4,
    };
    std::fs::write(root.path().join("generation"), before.encode()).expect("written");
    let (heal, healthy) = watch::channel(false);
    let (failures, mut failed) = mpsc::unbounded_channel();
    let files = Arc::new(FailingFiles {
        step,
        healthy,
        failures,
    });
    let config = settings(root.path(), seed.local_addr().expect("its address"));
    let fleet = MembershipRuntime::start_with_files("front-1", config, files)
        .await
        .expect("it starts all the same");
    for _ in 0..3 {
        failed.recv().await.expect("it goes on trying");
        let read = generation_on_disk(root.path());
        // A rename that is not synced is on its way: it counts as taken, but not as saved.
        let renamed = step == Step::SyncFolder && read == Some(5);
        assert!(read == Some(4) || renamed, "{step:?}: {read:?}");
    }
    let mut buffer = [0; 2048];
    let sent = seed.try_recv(&mut buffer).map_err(|e| e.kind());
    assert_eq!(
        sent,
        Err(ErrorKind::WouldBlock),
        "{step:?}: nothing is sent before"
    );
    let standing = fleet.view().borrow().as_ref().map(|v| v.join_state.clone());
    assert!(
        standing.is_none_or(|s| s == JoinState::SavingGeneration),
        "{step:?}"
    );
    heal.send(true).expect("it runs");
    seed.recv(&mut buffer).await.expect("it asks its seed");
    assert_eq!(
        generation_on_disk(root.path()),
        Some(5),
        "{step:?}: on disk before anything is sent"
    );
    fleet.shutdown().await;
    let folder = DataFolder::lock(root.path()).expect("given back");
    assert!(folder.read_generation().expect("readable").is_some());
}

#[tokio::test]
async fn a_process_stays_out_while_its_disk_is_full() {
    a_process_stays_out_while_this_step_fails(Step::Create).await;
    a_process_stays_out_while_this_step_fails(Step::Write).await;
}

#[tokio::test]
async fn a_process_stays_out_while_syncs_fail() {
    a_process_stays_out_while_this_step_fails(Step::SyncFile).await;
    a_process_stays_out_while_this_step_fails(Step::SyncFolder).await;
}

#[tokio::test]
async fn a_process_stays_out_while_renames_fail() {
    a_process_stays_out_while_this_step_fails(Step::Rename).await;
}
