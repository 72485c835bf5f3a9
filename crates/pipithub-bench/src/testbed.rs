//! Emulators, gateways and pass-throughs as processes on loopback, for measurements in real time.

use std::path::PathBuf;
use std::time::Duration;

use pipithub_amqp::Login;
use pipithub_scenario::client::consumers;
use pipithub_scenario::process::Process;

use crate::Result;

/// The queue that calls are published to.
pub(crate) const QUEUE: &str = "calls";
/// The queue of the answers.
pub(crate) const REPLY_QUEUE: &str = "answers";
/// The command that runs emulators, by its former name, so that binaries of earlier versions can be measured too.
const EMULATOR_COMMAND: &str = "standin";
/// Workers with many cores and short run times, so that the path between client and worker dominates.
const WORKER_ARGUMENTS: [&str; 12] = [
    "worker",
    "--commands",
    "--cores",
    "1000",
    "--run-ms",
    "2",
    "--load-ms",
    "1",
    "--queue",
    "100000",
    "--keep-ms",
    "600000",
];
/// How often the number of consumers is polled.
const CONSUMER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The processes' binaries and the folder of a measurement.
pub(crate) struct Testbed {
    own_binary: PathBuf,
    binary: PathBuf,
    folder: PathBuf,
    /// Duration of each measurement, in seconds.
    pub seconds: u64,
    /// The number of workers.
    pub workers: usize,
}

impl Testbed {
    /// Creates the folder of the testbed. The default binary is the one in the folder of this program.
    pub(crate) fn create(binary: Option<PathBuf>, seconds: u64, workers: usize) -> Result<Self> {
        let own_binary = std::env::current_exe()?;
        let binary = binary.unwrap_or_else(|| own_binary.with_file_name("pipithub"));
        let folder = std::env::temp_dir().join(format!("pipithub-bench-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Testbed {
            own_binary,
            binary,
            folder,
            seconds,
            workers,
        })
    }

    /// Removes the testbed's folder.
    pub(crate) fn remove(self) -> Result<()> {
        Ok(std::fs::remove_dir_all(&self.folder)?)
    }

    /// Writes a file into the testbed's folder.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Starts an emulated server with these arguments.
    pub(crate) async fn start_emulator(&self, arguments: &[&str]) -> Result<Process> {
        let arguments: Vec<String> = std::iter::once(EMULATOR_COMMAND)
            .chain(arguments.iter().copied())
            .map(str::to_string)
            .collect();
        Ok(Process::start_emulator(&self.binary, &arguments, &self.log()).await?)
    }

    /// Starts all workers.
    pub(crate) async fn start_workers(&self) -> Result<Vec<Process>> {
        let mut workers = Vec::new();
        for _ in 0..self.workers {
            workers.push(self.start_emulator(&WORKER_ARGUMENTS).await?);
        }
        Ok(workers)
    }

    /// Starts a broker with the queue for calls.
    pub(crate) async fn start_broker(&self) -> Result<Process> {
        self.start_emulator(&["broker", "--commands", "--queue", QUEUE])
            .await
    }

    /// Starts a gateway with the text of its settings.
    pub(crate) fn start_gateway(&self, settings: &str) -> Result<Process> {
        let path = self.write_file("serve.kdl", settings)?;
        let arguments = [
            "serve".to_string(),
            "--config".into(),
            path.display().to_string(),
        ];
        Ok(Process::start_gateway(
            &self.binary,
            &arguments,
            &self.log(),
        )?)
    }

    /// Starts a pass-through between a broker and workers.
    pub(crate) fn start_pass_through(&self, broker: &str, workers: &[String]) -> Result<Process> {
        let mut arguments = vec![
            "baseline".to_string(),
            "--broker".into(),
            broker.to_string(),
        ];
        for worker in workers {
            arguments.extend(["--worker".to_string(), worker.clone()]);
        }
        Ok(Process::start_gateway(
            &self.own_binary,
            &arguments,
            &self.log(),
        )?)
    }
}

/// Waits until the queue has exactly one consumer.
pub(crate) async fn wait_for_consumer(broker: &str) {
    while consumers(broker, Login::default(), QUEUE).await != Some(1) {
        tokio::time::sleep(CONSUMER_POLL_INTERVAL).await;
    }
}
