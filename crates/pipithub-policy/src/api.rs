//! The interface of the decision module: settings, events and actions as plain types.
//!
//! All times are nanoseconds. A [`Time`] in an event is a length unless its text says otherwise; the
//! clock itself is handed to [`crate::FrontEnd::handle`].

use std::sync::Arc;

/// A point on the caller's clock, or a length of time, in nanoseconds.
pub type Time = u64;

/// Names one try of a client; never used twice for different tries.
pub type RequestId = u64;

/// The address of a worker, exactly as the list of workers spells it.
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

/// The program that a call needs loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);

/// How far a call may be repeated once it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    #[default]
    Idempotent,
    /// Carries a key; repeats are dropped by one group of workers for a while.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The workers that drop each other's repeats of a keyed call.
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

/// A class of calls and what its answers are worth.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this earns full worth.
    pub latency_objective: Time,
    /// The aim grows by this multiple of the call's own expected work.
    pub objective_per_work: f64,
    /// The longest that a client waits over all its tries.
    pub client_timeout: Time,
    /// The share of the worth that a late answer earns.
    pub late_answer_weight: f64,
    /// How far repeats are harmless.
    pub idempotency: Idempotency,
    /// Which workers drop repeats of a keyed call.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do.
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
    /// Workers may be probed for their load.
    pub load_polls: bool,
    /// Refusals may carry a time to stay away.
    pub retry_after: bool,
    /// The longest such time that clients heed.
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

/// The figures of the rules on draining and starting workers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// A started worker runs at this share of its capacity or better.
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

/// A limit on orders to load: at most `base` plus `share` of the requests taken, over any `window`.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRateLimit {
    /// The length of time over which orders are counted.
    pub window: Time,
    /// Orders allowed in any case.
    pub burst: f64,
    /// Further orders for each request taken.
    pub per_request: f64,
}

/// How workers load programs and what is told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionLoading {
    /// Copies may be held and dropped by order.
    pub load_commands: bool,
    /// A call that finds no copy loads one; else it is turned away as [`Outcome::NotLoaded`].
    pub loads_on_request: bool,
    /// An idle copy stays at least this long, unless its room is needed.
    pub keep_alive: Time,
    /// Answers tell whether a copy stood loaded.
    pub reports_cold_starts: bool,
    /// Answers tell how many calls of the function the worker held.
    pub reports_concurrency: bool,
    /// The limit on orders to load, where there is one.
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

/// What things cost, in shares of the worth of all calls; 0 where nothing is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// One probe for each call.
    pub load_poll: f64,
}

/// What a front end is told at its start.
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
    /// The figures of the rules.
    pub slow_start: SlowStart,
    /// How programs are loaded.
    pub loading: FunctionLoading,
    /// What things cost.
    pub costs: Costs,
    /// The zone that this front end stands in; empty where it is not told.
    pub zone: String,
    /// Changes of the worker list must be asked for.
    pub watch_on_request: bool,
}

/// How a worker stands in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and must get nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// What a list of workers covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta,
    /// Every worker there is.
    Snapshot,
    /// Every worker, as this front end last saw the list; it may be stale.
    Cached,
    /// No list came: a call failed.
    Lost,
}

/// One worker in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub worker: WorkerId,
    /// Its size beside the others; 0 where unknown.
    pub weight: f64,
    /// How it stands.
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

/// A call that a client has handed to this front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The work it is expected to take, where told.
    pub expected_work: Option<Time>,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub replica_concurrency: u32,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// The usual time of a load, where told.
    pub load_time: Option<Time>,
    /// The program that it needs.
    pub function: FunctionId,
    /// How long the client waits for this try; `None`: as long as its class does.
    pub timeout: Option<Time>,
}

/// How an attempt or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; or the copies stand.
    Served,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection: never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// The program is not loaded there, or its load failed: never ran.
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

/// What an answer tells about the copy it met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// A copy stood loaded.
    Warm,
    /// This call began a cold start.
    LoadStarted,
    /// This call waited for a cold start begun before.
    LoadAwaited,
    /// The load failed.
    LoadFailed,
}

/// A worker's own report of its load; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds.
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
    /// What it met there, where told.
    pub replica_status: Option<ReplicaStatus>,
    /// Calls of the same function that the worker held when this one came, where told.
    pub function_concurrency: Option<u32>,
    /// The worker's report, where one came.
    pub load_report: LoadReport,
}

/// The reply to an order to hold copies.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFinished {
    /// The worker.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// How it ended; [`Outcome::Served`]: the copies stand.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// Copies that stand loaded now.
    pub replicas: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the workers.
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
    /// The answer of a streamed call has begun; it has no deadline from here on.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// The client has left; no answer is owed.
    ClientCancelled {
        /// The request.
        request: RequestId,
    },
    /// A probe came back.
    LoadPolled {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        answered: bool,
        /// Its report, where one came.
        report: LoadReport,
    },
    /// An order to hold copies ended.
    LoadFinished(LoadFinished),
    /// A timer fell due.
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
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: not served, and another try is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Time>,
    },
    /// Final answer: failed, with nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Have a worker hold at least so many copies; 0 only asks how many stand.
    LoadFunction {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        replicas: u32,
    },
    /// Have a worker unload its idle copies of a function.
    EvictFunction {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Ask a worker for its load; one [`Event::LoadPolled`] follows.
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
    /// Ask that changes of the list be sent from now on.
    WatchEndpoints,
}
