//! Rebalancing: replicas move to where they were missed (the paper's hybrid provisioning, section
//! V).
//!
//! A request that moves on because no replica is loaded at a worker is a placement miss there.
//! After some, one load command spreads the function; and once an interval, the functions that were
//! missed, those with the least time to spare first, replace the least used replicas.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, RequestId, Time, WorkerId};
use crate::front_end::FrontEnd;
use crate::hashing::mix;
use crate::state::{Replicas, WorkerState};
use crate::time::MILLISECOND;

/// The most of the placed replicas that are replaced in a round (the paper's cap).
const MAX_REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The most replacements that are carried over to a round.
const MAX_ALLOWANCE: f64 = 2.0;
/// The paper's interval between rounds; a shorter keep-alive shortens it.
const MAX_INTERVAL: Time = 30_000 * MILLISECOND;
/// The shortest interval.
const MIN_INTERVAL: Time = 1_000 * MILLISECOND;
/// Placement misses of a function at a worker, within an interval, before it is loaded there too.
const MISSES_TO_SPREAD: u32 = 2;
/// A function that was not requested for so many intervals is forgotten.
const FORGET_AFTER_INTERVALS: u64 = 6;

/// A function's replicas at a worker, as one round weighs them.
struct Placement {
    worker: WorkerId,
    function: FunctionId,
    /// Run time that was admitted there, or that was missed.
    run_time: f64,
    /// What it is sorted by, the least first.
    rank: f64,
}

/// What a round has to choose from.
#[derive(Default)]
struct Placements {
    /// Replicas that were loaded by a command.
    placed: Vec<Placement>,
    /// Functions that were missed.
    missed: Vec<Placement>,
}

impl Placements {
    /// Takes in a worker's replicas and begins their next interval.
    fn collect(&mut self, worker: &mut WorkerState, now: Time, keep_alive: Time) {
        let id = &worker.endpoint.worker;
        for (function, replicas) in &mut worker.replicas {
            let is_loaded = replicas.confirmed && now <= replicas.last_used_at + keep_alive;
            if replicas.loaded_by_command && is_loaded {
                self.placed.push(Placement {
                    worker: id.clone(),
                    function: *function,
                    run_time: replicas.admitted_run_time,
                    rank: replicas.admitted_run_time,
                });
            } else if replicas.missed_run_time > 0.0 {
                self.missed.push(Placement {
                    worker: id.clone(),
                    function: *function,
                    run_time: replicas.missed_run_time,
                    rank: replicas.min_slack,
                });
            }
            replicas.begin_interval();
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

impl Replicas {
    /// Begins to count anew. Further replicas are the first that an idle worker evicts: what is not
    /// seen again is not believed for long.
    fn begin_interval(&mut self) {
        self.admitted_run_time = 0.0;
        self.missed_run_time = 0.0;
        self.placement_misses = 0;
        self.count = self.count.saturating_sub(1).max(1);
    }

    fn record_miss(&mut self, run_time: f64, slack: f64) {
        self.min_slack = if self.placement_misses == 0 {
            slack
        } else {
            self.min_slack.min(slack)
        };
        self.placement_misses += 1;
        self.missed_run_time += run_time;
    }
}

/// When rounds of rebalancing begin, and how many replicas they may replace.
#[derive(Debug, Default)]
pub(crate) struct Rebalancer {
    /// The time between two rounds.
    interval: Time,
    /// The time from which the next round is due; 0 before [`Rebalancer::start`].
    next_round_at: Time,
    /// Replicas that may be replaced now; a fraction is carried over to the next round.
    allowance: f64,
}

impl Rebalancer {
    /// A rebalancer with the paper's interval, or the keep-alive of replicas if that is shorter.
    pub(crate) fn new(keep_alive: Time) -> Self {
        Rebalancer {
            interval: keep_alive.clamp(MIN_INTERVAL, MAX_INTERVAL),
            ..Rebalancer::default()
        }
    }

    /// Whether the first round was scheduled.
    pub(crate) fn is_started(&self) -> bool {
        self.next_round_at != 0
    }

    /// Schedules the first round at a random time, so that front ends which start together do not
    /// rebalance together.
    pub(crate) fn start(&mut self, seed: u64, now: Time) {
        let half_interval = self.interval / 2;
        self.next_round_at = now + half_interval + mix(seed) % half_interval;
    }

    /// Whether a round is due; if so the next one is scheduled.
    pub(crate) fn begin_round_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_round_at;
        if is_due {
            self.next_round_at = now + self.interval;
        }
        is_due
    }

    /// How long a function is remembered after its last request.
    fn function_lifetime(&self) -> Time {
        FORGET_AFTER_INTERVALS * self.interval
    }

    /// Adds the share of the placed replicas that a round may replace.
    fn earn(&mut self, placed: usize) {
        let earned = placed as f64 * MAX_REPLACED_SHARE;
        self.allowance = (self.allowance + earned).min(MAX_ALLOWANCE);
    }

    /// Whether one more replica may be replaced.
    fn may_replace(&self) -> bool {
        self.allowance >= 1.0
    }

    /// Counts a replica that was replaced.
    fn record_replacement(&mut self) {
        self.allowance -= 1.0;
    }
}

impl FrontEnd {
    /// Notes run time that moved on because no replica was loaded at the worker. After some misses
    /// one command loads the function here: one at a time, as a slow store must not be asked again
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
        let Some(mut worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let replicas = worker.replicas_of(function);
        replicas.record_miss(run_time, slack);
        let is_missed_enough = replicas.placement_misses >= MISSES_TO_SPREAD;
        drop(worker);
        if may_spread
            && is_missed_enough
            && self.has_memory_for(&self.workers[worker_id], function)
            && !self.is_load_commanded(function)
        {
            self.command_load(worker_id, function, actions);
        }
    }

    /// Whether a load command for a function is under way at any worker.
    fn is_load_commanded(&self, function: FunctionId) -> bool {
        self.workers.loading().any(|worker| {
            worker
                .replicas
                .get(&function)
                .is_some_and(|replicas| replicas.load_requested)
        })
    }

    /// One round of the hybrid policy.
    pub(crate) fn rebalance_replicas(&mut self, actions: &mut Vec<Action>) {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        let mut placements = Placements::default();
        self.workers
            .change_with_replicas(|worker| placements.collect(worker, now, keep_alive));
        placements.sort();
        self.replace_replicas(placements, actions);
        self.forget_unused();
    }

    /// Replaces the least used replicas by those that were missed more.
    fn replace_replicas(&mut self, placements: Placements, actions: &mut Vec<Action>) {
        self.rebalancer.earn(placements.placed.len());
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
        worker.replicas.remove(&function);
        if worker.is_ready() {
            actions.push(Action::EvictFunction {
                worker: worker_id,
                function,
            });
        }
    }

    /// Forgets replicas that are not believed any more, and functions that are not requested any
    /// more.
    fn forget_unused(&mut self) {
        let (now, keep_alive) = (self.now, self.settings.loading.keep_alive);
        self.workers
            .change_with_replicas(|worker| worker.forget_unused_replicas(now, keep_alive));
        self.workers.forget_former_holders();
        let pending = &self.pending;
        self.load_polls
            .forget_ended(|request| pending.contains_key(request));
        let forget_after = self.rebalancer.function_lifetime();
        self.functions
            .retain(|_, function| function.last_requested_at + forget_after > now);
    }
}

impl WorkerState {
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
