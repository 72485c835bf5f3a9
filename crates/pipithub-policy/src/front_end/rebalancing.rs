//! Rebalancing: replicas move to the workers where they were missed (the hybrid provisioning of the
//! paper, section V).
//!
//! A request that goes to another worker because no replica is loaded at this one is a placement miss
//! here. After a few misses, one command loads the function here too. In addition, once in each
//! interval, the functions with misses replace the least used replicas; functions whose requests had
//! the least slack come first.

use std::collections::BTreeSet;

use super::FrontEnd;
use crate::api::{Action, FunctionId, RequestId, Time, WorkerId};
use crate::replicas::Replicas;
use crate::worker::WorkerState;

/// A function at a worker, as a candidate of one round of rebalancing.
struct Placement {
    worker: WorkerId,
    function: FunctionId,
    /// The run time that was admitted at the worker or missed there, in nanoseconds.
    run_time: f64,
    /// The sort key, in ascending order.
    rank: f64,
}

/// The candidates of one round of rebalancing.
#[derive(Default)]
struct Placements {
    /// Replicas that were loaded by a command, and may be replaced.
    placed: Vec<Placement>,
    /// Functions that were missed, and may replace others.
    missed: Vec<Placement>,
}

impl Placements {
    /// Adds a worker's replicas, and begins their next interval.
    fn collect(&mut self, worker: &mut WorkerState, now: Time, keep_alive: Time) {
        let id = worker.endpoint().worker.clone();
        for (function, replicas) in worker.replicas.iter_mut() {
            let is_loaded = replicas.confirmed && now <= replicas.last_used_at + keep_alive;
            if replicas.loaded_by_command && is_loaded {
                self.placed.push(Placement {
                    worker: id.clone(),
                    function,
                    run_time: replicas.demand.admitted_run_time(),
                    rank: replicas.demand.admitted_run_time(),
                });
            } else if replicas.demand.missed_run_time() > 0.0 {
                self.missed.push(Placement {
                    worker: id.clone(),
                    function,
                    run_time: replicas.demand.missed_run_time(),
                    rank: replicas.demand.min_slack(),
                });
            }
            begin_interval(replicas);
        }
    }

    fn sort(&mut self) {
        sort_by_rank(&mut self.placed);
        sort_by_rank(&mut self.missed);
    }
}

fn sort_by_rank(placements: &mut [Placement]) {
    placements.sort_by(|a, b| {
        a.rank
            .total_cmp(&b.rank)
            .then_with(|| (&a.worker, a.function).cmp(&(&b.worker, b.function)))
    });
}

/// Begins the next interval of a function at a worker. The number of assumed replicas decreases by
/// one, down to one: an idle worker evicts further replicas first, so those that no answer shows again
/// are not assumed for long.
fn begin_interval(replicas: &mut Replicas) {
    replicas.demand.begin_interval();
    replicas.count = replicas.count.saturating_sub(1).max(1);
}

/// Uses the settings, the workers, the estimates, the pending requests, the requests that wait for a
/// load report or a health check, and the rebalancer.
impl FrontEnd {
    /// Records run time that went to another worker because no replica was loaded at this one. After
    /// some misses a command loads the function here. Only one such command per function is in
    /// progress at a time, because a slow store must not be asked again for what it has not delivered
    /// yet.
    pub(super) fn record_placement_miss(
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
        let run_time = self.estimates.run_time(function, pending.request.class);
        let time_left = pending.latency_objective.saturating_sub(self.now) as f64;
        let slack = (time_left - run_time).max(0.0);
        let Some(mut worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let replicas = worker.replicas_of(function);
        replicas.demand.record_miss(run_time, slack);
        let has_enough_misses = replicas.demand.has_enough_misses();
        drop(worker);
        if may_spread
            && has_enough_misses
            && self.has_memory_for(&self.workers[worker_id], function)
            && !self.is_load_commanded(function)
        {
            self.command_load(worker_id, function, actions);
        }
    }

    /// Whether a load command for a function is in progress at any worker.
    fn is_load_commanded(&self, function: FunctionId) -> bool {
        self.workers.loading().any(|worker| {
            worker
                .replicas
                .get(function)
                .is_some_and(|replicas| replicas.load_requested)
        })
    }

    /// Runs one round of rebalancing (the paper's hybrid policy).
    pub(super) fn rebalance_replicas(&mut self, actions: &mut Vec<Action>) {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        let mut placements = Placements::default();
        self.workers
            .change_with_replicas(|worker| placements.collect(worker, now, keep_alive));
        placements.sort();
        self.replace_replicas(placements, actions);
        self.forget_unused();
    }

    /// Replaces the least used replicas by functions of which more run time was missed.
    fn replace_replicas(&mut self, placements: Placements, actions: &mut Vec<Action>) {
        self.rebalancer.add_allowance(placements.placed.len());
        let mut placed = placements.placed.into_iter();
        for missed in placements.missed {
            if !self.rebalancer.may_replace() {
                break;
            }
            let Some(least_used) = placed.next() else {
                break;
            };
            if missed.run_time <= least_used.run_time
                || !self.command_load(&missed.worker, missed.function, actions)
            {
                break;
            }
            self.rebalancer.record_replacement();
            self.evict(least_used, actions);
        }
    }

    fn evict(&mut self, placement: Placement, actions: &mut Vec<Action>) {
        let Placement {
            worker: worker_id,
            function,
            ..
        } = placement;
        let Some(mut worker) = self.workers.get_mut(&worker_id) else {
            return;
        };
        worker.replicas.remove(function);
        if worker.is_ready() {
            actions.push(Action::EvictFunction {
                worker: worker_id,
                function,
            });
        }
    }

    /// Forgets replicas that are no longer assumed, functions that are no longer requested, and
    /// ended requests that waited for a worker.
    fn forget_unused(&mut self) {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        self.workers
            .change_with_replicas(|worker| forget_unused_replicas(worker, now, keep_alive));
        self.workers.forget_former_holders();
        let pending = &self.pending;
        let is_pending = |request: &RequestId| pending.contains_key(request);
        self.load_polls.waiting.forget_ended(is_pending);
        self.awaiting_check.forget_ended(is_pending);
        let forget_after = self.rebalancer.function_lifetime();
        self.estimates.forget_unrequested(forget_after, now);
    }
}

fn forget_unused_replicas(worker: &mut WorkerState, now: Time, keep_alive: Time) {
    let busy: BTreeSet<FunctionId> = worker
        .attempts
        .iter()
        .map(|attempt| attempt.function)
        .collect();
    worker.replicas.retain(|function, replicas| {
        let was_used = replicas.last_used_at + 2 * keep_alive > now && replicas.ready_at > 0;
        busy.contains(&function) || replicas.load_requested || was_used
    });
}
