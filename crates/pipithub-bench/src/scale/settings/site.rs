//! Real front ends as processes with their configuration files, and the coordinators that they use.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, ChildStderr};
use tokio::sync::mpsc;

use super::configuration::{configuration, event_count, worker};
use super::coordinator::{Coordinator, CoordinatorServer, ListRequest};
use crate::Result;
use crate::node_process::node_command;
use crate::process_usage::{peak_mib, scheduled_cpu_seconds};

/// How long front ends may take to apply a change: many times the 4 s that are expected.
const PATIENCE: Duration = Duration::from_secs(30);
/// The number of coordinators, which are used in turn: the present one, those of two changes, and a spare one.
const COORDINATORS: usize = 4;

/// An event in a front end's log about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogEvent {
    /// The front end is up.
    Up,
    /// A changed configuration was applied.
    Read,
    /// The configuration could not be read, so the previous one stays in force.
    Kept,
}

impl LogEvent {
    /// The log messages of the events.
    const MESSAGES: [(&'static str, LogEvent); 3] = [
        ("front end up", LogEvent::Up),
        ("configuration read again", LogEvent::Read),
        ("previous configuration stays in force", LogEvent::Kept),
    ];

    fn of_line(line: &str) -> Option<LogEvent> {
        let known = LogEvent::MESSAGES
            .iter()
            .find(|(message, _)| line.contains(message))?;
        Some(known.1)
    }
}

/// An observed action of a front end.
#[derive(Debug)]
pub(super) enum Observation {
    /// A front end requested the endpoint list from a coordinator.
    Requested(ListRequest),
    /// A front end logged an event.
    Logged {
        /// The number of the front end.
        front_end: usize,
        /// The event.
        event: LogEvent,
    },
}

/// A front end and its configuration file.
struct FrontEndProcess {
    child: Child,
    file: PathBuf,
}

impl FrontEndProcess {
    fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Sends a signal to the process.
    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .ok_or("the process has ended")?;
        Ok(kill_process(id, signal)?)
    }
}

/// Front ends with their configuration files and coordinators.
pub(super) struct Site {
    binary: PathBuf,
    folder: PathBuf,
    front_ends: Vec<FrontEndProcess>,
    coordinator_addresses: Vec<String>,
    /// The workers that each configuration lists.
    workers: Vec<Value>,
    /// The number of classes in each configuration.
    classes: usize,
    /// The coordinator of the latest change.
    in_force: Coordinator,
    /// Requests since the last change that were received while those to another coordinator were awaited.
    other_requests: Vec<ListRequest>,
    sender: mpsc::UnboundedSender<Observation>,
    observations: mpsc::UnboundedReceiver<Observation>,
}

impl Site {
    /// Starts a number of front ends, each with a number of listed workers and classes, and waits until each has
    /// requested the endpoint list.
    pub(super) async fn start(
        binary: &Path,
        folder: &Path,
        size: usize,
        workers: u64,
        classes: usize,
    ) -> Result<Site> {
        // The channel needs no bound, as these few processes send and log little.
        let (sender, observations) = mpsc::unbounded_channel();
        let mut site = Site {
            binary: binary.to_path_buf(),
            folder: folder.to_path_buf(),
            front_ends: Vec::new(),
            coordinator_addresses: Vec::new(),
            workers: (0..workers).map(worker).collect(),
            classes,
            in_force: 0,
            other_requests: Vec::new(),
            sender,
            observations,
        };
        site.start_coordinators().await?;
        for front_end in 0..size {
            let file = site.folder.join(format!("{front_end}.json"));
            std::fs::write(&file, site.text(front_end, 0))?;
            let child = site.spawn(front_end, &file)?;
            site.front_ends.push(FrontEndProcess { child, file });
        }
        site.requests_of_all(0).await?;
        Ok(site)
    }

    async fn start_coordinators(&mut self) -> Result<()> {
        for coordinator in 0..COORDINATORS {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?.to_string();
            self.coordinator_addresses.push(address);
            let server = CoordinatorServer {
                coordinator,
                first_event: event_count(self.workers.len()),
                observations: self.sender.clone(),
            };
            tokio::spawn(server.serve(listener));
        }
        Ok(())
    }

    /// The number of front ends.
    pub(super) fn size(&self) -> usize {
        self.front_ends.len()
    }

    /// Selects the coordinator for the next change.
    pub(super) fn next_coordinator(&mut self) -> Coordinator {
        self.other_requests.clear();
        self.in_force = (self.in_force + 1) % COORDINATORS;
        self.in_force
    }

    /// The text of a front end's configuration.
    fn text(&self, front_end: usize, coordinator: Coordinator) -> String {
        let address = &self.coordinator_addresses[coordinator];
        configuration(front_end, address, &self.workers, self.classes).to_string()
    }

    fn spawn(&self, front_end: usize, file: &Path) -> Result<Child> {
        let mut child = node_command(&self.binary, file, Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or("no log")?;
        tokio::spawn(observe_log(front_end, log, self.sender.clone()));
        Ok(child)
    }

    /// Replaces the configuration file atomically; returns its size in bytes.
    pub(super) fn replace(&self, front_end: usize, coordinator: Coordinator) -> Result<usize> {
        let text = self.text(front_end, coordinator);
        let file = &self.front_ends[front_end].file;
        let temporary = file.with_extension("fresh");
        std::fs::write(&temporary, &text)?;
        std::fs::rename(&temporary, file)?;
        Ok(text.len())
    }

    /// Overwrites the configuration file with one half of the new text, as an interrupted copy does.
    pub(super) fn write_half(&self, front_end: usize, coordinator: Coordinator) -> Result<()> {
        let text = self.text(front_end, coordinator);
        let half = &text[..text.len() / 2];
        Ok(std::fs::write(&self.front_ends[front_end].file, half)?)
    }

    /// Overwrites the configuration file with the complete text.
    pub(super) fn write_complete(&self, front_end: usize, coordinator: Coordinator) -> Result<()> {
        let text = self.text(front_end, coordinator);
        Ok(std::fs::write(&self.front_ends[front_end].file, text)?)
    }

    /// Sends a front end SIGHUP, so that it reads its configuration again.
    pub(super) fn reload(&self, front_end: usize) -> Result<()> {
        self.front_ends[front_end].signal(Signal::HUP)
    }

    /// The highest peak memory of all front ends, in MiB.
    pub(super) fn peak_mib(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|front_end| peak_mib(front_end.pid()))
            .fold(0.0, f64::max)
    }

    /// The CPU time of all front ends, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|front_end| scheduled_cpu_seconds(front_end.pid()))
            .sum()
    }

    /// Waits until all front ends have requested the list from a coordinator; returns the first request of each.
    pub(super) async fn requests_of_all(
        &mut self,
        coordinator: Coordinator,
    ) -> Result<Vec<ListRequest>> {
        self.requests(coordinator, self.size()).await
    }

    /// Waits until a number of front ends have requested the list from a coordinator; returns the first request of each.
    ///
    /// Fails if they do not do so in time.
    pub(super) async fn requests(
        &mut self,
        coordinator: Coordinator,
        count: usize,
    ) -> Result<Vec<ListRequest>> {
        let mut seen = HashSet::new();
        let mut requests = Vec::new();
        let end = tokio::time::Instant::now() + PATIENCE;
        // Requests to other coordinators are kept, as the two halves of the front ends may be awaited in turn.
        let mut earlier = std::mem::take(&mut self.other_requests).into_iter();
        while requests.len() < count {
            let next = match earlier.next() {
                Some(request) => Ok(Some(Observation::Requested(request))),
                None => tokio::time::timeout_at(end, self.observations.recv()).await,
            };
            match next {
                Ok(Some(Observation::Requested(request))) => {
                    if request.coordinator != coordinator {
                        self.other_requests.push(request);
                    } else if seen.insert(request.front_end) {
                        requests.push(request);
                    }
                }
                Ok(Some(Observation::Logged { .. })) => {}
                _ => {
                    let received = requests.len();
                    return Err(format!(
                        "{received} of {count} front ends sent a request to the coordinator within {PATIENCE:?}"
                    )
                    .into());
                }
            }
        }
        self.other_requests.extend(earlier);
        Ok(requests)
    }

    /// Waits until all front ends have logged an event; requests in the meantime are dropped. Fails if they do not do so
    /// in time.
    pub(super) async fn all_log(&mut self, wanted: LogEvent) -> Result<()> {
        let mut seen = HashSet::new();
        let end = tokio::time::Instant::now() + PATIENCE;
        while seen.len() < self.size() {
            match tokio::time::timeout_at(end, self.observations.recv()).await {
                Ok(Some(Observation::Logged { front_end, event })) => {
                    if event == wanted {
                        seen.insert(front_end);
                    }
                }
                Ok(Some(Observation::Requested(_))) => {}
                _ => {
                    return Err(format!(
                        "{} of {} front ends logged {wanted:?} within {PATIENCE:?}",
                        seen.len(),
                        self.size()
                    )
                    .into());
                }
            }
        }
        Ok(())
    }

    /// Fails if another coordinator gets a request within a time.
    pub(super) async fn ensure_no_requests_to_others(
        &mut self,
        coordinator: Coordinator,
        within: Duration,
    ) -> Result<()> {
        let end = tokio::time::Instant::now() + within;
        while let Ok(Some(observation)) =
            tokio::time::timeout_at(end, self.observations.recv()).await
        {
            if let Observation::Requested(request) = observation
                && request.coordinator != coordinator
            {
                let front_end = request.front_end;
                return Err(format!(
                    "front end {front_end} sent a request to a former coordinator"
                )
                .into());
            }
        }
        Ok(())
    }

    /// Restarts all front ends at the same time; returns the seconds until the last one has requested the list.
    pub(super) async fn restart(&mut self) -> Result<f64> {
        let to = self.next_coordinator();
        let begun = Instant::now();
        for front_end in 0..self.size() {
            self.replace(front_end, to)?;
            self.front_ends[front_end].signal(Signal::TERM)?;
        }
        for front_end in 0..self.size() {
            let ended = self.front_ends[front_end].child.wait();
            tokio::time::timeout(PATIENCE, ended).await??;
            let file = self.front_ends[front_end].file.clone();
            self.front_ends[front_end].child = self.spawn(front_end, &file)?;
        }
        let requests = self.requests_of_all(to).await?;
        Ok(super::seconds_until_last(&requests, begun))
    }

    /// Kills all front ends.
    pub(super) async fn stop(mut self) {
        for front_end in &mut self.front_ends {
            let _ = front_end.child.kill().await;
        }
    }
}

/// Sends the events in a front end's log until the log ends.
async fn observe_log(
    front_end: usize,
    log: ChildStderr,
    sender: mpsc::UnboundedSender<Observation>,
) {
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(event) = LogEvent::of_line(&line) {
            let _ = sender.send(Observation::Logged { front_end, event });
        }
    }
}
