//! Loads of functions: how many may be under way, and the load commands that bring functions in.
//!
//! A slow store must not be asked for more than it delivers, so that loads are limited by the
//! worker; load commands obey a rate limit where there is one; and after failed loads none is begun
//! for a while.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};
use crate::estimates::MAX_SAMPLE;
use crate::front_end::FrontEnd;
use crate::outlier::MAX_CONSECUTIVE_FAILURES;
use crate::state::{Attempt, WorkerState};
use crate::time::MAX_DURATION;

/// The share of a worker's memory that believed replicas fill before a further one evicts: others
/// run too.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// No reply to a load command counts for more replicas.
const MAX_REPORTED_REPLICAS: u32 = 64;
/// When replicas are ready that a command is to load: no duration tells. It lies beyond all points
/// in time, with room to add to it.
const UNKNOWN_READY_AT: Time = Time::MAX >> 1;

/// Loads that this front end believes under way.
pub(crate) struct LoadsInProgress {
    pub(crate) count: usize,
    /// One of them is of the function that was asked about.
    pub(crate) of_function: bool,
}

impl Attempt {
    /// Whether it is believed to wait for a load.
    fn awaits_load(&self, now: Time) -> bool {
        let is_late = || now > self.sent_at + (self.run_time * MAX_SAMPLE) as Time;
        self.cold_start || self.unconfirmed && is_late()
    }
}

impl WorkerState {
    /// The functions that are believed to be loading here.
    fn loading_functions(&self, now: Time) -> BTreeSet<FunctionId> {
        // A load that nobody waits for may not happen: no other request waits for it.
        let awaited = self
            .in_flight
            .iter()
            .filter(|attempt| !attempt.cancelled && attempt.awaits_load(now))
            .map(|attempt| attempt.function);
        let commanded = self
            .replicas
            .iter()
            .filter(|(_, replicas)| replicas.load_requested)
            .map(|(function, _)| *function);
        awaited.chain(commanded).collect()
    }

    /// How many functions may get a further replica here. However many requests wait beside
    /// replicas that are taken, a worker adds one replica at a time: counted each, a lost zone's
    /// requests at the workers left barred them from loads that they had memory and time for.
    fn functions_adding_replicas(&self) -> usize {
        self.in_flight
            .iter()
            .filter(|attempt| attempt.adds_replica)
            .map(|attempt| attempt.function)
            .collect::<BTreeSet<FunctionId>>()
            .len()
    }
}

impl FrontEnd {
    /// The loads that this front end believes under way.
    pub(crate) fn loads_in_progress(&self, function: FunctionId) -> LoadsInProgress {
        let mut loads = LoadsInProgress {
            count: 0,
            of_function: false,
        };
        // What hangs at a worker that cannot be reached loads nothing: counted, it would bar those
        // left.
        let reachable = self
            .workers
            .loading()
            .filter(|worker| worker.consecutive_connect_failures < MAX_CONSECUTIVE_FAILURES);
        for worker in reachable {
            let loading = worker.loading_functions(self.now);
            loads.count += worker.functions_adding_replicas() + loading.len();
            // Before an answer has shown a replica anywhere, a second load would be a guess on a
            // guess.
            let is_unconfirmed = || {
                worker
                    .in_flight_of(function)
                    .any(|attempt| !attempt.cancelled && attempt.unconfirmed)
            };
            loads.of_function |= loading.contains(&function) || is_unconfirmed();
        }
        loads
    }

    /// Whether a further replica should fit beside those believed there: in a shared order a front
    /// end's own beliefs tell most.
    pub(crate) fn has_memory_for(&self, worker: &WorkerState, function: FunctionId) -> bool {
        let memory = |function: &FunctionId| {
            self.functions
                .get(function)
                .map_or(0.0, |function| function.memory_mb)
        };
        let used: f64 = worker
            .replicas
            .iter()
            .filter(|(function, _)| self.replica_ready_at(worker, **function).is_some())
            .map(|(function, replicas)| memory(function) * f64::from(replicas.count.max(1)))
            .sum();
        worker.endpoint.memory_mb <= 0.0
            || used + memory(&function) <= worker.endpoint.memory_mb * MAX_MEMORY_SHARE
    }

    /// Has a worker load a function; `false` where it may not.
    ///
    /// This is the only place that gives load commands: drained and removed workers get none, and
    /// the rate limit is kept.
    pub(crate) fn command_load(
        &mut self,
        worker_id: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        if !self.settings.loading.load_commands
            || !self.functions.contains_key(&function)
            || !self.load_limiter.store_is_available(now)
            || !self
                .load_limiter
                .rate_allows(&self.settings, &self.arrivals, now)
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
        replicas.load_requested = true;
        if !replicas.confirmed {
            replicas.ready_at = UNKNOWN_READY_AT;
        }
        replicas.last_used_at = now;
        worker.may_have_load_commands = true;
        self.load_limiter.record_command(now);
        actions.push(Action::LoadFunction {
            worker: worker_id.clone(),
            function,
            replicas: 1,
        });
        true
    }

    /// Takes the reply to a load command; requests that waited for it are routed again.
    pub(crate) fn finish_load(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let elapsed = reply.elapsed.min(MAX_DURATION) as f64;
        let run_time = self.expected_run_time(reply.function, 0);
        if reply.outcome == Outcome::Error {
            self.load_limiter.record_outcome(true, self.now);
        }
        let is_loaded = self.record_load_reply(reply);
        // A reply within a run's time met a replica that was there already.
        if is_loaded
            && elapsed > run_time
            && let Some(function) = self.functions.get_mut(&reply.function)
        {
            self.estimates.record_load_time(function, elapsed, self.now);
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
                pending.attempted_workers.pop();
            }
            self.route(id, actions);
        }
    }

    /// Takes in which replicas a reply tells of; whether a command has loaded them.
    fn record_load_reply(&mut self, reply: &LoadFinished) -> bool {
        let count = reply.replicas.min(MAX_REPORTED_REPLICAS);
        let Some(mut worker) = self.workers.get_mut(&reply.worker) else {
            return false;
        };
        let Some(replicas) = worker.replicas.get_mut(&reply.function) else {
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
            worker.replicas.remove(&reply.function);
        }
        false
    }
}
