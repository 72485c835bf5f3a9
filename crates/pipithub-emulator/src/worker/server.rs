//! The worker on a socket: its connections, its timer, its fetches from the store and its records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pipithub_amqp::Time;
use pipithub_conformance::record::Seen;
use pipithub_inference::orca::Report;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;

use super::core::{Placement, Rejection, WorkerCore, WorkerEvent};
use super::inference::handle_request;
use super::settings::{NANOS_PER_MS, WorkerSettings};
use crate::clock::Clock;
use crate::http;
use crate::recorder::Recorder;

/// The core's answer to a request or a command.
pub(super) enum Reply {
    Inference {
        result: Result<Placement, Rejection>,
        /// The number of requests for the same model that were in flight when this one arrived.
        concurrency: u32,
    },
    Command {
        /// The number of replicas that are ready.
        replicas: u32,
        result: Result<(), Rejection>,
    },
}

/// A request or a command that the core has not answered yet.
pub(super) struct PendingReply {
    pub(super) id: u64,
    pub(super) receiver: oneshot::Receiver<Reply>,
}

/// The names under which a queued request will be recorded when it starts to run.
pub(super) struct QueuedName {
    pub(super) request: String,
    pub(super) key: Option<String>,
}

/// The state of the worker's tasks that is guarded by one lock.
pub(super) struct State {
    pub(super) core: WorkerCore,
    next_id: u64,
    repliers: HashMap<u64, oneshot::Sender<Reply>>,
    pub(super) queued_names: HashMap<u64, QueuedName>,
    /// Whether inference requests run but are not answered.
    is_silent: bool,
}

impl State {
    /// Registers a request or a command.
    pub(super) fn register(&mut self) -> PendingReply {
        let (sender, receiver) = oneshot::channel();
        let id = self.next_id;
        self.next_id += 1;
        self.repliers.insert(id, sender);
        PendingReply { id, receiver }
    }

    fn reply(&mut self, id: u64, reply: Reply) {
        if let Some(sender) = self.repliers.remove(&id) {
            // The client may have disconnected.
            let _ = sender.send(reply);
        }
    }
}

/// The state that the worker's tasks share.
pub(super) struct Shared {
    state: Mutex<State>,
    clock: Clock,
    /// Wakes the timer, as its due time may have changed.
    timer: Notify,
    /// Notified when the worker fails because of an overload.
    overloaded: Notify,
    recorder: Recorder,
    /// The worker's address, which identifies it in records.
    address: String,
    /// The address of the store; `None` if models are not fetched.
    pub(super) store: Option<String>,
    pub(super) deduplication_window: Duration,
}

/// A running worker. Dropping it ends the worker and its connections.
pub struct WorkerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl WorkerServer {
    /// Starts a worker on an address, with the address of the store that it fetches models from. Fails if the worker's
    /// address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        settings: WorkerSettings,
        store: Option<String>,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::default();
        let up = Seen::WorkerUp {
            capacity: settings.capacity(),
            cold_from: settings.initial_weight,
            ramp_ms: settings.slow_start_window / NANOS_PER_MS,
        };
        recorder.record(&address.to_string(), up);
        let deduplication_window = Duration::from_nanos(settings.deduplication_window);
        let state = State {
            core: WorkerCore::new(settings, store.is_some(), clock.now()),
            next_id: 1,
            repliers: HashMap::new(),
            queued_names: HashMap::new(),
            is_silent: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            clock,
            timer: Notify::new(),
            overloaded: Notify::new(),
            recorder,
            address: address.to_string(),
            store,
            deduplication_window,
        });
        let mut tasks = JoinSet::new();
        let serving = shared.clone();
        let handle = move |request| handle_request(serving.clone(), request);
        tasks.spawn(http::serve(listener, handle));
        tasks.spawn(run_timer(shared.clone()));
        Ok(WorkerServer {
            address,
            shared,
            tasks,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops answering inference requests, or answers them again. Requests that end while the worker is silent are
    /// never answered.
    pub fn set_silent(&self, silent: bool) {
        self.shared.lock().is_silent = silent;
    }

    /// Waits until the worker fails because of an overload.
    pub async fn overloaded(&self) {
        self.shared.overloaded.notified().await;
    }

    /// The number of requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.shared.lock().core.in_flight()
    }

    /// Ends the worker and its connections at once.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_silent(&self) -> bool {
        self.lock().is_silent
    }

    pub(super) fn record(&self, seen: Seen) {
        self.recorder.record(&self.address, seen);
    }

    /// Runs an action on the core, then handles the events that it caused.
    pub(super) fn act<T>(self: &Arc<Self>, action: impl FnOnce(&mut State, Time) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = action(&mut state, now);
        for event in state.core.take_events() {
            self.handle_event(&mut state, event);
        }
        drop(state);
        self.timer.notify_one();
        result
    }

    fn handle_event(self: &Arc<Self>, state: &mut State, event: WorkerEvent) {
        match event {
            WorkerEvent::Running { id, dropped } => {
                if let Some(QueuedName { request, key }) = state.queued_names.remove(&id) {
                    self.record(Seen::Ran {
                        request,
                        key,
                        dropped,
                    });
                }
            }
            WorkerEvent::Finished {
                id,
                result,
                concurrency,
            } => {
                state.queued_names.remove(&id);
                let reply = Reply::Inference {
                    result,
                    concurrency,
                };
                state.reply(id, reply);
            }
            WorkerEvent::CommandFinished {
                id,
                replicas,
                result,
            } => state.reply(id, Reply::Command { replicas, result }),
            WorkerEvent::Fetch(model) => {
                tokio::spawn(fetch(self.clone(), model));
            }
            WorkerEvent::Overloaded { received, bound } => {
                self.record(Seen::Overloaded {
                    sent: received,
                    bound,
                });
                self.overloaded.notify_one();
            }
        }
    }

    /// The load report that each response carries.
    pub(super) fn load_report(&self) -> String {
        let state = self.lock();
        let core = &state.core;
        let mut report = Report::default();
        report.set("cpu_utilization", core.cpu_utilization());
        report.set("mem_utilization", core.memory_utilization());
        report.set("named_metrics.inflight", core.in_flight() as f64);
        report.set("named_metrics.loading", core.loading() as f64);
        report.to_text()
    }
}

/// Cancels a request or a command when it is dropped before the reply, because the client has disconnected.
pub(super) struct CancelGuard {
    shared: Arc<Shared>,
    id: u64,
    armed: bool,
}

impl CancelGuard {
    pub(super) fn new(shared: Arc<Shared>, id: u64) -> Self {
        CancelGuard {
            shared,
            id,
            armed: true,
        }
    }

    /// Keeps the guard from cancelling, as the reply has arrived.
    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed {
            let id = self.id;
            self.shared.act(|state, now| {
                state.core.cancel(now, id);
                state.repliers.remove(&id);
            });
        }
    }
}

async fn fetch(shared: Arc<Shared>, model: String) {
    let succeeded = match &shared.store {
        Some(store) => crate::store::fetch(store, &model).await,
        None => true,
    };
    shared.act(|state, now| state.core.fetched(now, &model, succeeded));
}

async fn run_timer(shared: Arc<Shared>) {
    loop {
        let due = shared.lock().core.next_due();
        tokio::select! {
            () = shared.clock.sleep_until(due) => shared.act(|state, now| state.core.on_time(now)),
            () = shared.timer.notified() => {}
        }
    }
}
