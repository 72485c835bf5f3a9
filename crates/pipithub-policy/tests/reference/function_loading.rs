//! Loads of functions: how many may be in progress, and the commands that make workers load.
//!
//! The number of loads in progress is limited, as a slow store must not be asked for more than it
//! delivers. Load commands keep to a rate limit if there is one. After failed loads no load may
//! start for a while.

use std::collections::BTreeSet;

use pipithub_policy::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};

use super::estimates::MAX_SAMPLE;
use super::front_end::FrontEnd;
use super::outlier::MAX_CONSECUTIVE_FAILURES;
use super::state::{Attempt, WorkerState};
use super::time::{MAX_DURATION, MILLISECOND};

/// Loads that may be in progress for each worker: with one, the functions of a lost zone came back
/// too slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// Loads that this front end may have in progress, however few workers there are.
const MIN_LOAD_LIMIT: usize = 2;
/// How long after its decision a load command may be sent if there is a rate limit.
pub(crate) const MAX_SEND_DELAY: Time = 50 * MILLISECOND;
/// The share of a worker's memory that assumed replicas may fill before a further one is taken to
/// evict another, as other front ends have replicas loaded too.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// The largest number of replicas that a reply to a load command can report; larger ones count as
/// this.
const MAX_REPORTED_REPLICAS: u32 = 64;
/// When replicas are ready that a command is to load: later than any point in time, as the time
/// that the command takes is not known.
const UNKNOWN_READY_AT: Time = Time::MAX >> 1;

/// The loads that this front end assumes to be in progress.
pub(crate) struct LoadsInProgress {
    pub(crate) count: usize,
    /// The function in question is being loaded, or may be.
    pub(crate) of_function: bool,
}

impl FrontEnd {
    /// The loads that this front end assumes to be in progress. Attempts and load commands at a
    /// worker that cannot be reached do not count.
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
            // An attempt at a replica that is not confirmed may be loading one; a second load of
            // the function would be a guess that is based on another guess.
            let is_unconfirmed = worker
                .in_flight_of(function)
                .any(|attempt| !attempt.cancelled && attempt.unconfirmed);
            loads.of_function |= loading.contains(&function) || is_unconfirmed;
        }
        loads
    }

    /// Whether a load may start beside those in progress. The limit is a few loads for each worker,
    /// divided by the number of front ends; a slow store lowers it.
    pub(crate) fn may_begin_load(&self, loads: usize, workers: usize) -> bool {
        let limit = (MAX_LOADS_PER_WORKER * workers)
            .div_ceil(self.settings.front_ends as usize)
            .max(MIN_LOAD_LIMIT);
        self.store_is_available() && loads as f64 * self.load_slowdown().max(1.0) < limit as f64
    }

    /// Whether the store is not ejected, so that loads may begin.
    pub(crate) fn store_is_available(&self) -> bool {
        self.now >= self.store_health.ejected_until
    }

    /// Whether a further replica of the function should fit beside those assumed at the worker.
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

    /// Commands a worker to load a function; `false` if that is not allowed.
    ///
    /// All load commands are sent here: draining and removed workers get none, a worker has at most
    /// one in progress for each function, and the rate limit is kept.
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
        let is_limited = self.settings.loading.rate_limit.is_some();
        let send_by = is_limited.then_some(self.now + MAX_SEND_DELAY);
        actions.push(Action::LoadFunction {
            worker: worker_id.clone(),
            function,
            replicas: 1,
            send_by,
        });
        true
    }

    /// Whether the rate limit allows a load command. The windows have two ticks of slack, as the
    /// clocks may differ, and the time for which commands may wait before they are sent.
    fn load_rate_allows(&self) -> bool {
        let Some(limit) = &self.settings.loading.rate_limit else {
            return true;
        };
        let slack = 2 * self.settings.tick + MAX_SEND_DELAY;
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

    /// Handles the reply to a load command, and routes the requests that waited for it again.
    pub(crate) fn finish_load(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let elapsed = reply.elapsed.min(MAX_DURATION) as f64;
        let run_time = self.expected_run_time(reply.function, 0);
        if reply.outcome == Outcome::Error {
            self.record_load_outcome(true);
        }
        // A reply that came within the time of a run met a replica that was loaded already.
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

    /// Records the replicas that a reply reports. Returns whether a command that was in progress
    /// has loaded them.
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

    /// Records the outcome of a load. After consecutive failures the store is ejected, longer each
    /// time, so that no load may start: each further one would keep the store overloaded.
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
    /// Whether the attempt is assumed to wait for a load.
    fn awaits_load(&self, now: Time) -> bool {
        self.cold_start
            || self.unconfirmed && now > self.sent_at + (self.run_time * MAX_SAMPLE) as Time
    }
}

impl WorkerState {
    /// The functions that are assumed to be loading here, for an attempt that was not cancelled or
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

    /// How many functions may be getting a further replica here. However many of a function's
    /// requests wait, a worker adds one replica at a time.
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
