//! The interface of the decision module: settings, events and actions as plain types.
//!
//! All times are in nanoseconds. A [`Time`] is a duration unless its description says otherwise;
//! the time of an event is an argument of [`crate::FrontEnd::handle`].

mod settings;

use std::sync::Arc;

pub use pipithub_clock::Time;

pub use self::settings::{
    Class, Costs, DeduplicationScope, FunctionLoading, Idempotency, Limits, LoadRateLimit,
    Settings, SlowStart,
};

/// Identifies one attempt of a client at a request; never used twice.
///
/// The caller chooses the numbers. They must be below 2^61: a timer's token is a request's number,
/// to which the front end may add flags in the higher bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The address of a worker, exactly as the endpoint list spells it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

impl WorkerId {
    /// Makes an id from an address as the endpoint list spells it.
    pub fn new(address: &str) -> Self {
        WorkerId(Arc::from(address))
    }
}

impl Default for WorkerId {
    fn default() -> Self {
        WorkerId::new("")
    }
}

/// The function that a request needs loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);

/// Whether a worker in the endpoint list may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker may be sent requests.
    #[default]
    Ready,
    /// The worker finishes its requests and must not be sent new ones.
    Draining,
    /// The worker has left and must not be sent requests.
    Removed,
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The workers that changed; all others stay as they are.
    Delta,
    /// All workers; a known worker that the update does not name counts as removed.
    Snapshot,
    /// All workers, as in the list that this front end received last. The list may be out of date;
    /// it is handled like a snapshot.
    Cached,
    /// No list was received, because a call failed or the watch ended; the workers stay as they
    /// are.
    Lost,
}

/// One worker in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The address that identifies the worker.
    pub worker: WorkerId,
    /// The capacity of the worker relative to the other workers, in any unit; 0 if it is not known.
    pub weight: f64,
    /// Whether the worker may be sent requests.
    pub state: EndpointState,
    /// The zone in which the worker runs; empty if it is not known.
    pub zone: String,
    /// The cell in which the worker runs; used for [`DeduplicationScope::Cell`] only.
    pub cell: u64,
    /// The worker's memory for replicas, in MB; 0 if it is not known, which counts as enough.
    pub memory_mb: f64,
    /// The time at which the worker's process started, on the clock of [`crate::FrontEnd::handle`];
    /// `None` if it started long ago. A changed value means that the worker has restarted.
    pub started_at: Option<Time>,
}

/// A request that a client has sent to this front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifies the request in all events and actions.
    pub id: RequestId,
    /// The work that the request is expected to take, in nanoseconds; `None` if it is not known,
    /// which counts as 0.
    pub expected_work: Option<Time>,
    /// Memory of one loaded replica of the function, in MB.
    pub memory_mb: f64,
    /// The number of requests that one replica of the function runs at a time; 0 counts as 1.
    pub replica_concurrency: u32,
    /// The class, as an index into [`Settings::classes`]; a larger number counts as the last class.
    pub class: usize,
    /// The usual time of a load of the function, in nanoseconds; `None` or 0 if it is not known.
    pub load_time: Option<Time>,
    /// The function that must be loaded at the worker that runs the request.
    pub function: FunctionId,
    /// How long the client waits for the final answer, in nanoseconds; `None` means the
    /// `client_timeout` of the class.
    pub timeout: Option<Time>,
}

/// How an attempt or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered. For a load command: the replicas are loaded.
    Served,
    /// The worker answered with an error; the request may have run.
    Error,
    /// The worker rejected the request because it was at capacity: the request never ran.
    Rejected,
    /// No answer came in time; the request may have run or still run.
    TimedOut,
    /// No connection could be established: the request never ran.
    Unreachable,
    /// The connection was lost before the answer; the request may have run.
    ConnectionLost,
    /// The attempt was cancelled; the request may have run or still run.
    Cancelled,
    /// The attempt was not sent: the request never ran.
    NotSent,
    /// The function is not loaded at the worker, or its load failed: the request never ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent | Outcome::NotLoaded
        )
    }
}

/// What an answer states about the replica that served the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// The replica was loaded before the request arrived.
    Warm,
    /// The request started a load and waited for it.
    LoadStarted,
    /// The request waited for a load that another request had started.
    LoadAwaited,
    /// The request started a load that failed.
    LoadFailed,
}

/// A worker's own report of its load; a value that the worker does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the worker, from all front ends.
    pub in_flight: Option<f64>,
    /// The utilization of the worker's cores, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// The share of the worker's memory that cannot be freed, from 0 to 1.
    pub pinned_memory: Option<f64>,
    /// The number of loads that are in progress or queued.
    pub pending_loads: Option<f64>,
}

/// A contact with the source of the endpoint list, if that source sends heartbeats.
///
/// Until the first contact is reported, the front end relies on the list however old it is: without
/// heartbeats, a list that does not change cannot be told from one whose source is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListContact {
    /// The front end begins to watch the list, starting from the list that it has at that time.
    Started,
    /// The front end sends a request to watch the list to the source, on an established connection. The
    /// source may never answer it.
    Requested,
    /// The source has sent a heartbeat after all changes so far: the list was current when the
    /// heartbeat was sent.
    Current,
    /// The connection to the source has ended.
    Disconnected,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The worker is in service.
    Healthy,
    /// The worker is not in service, for example because it drains.
    Unhealthy,
    /// No answer came in time.
    Unanswered,
    /// No connection could be established, or the connection was lost.
    Disconnected,
}

/// The end of a health check that [`Action::CheckHealth`] started.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthChecked {
    /// The worker that was checked.
    pub worker: WorkerId,
    /// How the check ended.
    pub outcome: HealthCheckOutcome,
    /// The time since the check was sent, in nanoseconds. The outcome held at some time after that.
    pub elapsed: Time,
    /// When the connection on which the answer came was established, on the clock of
    /// [`crate::FrontEnd::handle`]; 0 if the time is not known or no answer came.
    pub connected_at: Time,
}

/// The end of an attempt that [`Action::Forward`] started.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request that the attempt was for.
    pub request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub attempt: u32,
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// How the attempt ended, and so whether the request may have run.
    pub outcome: Outcome,
    /// How long the attempt took, in nanoseconds.
    pub elapsed: Time,
    /// Whether the request has its final answer, from this outcome or an earlier one; otherwise an
    /// action retries or ends the request.
    pub settled: bool,
    /// What the answer states about the replica; `None` if it states nothing.
    pub replica_status: Option<ReplicaStatus>,
    /// The number of requests of the function that the worker had in flight when this request
    /// arrived, not counting this one; `None` if the answer does not state it.
    pub function_concurrency: Option<u32>,
    /// The worker's load report that came with the answer; all values are `None` if there was none.
    pub load_report: LoadReport,
}

/// The reply to an [`Action::LoadFunction`].
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFinished {
    /// The worker that the command was sent to.
    pub worker: WorkerId,
    /// The function to load.
    pub function: FunctionId,
    /// How the command ended; [`Outcome::Served`] means that the replicas are loaded.
    pub outcome: Outcome,
    /// How long the command took, in nanoseconds.
    pub elapsed: Time,
    /// The number of replicas that are loaded now.
    pub replicas: u32,
}

/// An event that [`crate::FrontEnd::handle`] reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// Which workers the update covers.
        update: EndpointUpdate,
        /// The workers, each at most once.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request.
    Arrived(Request),
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The streamed answer of a request has started; the request no longer has a deadline.
    Streaming {
        /// The request whose answer has started.
        request: RequestId,
    },
    /// The client has cancelled a request, which gets no final answer.
    ClientCancelled {
        /// The request that was cancelled.
        request: RequestId,
    },
    /// A load poll has ended.
    LoadPolled {
        /// The worker that was polled.
        worker: WorkerId,
        /// Whether the worker answered in time; otherwise it counts as fully loaded.
        answered: bool,
        /// The worker's load report; all values are `None` if there was none.
        report: LoadReport,
    },
    /// A load command has ended.
    LoadFinished(LoadFinished),
    /// There was a contact with the source of the endpoint list.
    EndpointListContact(EndpointListContact),
    /// A health check has ended.
    HealthChecked(HealthChecked),
    /// A worker has closed or reset a connection on which nothing was in flight.
    WorkerDisconnected {
        /// The worker.
        worker: WorkerId,
    },
    /// A timer has expired.
    Timer {
        /// The token that [`Action::SetTimer`] gave.
        token: u64,
    },
    /// A message from another front end; it is ignored.
    Peer {
        /// The number of the other front end.
        from: u32,
        /// The message as it was received.
        bytes: Vec<u8>,
    },
}

/// An action for the caller. Actions are taken in the order in which they were returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker as a new attempt. One [`Event::AttemptFinished`] follows.
    Forward {
        /// The request to send; its attempts are numbered from 0.
        request: RequestId,
        /// The worker to send the request to.
        worker: WorkerId,
        /// The time after which to give up the attempt, in nanoseconds; `None` means when the
        /// client gives up.
        timeout: Option<Time>,
        /// The time from which the request must not be written to the worker any more, on the clock of
        /// [`crate::FrontEnd::handle`]; `None` if there is no limit. An attempt that is not written
        /// completely before then ends with [`Outcome::NotSent`].
        send_by: Option<Time>,
    },
    /// Stop waiting for an attempt, which then ends with [`Outcome::Cancelled`]. It ends only once the
    /// worker has been told to give it up; until then it is in flight, and another outcome may come.
    Cancel {
        /// The request that the attempt is for.
        request: RequestId,
        /// The number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Give the final answer that the request was not served, and that a retry is harmless.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before a retry, in nanoseconds; `None` if the answer
        /// does not state it.
        retry_after: Option<Time>,
    },
    /// Give the final answer that the request failed and may have run.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Make a worker load replicas of a function. One [`Event::LoadFinished`] follows.
    LoadFunction {
        /// The worker that is to load them.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// The least number of replicas to have loaded; 0 only queries how many are loaded.
        replicas: u32,
        /// The time from which the command must not be written to the worker any more, as for
        /// [`Action::Forward`].
        send_by: Option<Time>,
    },
    /// Make a worker evict its idle replicas of a function.
    EvictFunction {
        /// The worker that is to evict them.
        worker: WorkerId,
        /// The function to evict.
        function: FunctionId,
    },
    /// Poll a worker for its load. One [`Event::LoadPolled`] follows.
    PollLoad {
        /// The worker to poll.
        worker: WorkerId,
    },
    /// Check whether a worker is in service. One [`Event::HealthChecked`] follows.
    CheckHealth {
        /// The worker to check.
        worker: WorkerId,
    },
    /// Set a timer. One [`Event::Timer`] follows.
    SetTimer {
        /// The time from now until it expires, in nanoseconds.
        after: Time,
        /// The token to return with the event.
        token: u64,
    },
    /// Request updates of the endpoint list from now on.
    WatchEndpoints,
}
