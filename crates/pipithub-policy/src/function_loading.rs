//! Load commands, their limits and their replies.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};
use crate::estimates::{faded, SAMPLE_CAP};
use crate::front_end::{FrontEnd, LONGEST};
use crate::outlier::STRIKES;
use crate::state::{Node, Sent};

/// The share of a worker's memory that believed copies fill before a further one evicts: others run too.
const MEMORY_FILL: f64 = 0.5;

impl FrontEnd {
    /// What loads take beside the usual, from those that were seen.
    pub(crate) fn store_pace(&self) -> f64 {
        faded(self.load_stretch, self.now.saturating_sub(self.load_heard))
    }

    /// Notes a load that was done or failed. Where loads fail, each further one, a repeat of the same call
    /// above all, keeps the store in trouble: none is begun for a while, longer each time. It holds for a
    /// store that turns fetches away, stops or has lost a program; one failure means nothing. Harm: what is
    /// asked for seldom is refused meanwhile, though a load might have come through.
    pub(crate) fn store_heard(&mut self, failed: bool) {
        self.failed_loads = if failed { self.failed_loads + 1 } else { 0 };
        self.store.bad -= u32::from(!failed && self.store.bad > 0);
        if self.failed_loads >= STRIKES && self.now >= self.store.shut_until {
            self.store.shut(self.now);
        }
    }

    /// Takes the reply to an order; calls that waited for it are placed again.
    pub(crate) fn ordered(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let (worker, function, took, count) = (
            &reply.worker,
            reply.function,
            reply.elapsed.min(LONGEST),
            reply.replicas.min(64),
        );
        let run = self.run_of(function, 0);
        if reply.outcome == Outcome::Error {
            self.store_heard(true);
        }
        let mut loaded = false;
        if let Some(mut node) = self.nodes.get_mut(worker) {
            if let Some(copies) = node.copies.get_mut(&function).filter(|c| c.ordered) {
                copies.ordered = false;
                if reply.outcome == Outcome::Served && count > 0 {
                    (copies.count, copies.proven, copies.placed) = (count, true, true);
                    (copies.ready, copies.used) = (copies.ready.min(self.now), self.now);
                    loaded = took as f64 > run;
                } else if count == 0 && !copies.proven {
                    node.copies.remove(&function);
                }
            }
        }
        if loaded {
            self.learn_load(function, took as f64);
        }
        let parked = self
            .open
            .iter()
            .filter(|(_, o)| o.parked && o.call.function == function);
        for id in parked.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(open) = self
                .open
                .get_mut(&id)
                .filter(|_| reply.outcome == Outcome::Served)
            {
                open.tried.pop();
            }
            self.place(id, actions);
        }
    }

    /// Loads that this front end believes under way, and whether one is of this function.
    pub(crate) fn loads_under_way(&self, function: FunctionId) -> (usize, bool) {
        let (mut count, mut same) = (0, false);
        // What hangs at a worker that cannot be reached loads nothing: counted, it would bar those left.
        for node in self.nodes.loading().filter(|n| n.strikes < STRIKES) {
            let slow =
                |s: &&Sent| s.cold || s.unproven && self.now > s.at + (s.run * SAMPLE_CAP) as Time;
            // A load that nobody waits for may be left out: no other waits for it.
            let awaited = || node.out.iter().filter(|s| !s.withdrawn);
            let waiting = awaited().filter(slow).map(|s| s.function);
            // However many wait beside taken lanes, a worker adds one copy at a time: counted each, a lost
            // zone's calls at those left barred them from loads that they had room and time for.
            let adding: BTreeSet<FunctionId> = node
                .out
                .iter()
                .filter(|s| s.adds)
                .map(|s| s.function)
                .collect();
            count += adding.len();
            let ordered = node
                .copies
                .iter()
                .filter(|(_, c)| c.ordered)
                .map(|(f, _)| *f);
            let loading: BTreeSet<FunctionId> = waiting.chain(ordered).collect();
            count += loading.len();
            // Before an answer has shown a copy anywhere, a second load would be a guess on a guess.
            same |= loading.contains(&function)
                || awaited().any(|s| s.unproven && s.function == function);
        }
        (count, same)
    }

    /// Whether a copy more should fit beside those believed there: in a shared order own beliefs tell most.
    pub(crate) fn has_room(&self, node: &Node, function: FunctionId) -> bool {
        let memory = |f: &FunctionId| self.programs.get(f).map_or(0.0, |p| p.memory_mb);
        let stands = node
            .copies
            .iter()
            .filter(|(f, _)| self.ready_at(node, **f).is_some());
        let held: f64 = stands
            .map(|(f, c)| memory(f) * f64::from(c.count.max(1)))
            .sum();
        node.entry.memory_mb <= 0.0
            || held + memory(&function) <= node.entry.memory_mb * MEMORY_FILL
    }

    /// The only place that orders loads: drained and gone workers get none, and the ration holds.
    pub(crate) fn hold(
        &mut self,
        worker: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        if !self.s.loading.load_commands
            || !self.programs.contains_key(&function)
            || now < self.store.shut_until
        {
            return false;
        }
        if let Some(ration) = &self.s.loading.rate_limit {
            let slack = 2 * self.s.tick;
            let orders = self.orders.since(now.saturating_sub(ration.window + slack));
            let taken = self
                .arrivals
                .since((now + slack + 1).saturating_sub(ration.window));
            if orders as f64 + 1.0 > ration.burst + ration.per_request * taken as f64 {
                return false;
            }
        }
        let Some(mut node) = self.nodes.get_mut(worker).filter(|n| n.is_live()) else {
            return false;
        };
        let copies = node.copies_of(function);
        if std::mem::replace(&mut copies.ordered, true) {
            return false;
        }
        if !copies.proven {
            copies.ready = Time::MAX >> 1;
        }
        copies.used = now;
        node.orders = true;
        self.orders.push(now);
        actions.push(Action::LoadFunction {
            worker: worker.clone(),
            function,
            replicas: 1,
        });
        true
    }
}
