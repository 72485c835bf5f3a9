//! The interface of the decision module: settings, events and actions as plain types.
//!
//! All times are nanoseconds. A [`Time`] in an event is a length unless its text says otherwise; the
//! clock itself is handed to [`crate::decide::FrontEnd::handle`].

use std::sync::Arc;

/// A point on the caller's clock, or a length of time, in nanoseconds.
pub type Time = u64;

/// Names one try of a client; never used twice for different tries.
pub type RequestId = u64;

/// The address of a worker, exactly as the list of workers spells it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(pub Arc<str>);

impl Worker {
    /// Wraps an address.
    pub fn new(address: &str) -> Self {
        Worker(Arc::from(address))
    }
}

impl Default for Worker {
    fn default() -> Self {
        Worker::new("")
    }
}

/// The program that a call needs loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Function(pub u64);

/// How far a call may be repeated once it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    #[default]
    Safe,
    /// Carries a key; repeats are dropped by one group of workers for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The workers that drop each other's repeats of a keyed call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
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
    pub aim: Time,
    /// The aim grows by this multiple of the call's own expected work.
    pub aim_stretch: f64,
    /// The longest that a client waits over all its tries.
    pub give_up: Time,
    /// The share of the worth that a late answer earns.
    pub late_worth: f64,
    /// How far repeats are harmless.
    pub effect: Effect,
    /// Which workers drop repeats of a keyed call.
    pub group: Group,
    /// For how long they do.
    pub dedup_window: Time,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            aim: 1_000_000_000,
            aim_stretch: 0.0,
            give_up: 4_000_000_000,
            late_worth: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            dedup_window: 0,
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
    pub probes: bool,
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
            probes: false,
            retry_after: false,
            max_retry_after: 0,
        }
    }
}

/// The figures of the rules on draining and starting workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A started worker runs at this share of its capacity or better.
    pub cold_from: f64,
    /// It is warm after this time.
    pub ramp: Time,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over; 0: it never does.
    pub fall_span: Time,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            cold_from: 1.0,
            ramp: 0,
            fall_multiple: 0.0,
            fall_span: 0,
        }
    }
}

/// A limit on orders to load: at most `base` plus `share` of the requests taken, over any `window`.
#[derive(Clone, Debug, PartialEq)]
pub struct Ration {
    /// The length of time over which orders are counted.
    pub window: Time,
    /// Orders allowed in any case.
    pub base: f64,
    /// Further orders for each request taken.
    pub share: f64,
}

/// How workers load programs and what is told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Loading {
    /// Copies may be held and dropped by order.
    pub orders: bool,
    /// A call that finds no copy loads one; else it is turned away as [`Outcome::Absent`].
    pub call_loads: bool,
    /// An idle copy stays at least this long, unless its room is needed.
    pub keep_alive: Time,
    /// Answers tell whether a copy stood loaded.
    pub tells_cold: bool,
    /// Answers tell how many calls of the function the worker held.
    pub tells_alike: bool,
    /// The limit on orders to load, where there is one.
    pub ration: Option<Ration>,
}

impl Default for Loading {
    fn default() -> Self {
        Loading {
            orders: false,
            call_loads: true,
            keep_alive: 10_000_000_000,
            tells_cold: false,
            tells_alike: false,
            ration: None,
        }
    }
}

/// What things cost, in shares of the worth of all calls; 0 where nothing is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// One probe for each call.
    pub probe: f64,
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
    pub rules: Rules,
    /// How programs are loaded.
    pub loading: Loading,
    /// What things cost.
    pub prices: Prices,
    /// The zone that this front end stands in; empty where it is not told.
    pub zone: String,
    /// Changes of the worker list must be asked for.
    pub list_on_request: bool,
}

/// How a worker stands in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Finishes its work and must get nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// What a list of workers covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// Every worker there is.
    Complete,
    /// Every worker, as this front end last saw the list; it may be stale.
    Remembered,
    /// No list came: a call failed.
    Lost,
}

/// One worker in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Its address.
    pub worker: Worker,
    /// Its size beside the others; 0 where unknown.
    pub share: f64,
    /// How it stands.
    pub state: State,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its memory, in MB; 0 where unknown.
    pub memory_mb: f64,
    /// The clock time at which it last started; `None`: long ago.
    pub started: Option<Time>,
}

/// A call that a client has handed to this front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The work it is expected to take, where told.
    pub expected: Option<Time>,
    /// Memory of one loaded copy, in MB.
    pub memory_mb: f64,
    /// Calls that one copy runs at a time.
    pub lanes: u32,
    /// Its class, as an index into the settings.
    pub class: usize,
    /// The usual time of a load, where told.
    pub load_time: Option<Time>,
    /// The program that it needs.
    pub function: Function,
    /// How long the client waits for this try; `None`: as long as its class does.
    pub budget: Option<Time>,
}

/// How an attempt or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; or the copies stand.
    Served,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection: never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// The program is not loaded there, or its load failed: never ran.
    Absent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::Unreachable | Outcome::NotSent | Outcome::Absent
        )
    }
}

/// What an answer tells about the copy it met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyNote {
    /// A copy stood loaded.
    Warm,
    /// This call began a cold start.
    Began,
    /// This call waited for a cold start begun before.
    Waited,
    /// The load failed.
    Failed,
}

/// A worker's own report of its load; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests it holds.
    pub held: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub busy: Option<f64>,
    /// Share of its memory that cannot be freed.
    pub memory_tied: Option<f64>,
    /// Loads under way or waiting.
    pub loads: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub worker: Worker,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Time,
    /// The request is over, by this outcome or before it.
    pub settled: bool,
    /// What it met there, where told.
    pub note: Option<CopyNote>,
    /// Calls of the same function that the worker held when this one came, where told.
    pub alike: Option<u32>,
    /// The worker's report, where one came.
    pub load: Load,
}

/// The reply to an order to hold copies.
#[derive(Clone, Debug, PartialEq)]
pub struct Ordered {
    /// The worker.
    pub worker: Worker,
    /// The function.
    pub function: Function,
    /// How it ended; [`Outcome::Served`]: the copies stand.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Time,
    /// Copies that stand loaded now.
    pub copies: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the workers.
    List {
        /// What it covers.
        kind: ListKind,
        /// The workers in it.
        entries: Vec<Entry>,
    },
    /// A request came in.
    Arrived(Request),
    /// An attempt ended.
    Finished(Finished),
    /// The answer of a streamed call has begun; it has no deadline from here on.
    Streaming {
        /// The request.
        request: RequestId,
    },
    /// The client has left; no answer is owed.
    Left {
        /// The request.
        request: RequestId,
    },
    /// A probe came back.
    Probed {
        /// The worker.
        worker: Worker,
        /// It answered.
        answered: bool,
        /// Its report, where one came.
        load: Load,
    },
    /// An order to hold copies ended.
    Ordered(Ordered),
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
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: Worker,
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
    Refuse {
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
    Hold {
        /// The worker.
        worker: Worker,
        /// The function.
        function: Function,
        /// Copies wanted.
        copies: u32,
    },
    /// Have a worker unload its idle copies of a function.
    Drop {
        /// The worker.
        worker: Worker,
        /// The function.
        function: Function,
    },
    /// Ask a worker for its load; one [`Event::Probed`] follows.
    Probe {
        /// The worker.
        worker: Worker,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// How far from now.
        after: Time,
        /// Comes back with it.
        token: u64,
    },
    /// Ask that changes of the list be sent from now on.
    FollowList,
}
