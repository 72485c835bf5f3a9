//! The interface of the decision module: settings, events and actions as plain types.
//!
//! All times are nanoseconds. A [`Time`] in an event is a length unless its text says otherwise; the
//! clock itself is handed to [`crate::FrontEnd::handle`].

use std::sync::Arc;

pub use pipithub_clock::Time;

/// Identifies one attempt of a client at a request; never used twice.
///
/// The caller chooses the numbers. They are below 2^61: a timer's token is a request's number or one
/// with a flag above these bits.
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
    /// Wraps an address.
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

/// Whether a request may be retried once it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be retried freely.
    #[default]
    Idempotent,
    /// Carries an idempotency key; retries are dropped within a scope of workers for a while.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The workers that drop each other's retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    #[default]
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests and the value of its answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has its full value.
    pub latency_objective: Time,
    /// The objective grows by this multiple of the request's own expected work.
    pub objective_per_work: f64,
    /// The longest that a client waits over all attempts.
    pub client_timeout: Time,
    /// The share of the value that a late answer has.
    pub late_answer_weight: f64,
    /// Whether retries are harmless.
    pub idempotency: Idempotency,
    /// Which workers drop retries of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do so.
    pub deduplication_window: Time,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 1_000_000_000,
            objective_per_work: 0.0,
            client_timeout: 4_000_000_000,
            late_answer_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
        }
    }
}

/// What a front end may do here.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts one request may have.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be polled for their load.
    pub load_polls: bool,
    /// Rejections may carry a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients heed.
    pub max_retry_after: Time,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            cancel: false,
            load_polls: false,
            retry_after: false,
            max_retry_after: 0,
        }
    }
}

/// What a worker that has just started can take.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// A worker starts at this share of its capacity, or better.
    pub initial_weight: f64,
    /// It is warm after this time.
    pub window: Time,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, it falls over; 0: it never does.
    pub overload_window: Time,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            initial_weight: 1.0,
            window: 0,
            overload_factor: 0.0,
            overload_window: 0,
        }
    }
}

/// A limit on load commands: at most `burst` plus `per_request` for each request taken, over any `window`.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The time over which load commands are counted.
    pub window: Time,
    /// Load commands allowed in any case.
    pub burst: f64,
    /// Further load commands for each request taken.
    pub per_request: f64,
}

/// How workers load functions and what they report of it.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionLoading {
    /// Replicas may be loaded and evicted by command.
    pub load_commands: bool,
    /// A request that finds no replica loads one; else it is rejected as [`Outcome::NotLoaded`].
    pub loads_on_request: bool,
    /// An idle replica stays at least this long, unless its memory is needed.
    pub keep_alive: Time,
    /// Answers tell whether a replica was loaded.
    pub reports_cold_starts: bool,
    /// Answers tell how many requests of the function the worker had in flight.
    pub reports_concurrency: bool,
    /// The limit on load commands, where there is one.
    pub rate_limit: Option<LoadRateLimit>,
}

impl Default for FunctionLoading {
    fn default() -> Self {
        FunctionLoading {
            load_commands: false,
            loads_on_request: true,
            keep_alive: 10_000_000_000,
            reports_cold_starts: false,
            reports_concurrency: false,
            rate_limit: None,
        }
    }
}

/// What actions cost, as shares of the value of all requests; 0 where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// One load poll for each request.
    pub load_poll: f64,
}

/// The settings of a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Front ends in this pool, this one included; 0 counts as 1.
    pub front_ends: u32,
    /// The shortest gap between two calls of `handle`.
    pub tick: Time,
    /// The classes, in the order that [`Request::class`] counts.
    pub classes: Vec<Class>,
    /// What is allowed.
    pub limits: Limits,
    /// What a worker that has just started can take.
    pub slow_start: SlowStart,
    /// How functions are loaded.
    pub loading: FunctionLoading,
    /// What actions cost.
    pub costs: Costs,
    /// The zone of this front end; empty where it is not known.
    pub zone: String,
    /// Updates of the endpoint list must be asked for.
    pub watch_on_request: bool,
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes its requests and must get no new one.
    Draining,
    /// Removed.
    Removed,
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta,
    /// Every worker there is.
    Snapshot,
    /// Every worker, as this front end last saw the list; it may be out of date.
    Cached,
    /// No list came: a call failed.
    Lost,
}

/// One worker in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub worker: WorkerId,
    /// Its weight beside the others; 0 where unknown.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its memory, in MB; 0 where unknown.
    pub memory_mb: f64,
    /// The clock time at which it last started; `None`: long ago.
    pub started_at: Option<Time>,
}

/// A request that a client has sent to this front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The work it is expected to take, where known.
    pub expected_work: Option<Time>,
    /// Memory of one loaded replica, in MB.
    pub memory_mb: f64,
    /// Requests that one replica runs at a time.
    pub replica_concurrency: u32,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// The usual time of a load, where known.
    pub load_time: Option<Time>,
    /// The function that it needs.
    pub function: FunctionId,
    /// How long the client waits for this answer; `None`: as long as its class does.
    pub timeout: Option<Time>,
}

/// How an attempt or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; or the replicas are loaded.
    Served,
    /// An error; it may have run.
    Error,
    /// Rejected at capacity: never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection: never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// The function is not loaded there, or its load failed: never ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
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
    /// A replica was loaded.
    Warm,
    /// This request began a cold start.
    LoadStarted,
    /// This request waited for a cold start begun before.
    LoadAwaited,
    /// The load failed.
    LoadFailed,
}

/// A worker's own report of its load; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Share of its memory that cannot be freed.
    pub pinned_memory: Option<f64>,
    /// Loads under way or waiting.
    pub pending_loads: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// The request is over, by this outcome or before it.
    pub settled: bool,
    /// What it tells of the replica, where known.
    pub replica_status: Option<ReplicaStatus>,
    /// Requests of the function that the worker had in flight when this one came, where known.
    pub function_concurrency: Option<u32>,
    /// The worker's load report, where one came.
    pub load_report: LoadReport,
}

/// The reply to a load command.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFinished {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// How it ended; [`Outcome::Served`]: the replicas are loaded.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// Replicas that are loaded now.
    pub replicas: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// What it covers.
        update: EndpointUpdate,
        /// The workers in it.
        endpoints: Vec<Endpoint>,
    },
    /// A request came in.
    Arrived(Request),
    /// An attempt ended.
    AttemptFinished(AttemptFinished),
    /// The answer of a streamed request has begun; it has no deadline from here on.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// The client has cancelled; no answer is owed.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// A load poll has ended.
    LoadPolled {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        answered: bool,
        /// Its load report, where one came.
        report: LoadReport,
    },
    /// A load command ended.
    LoadFinished(LoadFinished),
    /// A timer has expired.
    Timer {
        /// The token given with it.
        token: u64,
    },
    /// A message from another front end.
    Peer {
        /// Its number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Its timeout; `None`: until the client gives up.
        timeout: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: not served, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Option<Time>,
    },
    /// Final answer: failed, with nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Have a worker load at least so many replicas; 0 only asks how many are loaded.
    LoadFunction {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Replicas wanted.
        replicas: u32,
    },
    /// Have a worker evict its idle replicas of a function.
    EvictFunction {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Poll a worker for its load; one [`Event::LoadPolled`] follows.
    PollLoad {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// How far from now.
        after: Time,
        /// Comes back with it.
        token: u64,
    },
    /// Ask that updates of the endpoint list be sent from now on.
    WatchEndpoints,
}
