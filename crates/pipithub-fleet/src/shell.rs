//! Moves datagrams, files and time for the membership core.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pipithub_clock::{Clock, wall_ms};
use pipithub_members::{
    Event, GenerationRecord, Identity, Input, Membership, Output, RecordError, SettingsError, Time,
    View,
};
use pipithub_settings::FleetSettings;
use pipithub_storage::{FileSystem, Saver, SystemFiles};
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tracing::{debug, info, warn};

use crate::folder::{DataFolder, DataFolderError};
use crate::report::{Happenings, happening};

/// Reports are written at most this often, and at least each [`REPORT_LEAST`].
const REPORT_MOST: Time = 200_000_000;
const REPORT_LEAST: Time = 1_000_000_000;

/// Why a process cannot take part.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// Its data folder.
    #[error(transparent)]
    DataFolder(#[from] DataFolderError),
    /// Its generation record.
    #[error("{path}: {source}")]
    Record {
        /// Which file.
        path: PathBuf,
        /// What is wrong.
        source: RecordError,
    },
    /// Its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Its socket.
    #[error("{address}: {source}")]
    Socket {
        /// Which address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The system gives no random numbers.
    #[error("no random number to be had: {0}")]
    Random(String),
}

/// A process's part in the fleet, running.
#[derive(Debug)]
pub struct MembershipRuntime {
    view: watch::Receiver<Option<View>>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl MembershipRuntime {
    /// Takes the data folder and the socket, then runs until it is stopped or dropped.
    pub async fn start(
        name: &str,
        config: FleetSettings,
    ) -> Result<MembershipRuntime, RuntimeError> {
        MembershipRuntime::start_with_files(name, config, Arc::new(SystemFiles)).await
    }

    /// As [`MembershipRuntime::start`], with the generation record saved on a given file system.
    pub async fn start_with_files(
        name: &str,
        config: FleetSettings,
        files: Arc<dyn FileSystem>,
    ) -> Result<MembershipRuntime, RuntimeError> {
        let folder = DataFolder::lock(&config.data)?;
        let found = folder.read_generation()?;
        let next = GenerationRecord::next(found.as_deref(), &config.members.cluster, name)
            .map_err(|source| RuntimeError::Record {
                path: config.data.join("generation"),
                source,
            })?;
        let socket = |source| RuntimeError::Socket {
            address: config.listen,
            source,
        };
        let udp = UdpSocket::bind(config.listen).await.map_err(socket)?;
        let bound = udp.local_addr().map_err(socket)?;
        let address = config.advertise.unwrap_or(bound);
        let draw = || {
            SysRng
                .try_next_u64()
                .map_err(|e| RuntimeError::Random(e.to_string()))
        };
        let identity = Identity {
            name: name.to_string(),
            address,
            zone: config.zone.clone(),
            generation: next.record.generation,
            boot_id: draw()?,
            renewal: 0,
            disk: next.disk,
        };
        let core = Membership::new(config.members.clone(), identity, draw()?)?;
        let (view, watched) = watch::channel(None);
        let (stop, stopped) = watch::channel(false);
        let generation_saver = folder.start_generation_saver(files);
        let shell = Shell {
            name: name.to_string(),
            config,
            folder,
            core,
            udp,
            clock: Clock::default(),
            view,
            happenings: Happenings::default(),
            generation_saver,
            reported: 0,
            changed: true,
            reporting: None,
            out: Vec::new(),
        };
        let task = tokio::spawn(shell.run(stopped));
        Ok(MembershipRuntime {
            view: watched,
            address: bound,
            stop,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What is believed of the fleet, as it changes.
    pub fn view(&self) -> watch::Receiver<Option<View>> {
        self.view.clone()
    }

    /// Leaves the fleet, so that nobody has to find out.
    pub async fn shutdown(self) {
        let _ = self.stop.send(true);
        if let Err(error) = self.task.await {
            warn!(%error, "the fleet's task did not end by itself");
        }
    }
}

struct Shell {
    name: String,
    config: FleetSettings,
    folder: DataFolder,
    core: Membership,
    udp: UdpSocket,
    clock: Clock,
    view: watch::Sender<Option<View>>,
    happenings: Happenings,
    generation_saver: Saver,
    reported: Time,
    changed: bool,
    reporting: Option<tokio::task::JoinHandle<Result<(), DataFolderError>>>,
    out: Vec<Output>,
}

impl Shell {
    async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        let mut saved = self.generation_saver.saved();
        let address = self
            .udp
            .local_addr()
            .map(|a| a.to_string())
            .unwrap_or_default();
        info!(
            front_end = self.name,
            cluster = self.config.members.cluster,
            address,
            "member up"
        );
        self.core.start(self.clock.now(), &mut self.out);
        self.carry_out().await;
        // Larger than any datagram of ours: what fills it is none.
        let mut buffer = vec![0; 2048];
        loop {
            let report = self.reported
                + if self.changed {
                    REPORT_MOST
                } else {
                    REPORT_LEAST
                };
            let due = self.core.next_due().map_or(report, |due| due.min(report));
            tokio::select! {
                read = self.udp.recv_from(&mut buffer) => match read {
                    Ok((count, from)) => {
                        let bytes = &buffer[..count];
                        self.core.handle(self.clock.now(), Input::Datagram { from, bytes }, &mut self.out);
                    }
                    // A port that nobody listens on any more is told of here; it says nothing of this socket.
                    Err(error) => debug!(front_end = self.name, %error, "socket"),
                },
                Ok(()) = saved.changed() => {
                    if let Some(generation) = *saved.borrow_and_update() {
                        self.core.handle(self.clock.now(), Input::GenerationSaved(generation), &mut self.out);
                    }
                }
                () = self.clock.sleep_until(Some(due)) => {
                    self.core.handle(self.clock.now(), Input::Tick, &mut self.out);
                }
                _ = stopped.wait_for(|s| *s) => break,
            }
            self.carry_out().await;
            self.report().await;
        }
        self.core
            .handle(self.clock.now(), Input::Leave, &mut self.out);
        self.carry_out().await;
        self.reported = 0;
        self.report().await;
        if let Some(task) = self.reporting.take() {
            let _ = task.await;
        }
        info!(front_end = self.name, "member down");
    }

    async fn carry_out(&mut self) {
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, bytes } => {
                    let to = self.config.via.get(&to).copied().unwrap_or(to);
                    if let Err(error) = self.udp.send_to(&bytes, to).await {
                        debug!(front_end = self.name, %to, %error, "datagram not sent");
                    }
                }
                Output::SaveGeneration(record) => self.save(&record),
                Output::Event(event) => self.event(&event),
            }
        }
    }

    /// Saves beside the loop, until it is done: a full disk keeps this process out of the fleet, and nothing else.
    fn save(&self, record: &GenerationRecord) {
        self.generation_saver
            .save(record.generation, record.encode().into_bytes());
    }

    fn event(&mut self, event: &Event) {
        let told = happening(event, &self.name, wall_ms(), self.clock.now());
        let (front_end, member, what) =
            (self.name.as_str(), told.member.as_str(), told.what.as_str());
        match event {
            Event::Up(m) | Event::Suspected(m) => {
                info!(
                    front_end,
                    member,
                    epoch = m.identity.generation,
                    what,
                    "members"
                );
            }
            Event::Down { member: m, .. } => {
                info!(
                    front_end,
                    member,
                    epoch = m.identity.generation,
                    what,
                    "members"
                );
            }
            Event::Stalled { .. } | Event::StaleDisk { .. } | Event::MemberLimitReached(_) => {
                warn!(front_end, member, what, "members");
            }
            _ => info!(front_end, member, what, "members"),
        }
        self.happenings.push(told);
        self.changed = true;
    }

    async fn report(&mut self) {
        let now = self.clock.now();
        let wait = if self.changed {
            REPORT_MOST
        } else {
            REPORT_LEAST
        };
        if now < self.reported.saturating_add(wait)
            || self.reporting.as_ref().is_some_and(|t| !t.is_finished())
        {
            return;
        }
        if let Some(task) = self.reporting.take()
            && let Ok(Err(error)) = task.await
        {
            debug!(front_end = self.name, %error, "report not written");
        }
        (self.reported, self.changed) = (now, false);
        let view = self.core.view(now);
        let listen = self
            .udp
            .local_addr()
            .map(|a| a.to_string())
            .unwrap_or_default();
        let report =
            self.happenings
                .report(&self.config.members.cluster, &listen, &view, wall_ms());
        self.view.send_replace(Some(view));
        let folder = self.folder.path().to_path_buf();
        self.reporting = Some(tokio::task::spawn_blocking(move || write(&folder, &report)));
    }
}

fn write(folder: &Path, report: &crate::report::Report) -> Result<(), DataFolderError> {
    let text = serde_json::to_vec(report).unwrap_or_default();
    DataFolder::save_report(folder, &text)
}
