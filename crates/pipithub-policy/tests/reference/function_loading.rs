//! Loads of functions: how many may be under way, and the load commands that bring functions in.
//!
//! A slow store must not be asked for more than it delivers, so that loads are limited; load
//! commands obey a rate limit where there is one; and after failed loads none may start for a while.

use std::collections::BTreeSet;

use pipithub_policy::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};

use super::estimates::MAX_SAMPLE;
use super::front_end::FrontEnd;
use super::outlier::MAX_CONSECUTIVE_FAILURES;
use super::state::{Attempt, WorkerState};
use super::time::MAX_DURATION;

/// Loads that may be under way for each worker: with one, a lost zone's functions came back too
/// slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// Loads that this front end may have under way however few workers there are.
const MIN_LOAD_LIMIT: usize = 2;
/// The share of a worker's memory that believed replicas fill before a further one evicts: others
/// run too.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// No reply to a load command counts for more replicas.
const MAX_REPORTED_REPLICAS: u32 = 64;
/// When replicas are ready that a command is to load: beyond all points in time, as no duration
/// tells.
const UNKNOWN_READY_AT: Time = Time::MAX >> 1;

/// Loads that this front end believes under way.
pub(crate) struct LoadsInProgress {
    pub(crate) count: usize,
    /// One of them is of the function that was asked about, or may be.
    pub(crate) of_function: bool,
}

impl FrontEnd {
    /// The loads that this front end believes under way. What hangs at a worker that cannot be
    /// reached loads nothing.
    pub(crate) fn loads_in_progress(&self, function: FunctionId) -> LoadsInProgress {
        let mut loads = LoadsInProgress {
            count: 0,
            of_function: false,
        };
        for worker in self.workers.values() {
            if worker.consecutive_connect_failures >= MAX_CONSECUTIVE_FAILURES {
                continue;
            }
            let loading = worker.loading_functions(self.now);
            loads.count += worker.functions_adding_replicas() + loading.len();
            // Before an answer has shown a replica anywhere, a second load would be a guess on a
            // guess.
            let is_unconfirmed = worker
                .in_flight_of(function)
                .any(|attempt| !attempt.cancelled && attempt.unconfirmed);
            loads.of_function |= loading.contains(&function) || is_unconfirmed;
        }
        loads
    }

    /// Whether a load may start beside those in progress. The limit is a few loads for each of this
    /// front end's part of the workers; a slow store lowers it.
    pub(crate) fn may_begin_load(&self, loads: usize, workers: usize) -> bool {
        let limit = (MAX_LOADS_PER_WORKER * workers)
            .div_ceil(self.settings.front_ends as usize)
            .max(MIN_LOAD_LIMIT);
        self.store_is_available() && loads as f64 * self.load_slowdown().max(1.0) < limit as f64
    }

    /// Whether loads may begin as far as the store is concerned.
    pub(crate) fn store_is_available(&self) -> bool {
        self.now >= self.store_health.ejected_until
    }

    /// Whether a further replica should fit beside those believed there.
    pub(crate) fn has_memory_for(&self, worker: &WorkerState, function: FunctionId) -> bool {
        let memory_of = |id: &FunctionId| self.functions.get(id).map_or(0.0, |f| f.memory_mb);
        let used: f64 = worker
            .replicas
            .iter()
            .filter(|(id, _)| self.replica_ready_at(worker, **id).is_some())
            .map(|(id, replicas)| memory_of(id) * f64::from(replicas.count.max(1)))
            .sum();
        worker.endpoint.memory_mb <= 0.0
            || used + memory_of(&function) <= worker.endpoint.memory_mb * MAX_MEMORY_SHARE
    }

    /// Has a worker load a function; `false` where it may not.
    ///
    /// This is the only place that gives load commands: drained and removed workers get none, a
    /// worker has one under way for each function, and the rate limit is kept.
    pub(crate) fn command_load(
        &mut self,
        worker_id: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.loading.load_commands
            || !self.functions.contains_key(&function)
            || !self.store_is_available()
            || !self.load_rate_allows()
            || !self.is_in_service(worker_id)
        {
            return false;
        }
        let worker = self.workers.get_mut(worker_id);
        let Some(worker) = worker.filter(|worker| worker.is_ready()) else {
            return false;
        };
        let replicas = worker.replicas.entry(function).or_default();
        if replicas.load_requested {
            return false;
        }
        replicas.load_requested = true;
        if !replicas.confirmed {
            replicas.ready_at = UNKNOWN_READY_AT;
        }
        replicas.last_used_at = self.now;
        self.load_commands.push_back(self.now);
        actions.push(Action::LoadFunction {
            worker: worker_id.clone(),
            function,
            replicas: 1,
        });
        true
    }

    /// Whether the rate limit leaves room for a load command; two ticks of slack, as the clocks may
    /// differ.
    fn load_rate_allows(&self) -> bool {
        let Some(limit) = &self.settings.loading.rate_limit else {
            return true;
        };
        let slack = 2 * self.settings.tick;
        let commands = self
            .load_commands
            .iter()
            .filter(|at| **at + limit.window + slack >= self.now)
            .count();
        let arrivals = self
            .arrivals
            .iter()
            .filter(|at| **at + limit.window > self.now + slack)
            .count();
        let is_exceeded = commands as f64 + 1.0 > limit.burst + limit.per_request * arrivals as f64;
        !is_exceeded
    }

    /// Takes the reply to a load command; requests that waited for it are routed again.
    pub(crate) fn finish_load(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let elapsed = reply.elapsed.min(MAX_DURATION) as f64;
        let run_time = self.expected_run_time(reply.function, 0);
        if reply.outcome == Outcome::Error {
            self.record_load_outcome(true);
        }
        // A reply within a run's time met a replica that was there already.
        if self.record_load_reply(reply) && elapsed > run_time {
            self.record_load_time(reply.function, elapsed);
        }
        let waiting = self.pending_where(|pending| {
            pending.awaits_load && pending.request.function == reply.function
        });
        for id in waiting {
            if reply.outcome == Outcome::Served
                && let Some(pending) = self.pending.get_mut(&id)
            {
                pending.attempted_workers.pop();
            }
            self.route(id, actions);
        }
    }

    /// Records the replicas that a reply reports; returns whether the command has loaded them.
    fn record_load_reply(&mut self, reply: &LoadFinished) -> bool {
        let count = reply.replicas.min(MAX_REPORTED_REPLICAS);
        let Some(worker) = self.workers.get_mut(&reply.worker) else {
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

    /// Records the outcome of a load. After consecutive failures no load may start for a while,
    /// longer each time: each further one would keep the store overloaded.
    pub(crate) fn record_load_outcome(&mut self, failed: bool) {
        if failed {
            self.consecutive_failed_loads += 1;
        } else {
            self.consecutive_failed_loads = 0;
            let errors = self.store_health.consecutive_errors;
            self.store_health.consecutive_errors = errors.saturating_sub(1);
        }
        if self.consecutive_failed_loads >= MAX_CONSECUTIVE_FAILURES && self.store_is_available() {
            self.store_health.eject(self.now);
        }
    }
}

impl Attempt {
    /// Whether it is believed to wait for a load.
    fn awaits_load(&self, now: Time) -> bool {
        self.cold_start
            || self.unconfirmed && now > self.sent_at + (self.run_time * MAX_SAMPLE) as Time
    }
}

impl WorkerState {
    /// The functions that are believed to be loading here, by an attempt that somebody waits for or
    /// by a load command.
    fn loading_functions(&self, now: Time) -> BTreeSet<FunctionId> {
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

    /// How many functions may get a further replica here: however many of their requests wait, a
    /// worker adds one replica at a time.
    fn functions_adding_replicas(&self) -> usize {
        let adding: BTreeSet<FunctionId> = self
            .in_flight
            .iter()
            .filter(|attempt| attempt.adds_replica)
            .map(|attempt| attempt.function)
            .collect();
        adding.len()
    }
}
