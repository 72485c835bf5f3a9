//! Emulates workers that speak the platform's protocol.
//!
//! A draining worker still serves calls for up to [`MAX_SERVICE_WHILE_DRAINING`] and then rejects them, while its health
//! checks fail from the begin of the drain on. A restarted worker process has no function loaded. When a process ends, its
//! connections are reset and new ones are refused; when it hangs, its connections stay open and get no answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, watch};

use super::history::{Execution, ReceivedWork, Recorder, WorkKind, WorkerStart};
use super::listener::ReopenableListener;

/// The maximum number of calls that a worker runs at once; it rejects further ones.
const MAX_IN_FLIGHT: usize = 64;
/// The maximum time for which a draining worker still serves calls.
const MAX_SERVICE_WHILE_DRAINING: Duration = Duration::from_millis(900);
const MIN_RUN_TIME: Duration = Duration::from_millis(5);
const RUN_TIME_SPREAD_MS: u64 = 20;
const LOAD_TIME: Duration = Duration::from_millis(120);
/// The maximum number of answers that wait to be written on one connection.
const MAX_UNWRITTEN: usize = 1024;
/// The class whose calls must not run twice.
pub(super) const UNSAFE_CLASS: &str = "assign";

/// The state of a worker's process, which the plan's steps change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mode {
    ended: bool,
    hung: bool,
    /// The number of resets so far. A connection ends when the number changes.
    resets: u64,
}

#[derive(Debug, Default)]
struct State {
    draining_since: Option<Duration>,
    loaded: BTreeSet<String>,
}

/// One worker, through all processes that it has one after the other.
pub(super) struct Worker {
    pub(super) index: usize,
    mode: watch::Sender<Mode>,
    state: Mutex<State>,
    in_flight: AtomicUsize,
    draws: AtomicU64,
    recorder: Arc<Recorder>,
}

impl Worker {
    /// Starts a worker that front end `n` reaches at `addresses[n]`, with every function loaded.
    pub(super) async fn start(
        index: usize,
        addresses: &[SocketAddr],
        functions: &[String],
        recorder: Arc<Recorder>,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Worker {
            index,
            mode: watch::Sender::default(),
            state: Mutex::new(State {
                draining_since: None,
                loaded: functions.iter().cloned().collect(),
            }),
            in_flight: AtomicUsize::new(0),
            draws: AtomicU64::new(index as u64),
            recorder,
        });
        for (node, address) in addresses.iter().enumerate() {
            let listener = ReopenableListener::bind(*address).await?;
            tokio::spawn(worker.clone().serve_address(node, listener));
        }
        Ok(worker)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends a drain.
    pub(super) fn set_draining(&self, draining: bool) {
        self.state().draining_since = draining.then(|| self.recorder.now());
    }

    /// Ends the process: connections are reset, and new ones are refused.
    pub(super) fn end(&self) {
        self.mode.send_modify(|mode| {
            *mode = Mode {
                ended: true,
                hung: false,
                resets: mode.resets + 1,
            };
        });
    }

    /// Starts a new process, which has no function loaded.
    pub(super) fn restart(&self) {
        *self.state() = State::default();
        let (at, worker) = (self.recorder.now(), self.index);
        self.recorder
            .record(|history| history.worker_starts.push(WorkerStart { at, worker }));
        self.mode.send_modify(|mode| mode.ended = false);
    }

    /// Makes the worker hang, or answer again.
    pub(super) fn set_hung(&self, hung: bool) {
        self.mode.send_modify(|mode| mode.hung = hung);
    }

    /// Resets all connections of the process, which keeps running.
    pub(super) fn reset(&self) {
        self.mode.send_modify(|mode| mode.resets += 1);
    }

    /// Accepts the connections of one front end while the process runs.
    async fn serve_address(self: Arc<Self>, node: usize, mut listener: ReopenableListener) {
        let mut mode = self.mode.subscribe();
        loop {
            let ended = mode.borrow_and_update().ended;
            listener.set_open(!ended).await;
            tokio::select! {
                changed = mode.changed() => if changed.is_err() { return },
                stream = listener.accept() => if let Some(stream) = stream {
                    tokio::spawn(self.clone().serve_connection(node, stream));
                },
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve_connection(self: Arc<Self>, node: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // With a linger time of zero, dropping the connection resets it, as the end of a process does.
        let _ = stream.set_zero_linger();
        let mut mode = self.mode.subscribe();
        let resets = mode.borrow_and_update().resets;
        let (read, mut write) = stream.into_split();
        let (answers, mut unwritten) = mpsc::channel::<String>(MAX_UNWRITTEN);
        let mut write_mode = self.mode.subscribe();
        let writing = tokio::spawn(async move {
            while let Some(line) = unwritten.recv().await {
                let resumed = write_mode.wait_for(|mode| !mode.hung).await.is_ok();
                if !resumed || write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        tokio::select! {
            () = self.read_lines(node, read, answers) => {}
            _ = mode.wait_for(|mode| mode.resets != resets) => {}
        }
        writing.abort();
    }

    async fn read_lines(
        self: &Arc<Self>,
        node: usize,
        read: OwnedReadHalf,
        answers: mpsc::Sender<String>,
    ) {
        let mut lines = BufReader::new(read).lines();
        let mut running: BTreeMap<String, tokio::task::AbortHandle> = BTreeMap::new();
        while let Ok(Some(line)) = lines.next_line().await {
            let at = self.recorder.now();
            let Ok(request) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            let reference = request["ref"].as_str().unwrap_or_default().to_string();
            if request["cmd"] == "UNDO" {
                if let Some(task) = running.remove(&reference) {
                    task.abort();
                }
                continue;
            }
            self.record_arrival(at, node, &request);
            let handling = self.clone().handle(request, answers.clone());
            running.insert(reference, tokio::spawn(handling).abort_handle());
        }
        running.values().for_each(tokio::task::AbortHandle::abort);
    }

    /// Handles one request and answers it. While the worker hangs, the request waits.
    async fn handle(self: Arc<Self>, request: Value, answers: mpsc::Sender<String>) {
        let mut mode = self.mode.subscribe();
        if mode.wait_for(|mode| !mode.hung).await.is_err() {
            return;
        }
        let reference = request["ref"].clone();
        let answer = match request["cmd"].as_str() {
            Some("DO") => self.run_call(&request).await,
            Some("PIN") => self.load(&request).await,
            Some("METER" | "ECHO") => self.check_health(),
            _ => return,
        };
        let mut line = json!({"cmd": answer.status, "ref": reference, "payload": answer.body});
        line["opts"] = json!({"n": answer.replicas, "same": 0, "l": self.load_report()});
        let _ = answers.send(format!("{line}\n")).await;
    }

    fn load_report(&self) -> String {
        format!("inflight:{};util:0.3", self.in_flight.load(Relaxed))
    }

    /// Records that a request has arrived, whether or not it is served.
    fn record_arrival(&self, at: Duration, node: usize, request: &Value) {
        let kind = match request["cmd"].as_str() {
            Some("DO") => WorkKind::Call,
            Some("PIN") if request["opts"]["n"] != 0 => WorkKind::LoadCommand,
            Some("METER" | "ECHO") => WorkKind::HealthCheck,
            _ => return,
        };
        let worker = self.index;
        self.recorder.record(|history| {
            history.work.push(ReceivedWork {
                at,
                node,
                worker,
                kind,
            });
        });
    }

    /// Whether the worker rejects calls now because it drains. For how long it still serves calls differs from drain to
    /// drain.
    fn rejects_calls(&self) -> bool {
        let Some(since) = self.state().draining_since else {
            return false;
        };
        let share = (since.as_millis() as u64 + self.index as u64) % 10;
        let served_for = MAX_SERVICE_WHILE_DRAINING.mul_f64(share as f64 / 9.0);
        self.recorder.now() >= since + served_for
    }

    async fn run_call(&self, request: &Value) -> Answer {
        let is_full = self.in_flight.load(Relaxed) >= MAX_IN_FLIGHT;
        if is_full || self.rejects_calls() {
            return Answer::status("AGAIN");
        }
        let execution = Execution {
            at: self.recorder.now(),
            worker: self.index,
            call: request["ref"].as_str().unwrap_or_default().to_string(),
            unsafe_to_repeat: request["opts"]["sort"] == UNSAFE_CLASS,
        };
        self.recorder
            .record(|history| history.executions.push(execution));
        let _counted = CountedCall::begin(&self.in_flight);
        self.ensure_loaded(&request["opts"]["asset"]).await;
        let draw = self.draws.fetch_add(7, Relaxed) % RUN_TIME_SPREAD_MS;
        tokio::time::sleep(MIN_RUN_TIME + Duration::from_millis(draw)).await;
        Answer {
            body: request["payload"].clone(),
            ..Answer::status("ACK")
        }
    }

    async fn load(&self, request: &Value) -> Answer {
        let copies = &request["opts"]["n"];
        let only_asks = copies.as_u64() == Some(0);
        if only_asks {
            return Answer::status("ACK");
        }
        if self.state().draining_since.is_some() {
            return Answer::status("AGAIN");
        }
        self.ensure_loaded(&request["opts"]["asset"]).await;
        Answer {
            replicas: 1,
            ..Answer::status("ACK")
        }
    }

    async fn ensure_loaded(&self, function: &Value) {
        let function = function.as_str().unwrap_or_default();
        if !self.state().loaded.contains(function) {
            tokio::time::sleep(LOAD_TIME).await;
            self.state().loaded.insert(function.to_string());
        }
    }

    fn check_health(&self) -> Answer {
        let draining = self.state().draining_since.is_some();
        Answer::status(if draining { "AILING" } else { "READY" })
    }
}

/// An answer of the worker, without the reference of its request.
struct Answer {
    status: &'static str,
    body: Value,
    replicas: u32,
}

impl Answer {
    fn status(status: &'static str) -> Self {
        Answer {
            status,
            body: json!(""),
            replicas: 0,
        }
    }
}

/// Counts a call as in flight until it is dropped.
struct CountedCall<'a>(&'a AtomicUsize);

impl<'a> CountedCall<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        CountedCall(count)
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
