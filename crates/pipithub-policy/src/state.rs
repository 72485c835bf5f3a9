//! What a front end remembers, as plain data. What is made of it stands in the modules that decide.

use crate::api::{Endpoint, EndpointState, FunctionId, Request, RequestId, Time, WorkerId};
use crate::hashing::hash_address;
use crate::worker_pool::IndexedState;
use std::collections::{BTreeMap, VecDeque};

/// A send that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// When the replay foresaw its answer.
    pub(crate) predicted_finish: Time,
    /// The deadline that the replay held it to.
    pub(crate) target_deadline: Time,
    /// The run alone, at the usual pace.
    pub(crate) run_time: f64,
    /// An answer after this is late.
    pub(crate) latency_objective: Time,
    /// It was believed to wait for a load; or no answer had shown the copy yet.
    pub(crate) cold_start: bool,
    pub(crate) unconfirmed: bool,
    /// All lanes were taken; and own sends of the function there, itself included.
    pub(crate) adds_replica: bool,
    pub(crate) function_concurrency: f64,
    /// Own sends at the worker when it left, itself included.
    pub(crate) concurrency: f64,
    /// It was withdrawn, but its work may go on.
    pub(crate) cancelled: bool,
}

/// What is believed of a function's copies at one worker.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub(crate) count: u32,
    /// Calls of it that other front ends have there.
    pub(crate) others_in_flight: f64,
    /// When they stand loaded.
    pub(crate) ready_at: Time,
    /// The last sign that they were in use.
    pub(crate) last_used_at: Time,
    /// An answer or order reply has shown them.
    pub(crate) confirmed: bool,
    /// Placed by an order of this front end.
    pub(crate) loaded_by_command: bool,
    /// An order for them is under way.
    pub(crate) load_requested: bool,
    /// Run time admitted here in this interval.
    pub(crate) admitted_run_time: f64,
    /// Run time that moved on in this interval because no copy stood here, and how often.
    pub(crate) missed_run_time: f64,
    pub(crate) placement_misses: u32,
    /// Least time to spare beyond the run among those.
    pub(crate) min_slack: f64,
}

/// Troubles not yet outweighed by answers, and until when the worker is left alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) consecutive_errors: u32,
    pub(crate) ejected_until: Time,
    /// When it was shut last.
    pub(crate) ejected_at: Time,
    /// Share of errors among the last ends, and the function of the last one.
    pub(crate) error_rate: f64,
    pub(crate) last_error_function: Option<FunctionId>,
}

/// What a worker last told of its load: when, the calls it held and how busy its cores were.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    pub(crate) received_at: Time,
    pub(crate) in_flight: f64,
    pub(crate) cpu_utilization: f64,
    /// The calls it held over a longer time.
    pub(crate) mean_in_flight: f64,
}

#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) endpoint: Endpoint,
    pub(crate) hash: u64,
    pub(crate) replicas: BTreeMap<FunctionId, Replicas>,
    pub(crate) in_flight: Vec<Attempt>,
    /// Served time over the usual, and own sends there meanwhile.
    pub(crate) slowdown: f64,
    pub(crate) concurrency: f64,
    pub(crate) last_response_at: Time,
    /// The most own sends to have there; a refusal cuts it, answers raise it.
    pub(crate) concurrency_limit: f64,
    /// Its health for each class: what stands behind a worker may fail one class alone.
    pub(crate) health: Vec<Health>,
    /// Failed or broken connections since its last answer.
    pub(crate) consecutive_connect_failures: u32,
    pub(crate) load_report: ReportedLoad,
    /// Sends within the span in which a cold worker may fall, as of the last one.
    pub(crate) recent_sends: VecDeque<Time>,
    /// Answers served within it, with their class.
    pub(crate) recent_answers: VecDeque<(Time, usize)>,
    /// Orders for copies may be under way.
    pub(crate) may_have_load_commands: bool,
    /// What of it stands in the sums over all workers.
    pub(crate) indexed: IndexedState,
}

impl WorkerState {
    /// Whether it may be sent work.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// A worker of which nothing is known but its entry.
    pub(crate) fn new(entry: Endpoint, classes: usize) -> Self {
        let hash = hash_address(&entry.worker.0);
        WorkerState {
            endpoint: entry,
            hash,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            slowdown: 1.0,
            concurrency: 1.0,
            concurrency_limit: f64::INFINITY,
            last_response_at: 0,
            health: vec![Health::default(); classes],
            consecutive_connect_failures: 0,
            load_report: ReportedLoad::default(),
            recent_sends: VecDeque::new(),
            recent_answers: VecDeque::new(),
            may_have_load_commands: false,
            indexed: IndexedState::default(),
        }
    }
}

/// A function as this front end knows it.
#[derive(Debug, Default)]
pub(crate) struct FunctionState {
    pub(crate) replica_concurrency: u32,
    pub(crate) memory_mb: f64,
    pub(crate) declared_load_time: Option<Time>,
    /// The longest load seen, fading.
    pub(crate) observed_load_time: Option<f64>,
    pub(crate) run_time: Option<f64>,
    pub(crate) last_requested_at: Time,
    /// Homes that it needs in a large tier, of one copy each; under 1 while nothing was told.
    pub(crate) preferred_workers: f64,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) latency_objective: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: u32,
    pub(crate) attempt_in_flight: bool,
    /// The first attempt that may have run: when, and in which zone and cell.
    pub(crate) possible_execution: Option<(Time, String, u64)>,
    pub(crate) attempted_workers: Vec<WorkerId>,
    pub(crate) streaming: bool,
    /// It waits, unsent, for an order's reply.
    pub(crate) awaits_load: bool,
    /// It waits, unsent, for a worker to tell its load; and how often it has.
    pub(crate) polled_worker: Option<WorkerId>,
    pub(crate) load_polls: u32,
}

/// What the replay of one worker foresees for a newcomer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    pub(crate) cold_start: bool,
    /// All lanes are taken: the worker may well start a further copy for it.
    pub(crate) adds_replica: bool,
    /// Every queued deadline still holds.
    pub(crate) others_meet_deadlines: bool,
    /// When it would be served if a copy stood, and with any load counted.
    pub(crate) warm_finish: Time,
    pub(crate) finish: Time,
}
