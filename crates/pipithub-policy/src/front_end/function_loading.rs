//! Loads of functions: how many are in progress, and the commands that start them.
//!
//! The limits on loads are in `src/load_limiter.rs`: a slow store must not be asked for more than it
//! can deliver.

use std::collections::BTreeSet;

use super::FrontEnd;
use crate::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};
use crate::attempt::Attempt;
use crate::estimates::MAX_SAMPLE;
use crate::load_limiter::LoadLimiter;
use crate::time::MAX_DURATION;
use crate::worker::WorkerState;

/// The share of a worker's memory that the replicas assumed there may fill before a further one is
/// taken to evict another: the worker holds replicas that this front end does not know of.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// The largest number of replicas that a reply to a load command counts for.
const MAX_REPORTED_REPLICAS: u32 = 64;
/// The `ready_at` of replicas for which a load command is in progress, as its duration is not known.
/// It is later than all points in time, and durations can be added to it without overflow.
const UNKNOWN_READY_AT: Time = Time::MAX >> 1;

/// The loads that this front end assumes to be in progress.
pub(super) struct LoadsInProgress {
    pub(super) count: usize,
    /// The function in question is loading, or an attempt in flight relies on a replica of it that is
    /// not confirmed yet.
    pub(super) of_function: bool,
}

impl Attempt {
    /// Whether the attempt is assumed to wait for a load.
    fn awaits_load(&self, now: Time) -> bool {
        let is_late = || now > self.sent_at + (self.expected.run_time * MAX_SAMPLE) as Time;
        self.expected.cold_start || self.expected.unconfirmed && is_late()
    }
}

/// The functions that are assumed to be loading at a worker.
fn loading_functions(worker: &WorkerState, now: Time) -> BTreeSet<FunctionId> {
    // Cancelled attempts are left out: a load that no request waits for any more may not take place,
    // so it must not make other requests wait.
    let awaited = worker
        .attempts
        .iter()
        .filter(|attempt| !attempt.cancelled && attempt.awaits_load(now))
        .map(|attempt| attempt.function);
    let commanded = worker
        .replicas
        .iter()
        .filter(|(_, replicas)| replicas.load_requested)
        .map(|(function, _)| function);
    awaited.chain(commanded).collect()
}

/// How many functions may be getting a further replica at a worker.
///
/// A worker adds one replica of a function at a time, however many requests exceed the concurrency of
/// the replicas. When each such request counted as a load, the requests of a lost zone prevented
/// loads at the remaining workers that had memory and time for them.
fn functions_adding_replicas(worker: &WorkerState) -> usize {
    worker
        .attempts
        .iter()
        .filter(|attempt| attempt.expected.adds_replica)
        .map(|attempt| attempt.function)
        .collect::<BTreeSet<FunctionId>>()
        .len()
}

/// Uses the settings, the workers, the arrivals, the estimates, the limits on loads and the pending
/// requests, and updates the replicas that the workers are assumed to hold.
impl FrontEnd {
    /// The loads that this front end assumes to be in progress.
    pub(super) fn loads_in_progress(&self, function: FunctionId) -> LoadsInProgress {
        let mut loads = LoadsInProgress {
            count: 0,
            of_function: false,
        };
        // Attempts at a worker that cannot be reached do not load anything; if they counted, they
        // would prevent loads at the other workers.
        let reachable = self
            .workers
            .loading()
            .filter(|worker| worker.outliers.is_reachable());
        for worker in reachable {
            let loading = loading_functions(worker, self.now);
            loads.count += functions_adding_replicas(worker) + loading.len();
            // While an attempt relies on a replica that no answer has confirmed yet, a further load of
            // the function would be based on two unconfirmed assumptions.
            let is_unconfirmed = || {
                worker
                    .attempts
                    .of_function(function)
                    .any(|attempt| !attempt.cancelled && attempt.expected.unconfirmed)
            };
            loads.of_function |= loading.contains(&function) || is_unconfirmed();
        }
        loads
    }

    /// Whether a further replica should fit into the worker's memory beside those assumed there. A
    /// front end knows most of the replicas itself, because all front ends share the order of
    /// workers.
    pub(super) fn has_memory_for(&self, worker: &WorkerState, function: FunctionId) -> bool {
        let memory = |function| self.estimates.memory_mb(function);
        let memory_of_worker = worker.endpoint().memory_mb;
        let used: f64 = worker
            .replicas
            .iter()
            .filter(|(function, _)| self.replica_ready_at(worker, *function).is_some())
            .map(|(function, replicas)| memory(function) * f64::from(replicas.count.max(1)))
            .sum();
        memory_of_worker <= 0.0 || used + memory(function) <= memory_of_worker * MAX_MEMORY_SHARE
    }

    /// Sends a worker a command to load a function; returns `false` if it may not be sent now.
    ///
    /// All load commands are sent here. Draining and removed workers get none, nor do workers that
    /// are not known to be in service, and the rate limit is kept.
    pub(super) fn command_load(
        &mut self,
        worker_id: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        if !self.settings.loading.load_commands
            || !self.estimates.knows(function)
            || !self.load_limiter.store_is_available(now)
            || !self
                .load_limiter
                .rate_allows(&self.settings, &self.arrivals, now)
            || !self.is_in_service(worker_id)
        {
            return false;
        }
        let Some(mut worker) = self.workers.get_mut(worker_id) else {
            return false;
        };
        if !worker.is_ready() {
            return false;
        }
        let replicas = worker.replicas_of(function);
        if replicas.load_requested {
            return false;
        }
        if !replicas.confirmed {
            replicas.ready_at = UNKNOWN_READY_AT;
        }
        replicas.last_used_at = now;
        worker.replicas.record_load_command(function);
        self.load_limiter.record_command(now);
        actions.push(Action::LoadFunction {
            worker: worker_id.clone(),
            function,
            replicas: 1,
            send_by: LoadLimiter::send_by(&self.settings, now),
        });
        true
    }

    /// Handles the reply to a load command; requests that waited for it are routed again.
    pub(super) fn finish_load(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let elapsed = reply.elapsed.min(MAX_DURATION) as f64;
        let run_time = self.estimates.run_time(reply.function, 0);
        if reply.outcome == Outcome::Error {
            self.load_limiter.record_outcome(true, self.now);
        }
        let is_loaded = self.record_load_reply(reply);
        // A reply within the time of a run means that a replica was loaded already.
        if is_loaded && elapsed > run_time {
            self.estimates
                .record_load_time(reply.function, elapsed, self.now);
        }
        let waiting: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                pending.awaits_load && pending.request.function == reply.function
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if let Some(pending) = self.pending.get_mut(&id)
                && reply.outcome == Outcome::Served
            {
                pending.attempts.readmit_last_worker();
            }
            self.route(id, actions);
        }
    }

    /// Records the replicas that a reply reports; returns whether the command has succeeded.
    fn record_load_reply(&mut self, reply: &LoadFinished) -> bool {
        let count = reply.replicas.min(MAX_REPORTED_REPLICAS);
        let Some(mut worker) = self.workers.get_mut(&reply.worker) else {
            return false;
        };
        let Some(replicas) = worker.replicas.get_mut(reply.function) else {
            return false;
        };
        if !replicas.load_requested {
            return false;
        }
        replicas.load_requested = false;
        if reply.outcome == Outcome::Served && count > 0 {
            replicas.count = count;
            replicas.confirmed = true;
            replicas.loaded_by_command = true;
            replicas.ready_at = replicas.ready_at.min(self.now);
            replicas.last_used_at = self.now;
            return true;
        }
        if count == 0 && !replicas.confirmed {
            worker.replicas.remove(reply.function);
        }
        false
    }
}
