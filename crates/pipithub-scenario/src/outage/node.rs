//! The processes of front ends: their configuration, their starts, and the signals that they get.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

use super::discovery::{DiscoveryAddress, EndpointList};
use super::history::{NodeEvent, Recorder};
use super::plan::{OutageKind, Settings};
use super::worker::UNSAFE_CLASS;

/// How long after SIGHUP a front end counts as notified of changes at the latest.
const MIGRATION_NOTIFICATION_DELAY: Duration = Duration::from_secs(4);
/// After SIGTERM a front end gets the client timeout, but at least this time, and [`KILL_MARGIN`] before it is killed.
const MIN_KILL_DELAY: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The parameters of slow start in the front ends' settings: the capacity of a worker at its start as a part of that of a
/// warm one, and by which factor and for how long it must be overloaded to fail.
pub(super) const INITIAL_WEIGHT: f64 = 0.2;
pub(super) const OVERLOAD_FACTOR: f64 = 3.0;
pub(super) const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);

/// The parts of a front end's configuration that stay the same over restarts.
#[derive(Clone, Debug)]
pub(super) struct NodeSetup {
    pub(super) index: usize,
    pub(super) nodes: usize,
    pub(super) listen: SocketAddr,
    pub(super) settings: Settings,
    pub(super) binary: PathBuf,
    pub(super) folder: PathBuf,
}

/// One front end and its current process. A front end gets a new process at each restart.
pub(super) struct Node {
    setup: NodeSetup,
    /// The addresses of discovery that the configuration may name, beside `unreachable`, which refuses connections.
    discovery: Vec<DiscoveryAddress>,
    unreachable: SocketAddr,
    /// The index of the address in the configuration; `None` for the unreachable one.
    current: Option<usize>,
    outage: Option<OutageKind>,
    list: Arc<EndpointList>,
    recorder: Arc<Recorder>,
    process: Option<Child>,
    starts: u64,
}

impl Node {
    pub(super) fn new(
        setup: NodeSetup,
        discovery: Vec<DiscoveryAddress>,
        unreachable: SocketAddr,
        list: Arc<EndpointList>,
        recorder: Arc<Recorder>,
    ) -> Self {
        Node {
            setup,
            discovery,
            unreachable,
            current: Some(0),
            outage: None,
            list,
            recorder,
            process: None,
            starts: 0,
        }
    }

    fn config_path(&self) -> PathBuf {
        self.setup
            .folder
            .join(format!("node-{}.json", self.setup.index))
    }

    fn log_path(&self) -> PathBuf {
        self.setup
            .folder
            .join(format!("node-{}.log", self.setup.index))
    }

    /// Writes the configuration with the current endpoint list. The file is replaced atomically, so no reader sees a part
    /// of it.
    fn write_config(&self) -> std::io::Result<()> {
        let coordinator = match self.current {
            Some(current) => self.discovery[current].address,
            None => self.unreachable,
        };
        let config = configuration(&self.setup, self.starts, coordinator, &self.list.known());
        let written = self.config_path().with_extension("new");
        std::fs::write(&written, config.to_string())?;
        std::fs::rename(&written, self.config_path())
    }

    /// Starts a process with the current endpoint list in its configuration.
    pub(super) fn start(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        self.recorder
            .node_event(self.setup.index, NodeEvent::Started);
        self.write_config()?;
        self.process = Some(spawn(
            &self.setup.binary,
            &self.config_path(),
            &self.log_path(),
        )?);
        Ok(())
    }

    /// Begins an outage of discovery for this front end; `None` ends it.
    pub(super) fn set_outage(&mut self, outage: Option<OutageKind>) {
        let index = self.setup.index;
        self.outage = outage;
        match outage {
            Some(kind) => self.recorder.begin_outage(index, kind),
            None => self.recorder.end_outage(index),
        }
        if let Some(current) = self.current {
            self.apply_outage(current);
        }
    }

    fn apply_outage(&self, address: usize) {
        match self.outage {
            Some(kind) => self.discovery[address].begin_outage(kind),
            None => self.discovery[address].end_outage(),
        }
    }

    /// Writes a configuration with another address of discovery, and sends SIGHUP to the process.
    pub(super) fn migrate_discovery(&mut self, reachable: bool) -> std::io::Result<()> {
        let left = self.current;
        self.current = reachable.then(|| left.map_or(0, |left| (left + 1) % self.discovery.len()));
        if let Some(current) = self.current {
            self.apply_outage(current);
        }
        let index = self.setup.index;
        // The front end has this time to connect to the new address.
        self.recorder
            .begin_outage_for(index, MIGRATION_NOTIFICATION_DELAY);
        self.write_config()?;
        self.signal(Signal::SIGHUP);
        if let Some(left) = left {
            self.discovery[left].retire();
        }
        if reachable && self.outage.is_none() {
            self.recorder.end_outage(index);
        }
        Ok(())
    }

    /// Sends SIGTERM to the process, and returns the time after which it may be killed.
    pub(super) fn terminate(&self) -> Duration {
        self.recorder
            .node_event(self.setup.index, NodeEvent::Terminated);
        self.signal(Signal::SIGTERM);
        self.setup.settings.client_timeout.max(MIN_KILL_DELAY) + KILL_MARGIN
    }

    /// Kills the process, unless it has ended.
    pub(super) async fn kill(&mut self) {
        self.recorder
            .node_event(self.setup.index, NodeEvent::Killed);
        if let Some(mut process) = self.process.take() {
            // Killing fails only if the process has ended.
            let _ = process.kill().await;
        }
    }

    /// Whether the process has ended by itself.
    pub(super) fn has_crashed(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    fn signal(&self, signal: Signal) {
        let id = self.process.as_ref().and_then(Child::id);
        if let Some(id) = id {
            // The signal fails only if the process has ended.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }
}

fn spawn(binary: &Path, config: &Path, log: &Path) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)?;
    Command::new(binary)
        .arg("node")
        .env("LB_CONFIG", config)
        .env_remove("LB_LISTEN")
        .env("NO_COLOR", "1")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::from(log))
        .kill_on_drop(true)
        .spawn()
}

fn nanoseconds(time: Duration) -> u64 {
    time.as_nanos() as u64
}

fn configuration(setup: &NodeSetup, start: u64, coordinator: SocketAddr, known: &Value) -> Value {
    let settings = &setup.settings;
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "Group": "all", "LateWorth": 0.3,
            "Aim": nanoseconds(settings.client_timeout) / 2, "GiveUp": nanoseconds(settings.client_timeout)})
    };
    json!({
        "name": format!("n{}", setup.index), "listen": setup.listen.to_string(),
        "seed": format!("{:016x}", start << 32 | setup.index as u64),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "coordinator": coordinator.to_string(), "known": known,
        "settings": {
            "PeersTotal": setup.nodes, "Granularity": 1_000_000, "Models": ["std"],
            "Grades": [class("view", "read_like"), class(UNSAFE_CLASS, "non_idempotent")],
            "FamilyInfo": {"KindMemoryMb": [16000.0], "Orders": true, "WhenAbsent": "load",
                "StaysLoaded": 8_000_000_000u64, "CountsAlike": true, "OrderTimeout": 5_000_000_000u64},
            "Limits": {"MostTries": 4, "MayCancel": true, "Probes": settings.health_checks, "RetryAfter": true,
                "MaxRetryAfter": 500_000_000, "ConnectTimeout": 250_000_000, "IdleClose": 4_000_000_000u64,
                "StreamsPerConn": 32, "OpenCap": 20_000},
            "Report": {"How": "answers"},
            "Rules": {"ColdFrom": INITIAL_WEIGHT, "RampTime": nanoseconds(settings.slow_start),
                "FallMultiple": OVERLOAD_FACTOR, "OverloadFor": nanoseconds(OVERLOAD_WINDOW),
                "DrainGrace": nanoseconds(settings.drain_grace), "AnswerSlack": 8_000_000}
        }
    })
}
