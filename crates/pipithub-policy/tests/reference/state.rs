//! What a front end remembers of workers, functions and requests, as plain data.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::api::{
    Endpoint, EndpointState, FunctionId, Request, RequestId, Time, WorkerId,
};

use super::hashing::hash_address;
use super::service::ServiceLease;

/// An attempt that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    /// Which attempt of the request it is, from 0.
    pub(crate) number: u32,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// When the replay predicted its answer.
    pub(crate) predicted_finish: Time,
    /// The deadline that it was admitted for.
    pub(crate) target_deadline: Time,
    /// The run alone, as expected at a slowdown of 1.
    pub(crate) run_time: f64,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
    /// It was expected to wait for a load.
    pub(crate) cold_start: bool,
    /// No answer had shown the replica yet.
    pub(crate) unconfirmed: bool,
    /// All of the replicas' concurrency was taken.
    pub(crate) adds_replica: bool,
    /// This front end's attempts of the function at the worker when it left, itself included.
    pub(crate) function_concurrency: f64,
    /// This front end's attempts at the worker when it left, itself included.
    pub(crate) concurrency: f64,
    /// It was cancelled, but its work may go on.
    pub(crate) cancelled: bool,
}

/// What is believed of a function's replicas at one worker.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub(crate) count: u32,
    /// Requests of the function that other front ends have in flight there.
    pub(crate) others_in_flight: f64,
    /// When they are loaded; 0 while nothing is believed of them.
    pub(crate) ready_at: Time,
    /// The last sign that they were in use.
    pub(crate) last_used_at: Time,
    /// An answer or the reply to a load command has shown them.
    pub(crate) confirmed: bool,
    /// Loaded by a command of this front end.
    pub(crate) loaded_by_command: bool,
    /// A load command for them is under way.
    pub(crate) load_requested: bool,
    /// Run time admitted here in this rebalancing interval.
    pub(crate) admitted_run_time: f64,
    /// Run time that moved on in this interval because no replica was loaded here.
    pub(crate) missed_run_time: f64,
    /// How often that happened.
    pub(crate) placement_misses: u32,
    /// The least time to spare beyond the run among those.
    pub(crate) min_slack: f64,
}

/// Errors not yet outweighed by answers, and until when a worker, zone or the store is ejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) consecutive_errors: u32,
    pub(crate) ejected_until: Time,
    /// When it was ejected last.
    pub(crate) ejected_at: Time,
    /// Share of errors among the last attempts.
    pub(crate) error_rate: f64,
    /// The function of the last error.
    pub(crate) last_error_function: Option<FunctionId>,
}

/// The last load report of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    /// When it came; 0 where none has.
    pub(crate) received_at: Time,
    /// Requests in flight at the worker.
    pub(crate) in_flight: f64,
    /// How busy its cores were, 0 to 1.
    pub(crate) cpu_utilization: f64,
    /// Requests in flight over a longer time.
    pub(crate) mean_in_flight: f64,
}

/// An answer that a worker has served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) at: Time,
    pub(crate) class: usize,
}

/// A worker as this front end knows it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) endpoint: Endpoint,
    /// The hash of its address.
    pub(crate) hash: u64,
    pub(crate) replicas: BTreeMap<FunctionId, Replicas>,
    /// This front end's attempts there, in the order in which they left.
    pub(crate) in_flight: Vec<Attempt>,
    /// Run time of answers over the expected one.
    pub(crate) slowdown: f64,
    /// This front end's attempts there while that was observed.
    pub(crate) concurrency: f64,
    /// The last answer or rejection from it.
    pub(crate) last_response_at: Time,
    /// The most attempts to have there; a rejection lowers it, answers raise it.
    pub(crate) concurrency_limit: f64,
    /// Its health for each class: a backend of the worker may fail one class alone.
    pub(crate) health: Vec<Health>,
    /// Failed or broken connections since its last answer.
    pub(crate) consecutive_connect_failures: u32,
    pub(crate) load_report: ReportedLoad,
    pub(crate) service: ServiceLease,
    /// When the last attempts were sent to it.
    pub(crate) recent_sends: VecDeque<Time>,
    /// The last answers that it served.
    pub(crate) recent_answers: VecDeque<Answer>,
}

impl WorkerState {
    /// A worker of which nothing is known but its endpoint.
    pub(crate) fn new(endpoint: Endpoint, classes: usize) -> Self {
        WorkerState {
            hash: hash_address(&endpoint.worker.0),
            endpoint,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            slowdown: 1.0,
            concurrency: 1.0,
            last_response_at: 0,
            concurrency_limit: f64::INFINITY,
            health: vec![Health::default(); classes],
            consecutive_connect_failures: 0,
            load_report: ReportedLoad::default(),
            service: ServiceLease::default(),
            recent_sends: VecDeque::new(),
            recent_answers: VecDeque::new(),
        }
    }

    /// Whether it may be sent work.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// This front end's attempts of a function there.
    pub(crate) fn in_flight_of(&self, function: FunctionId) -> impl Iterator<Item = &Attempt> {
        self.in_flight
            .iter()
            .filter(move |attempt| attempt.function == function)
    }
}

/// A function as this front end knows it.
#[derive(Debug, Default)]
pub(crate) struct FunctionState {
    /// Requests that one replica runs at a time.
    pub(crate) replica_concurrency: u32,
    /// Memory of one replica, in MB.
    pub(crate) memory_mb: f64,
    /// The load time that requests declare.
    pub(crate) declared_load_time: Option<Time>,
    /// The longest load time observed, decaying.
    pub(crate) observed_load_time: Option<f64>,
    /// The mean run time.
    pub(crate) run_time: Option<f64>,
    pub(crate) last_requested_at: Time,
    /// Preferred workers that it needs in a large deployment, of one replica each; under 1 while no
    /// answer has reported its concurrency.
    pub(crate) preferred_workers: f64,
}

/// When and where an attempt was sent that may have run.
#[derive(Debug, Default)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Time,
    pub(crate) zone: String,
    pub(crate) cell: u64,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
    /// When the client gives up.
    pub(crate) deadline: Time,
    /// How many attempts it has had.
    pub(crate) attempts: u32,
    pub(crate) attempt_in_flight: bool,
    /// The first attempt that may have run.
    pub(crate) possible_execution: Option<PossibleExecution>,
    pub(crate) attempted_workers: Vec<WorkerId>,
    /// Its answer has started; it has no deadline any more.
    pub(crate) streaming: bool,
    /// It waits, unsent, for the reply to a load command.
    pub(crate) awaits_load: bool,
    /// It waits, unsent, for this worker's load report.
    pub(crate) polled_worker: Option<WorkerId>,
    /// How often it has waited for one.
    pub(crate) load_polls: u32,
    /// It waits, unsent, for a health check of this worker.
    pub(crate) checked_worker: Option<WorkerId>,
    /// How often it has waited for one.
    pub(crate) health_checks: u32,
}
