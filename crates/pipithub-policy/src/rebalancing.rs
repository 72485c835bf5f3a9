//! Rebalancing of replicas, by placement misses.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, RequestId, Time, WorkerId};
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::state::WorkerState;

/// The most of the placed copies replaced in a round (the paper's cap).
const MAX_REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The paper's replacement interval; the told keep-alive shortens it.
const MAX_INTERVAL: Time = 30_000 * MILLISECOND;
/// Misses of a function at a worker, within an interval, before a further worker is made to hold it.
const MISSES_TO_SPREAD: u32 = 2;
/// A function that was not called for so many intervals is forgotten.
const FORGET_AFTER_INTERVALS: u64 = 6;

impl FrontEnd {
    pub(crate) fn rebalancing_interval(&self) -> Time {
        self.settings
            .loading
            .keep_alive
            .clamp(1_000 * MILLISECOND, MAX_INTERVAL)
    }

    /// Notes run time that moved on because no copy stood at the worker. After such misses one hold loads the
    /// function here: one at a time, as a slow store must not be asked again for what it has not brought yet.
    pub(crate) fn record_placement_miss(
        &mut self,
        worker: &WorkerId,
        id: RequestId,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.pending.get(&id) else {
            return;
        };
        let (function, class, aim) = (
            open.request.function,
            open.request.class,
            open.latency_objective,
        );
        let run = self.expected_run_time(function, class);
        let Some(mut node) = self.workers.get_mut(worker) else {
            return;
        };
        let copies = node.replicas_of(function);
        let adequate = (aim.saturating_sub(self.now) as f64 - run).max(0.0);
        copies.min_slack = if copies.placement_misses == 0 {
            adequate
        } else {
            copies.min_slack.min(adequate)
        };
        copies.placement_misses += 1;
        copies.missed_run_time += run;
        let enough = spread && copies.placement_misses >= MISSES_TO_SPREAD;
        drop(node);
        let loading = |n: &WorkerState| n.replicas.get(&function).is_some_and(|c| c.load_requested);
        if enough
            && self.has_memory_for(&self.workers[worker], function)
            && !self.workers.loading().any(loading)
        {
            self.command_load(worker, function, actions);
        }
    }

    /// One round of the hybrid policy.
    pub(crate) fn rebalance_replicas(&mut self, actions: &mut Vec<Action>) {
        let mut placed: Vec<(f64, WorkerId, FunctionId)> = Vec::new();
        let mut wanted: Vec<(f64, f64, WorkerId, FunctionId)> = Vec::new();
        self.workers.change_with_replicas(|node| {
            let worker = &node.endpoint.worker;
            for (function, copies) in &mut node.replicas {
                let stands = copies.confirmed
                    && self.now <= copies.last_used_at + self.settings.loading.keep_alive;
                if copies.loaded_by_command && stands {
                    placed.push((copies.admitted_run_time, worker.clone(), *function));
                } else if copies.missed_run_time > 0.0 {
                    wanted.push((
                        copies.min_slack,
                        copies.missed_run_time,
                        worker.clone(),
                        *function,
                    ));
                }
                (
                    copies.admitted_run_time,
                    copies.missed_run_time,
                    copies.placement_misses,
                ) = (0.0, 0.0, 0);
                // Further copies go first when idle: what is not seen again is not believed for long.
                copies.count = copies.count.saturating_sub(1).max(1);
            }
        });
        placed.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.1, a.2).cmp(&(&b.1, b.2)))
        });
        wanted.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| (&a.2, a.3).cmp(&(&b.2, b.3)))
        });
        self.rebalancing_allowance =
            (self.rebalancing_allowance + placed.len() as f64 * MAX_REPLACED_SHARE).min(2.0);
        let mut placed = placed.into_iter();
        for (_, missed, worker, function) in wanted {
            if self.rebalancing_allowance < 1.0 {
                break;
            }
            let Some((used, old_worker, old)) = placed.next() else {
                break;
            };
            if missed <= used || !self.command_load(&worker, function, actions) {
                break;
            }
            self.rebalancing_allowance -= 1.0;
            if let Some(mut node) = self.workers.get_mut(&old_worker) {
                node.replicas.remove(&old);
                if node.is_ready() {
                    actions.push(Action::EvictFunction {
                        worker: old_worker,
                        function: old,
                    });
                }
            }
        }
        let (now, keep) = (self.now, self.settings.loading.keep_alive);
        self.workers.change_with_replicas(|node| {
            let busy: BTreeSet<FunctionId> = node.in_flight.iter().map(|s| s.function).collect();
            node.replicas.retain(|f, c| {
                busy.contains(f)
                    || c.load_requested
                    || c.last_used_at + 2 * keep > now && c.ready_at > 0
            });
        });
        self.workers.forget_former_holders();
        self.awaiting_load_report
            .retain(|_, ids| ids.iter().any(|id| self.pending.contains_key(id)));
        let forget = FORGET_AFTER_INTERVALS * self.rebalancing_interval();
        self.functions
            .retain(|_, p| p.last_requested_at + forget > now);
    }
}
