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
    /// The number of the attempt within its request, from 0.
    pub(crate) number: u32,
    pub(crate) function: FunctionId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// The zone and the cell of the worker when the attempt was sent.
    pub(crate) zone: String,
    pub(crate) cell: u64,
    /// When the answer was expected, as the replay predicted.
    pub(crate) predicted_finish: Time,
    /// The deadline that the attempt was admitted for.
    pub(crate) target_deadline: Time,
    /// The expected run time at a slowdown of 1, in nanoseconds, without any wait.
    pub(crate) run_time: f64,
    /// An answer after this point in time is late.
    pub(crate) latency_objective: Time,
    /// The attempt was expected to wait for a load.
    pub(crate) cold_start: bool,
    /// The replica was not confirmed when the attempt was sent.
    pub(crate) unconfirmed: bool,
    /// All of the replicas' concurrency was in use, so that the worker may add a replica.
    pub(crate) adds_replica: bool,
    /// This front end's attempts of the function at the worker when the attempt was sent, itself
    /// included.
    pub(crate) function_concurrency: f64,
    /// This front end's attempts at the worker when the attempt was sent, itself included.
    pub(crate) concurrency: f64,
    /// The attempt was cancelled, but its work may continue.
    pub(crate) cancelled: bool,
}

/// The assumed state of a function's replicas at one worker; times are in nanoseconds.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub(crate) count: u32,
    /// Mean number of requests of the function that other front ends have in flight there.
    pub(crate) others_in_flight: f64,
    /// When the replicas are loaded; 0 while none is assumed to be there.
    pub(crate) ready_at: Time,
    /// The last sign that the replicas were in use.
    pub(crate) last_used_at: Time,
    /// An answer or the reply to a load command has confirmed the replicas.
    pub(crate) confirmed: bool,
    /// A command of this front end has loaded the replicas.
    pub(crate) loaded_by_command: bool,
    /// A load command for the replicas is in progress.
    pub(crate) load_requested: bool,
    /// Expected run time of the requests that were sent here in this rebalancing interval.
    pub(crate) admitted_run_time: f64,
    /// Expected run time of this interval's placement misses: requests that the worker would have
    /// admitted if a replica had been loaded.
    pub(crate) missed_run_time: f64,
    /// The number of placement misses in this interval.
    pub(crate) placement_misses: u32,
    /// The least slack of these misses: the time left until the latency objective, less the
    /// expected run time.
    pub(crate) min_slack: f64,
}

/// The health of a worker, a zone or the store, and until when it is ejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Ejections that no later success has offset; each success offsets one.
    pub(crate) consecutive_errors: u32,
    /// The end of the last ejection; 0 if there was none.
    pub(crate) ejected_until: Time,
    /// The start of the last ejection; 0 if there was none.
    pub(crate) ejected_at: Time,
    /// Share of errors among the last attempts.
    pub(crate) error_rate: f64,
    /// The function of the last error.
    pub(crate) last_error_function: Option<FunctionId>,
}

/// The last load report of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedLoad {
    /// When the report was received; 0 if there was none.
    pub(crate) received_at: Time,
    /// Requests in flight at the worker.
    pub(crate) in_flight: f64,
    /// CPU utilization of the worker, from 0 to 1.
    pub(crate) cpu_utilization: f64,
    /// Mean number of requests in flight at the worker over a longer time.
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
    /// The hash of the worker's address.
    pub(crate) hash: u64,
    pub(crate) replicas: BTreeMap<FunctionId, Replicas>,
    /// This front end's attempts at the worker, in the order in which they were sent.
    pub(crate) in_flight: Vec<Attempt>,
    /// Mean ratio of the run time of answers to the expected run time.
    pub(crate) slowdown: f64,
    /// Mean number of this front end's attempts there while the slowdown was observed.
    pub(crate) concurrency: f64,
    /// When the worker last answered or rejected an attempt, or a cancelled attempt last raised its
    /// slowdown; 0 if never.
    pub(crate) last_response_at: Time,
    /// The largest number of attempts to have there; a rejection lowers it, answers raise it.
    pub(crate) concurrency_limit: f64,
    /// The worker's health for each class: a backend of the worker may fail for one class only.
    pub(crate) health: Vec<Health>,
    /// Failed or broken connections since the worker's last answer.
    pub(crate) consecutive_connect_failures: u32,
    pub(crate) load_report: ReportedLoad,
    pub(crate) service: ServiceLease,
    /// When the recent attempts were sent to the worker.
    pub(crate) recent_sends: VecDeque<Time>,
    /// The recent answers of the worker.
    pub(crate) recent_answers: VecDeque<Answer>,
}

impl WorkerState {
    /// A worker about which only its endpoint is known.
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

    /// Whether the worker may be sent work.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// This front end's attempts of a function at the worker.
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
    /// The load time that requests declare, in nanoseconds; `None` if none has declared one.
    pub(crate) declared_load_time: Option<Time>,
    /// The longest load time observed, decaying, in nanoseconds; `None` before the first load.
    pub(crate) observed_load_time: Option<f64>,
    /// The mean run time at a slowdown of 1, in nanoseconds; `None` before the first answer.
    pub(crate) run_time: Option<f64>,
    pub(crate) last_requested_at: Time,
    /// Preferred workers that the function needs in a large deployment, with one replica each;
    /// under 1 while no answer has reported its concurrency.
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
    /// The number of attempts that were sent.
    pub(crate) attempts: u32,
    pub(crate) attempt_in_flight: bool,
    /// The first attempt that may have run; `None` if none can have.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Workers that were sent an attempt or a load command for the request; they get no further
    /// attempt.
    pub(crate) attempted_workers: Vec<WorkerId>,
    /// The answer has started, so that the request has no deadline any more.
    pub(crate) streaming: bool,
    /// The request waits, unsent, for the reply to a load command.
    pub(crate) awaits_load: bool,
    /// The worker whose load report the request waits for, unsent; `None` if it waits for none.
    pub(crate) polled_worker: Option<WorkerId>,
    /// How often the request has waited for a load report.
    pub(crate) load_polls: u32,
    /// The worker whose health check the request waits for, unsent; `None` if it waits for none.
    pub(crate) checked_worker: Option<WorkerId>,
    /// How often the request has waited for a health check.
    pub(crate) health_checks: u32,
}
