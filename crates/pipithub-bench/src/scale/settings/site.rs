//! Real front ends as processes, and the coordinators that they ask, played here.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;

use crate::Result;
use crate::process_usage::{peak_mib, scheduled_cpu_seconds};

/// The longest wait for front ends to do what they were told: many times the 4 s that are wanted.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a coordinator says that it is there; a front end takes 1.6 s without a byte for its end.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Coordinators, in turn: the one in force, the first and the second of two changes, with one to spare.
const COORDINATORS: usize = 4;
/// The longest head of a request for the list that is read.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// One of the coordinators.
pub(super) type Coordinator = usize;

/// What a front end's log said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogEvent {
    /// It is up.
    Up,
    /// It has taken a configuration in.
    Read,
    /// It could not read one and keeps the former.
    Kept,
}

/// A front end's question for the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListRequest {
    /// Who asked.
    pub node: usize,
    /// Whom.
    pub coordinator: Coordinator,
    /// When the whole question was read.
    pub at: Instant,
    /// Its bytes.
    pub bytes: usize,
}

#[derive(Debug)]
enum Observation {
    Asked(ListRequest),
    Logged(usize, LogEvent, Instant),
}

struct FrontEnd {
    child: Child,
    file: PathBuf,
}

/// Front ends, their files and their coordinators.
pub(super) struct Site {
    binary: PathBuf,
    folder: PathBuf,
    front_ends: Vec<FrontEnd>,
    addresses: Vec<String>,
    /// What each configuration holds besides: workers known and classes.
    workers: Vec<Value>,
    classes: usize,
    in_force: Coordinator,
    /// Questions since the last change that nobody has waited for yet.
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
        let (mut addresses, workers) = (Vec::new(), (0..workers).map(worker).collect::<Vec<_>>());
        let first = events(workers.len());
        for coordinator in 0..COORDINATORS {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?.to_string());
            tokio::spawn(serve(listener, coordinator, first, sender.clone()));
        }
        let (binary, folder) = (binary.to_path_buf(), folder.to_path_buf());
        let front_ends = Vec::new();
        let mut site = Site {
            binary,
            folder,
            front_ends,
            addresses,
            workers,
            classes,
            in_force: 0,
            other_requests: Vec::new(),
            sender,
            observations,
        };
        for n in 0..size {
            let file = site.folder.join(format!("{n}.json"));
            std::fs::write(&file, site.text(n, 0))?;
            let child = site.spawn(n, &file)?;
            site.front_ends.push(FrontEnd { child, file });
        }
        site.requests_of_all(0).await?;
        Ok(site)
    }

    /// How many there are.
    pub(super) fn size(&self) -> usize {
        self.front_ends.len()
    }

    /// The coordinator that the next change names.
    pub(super) fn next_coordinator(&mut self) -> Coordinator {
        self.other_requests.clear();
        self.in_force = (self.in_force + 1) % COORDINATORS;
        self.in_force
    }

    /// The configuration of a front end.
    fn text(&self, n: usize, coordinator: Coordinator) -> String {
        configuration(n, &self.addresses[coordinator], &self.workers, self.classes).to_string()
    }

    fn spawn(&self, n: usize, file: &Path) -> Result<Child> {
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
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let said = [
                    ("front end up", LogEvent::Up),
                    ("configuration read again", LogEvent::Read),
                    ("previous configuration stays in force", LogEvent::Kept),
                ];
                if let Some((_, said)) = said.iter().find(|(words, _)| line.contains(words)) {
                    let _ = sender.send(Observation::Logged(n, *said, Instant::now()));
                }
            }
        });
        Ok(child)
    }

    /// Puts a new file in the place of the old one, so that nobody reads a part of it; its bytes.
    pub(super) fn replace(&self, n: usize, coordinator: Coordinator) -> Result<usize> {
        let (text, file) = (self.text(n, coordinator), &self.front_ends[n].file);
        let beside = file.with_extension("fresh");
        std::fs::write(&beside, &text)?;
        std::fs::rename(&beside, file)?;
        Ok(text.len())
    }

    /// Writes half of a file over the old one, as a copy that is interrupted does.
    pub(super) fn write_half(&self, n: usize, coordinator: Coordinator) -> Result<()> {
        let text = self.text(n, coordinator);
        Ok(std::fs::write(
            &self.front_ends[n].file,
            &text[..text.len() / 2],
        )?)
    }

    /// Writes the whole file over what is there.
    pub(super) fn write_complete(&self, n: usize, coordinator: Coordinator) -> Result<()> {
        Ok(std::fs::write(
            &self.front_ends[n].file,
            self.text(n, coordinator),
        )?)
    }

    /// Sends SIGHUP.
    pub(super) fn reload(&self, n: usize) -> Result<()> {
        signal(&self.front_ends[n].child, Signal::HUP)
    }

    /// The most memory that any of them ever held, in MB.
    pub(super) fn peak_mb(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|f| peak_mib(f.child.id().unwrap_or(0)))
            .fold(0.0, f64::max)
    }

    /// CPU of all, in seconds.
    pub(super) fn cpu(&self) -> f64 {
        self.front_ends
            .iter()
            .map(|f| scheduled_cpu_seconds(f.child.id().unwrap_or(0)))
            .sum()
    }

    /// Waits until each has asked this coordinator.
    pub(super) async fn requests_of_all(
        &mut self,
        coordinator: Coordinator,
    ) -> Result<Vec<ListRequest>> {
        self.requests(coordinator, self.size()).await
    }

    /// Waits until so many front ends have asked this coordinator; the first question of each.
    pub(super) async fn requests(
        &mut self,
        coordinator: Coordinator,
        many: usize,
    ) -> Result<Vec<ListRequest>> {
        let (mut who, mut all) = (HashSet::new(), Vec::new());
        let end = tokio::time::Instant::now() + PATIENCE;
        // Those of the others are kept: one half of the front ends may be asked about after the other.
        let mut before = std::mem::take(&mut self.other_requests).into_iter();
        while all.len() < many {
            let next = match before.next() {
                Some(asked) => Ok(Some(Observation::Asked(asked))),
                None => tokio::time::timeout_at(end, self.observations.recv()).await,
            };
            match next {
                Ok(Some(Observation::Asked(asked))) => {
                    if asked.coordinator != coordinator {
                        self.other_requests.push(asked);
                    } else if who.insert(asked.node) {
                        all.push(asked);
                    }
                }
                Ok(Some(Observation::Logged(..))) => {}
                _ => {
                    return Err(format!(
                        "{} of {many} asked the coordinator in {PATIENCE:?}",
                        all.len()
                    )
                    .into());
                }
            }
        }
        self.other_requests.extend(before);
        Ok(all)
    }

    /// Waits until each has said this; what is asked meanwhile is passed over.
    pub(super) async fn all_log(&mut self, what: LogEvent) -> Result<Instant> {
        let mut who = HashSet::new();
        let end = tokio::time::Instant::now() + PATIENCE;
        let mut last = Instant::now();
        while who.len() < self.size() {
            match tokio::time::timeout_at(end, self.observations.recv()).await {
                Ok(Some(Observation::Logged(node, said, at))) => {
                    if said == what && who.insert(node) {
                        last = at;
                    }
                }
                Ok(Some(Observation::Asked(_))) => {}
                _ => {
                    return Err(format!(
                        "{} of {} said {what:?} in {PATIENCE:?}",
                        who.len(),
                        self.size()
                    )
                    .into());
                }
            }
        }
        Ok(last)
    }

    /// Fails where another coordinator than this one is asked within a time.
    pub(super) async fn ensure_no_requests_to_others(
        &mut self,
        coordinator: Coordinator,
        within: Duration,
    ) -> Result<()> {
        let end = tokio::time::Instant::now() + within;
        while let Ok(Some(observations)) =
            tokio::time::timeout_at(end, self.observations.recv()).await
        {
            if let Observation::Asked(asked) = observations
                && asked.coordinator != coordinator
            {
                return Err(
                    format!("front end {} asked a former coordinator again", asked.node).into(),
                );
            }
        }
        Ok(())
    }

    /// Stops all at once and starts each again when it has ended; seconds until the last one has asked.
    pub(super) async fn restart(&mut self) -> Result<f64> {
        let to = self.next_coordinator();
        let begun = Instant::now();
        for n in 0..self.size() {
            self.replace(n, to)?;
            signal(&self.front_ends[n].child, Signal::TERM)?;
        }
        for n in 0..self.size() {
            tokio::time::timeout(PATIENCE, self.front_ends[n].child.wait()).await??;
            let file = self.front_ends[n].file.clone();
            self.front_ends[n].child = self.spawn(n, &file)?;
        }
        let asked = self.requests_of_all(to).await?;
        Ok((asked.iter().map(|a| a.at).max().unwrap_or(begun) - begun).as_secs_f64())
    }

    /// Ends all.
    pub(super) async fn stop(mut self) {
        for front in &mut self.front_ends {
            let _ = front.child.kill().await;
        }
    }
}

/// Sends a process a signal, by its own id.
pub(super) fn signal(child: &Child, signal: Signal) -> Result<()> {
    let id = child
        .id()
        .and_then(|id| Pid::from_raw(id as i32))
        .ok_or("the process has ended")?;
    Ok(kill_process(id, signal)?)
}

/// A worker of the list.
pub(super) fn worker(n: u64) -> Value {
    json!({"host": format!("w{n}"), "dial": format!("127.0.0.1:{}", 20_000 + n % 20_000), "site": "a", "health": "SERVING"})
}

/// The most workers that one event may hold.
const MAX_EVENT_WORKERS: usize = 10_000;

/// In how many events so many workers are told.
fn events(workers: usize) -> usize {
    workers.div_ceil(MAX_EVENT_WORKERS)
}

/// The configuration of a front end, whose last known event bears its number beyond what the events need.
pub(super) fn configuration(
    n: usize,
    coordinator: &str,
    workers: &[Value],
    classes: usize,
) -> Value {
    let updates: Vec<Value> = workers
        .chunks(MAX_EVENT_WORKERS)
        .enumerate()
        .map(|(i, hosts)| {
            let index = n + i + 1;
            json!({"index": index, "endpoints": {"seq": index, "whole": i == 0, "hosts": hosts}})
        })
        .collect();
    let class = |i: usize| {
        json!({"Name": format!("class-{i}"), "Effect": "read_like", "Aim": 30_000_000_000u64,
            "GiveUp": 60_000_000_000u64})
    };
    let classes: Vec<Value> = (0..classes).map(class).collect();
    json!({
        "name": format!("n{n}"), "listen": "127.0.0.1:0", "seed": "1", "coordinator": coordinator,
        "limits": {"memory_mb": 256, "sockets": 256},
        "known": {"index": n + updates.len(), "updates": updates},
        "settings": {"PeersTotal": 1_700, "Granularity": 2_000_000, "Limits": {"MostTries": 4}, "Grades": classes}
    })
}

async fn serve(
    listener: TcpListener,
    coordinator: Coordinator,
    first: usize,
    sender: mpsc::UnboundedSender<Observation>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream, coordinator, first, sender.clone()));
    }
}

/// Reads one question, answers with a stream without events, and keeps it open by comments. The front end that asks is
/// known by the last event that it tells, `first` being the first one's.
async fn answer(
    mut stream: TcpStream,
    coordinator: Coordinator,
    first: usize,
    sender: mpsc::UnboundedSender<Observation>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let at = Instant::now();
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let last = text.lines().find_map(|line| {
        line.strip_prefix("last-event-id:")?
            .trim()
            .parse::<usize>()
            .ok()
    });
    if let Some(node) = last.and_then(|last| last.checked_sub(first)) {
        let _ = sender.send(Observation::Asked(ListRequest {
            node,
            coordinator,
            at,
            bytes: head.len(),
        }));
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")
        .await?;
    loop {
        stream.write_all(b": here\n\n").await?;
        tokio::time::sleep(COMMENT_INTERVAL).await;
    }
}
