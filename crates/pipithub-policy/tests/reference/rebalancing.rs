//! Rebalancing: replicas move to the workers where requests miss them.
//!
//! A placement miss is a request that a worker would have admitted if a replica had been loaded.
//! Between rounds the run time of placement misses is counted, and a worker with enough of them is
//! commanded to load the function. In each round the least used replicas that a command has loaded
//! are replaced by replicas that were missed more, a few at a time.

use std::collections::BTreeSet;

use pipithub_policy::api::{Action, FunctionId, RequestId, Time, WorkerId};

use super::front_end::FrontEnd;
use super::state::{Replicas, WorkerState};
use super::time::MILLISECOND;

/// The largest share of the replicas loaded by command that is replaced in a round (the paper's
/// cap).
const MAX_REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The largest number of replacements in a round, those carried over included.
const MAX_ALLOWANCE: f64 = 2.0;
/// The paper's interval between rounds; a shorter keep-alive shortens it.
const MAX_INTERVAL: Time = 30_000 * MILLISECOND;
/// The shortest interval between rounds, whatever the keep-alive.
const MIN_INTERVAL: Time = 1_000 * MILLISECOND;
/// Placement misses of a function at a worker, within an interval, before the function is loaded
/// there too.
const MISSES_TO_SPREAD: u32 = 2;
/// Intervals without a request after which a function is forgotten.
const FORGET_AFTER_INTERVALS: u64 = 6;

/// Replicas of a function that are loaded or missed at a worker.
struct Placement {
    worker: WorkerId,
    function: FunctionId,
    /// Run time that was admitted or missed there in the last interval, in nanoseconds.
    run_time: f64,
    /// The sort key, lowest first: the run time of loaded replicas, the least slack of missed ones.
    rank: f64,
}

/// The replicas that a round may evict, and those that it may have loaded instead.
#[derive(Default)]
struct Placements {
    /// Replicas that were loaded by a command.
    placed: Vec<Placement>,
    /// Replicas that were missed.
    missed: Vec<Placement>,
}

impl FrontEnd {
    /// The time between two rounds.
    pub(crate) fn rebalancing_interval(&self) -> Time {
        self.settings
            .loading
            .keep_alive
            .clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Records a placement miss of a request at a worker. After enough misses the worker is
    /// commanded to load the function, if `may_spread` is set and its memory suffices. Only one
    /// such command for a function is in progress at a time: a slow store must not be asked again
    /// for what it has not delivered yet.
    pub(crate) fn record_placement_miss(
        &mut self,
        worker_id: &WorkerId,
        id: RequestId,
        may_spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let function = pending.request.function;
        let run_time = self.expected_run_time(function, pending.request.class);
        let time_left = pending.latency_objective.saturating_sub(self.now) as f64;
        let slack = (time_left - run_time).max(0.0);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let replicas = worker.replicas.entry(function).or_default();
        replicas.record_miss(run_time, slack);
        if may_spread
            && replicas.placement_misses >= MISSES_TO_SPREAD
            && self.has_memory_for(&self.workers[worker_id], function)
            && !self.is_load_commanded(function)
        {
            self.command_load(worker_id, function, actions);
        }
    }

    /// Whether a load command for a function is in progress at any worker.
    fn is_load_commanded(&self, function: FunctionId) -> bool {
        self.workers.values().any(|worker| {
            let replicas = worker.replicas.get(&function);
            replicas.is_some_and(|replicas| replicas.load_requested)
        })
    }

    /// Runs one round of rebalancing.
    pub(crate) fn rebalance_replicas(&mut self, actions: &mut Vec<Action>) {
        let placements = self.collect_placements();
        self.replace_replicas(placements, actions);
        self.forget_unused();
    }

    /// Collects what was used and missed in the interval that ends, and begins the next one.
    fn collect_placements(&mut self) -> Placements {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        let mut placements = Placements::default();
        for (worker, state) in self.workers.iter_mut() {
            for (function, replicas) in &mut state.replicas {
                let is_loaded = replicas.confirmed && now <= replicas.last_used_at + keep_alive;
                let placement = |run_time, rank| Placement {
                    worker: worker.clone(),
                    function: *function,
                    run_time,
                    rank,
                };
                if replicas.loaded_by_command && is_loaded {
                    let used = replicas.admitted_run_time;
                    placements.placed.push(placement(used, used));
                } else if replicas.missed_run_time > 0.0 {
                    let missed = placement(replicas.missed_run_time, replicas.min_slack);
                    placements.missed.push(missed);
                }
                replicas.begin_interval();
            }
        }
        sort_by_rank(&mut placements.placed);
        sort_by_rank(&mut placements.missed);
        placements
    }

    /// Replaces the least used replicas by replicas that were missed more.
    fn replace_replicas(&mut self, placements: Placements, actions: &mut Vec<Action>) {
        let earned = placements.placed.len() as f64 * MAX_REPLACED_SHARE;
        self.rebalancing_allowance = (self.rebalancing_allowance + earned).min(MAX_ALLOWANCE);
        for (missed, least_used) in placements.missed.into_iter().zip(placements.placed) {
            if self.rebalancing_allowance < 1.0
                || missed.run_time <= least_used.run_time
                || !self.command_load(&missed.worker, missed.function, actions)
            {
                return;
            }
            self.rebalancing_allowance -= 1.0;
            self.evict(least_used, actions);
        }
    }

    /// Evicts replicas by a command. A worker that is draining or removed gets no command.
    fn evict(&mut self, placement: Placement, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get_mut(&placement.worker) else {
            return;
        };
        worker.replicas.remove(&placement.function);
        if worker.is_ready() {
            actions.push(Action::EvictFunction {
                worker: placement.worker,
                function: placement.function,
            });
        }
    }

    /// Forgets replicas that were not used, and functions that were not requested, for some time.
    fn forget_unused(&mut self) {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        for worker in self.workers.values_mut() {
            worker.forget_unused_replicas(now, keep_alive);
        }
        let forget_after = FORGET_AFTER_INTERVALS * self.rebalancing_interval();
        self.functions
            .retain(|_, function| function.last_requested_at + forget_after > now);
    }
}

/// Sorts by rank, then by worker and function, so that equal events give equal actions.
fn sort_by_rank(placements: &mut [Placement]) {
    placements.sort_by(|a, b| {
        a.rank
            .total_cmp(&b.rank)
            .then_with(|| (&a.worker, a.function).cmp(&(&b.worker, b.function)))
    });
}

impl Replicas {
    /// Counts one placement miss, and keeps the least slack of the interval.
    fn record_miss(&mut self, run_time: f64, slack: f64) {
        self.min_slack = if self.placement_misses == 0 {
            slack
        } else {
            self.min_slack.min(slack)
        };
        self.placement_misses += 1;
        self.missed_run_time += run_time;
    }

    /// Resets the counts of an interval. An idle worker evicts its further replicas first, so the
    /// assumed number of replicas falls by one in each interval until an answer confirms it again.
    fn begin_interval(&mut self) {
        self.admitted_run_time = 0.0;
        self.missed_run_time = 0.0;
        self.placement_misses = 0;
        self.count = self.count.saturating_sub(1).max(1);
    }
}

impl WorkerState {
    /// Forgets replicas that were not used for two keep-alive times, unless attempts or a load
    /// command are in progress.
    fn forget_unused_replicas(&mut self, now: Time, keep_alive: Time) {
        let busy: BTreeSet<FunctionId> = self
            .in_flight
            .iter()
            .map(|attempt| attempt.function)
            .collect();
        self.replicas.retain(|function, replicas| {
            let was_used = replicas.last_used_at + 2 * keep_alive > now && replicas.ready_at > 0;
            busy.contains(function) || replicas.load_requested || was_used
        });
    }
}
