//! The history of a run: what the coordinator, the workers and the clients saw.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::plan::{EndpointState, OutageKind};

/// A point in time, as the time since the start of the run.
pub type Instant = Duration;

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// When discovery published the change.
    pub at: Instant,
    /// The index of the worker that changed.
    pub worker: usize,
    /// The state that the endpoint list gives it from then on.
    pub state: EndpointState,
}

/// A time in which discovery was out of reach of a front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutageRecord {
    /// The index of the front end that could not reach discovery.
    pub node: usize,
    /// When the outage began.
    pub begin: Instant,
    /// When discovery could be reached again; `None` if the outage did not end.
    pub end: Option<Instant>,
    /// The time since `begin` after which the front end counts as notified of a change at the latest.
    pub notification_delay: Duration,
}

/// A request for the list that a front end sent to discovery, whether or not it was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// When discovery had read the request.
    pub at: Instant,
    /// The index of the front end.
    pub node: usize,
}

/// The kinds of work that a worker is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A request to run a call.
    Call,
    /// A command to load replicas of a function.
    LoadCommand,
    /// A health check or a load poll.
    HealthCheck,
}

/// Work that has arrived at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedWork {
    /// When the worker had read the line of the request.
    pub at: Instant,
    /// The index of the front end that sent the work.
    pub node: usize,
    /// The index of the worker that received it.
    pub worker: usize,
    /// The kind of work.
    pub kind: WorkKind,
}

/// The execution of a call by a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The time at which the worker began to run the call.
    pub at: Instant,
    /// The index of the worker that ran the call.
    pub worker: usize,
    /// The name of the call.
    pub call: String,
    /// Whether the call must not run twice.
    pub unsafe_to_repeat: bool,
}

/// The start of a worker process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerStart {
    /// The time from which the new process accepts connections.
    pub at: Instant,
    /// The index of the worker that the process belongs to.
    pub worker: usize,
}

/// A start, a signal or the end of a front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The process was started, with the current endpoint list in its configuration.
    Started,
    /// SIGTERM was sent to the process.
    Terminated,
    /// The process was killed, or had already ended.
    Killed,
}

/// An event of a front end, with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// The time of the event.
    pub at: Instant,
    /// The index of the front end.
    pub node: usize,
    /// The event itself.
    pub event: NodeEvent,
}

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The call was served with the body that its worker gave.
    Served,
    /// The call was rejected, so it did not run and may be retried.
    Rejected,
    /// The call failed and may have run.
    Failed,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// The client got an answer.
    Answered {
        /// The time at which the answer was read.
        at: Instant,
        /// The kind of answer.
        kind: AnswerKind,
    },
    /// The connection ended without an answer.
    Closed {
        /// The time at which the end of the connection was read.
        at: Instant,
    },
    /// The call has no answer yet, and its connection is open.
    Pending,
}

/// A call of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The index of the front end that the call was sent to.
    pub node: usize,
    /// The name of the call, which is unique within a run.
    pub call: String,
    /// When the client began to write the call.
    pub sent: Instant,
    /// How long the client waits for the answer.
    pub timeout: Duration,
    /// The number of answers after the first one.
    pub further_answers: u32,
    /// How the call ended for its client.
    pub end: ClientEnd,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Changes of the endpoint list, by time.
    pub changes: Vec<EndpointChange>,
    /// The times in which front ends could not reach discovery.
    pub outages: Vec<OutageRecord>,
    /// Requests for the list, by time.
    pub list_requests: Vec<ListRequest>,
    /// Work that arrived at workers.
    pub work: Vec<ReceivedWork>,
    /// Calls that workers ran.
    pub executions: Vec<Execution>,
    /// Starts of worker processes, except the first process of each worker.
    pub worker_starts: Vec<WorkerStart>,
    /// Starts and ends of front ends.
    pub nodes: Vec<NodeRecord>,
    /// All calls of all clients.
    pub calls: Vec<CallRecord>,
}

/// A history that several tasks write to.
#[derive(Debug)]
pub(super) struct Recorder {
    start: std::time::Instant,
    history: Mutex<History>,
}

impl Recorder {
    pub(super) fn new() -> Self {
        Recorder {
            start: std::time::Instant::now(),
            history: Mutex::default(),
        }
    }

    /// The time since the start of the run.
    pub(super) fn now(&self) -> Instant {
        self.start.elapsed()
    }

    /// Calls `write` to add to the history.
    pub(super) fn record(&self, write: impl FnOnce(&mut History)) {
        write(&mut self.history.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes the history recorded so far, and leaves an empty one.
    pub(super) fn take(&self) -> History {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut history)
    }

    /// Records the begin of an outage for a front end.
    pub(super) fn begin_outage(&self, node: usize, kind: OutageKind) {
        self.begin_outage_for(node, kind.notification_delay());
    }

    /// Records that discovery gets out of reach of a front end, which counts as notified of changes after this time
    /// at the latest.
    pub(super) fn begin_outage_for(&self, node: usize, notification_delay: Duration) {
        let begin = self.now();
        self.record(|history| {
            history.outages.push(OutageRecord {
                node,
                begin,
                end: None,
                notification_delay,
            });
        });
    }

    /// Records that a front end can reach discovery again.
    pub(super) fn end_outage(&self, node: usize) {
        let end = self.now();
        self.record(|history| {
            let open = |outage: &&mut OutageRecord| outage.node == node && outage.end.is_none();
            history
                .outages
                .iter_mut()
                .filter(open)
                .for_each(|outage| outage.end = Some(end));
        });
    }

    /// Records that discovery has read a request of a front end for the list.
    pub(super) fn list_request(&self, node: usize) {
        let at = self.now();
        self.record(|history| history.list_requests.push(ListRequest { at, node }));
    }

    /// Records an event of a front end.
    pub(super) fn node_event(&self, node: usize, event: NodeEvent) {
        let at = self.now();
        self.record(|history| history.nodes.push(NodeRecord { at, node, event }));
    }
}
