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
/// The caller chooses the numbers. They are below 2^61: a timer's token is a request's number or
/// one with a flag above these bits.
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
    /// The worker finishes its requests and must get no new one.
    Draining,
    /// The worker has left, and must get no new request.
    Removed,
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The workers that changed; all others stay as they are.
    Delta,
    /// Every worker there is; all others count as removed.
    Snapshot,
    /// Every worker, as this front end last saw the list. It may be out of date, and is otherwise
    /// handled as a snapshot.
    Cached,
    /// No list came, as a call failed or the watch ended; the workers stay as they are.
    Lost,
}

/// One worker in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The address that identifies the worker.
    pub worker: WorkerId,
    /// Its capacity beside that of the other workers, in any unit; 0 where it is not known.
    pub weight: f64,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// The zone in which it runs; empty where it is not known.
    pub zone: String,
    /// The cell in which it runs; used for [`DeduplicationScope::Cell`] only.
    pub cell: u64,
    /// Its memory for replicas, in MB; 0 where it is not known, which counts as enough.
    pub memory_mb: f64,
    /// The time at which its process started, on the clock of [`crate::FrontEnd::handle`]; `None`:
    /// long ago. Another value than before means that it has restarted.
    pub started_at: Option<Time>,
}

/// A request that a client has sent to this front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifies the request in all events and actions.
    pub id: RequestId,
    /// The work that it is expected to take, in nanoseconds; `None` where it is not known, which
    /// counts as 0.
    pub expected_work: Option<Time>,
    /// Memory of one loaded replica of its function, in MB.
    pub memory_mb: f64,
    /// Requests that one replica of its function runs at a time; 0 counts as 1.
    pub replica_concurrency: u32,
    /// Its class, as an index into [`Settings::classes`]; a larger number counts as the last class.
    pub class: usize,
    /// The usual time of a load of its function, in nanoseconds; `None` or 0 where it is not known.
    pub load_time: Option<Time>,
    /// The function that must be loaded where it runs.
    pub function: FunctionId,
    /// How long the client waits for this answer, in nanoseconds; `None`: the `client_timeout` of
    /// its class.
    pub timeout: Option<Time>,
}

/// How an attempt or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered; of a load command: the replicas are loaded.
    Served,
    /// The worker answered with an error; the request may have run.
    Error,
    /// The worker rejected the request at capacity: it never ran.
    Rejected,
    /// No answer came in time; the request may have run or still run.
    TimedOut,
    /// No connection could be established: the request never ran.
    Unreachable,
    /// The connection broke before the answer; the request may have run.
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

/// What an answer tells about the replica that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// The replica was loaded before the request came.
    Warm,
    /// The request started a load and waited for it.
    LoadStarted,
    /// The request waited for a load that another one had started.
    LoadAwaited,
    /// The request started a load that failed.
    LoadFailed,
}

/// A worker's own report of its load; a part that it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the worker, from all front ends.
    pub in_flight: Option<f64>,
    /// How busy its cores are, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// The share of its memory that cannot be freed, from 0 to 1.
    pub pinned_memory: Option<f64>,
    /// Loads that are in progress or queued.
    pub pending_loads: Option<f64>,
}

/// What the source of the endpoint list shows of itself, where it gives signs of life.
///
/// As long as no contact was reported, the list is relied on without a limit of age: then nothing
/// tells a list that does not change from one that is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListContact {
    /// The front end begins to follow the list; it was started with the list of that time.
    Requested,
    /// The source has answered a request to follow the list. It may be about to send changes.
    Answered,
    /// The source has given a sign of life behind all changes so far: the list was current when it
    /// was sent.
    Current,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The worker is in service.
    Healthy,
    /// The worker is not in service, as when it drains.
    Unhealthy,
    /// No answer came in time.
    Unanswered,
    /// No connection could be established, or it broke.
    Disconnected,
}

/// The end of a health check that [`Action::CheckHealth`] started.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthChecked {
    /// The worker that was checked.
    pub worker: WorkerId,
    /// How the check ended.
    pub outcome: HealthCheckOutcome,
    /// The time since the check was sent, in nanoseconds: what it proves was so at some time since
    /// then.
    pub elapsed: Time,
    /// When the connection was established on which the answer came, on the clock of
    /// [`crate::FrontEnd::handle`]; 0 where it is not known or none came.
    pub connected_at: Time,
}

/// The end of an attempt that [`Action::Forward`] started.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request that the attempt was for.
    pub request: RequestId,
    /// Which of its attempts it was, from 0.
    pub attempt: u32,
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// How the attempt ended, and so whether the request may have run.
    pub outcome: Outcome,
    /// How long it took, in nanoseconds.
    pub elapsed: Time,
    /// Whether the request has its final answer, by this outcome or before it; else it is retried
    /// or ended by an action.
    pub settled: bool,
    /// What the answer tells about the replica; `None` where it does not.
    pub replica_status: Option<ReplicaStatus>,
    /// Requests of the function that the worker had in flight when this one came, itself not
    /// included; `None` where the answer does not tell.
    pub function_concurrency: Option<u32>,
    /// The worker's load report that came with the answer; all parts `None` where none came.
    pub load_report: LoadReport,
}

/// The reply to an [`Action::LoadFunction`].
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFinished {
    /// The worker that the command was sent to.
    pub worker: WorkerId,
    /// The function that it was to load.
    pub function: FunctionId,
    /// How the command ended; [`Outcome::Served`]: the replicas are loaded.
    pub outcome: Outcome,
    /// How long it took, in nanoseconds.
    pub elapsed: Time,
    /// How many replicas are loaded now.
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
    /// The answer of a streamed request has started, so that the request has no deadline any more.
    Streaming {
        /// The request whose answer has started.
        request: RequestId,
    },
    /// The client has cancelled a request; it gets no final answer.
    ClientCancelled {
        /// The request that was cancelled.
        request: RequestId,
    },
    /// A load poll has ended.
    LoadPolled {
        /// The worker that was polled.
        worker: WorkerId,
        /// Whether it answered in time; if not it counts as fully loaded.
        answered: bool,
        /// Its load report; all parts `None` where none came.
        report: LoadReport,
    },
    /// A load command has ended.
    LoadFinished(LoadFinished),
    /// The source of the endpoint list has shown something of itself.
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
        /// The number of that front end.
        from: u32,
        /// The message as it came.
        bytes: Vec<u8>,
    },
}

/// An action that the caller is to take, in the order in which the actions were given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker: a new attempt. One [`Event::AttemptFinished`] follows.
    Forward {
        /// The request to send; its attempts count from 0.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// The time after which the attempt is to be given up, in nanoseconds; `None`: when the
        /// client gives up.
        timeout: Option<Time>,
    },
    /// Stop waiting for an attempt, which then ends as [`Outcome::Cancelled`].
    Cancel {
        /// The request that the attempt is for.
        request: RequestId,
        /// Which of its attempts to cancel, from 0.
        attempt: u32,
    },
    /// Give the final answer that the request was not served, and that a retry is harmless.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before a retry, in nanoseconds; `None`: nothing is said.
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
        /// The least number of replicas to have loaded; 0 only asks how many are loaded.
        replicas: u32,
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
        /// The token to give back with the event.
        token: u64,
    },
    /// Ask that updates of the endpoint list be sent from now on.
    WatchEndpoints,
}
