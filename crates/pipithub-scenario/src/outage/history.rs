//! What the coordinator, the workers and the clients saw.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::plan::{EndpointState, OutageKind};

/// A point in time, counted from the begin of the run.
pub type Instant = Duration;

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// When discovery had it.
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
    /// The time of the last moment at which discovery could be reached.
    pub begin: Instant,
    /// When discovery could be reached again; `None` if that never was.
    pub end: Option<Instant>,
    /// After which time a change counts as notified.
    pub notification_delay: Duration,
}

/// What a worker was sent.
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
    /// When its line had arrived.
    pub at: Instant,
    /// The front end that sent it.
    pub node: usize,
    /// The index of the worker that received it.
    pub worker: usize,
    /// The kind of request that the line was.
    pub kind: WorkKind,
}

/// The execution of a call by a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The time at which the worker began to run it.
    pub at: Instant,
    /// The index of the worker that ran it.
    pub worker: usize,
    /// The name of the call.
    pub call: String,
    /// Whether it must not run twice.
    pub unsafe_to_repeat: bool,
}

/// The start of a worker process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerStart {
    /// The time from which the new process accepts connections.
    pub at: Instant,
    /// The index of the worker whose place it takes.
    pub worker: usize,
}

/// A start, a signal or the end of a front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The process was started, with the list of that time in its configuration.
    Started,
    /// SIGTERM was sent to its process.
    Terminated,
    /// It was killed, or had ended by then.
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
    /// The call was rejected: a retry is harmless.
    Rejected,
    /// The call failed and may have run.
    Failed,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// It got an answer.
    Answered {
        /// The time at which the answer was read.
        at: Instant,
        /// The kind of answer.
        kind: AnswerKind,
    },
    /// Its connection ended without an answer.
    Closed {
        /// The time at which the end of the connection was read.
        at: Instant,
    },
    /// Nothing came until the end of the run.
    Pending,
}

/// A call of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The front end that it was sent to.
    pub node: usize,
    /// The name of the call, which no other call has.
    pub call: String,
    /// When its last byte was written.
    pub sent: Instant,
    /// How long the client waits.
    pub timeout: Duration,
    /// Answers beyond the first one.
    pub further_answers: u32,
    /// How the call ended for its client.
    pub end: ClientEnd,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Changes of the list, by time.
    pub changes: Vec<EndpointChange>,
    /// The times in which front ends could not reach discovery.
    pub outages: Vec<OutageRecord>,
    /// Work that arrived at workers, by time for each worker.
    pub work: Vec<ReceivedWork>,
    /// Calls that workers ran, by time for each worker.
    pub executions: Vec<Execution>,
    /// Starts of worker processes after the first.
    pub worker_starts: Vec<WorkerStart>,
    /// Starts and ends of front ends.
    pub nodes: Vec<NodeRecord>,
    /// All calls of all clients.
    pub calls: Vec<CallRecord>,
}

/// A history that several tasks write.
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

    /// The time since the begin of the run.
    pub(super) fn now(&self) -> Instant {
        self.start.elapsed()
    }

    /// Lets `write` add to the history.
    pub(super) fn record(&self, write: impl FnOnce(&mut History)) {
        write(&mut self.history.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes out all that was recorded so far.
    pub(super) fn take(&self) -> History {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut history)
    }

    /// Records the begin of an outage for a front end.
    pub(super) fn begin_outage(&self, node: usize, kind: OutageKind) {
        self.begin_outage_for(node, kind.notification_delay());
    }

    /// Records that discovery gets out of reach and that changes count as notified after this time.
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

    /// Records that discovery can be reached again.
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

    /// Records an event of a front end.
    pub(super) fn node_event(&self, node: usize, event: NodeEvent) {
        let at = self.now();
        self.record(|history| history.nodes.push(NodeRecord { at, node, event }));
    }
}
