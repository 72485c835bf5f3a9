//! Loads of functions: how many are in progress, and the commands that load them.
//!
//! The limits on loads are in `src/load_limiter.rs`: a slow store must not be asked for more than
//! it delivers.

use std::collections::BTreeSet;

use super::FrontEnd;
use crate::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};
use crate::attempt::Attempt;
use crate::estimates::MAX_SAMPLE;
use crate::time::MAX_DURATION;
use crate::worker::WorkerState;

/// The share of a worker's memory that believed replicas fill before a further one evicts: others
/// run too.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// The largest number of replicas that a reply to a load command counts for.
const MAX_REPORTED_REPLICAS: u32 = 64;
/// When replicas are ready that a command is to load, as no duration is known. It is later than all
/// points in time, and durations can be added to it without overflow.
const UNKNOWN_READY_AT: Time = Time::MAX >> 1;

/// The loads that this front end believes to be in progress.
pub(super) struct LoadsInProgress {
    pub(super) count: usize,
    /// One of them is of the function that was asked about.
    pub(super) of_function: bool,
}

impl Attempt {
    /// Whether it is believed to wait for a load.
    fn awaits_load(&self, now: Time) -> bool {
        let is_late = || now > self.sent_at + (self.expected.run_time * MAX_SAMPLE) as Time;
        self.expected.cold_start || self.expected.unconfirmed && is_late()
    }
}

/// The functions that are believed to be loading at a worker.
fn loading_functions(worker: &WorkerState, now: Time) -> BTreeSet<FunctionId> {
    // A load that no request waits for may not happen, so that no other request waits for it.
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

/// How many functions may get a further replica at a worker.
///
/// However many requests wait beside replicas that are taken, a worker adds one replica at a time.
/// When each request counted, those of a lost zone at the workers left barred them from loads that
/// they had memory and time for.
fn functions_adding_replicas(worker: &WorkerState) -> usize {
    worker
        .attempts
        .iter()
        .filter(|attempt| attempt.expected.adds_replica)
        .map(|attempt| attempt.function)
        .collect::<BTreeSet<FunctionId>>()
        .len()
}

/// Needs the settings, the workers, the estimates, the limits on loads and the pending requests; it
/// writes what is believed of replicas.
impl FrontEnd {
    /// The loads that this front end believes to be in progress.
    pub(super) fn loads_in_progress(&self, function: FunctionId) -> LoadsInProgress {
        let mut loads = LoadsInProgress {
            count: 0,
            of_function: false,
        };
        // Attempts at a worker that cannot be reached load nothing; if they counted, they would
        // prevent loads at the other workers.
        let reachable = self
            .workers
            .loading()
            .filter(|worker| worker.outliers.is_reachable());
        for worker in reachable {
            let loading = loading_functions(worker, self.now);
            loads.count += functions_adding_replicas(worker) + loading.len();
            // While a replica is presumed but not confirmed by an answer, a second load would rest
            // on two assumptions.
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

    /// Whether a further replica should fit beside those believed there: in a shared order a front
    /// end's own beliefs tell most.
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

    /// Makes a worker load a function; returns `false` where it may not.
    ///
    /// All load commands are given here: draining and removed workers get none, nor do those of
    /// which it is not known that they are in service, and the rate limit is kept.
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
        // A reply within a run's time met a replica that was there already.
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

    /// Records the replicas that a reply reports; returns whether a command has loaded them.
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
