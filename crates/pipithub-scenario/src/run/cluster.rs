//! The processes of a scenario of requests, and how actions change them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use pipithub_amqp::Login;
use pipithub_clock::{Clock, wall_ms};
use pipithub_emulator::list::{ListServer, ListedWorker};
use pipithub_emulator::recorder::Recorder;
use pipithub_emulator::store::{StoreServer, StoreSettings};
use pipithub_settings::Config;

use super::QUEUE;
use super::action::{Action, silent_command};
use super::directories::Directories;
use super::settings::FrontEndSettings;
use crate::client::consumers;
use crate::error::RunError;
use crate::outcome::{FaultLog, InjectedFault};
use crate::process::Process;
use crate::scenario::Scenario;
use crate::units::SECOND;

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The longest that front ends take to consume from the broker, in nanoseconds.
const CONSUME_TIMEOUT: u64 = 30 * SECOND;
/// How often the number of consumers is polled.
const CONSUME_POLL: Duration = Duration::from_millis(20);
/// The memory of a worker, in megabytes.
const WORKER_MEMORY_MB: f64 = 24_000.0;

/// A worker of the scenario and its processes, which replace each other.
#[derive(Default)]
struct WorkerSlot {
    process: Option<Process>,
    /// The entry of the running process in the endpoint list; `None` if no process runs.
    listed: Option<ListedWorker>,
    /// Processes that were killed and are still in the endpoint list.
    killed: Vec<ListedWorker>,
}

/// Whether a worker has to warm up after its start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WorkerStart {
    /// The worker counts as started long ago and has its full capacity at once. A scenario begins with such workers, which
    /// have no function loaded.
    Warm,
    /// The worker has to warm up.
    Cold,
}

/// All processes and services of a scenario.
pub(super) struct Cluster<'a> {
    pub(super) scenario: &'a Scenario,
    binary: &'a Path,
    folder: PathBuf,
    /// The name of the policy that replaces the regular one; `None` for the regular one.
    baseline: Option<String>,
    list: ListServer,
    store: StoreServer,
    broker: Process,
    directories: Directories,
    workers: Vec<WorkerSlot>,
    /// The number of worker processes started so far.
    workers_started: u64,
    front_ends: Vec<Option<Process>>,
    faults: FaultLog,
}

impl<'a> Cluster<'a> {
    /// Starts everything and waits until all front ends consume.
    pub(super) async fn start(
        scenario: &'a Scenario,
        binary: &'a Path,
        folder: &Path,
        baseline: Option<&str>,
    ) -> Result<Self, RunError> {
        let recorder = |name: &str| Recorder::file(&folder.join(name));
        let list = ListServer::start(ANY_PORT, recorder("list.jsonl")?).await?;
        let store = StoreServer::start(ANY_PORT, StoreSettings::default()).await?;
        let broker = start_broker(binary, folder).await?;
        let directories = Directories::start(
            scenario.tenants.as_ref(),
            ANY_PORT,
            recorder("directory.jsonl")?,
        )
        .await?;
        let mut cluster = Cluster {
            scenario,
            binary,
            folder: folder.to_path_buf(),
            baseline: baseline.map(str::to_string),
            list,
            store,
            broker,
            directories,
            workers: (0..scenario.workers)
                .map(|_| WorkerSlot::default())
                .collect(),
            workers_started: 0,
            front_ends: (0..scenario.front_ends).map(|_| None).collect(),
            faults: FaultLog::default(),
        };
        for worker in 0..scenario.workers {
            cluster.start_worker(worker, WorkerStart::Warm).await?;
        }
        for front_end in 0..scenario.front_ends {
            cluster.write_settings(front_end)?;
            cluster.start_front_end(front_end)?;
        }
        cluster.wait_for_consumers().await?;
        Ok(cluster)
    }

    /// The address of the broker.
    pub(super) fn broker_address(&self) -> &str {
        &self.broker.address
    }

    /// The faults injected so far, with their times since a time in Unix nanoseconds.
    pub(super) fn injected_faults(&self, since: u64) -> Vec<InjectedFault> {
        self.faults.since(since)
    }

    /// Ends all processes.
    pub(super) async fn shut_down(self) {
        for front_end in self.front_ends.into_iter().flatten() {
            front_end.kill().await;
        }
        for worker in self.workers.into_iter().filter_map(|slot| slot.process) {
            worker.kill().await;
        }
        self.broker.kill().await;
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn write_settings(&self, front_end: usize) -> Result<(), RunError> {
        let settings = FrontEndSettings {
            number: front_end,
            broker: &self.broker.address,
            endpoint_list: &self.list.address().to_string(),
            cache_file: &self.path(&format!("front-{front_end}-list.json")),
            directories: &self.directories.addresses(),
        };
        let text = settings.text(self.scenario);
        // Invalid settings would otherwise only show as a front end that never consumes.
        Config::parse("scenario settings", &text)
            .map_err(|faults| RunError::Settings(format!("{faults}: {:?}", faults.lines())))?;
        std::fs::write(self.path(&format!("front-{front_end}.kdl")), text)?;
        Ok(())
    }

    async fn wait_for_consumers(&self) -> Result<(), RunError> {
        let clock = Clock::default();
        let expected = Some(self.scenario.front_ends as u32);
        while consumers(&self.broker.address, Login::default(), QUEUE).await != expected {
            if clock.now() > CONSUME_TIMEOUT {
                return Err(RunError::NoConsumers);
            }
            tokio::time::sleep(CONSUME_POLL).await;
        }
        Ok(())
    }

    async fn start_worker(&mut self, worker: usize, start: WorkerStart) -> std::io::Result<()> {
        self.workers_started += 1;
        let arguments = self.worker_arguments(start);
        let log = self.folder.join("workers.log");
        let process = Process::start_emulator(self.binary, &arguments, &log).await?;
        let (ip, port) = process
            .address
            .rsplit_once(':')
            .unwrap_or(("127.0.0.1", "0"));
        let listed = ListedWorker {
            ip: ip.to_string(),
            port: port.parse().unwrap_or(0),
            uid: format!("worker-{worker}-{}", self.workers_started),
            zone: format!("zone-{}", worker % self.scenario.zones),
            state: "live".into(),
            memory_mb: WORKER_MEMORY_MB,
            started_ms: match start {
                WorkerStart::Warm => 0,
                WorkerStart::Cold => wall_ms(),
            },
        };
        self.list.set(listed.clone());
        let slot = &mut self.workers[worker];
        slot.process = Some(process);
        slot.listed = Some(listed);
        Ok(())
    }

    fn worker_arguments(&self, start: WorkerStart) -> Vec<String> {
        let record = self.path(&format!("worker-{}.jsonl", self.workers_started));
        let store = self.store.address().to_string();
        let own = [
            "emulator",
            "worker",
            "--listen",
            "127.0.0.1:0",
            "--commands",
            "--store",
            &store,
            "--record",
            &record,
        ];
        let mut arguments: Vec<String> = own.map(String::from).into();
        arguments.extend(self.scenario.worker_arguments.iter().cloned());
        if start == WorkerStart::Warm {
            arguments.extend(["--cold-from".into(), "1".into()]);
        }
        arguments
    }

    fn start_front_end(&mut self, front_end: usize) -> std::io::Result<()> {
        let config = self.path(&format!("front-{front_end}.kdl"));
        let mut arguments = vec!["serve".to_string(), "--config".into(), config];
        if let Some(baseline) = &self.baseline {
            arguments.extend(["--baseline".to_string(), baseline.clone()]);
        }
        let log = self.folder.join(format!("front-{front_end}.log"));
        let process = Process::start_gateway(self.binary, &arguments, &log)?;
        self.front_ends[front_end] = Some(process);
        Ok(())
    }

    /// Carries out an action and records it for the report.
    pub(super) async fn apply(&mut self, action: Action) -> std::io::Result<()> {
        let (code, description) = (action.code(), action.to_string());
        match action {
            Action::KillWorker(worker) => self.kill_worker(worker).await,
            Action::RemoveWorker(worker) => self.remove_worker(worker),
            Action::StartWorker(worker) => {
                if self.workers[worker].process.is_none() {
                    self.start_worker(worker, WorkerStart::Cold).await?;
                }
            }
            Action::DrainWorker(worker) => self.drain_worker(worker),
            Action::SetWorkerSilent { worker, silent } => {
                if let Some(process) = &mut self.workers[worker].process {
                    // A worker that has just ended is silent in any case.
                    let _ = process.send_line(silent_command(silent)).await;
                }
            }
            Action::DelayEndpointList { by } => self.list.set_delay(Duration::from_nanos(by)),
            Action::SlowStore { factor } => self.store.control().set_slowness(factor),
            Action::SetStoreRejecting(rejecting) => self.store.control().set_halted(rejecting),
            Action::KillFrontEnd(front_end) => {
                if let Some(process) = self.front_ends[front_end].take() {
                    process.kill().await;
                }
            }
            Action::StartFrontEnd(front_end) => {
                if self.front_ends[front_end].is_none() {
                    self.start_front_end(front_end)?;
                }
            }
            Action::DropBrokerConnections => self.broker.send_line("cut").await?,
            Action::CommandDirectory { server, command } => {
                self.directories.command(server, &command);
            }
            Action::SetDirectoryStale { server, stale } => {
                self.directories.set_stale(server, stale);
            }
            Action::MigrateUser { user, tenant } => {
                // Migrations are part of the load and too many for the report.
                self.directories.migrate(user, tenant);
                return Ok(());
            }
        }
        self.faults.record(code, description);
        Ok(())
    }

    async fn kill_worker(&mut self, worker: usize) {
        let slot = &mut self.workers[worker];
        if let Some(process) = slot.process.take() {
            process.kill().await;
        }
        slot.killed.extend(slot.listed.take());
    }

    fn remove_worker(&mut self, worker: usize) {
        for listed in std::mem::take(&mut self.workers[worker].killed) {
            self.list.set(ListedWorker {
                state: "gone".into(),
                ..listed
            });
        }
    }

    fn drain_worker(&self, worker: usize) {
        if let Some(listed) = &self.workers[worker].listed {
            self.list.set(ListedWorker {
                state: "draining".into(),
                ..listed.clone()
            });
        }
    }
}

async fn start_broker(binary: &Path, folder: &Path) -> std::io::Result<Process> {
    let record = folder.join("broker.jsonl").display().to_string();
    let arguments = [
        "emulator",
        "broker",
        "--listen",
        "127.0.0.1:0",
        "--commands",
        "--queue",
        QUEUE,
        "--record",
        &record,
    ];
    let log = folder.join("broker.log");
    Process::start_emulator(binary, &arguments.map(String::from), &log).await
}
