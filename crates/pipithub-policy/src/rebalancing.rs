//! Rebalancing of replicas, by placement misses.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, RequestId, Time, WorkerId};
use crate::front_end::{FrontEnd, MS};
use crate::state::Node;

/// The most of the placed copies replaced in a round (the paper's cap).
const REPLACED_SHARE: f64 = 1.0 / 15.0;
/// The paper's replacement interval; the told keep-alive shortens it.
const INTERVAL_MOST: Time = 30_000 * MS;
/// Misses of a function at a worker, within an interval, before a further worker is made to hold it.
const MISSES_TO_SPREAD: u32 = 2;
/// A function that was not called for so many intervals is forgotten.
const FORGET_INTERVALS: u64 = 6;

impl FrontEnd {
    pub(crate) fn interval(&self) -> Time {
        self.s.loading.keep_alive.clamp(1_000 * MS, INTERVAL_MOST)
    }

    /// Notes run time that moved on because no copy stood at the worker. After such misses one hold loads the
    /// function here: one at a time, as a slow store must not be asked again for what it has not brought yet.
    pub(crate) fn missed(
        &mut self,
        worker: &WorkerId,
        id: RequestId,
        spread: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let (function, class, aim) = (open.call.function, open.call.class, open.aim);
        let run = self.run_of(function, class);
        let Some(mut node) = self.nodes.get_mut(worker) else {
            return;
        };
        let copies = node.copies_of(function);
        let adequate = (aim.saturating_sub(self.now) as f64 - run).max(0.0);
        copies.adequate = if copies.misses == 0 {
            adequate
        } else {
            copies.adequate.min(adequate)
        };
        copies.misses += 1;
        copies.missed_work += run;
        let enough = spread && copies.misses >= MISSES_TO_SPREAD;
        drop(node);
        let loading = |n: &Node| n.copies.get(&function).is_some_and(|c| c.ordered);
        if enough
            && self.has_room(&self.nodes[worker], function)
            && !self.nodes.loading().any(loading)
        {
            self.hold(worker, function, actions);
        }
    }

    /// One round of the hybrid policy.
    pub(crate) fn replace(&mut self, actions: &mut Vec<Action>) {
        let mut placed: Vec<(f64, WorkerId, FunctionId)> = Vec::new();
        let mut wanted: Vec<(f64, f64, WorkerId, FunctionId)> = Vec::new();
        self.nodes.change_holding(|node| {
            let worker = &node.entry.worker;
            for (function, copies) in &mut node.copies {
                let stands = copies.proven && self.now <= copies.used + self.s.loading.keep_alive;
                if copies.placed && stands {
                    placed.push((copies.used_work, worker.clone(), *function));
                } else if copies.missed_work > 0.0 {
                    wanted.push((
                        copies.adequate,
                        copies.missed_work,
                        worker.clone(),
                        *function,
                    ));
                }
                (copies.used_work, copies.missed_work, copies.misses) = (0.0, 0.0, 0);
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
        self.allowance = (self.allowance + placed.len() as f64 * REPLACED_SHARE).min(2.0);
        let mut placed = placed.into_iter();
        for (_, missed, worker, function) in wanted {
            if self.allowance < 1.0 {
                break;
            }
            let Some((used, old_worker, old)) = placed.next() else {
                break;
            };
            if missed <= used || !self.hold(&worker, function, actions) {
                break;
            }
            self.allowance -= 1.0;
            if let Some(mut node) = self.nodes.get_mut(&old_worker) {
                node.copies.remove(&old);
                if node.is_live() {
                    actions.push(Action::EvictFunction {
                        worker: old_worker,
                        function: old,
                    });
                }
            }
        }
        let (now, keep) = (self.now, self.s.loading.keep_alive);
        self.nodes.change_holding(|node| {
            let busy: BTreeSet<FunctionId> = node.out.iter().map(|s| s.function).collect();
            node.copies.retain(|f, c| {
                busy.contains(f) || c.ordered || c.used + 2 * keep > now && c.ready > 0
            });
        });
        self.nodes.forget_holders();
        self.asking
            .retain(|_, ids| ids.iter().any(|id| self.open.contains_key(id)));
        let forget = FORGET_INTERVALS * self.interval();
        self.programs.retain(|_, p| p.called + forget > now);
    }
}
