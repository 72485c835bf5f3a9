//! Real front ends as processes, their files, and the coordinators that they ask.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::mpsc;

use super::configuration::{configuration, event_count, worker};
use super::coordinator::{Coordinator, CoordinatorServer, ListRequest};
use crate::Result;
use crate::process_usage::{peak_mib, scheduled_cpu_seconds};

/// The longest wait for front ends to do what they were told: many times the 4 s that are wanted.
const PATIENCE: Duration = Duration::from_secs(30);
/// Coordinators, in turn: the one in force, the first and the second of two changes, with one to spare.
const COORDINATORS: usize = 4;

/// What a front end's log says of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogEvent {
    /// It is up.
    Up,
    /// It has read a configuration.
    Read,
    /// It could not read one and keeps the former.
    Kept,
}

impl LogEvent {
    /// The words of the log by which each is known.
    const WORDS: [(&'static str, LogEvent); 3] = [
        ("front end up", LogEvent::Up),
        ("configuration read again", LogEvent::Read),
        ("previous configuration stays in force", LogEvent::Kept),
    ];

    fn of_line(line: &str) -> Option<LogEvent> {
        let known = LogEvent::WORDS
            .iter()
            .find(|(words, _)| line.contains(words))?;
        Some(known.1)
    }
}

/// What front ends did, as coordinators and logs tell it.
#[derive(Debug)]
pub(super) enum Observation {
    /// One asked a coordinator.
    Requested(ListRequest),
    /// One wrote to its log.
    Logged {
        /// Which one.
        front_end: usize,
        /// What.
        event: LogEvent,
    },
}

/// A front end and the file of its configuration.
struct FrontEndProcess {
    child: Child,
    file: PathBuf,
}

impl FrontEndProcess {
    fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Sends a signal, by the process's own id.
    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id as i32))
            .ok_or("the process has ended")?;
        Ok(kill_process(id, signal)?)
    }
}

/// Front ends, their files and their coordinators.
pub(super) struct Site {
    binary: PathBuf,
    folder: PathBuf,
    front_ends: Vec<FrontEndProcess>,
    coordinator_addresses: Vec<String>,
    /// What each configuration holds besides: workers known and classes.
    workers: Vec<Value>,
    classes: usize,
    in_force: Coordinator,
    /// Requests since the last change that nobody has waited for yet.
    other_requests: Vec<ListRequest>,
    sender: mpsc::UnboundedSender<Observation>,
    observations: mpsc::UnboundedReceiver<Observation>,
}

impl Site {
    /// Starts so many, each with so many workers known and classes, and waits until each has asked its coordinator.
    pub(super) async fn start(
        binary: &Path,
        folder: &Path,
        size: usize,
        workers: u64,
        classes: usize,
    ) -> Result<Site> {
        // Bounded by what so few processes can ask and log.
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

    /// How many front ends there are.
    pub(super) fn size(&self) -> usize {
        self.front_ends.len()
    }

    /// The coordinator that the next change names.
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
        let mut child = Command::new(&self.binary)
            .arg("node")
            .env("LB_CONFIG", file)
            .env("RUST_LOG", "info")
            .env("NO_COLOR", "1")
            .env_remove("LB_LISTEN")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = child.stderr.take().ok_or("no log")?;
        tokio::spawn(observe_log(front_end, log, self.sender.clone()));
        Ok(child)
    }

    /// Puts a new file in the place of the old one, so that nobody reads a part of it; its bytes.
    pub(super) fn replace(&self, front_end: usize, coordinator: Coordinator) -> Result<usize> {
        let text = self.text(front_end, coordinator);
        let file = &self.front_ends[front_end].file;
        let beside = file.with_extension("fresh");
        std::fs::write(&beside, &text)?;
        std::fs::rename(&beside, file)?;
        Ok(text.len())
    }

    /// Writes half of a file over the old one, as a copy that is interrupted does.
    pub(super) fn write_half(&self, front_end: usize, coordinator: Coordinator) -> Result<()> {
        let text = self.text(front_end, coordinator);
        let half = &text[..text.len() / 2];
        Ok(std::fs::write(&self.front_ends[front_end].file, half)?)
    }

    /// Writes the complete file over what is there.
    pub(super) fn write_complete(&self, front_end: usize, coordinator: Coordinator) -> Result<()> {
        let text = self.text(front_end, coordinator);
        Ok(std::fs::write(&self.front_ends[front_end].file, text)?)
    }

    /// Has a front end read its configuration again, by SIGHUP.
    pub(super) fn reload(&self, front_end: usize) -> Result<()> {
        self.front_ends[front_end].signal(Signal::HUP)
    }

    /// The most memory that any of them ever held, in MiB.
    pub(super) fn peak_mib(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|front_end| peak_mib(front_end.pid()))
            .fold(0.0, f64::max)
    }

    /// CPU of all, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|front_end| scheduled_cpu_seconds(front_end.pid()))
            .sum()
    }

    /// Waits until each has asked this coordinator.
    pub(super) async fn requests_of_all(
        &mut self,
        coordinator: Coordinator,
    ) -> Result<Vec<ListRequest>> {
        self.requests(coordinator, self.size()).await
    }

    /// Waits until so many front ends have asked this coordinator; the first request of each.
    pub(super) async fn requests(
        &mut self,
        coordinator: Coordinator,
        count: usize,
    ) -> Result<Vec<ListRequest>> {
        let mut seen = HashSet::new();
        let mut requests = Vec::new();
        let end = tokio::time::Instant::now() + PATIENCE;
        // Those of the others are kept: one half of the front ends may be asked about after the other.
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
                    let asked = requests.len();
                    return Err(format!(
                        "{asked} of {count} asked the coordinator in {PATIENCE:?}"
                    )
                    .into());
                }
            }
        }
        self.other_requests.extend(earlier);
        Ok(requests)
    }

    /// Waits until each has logged this; requests meanwhile are passed over.
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
                        "{} of {} said {wanted:?} in {PATIENCE:?}",
                        seen.len(),
                        self.size()
                    )
                    .into());
                }
            }
        }
        Ok(())
    }

    /// Fails where another coordinator than this one is asked within a time.
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
                return Err(
                    format!("front end {front_end} asked a former coordinator again").into(),
                );
            }
        }
        Ok(())
    }

    /// Stops all at once and starts each again when it has ended; seconds until the last one has asked.
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

    /// Ends all.
    pub(super) async fn stop(mut self) {
        for front_end in &mut self.front_ends {
            let _ = front_end.child.kill().await;
        }
    }
}

/// Tells of the lines of a front end's log, until it ends.
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
