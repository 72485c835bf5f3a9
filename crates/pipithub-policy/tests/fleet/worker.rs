//! A simulated worker: two cores, a bounded queue and memory for a few replicas.

use std::collections::{BTreeMap, VecDeque};

use pipithub_policy::api::{RequestId, Time};

use crate::common::MS;

pub(super) const CORES: usize = 2;
/// The mean run time of a call.
pub(super) const RUN_TIME: Time = 70 * MS;
/// How long loading a function takes.
pub(super) const LOAD_TIME: Time = 900 * MS;
const MAX_IN_FLIGHT: usize = 16;
const MAX_REPLICAS: usize = 6;

/// An attempt at a worker.
pub(super) struct WorkerCall {
    pub(super) front_end: usize,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) function: u64,
    pub(super) received_at: Time,
    /// How many calls of the same function the worker had in flight when this one arrived.
    pub(super) function_concurrency: u32,
}

/// What a worker does with a call that arrives.
pub(super) enum Reception {
    /// The call waits for a core.
    Queued,
    /// The call waits for a load of its function; `begins`: it starts that load, otherwise the load is in progress.
    Loading { begins: bool },
    /// The worker is at capacity.
    Rejected(WorkerCall),
}

/// The state of one worker.
#[derive(Default)]
pub(super) struct SimulatedWorker {
    running: Vec<WorkerCall>,
    waiting: VecDeque<WorkerCall>,
    /// Calls that wait for a load of their function.
    loading: BTreeMap<u64, Vec<WorkerCall>>,
    /// Loaded functions, with the time of their last use.
    replicas: BTreeMap<u64, Time>,
}

impl SimulatedWorker {
    fn all_calls(&self) -> impl Iterator<Item = &WorkerCall> {
        let loading = self.loading.values().flatten();
        self.running.iter().chain(&self.waiting).chain(loading)
    }

    /// The number of calls of a function that the worker has in flight.
    pub(super) fn concurrency_of(&self, function: u64) -> u32 {
        self.all_calls()
            .filter(|call| call.function == function)
            .count() as u32
    }

    /// The number of calls that run or wait for a core, as the load reports of the worker state it.
    pub(super) fn in_flight(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64
    }

    /// Accepts a call, or rejects it.
    pub(super) fn receive(&mut self, call: WorkerCall) -> Reception {
        if self.all_calls().count() >= MAX_IN_FLIGHT {
            return Reception::Rejected(call);
        }
        if self.replicas.contains_key(&call.function) {
            self.waiting.push_back(call);
            return Reception::Queued;
        }
        let waiting = self.loading.entry(call.function).or_default();
        waiting.push(call);
        Reception::Loading {
            begins: waiting.len() == 1,
        }
    }

    /// Ends the load of a function; the calls that waited for it now wait for a core.
    pub(super) fn finish_load(&mut self, now: Time, function: u64) {
        let calls = self.loading.remove(&function).unwrap_or_default();
        self.waiting.extend(calls);
        self.replicas.insert(function, now);
    }

    /// Ends a running call of a function, and returns it.
    pub(super) fn finish_call(&mut self, function: u64) -> WorkerCall {
        let at = self
            .running
            .iter()
            .position(|call| call.function == function)
            .expect("a call of the function is running");
        self.running.remove(at)
    }

    /// Starts waiting calls while a core is free, and evicts idle replicas beyond [`MAX_REPLICAS`]. Returns the
    /// functions of the calls that have started.
    pub(super) fn start_waiting(&mut self, now: Time) -> Vec<u64> {
        let mut started = Vec::new();
        while self.running.len() < CORES {
            let Some(call) = self.waiting.pop_front() else {
                break;
            };
            self.replicas.insert(call.function, now);
            started.push(call.function);
            self.running.push(call);
        }
        while self.replicas.len() > MAX_REPLICAS {
            let Some(function) = self.longest_idle_replica() else {
                break;
            };
            self.replicas.remove(&function);
        }
        started
    }

    fn longest_idle_replica(&self) -> Option<u64> {
        let busy = self.running.iter().chain(&self.waiting);
        let is_busy = |function: &u64| busy.clone().any(|call| call.function == *function);
        self.replicas
            .iter()
            .filter(|(function, _)| !is_busy(function))
            .min_by_key(|(_, last_used)| **last_used)
            .map(|(function, _)| *function)
    }
}
