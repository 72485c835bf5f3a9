//! An emulated Kubernetes API server for `EndpointSlices`: list and watch with `resourceVersion`, expired versions,
//! breaks, and lists that are late.

mod api;
mod slice;
mod watch;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pipithub_conformance::record::Seen;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

pub use self::slice::Listed;
use crate::accept::next_stream;
use crate::recorder::Recorder;

/// Changes that are kept for watches; older versions have expired.
const MAX_HISTORY: usize = 256;

/// A worker as it stood at a version of the list.
#[derive(Clone, Debug)]
struct VersionedWorker {
    version: u64,
    worker: Listed,
}

/// What the server's tasks share under one lock.
struct State {
    /// Rises with each change.
    version: u64,
    /// The workers, by the names of their slices.
    workers: BTreeMap<String, Listed>,
    history: VecDeque<VersionedWorker>,
    /// By how much answers and changes are late.
    delay: Duration,
    /// Raised to end all watches.
    breaks: u64,
}

/// What the server's tasks share.
struct Shared {
    state: Mutex<State>,
    changed: Notify,
    recorder: Recorder,
    /// The server's address, as the records name it.
    address: String,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of a worker.
    fn set(&self, worker: Listed) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        if worker.is_removed() {
            state.workers.remove(&worker.slice_name());
        } else {
            state.workers.insert(worker.slice_name(), worker.clone());
        }
        state.history.push_back(VersionedWorker { version, worker });
        while state.history.len() > MAX_HISTORY {
            state.history.pop_front();
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends all watches; `forget` makes all their versions too old.
    fn break_watches(&self, forget: bool) {
        let mut state = self.lock();
        state.breaks += 1;
        if forget {
            state.version += 1;
            state.history.clear();
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records that a front end is sent the state of a worker.
    fn record_sent(&self, front_end: &str, worker: &Listed) {
        let seen = Seen::Told {
            front_end: front_end.to_string(),
            worker: format!("{}:{}", worker.ip, worker.port),
            state: worker.state.clone(),
            started_ms: Some(worker.started_ms).filter(|started| *started > 0),
        };
        self.recorder.note(&self.address, seen);
    }
}

/// A list server that is running; it ends when dropped.
pub struct ListServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for ListServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ListServer {
    /// Starts a server that lists nothing yet. `POST /control/worker` with a [`Listed`] in JSON sets a worker, `POST
    /// /control/delay?ms=N` holds back changes, `POST /control/break` ends all watches, `POST /control/forget` drops
    /// the history.
    pub async fn start(listen: SocketAddr, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State {
            version: 1,
            workers: BTreeMap::new(),
            history: VecDeque::new(),
            delay: Duration::ZERO,
            breaks: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Notify::new(),
            recorder,
            address: address.to_string(),
        });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(ListServer {
            address,
            shared,
            task,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of a worker; `gone` removes it.
    pub fn set(&self, worker: Listed) {
        self.shared.set(worker);
    }

    /// Holds changes back for so long.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Ends all watches; `forget` makes all their versions too old.
    pub fn break_watches(&self, forget: bool) {
        self.shared.break_watches(forget);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    while let Some(stream) = next_stream(&listener).await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(|request| api::serve(shared.clone(), request));
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
