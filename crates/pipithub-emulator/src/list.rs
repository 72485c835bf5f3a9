//! An emulated Kubernetes API server for `EndpointSlices`, with list and watch by `resourceVersion`. It can delay changes,
//! end watches and let versions expire.

mod api;
mod slice;
mod watch;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pipithub_conformance::record::Seen;
use tokio::net::TcpListener;
use tokio::sync::Notify;

pub use self::slice::ListedWorker;
use crate::http;
use crate::recorder::Recorder;

/// How many changes are kept for watches; older versions have expired.
const MAX_HISTORY: usize = 256;

/// The state of a worker at a version of the list.
#[derive(Clone, Debug)]
struct VersionedWorker {
    version: u64,
    worker: ListedWorker,
}

/// The state of the server's tasks that is guarded by one lock.
struct State {
    /// Increases with each change.
    version: u64,
    /// The workers, by the names of their slices.
    workers: BTreeMap<String, ListedWorker>,
    history: VecDeque<VersionedWorker>,
    /// The delay of lists and of changes in watches.
    delay: Duration,
    /// A counter whose change ends all watches.
    breaks: u64,
}

/// The state that the server's tasks share.
struct Shared {
    state: Mutex<State>,
    changed: Notify,
    recorder: Recorder,
    /// The server's address, which identifies it in records.
    address: String,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of a worker.
    fn set(&self, worker: ListedWorker) {
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

    /// Ends all watches. With `forget`, the history is dropped, so that their versions have expired.
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

    /// Records that a front end is notified of the state of a worker.
    fn record_sent(&self, front_end: &str, worker: &ListedWorker) {
        let seen = Seen::EndpointNotified {
            front_end: front_end.to_string(),
            worker: format!("{}:{}", worker.ip, worker.port),
            state: worker.state.clone(),
            started_ms: Some(worker.started_ms).filter(|started| *started > 0),
        };
        self.recorder.record(&self.address, seen);
    }
}

/// A running list server. Dropping it ends the server and its connections.
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
    /// Starts a server with an empty list. `POST /control/worker` with a [`ListedWorker`] in JSON sets a worker, `POST
    /// /control/delay?ms=N` delays lists and changes by N milliseconds, `POST /control/break` ends all watches, `POST
    /// /control/forget` also drops the history. Fails if the address cannot be bound.
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
        let serving = shared.clone();
        let handle = move |request| api::serve(serving.clone(), request);
        let task = tokio::spawn(http::serve(listener, handle));
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

    /// Adds a worker or changes its state; the state `gone` removes it.
    pub fn set(&self, worker: ListedWorker) {
        self.shared.set(worker);
    }

    /// Sets the delay of lists and of changes in watches.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Ends all watches. With `forget`, the history is dropped, so that their versions have expired.
    pub fn break_watches(&self, forget: bool) {
        self.shared.break_watches(forget);
    }
}
