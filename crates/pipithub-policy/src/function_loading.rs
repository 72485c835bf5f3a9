//! Load commands, their limits and their replies.

use std::collections::BTreeSet;

use crate::api::{Action, FunctionId, LoadFinished, Outcome, Time, WorkerId};
use crate::estimates::{faded, MAX_SAMPLE};
use crate::front_end::{FrontEnd, MAX_DURATION};
use crate::outlier::MAX_CONSECUTIVE_FAILURES;
use crate::state::{Attempt, WorkerState};

/// The share of a worker's memory that believed copies fill before a further one evicts: others run too.
const MAX_MEMORY_SHARE: f64 = 0.5;

impl FrontEnd {
    /// What loads take beside the usual, from those that were seen.
    pub(crate) fn load_slowdown(&self) -> f64 {
        faded(
            self.load_slowdown,
            self.now.saturating_sub(self.load_observed_at),
        )
    }

    /// Notes a load that was done or failed. Where loads fail, each further one, a repeat of the same call
    /// above all, keeps the store in trouble: none is begun for a while, longer each time. It holds for a
    /// store that turns fetches away, stops or has lost a program; one failure means nothing. Harm: what is
    /// asked for seldom is refused meanwhile, though a load might have come through.
    pub(crate) fn record_load_outcome(&mut self, failed: bool) {
        self.consecutive_failed_loads = if failed {
            self.consecutive_failed_loads + 1
        } else {
            0
        };
        self.store_health.consecutive_errors -=
            u32::from(!failed && self.store_health.consecutive_errors > 0);
        if self.consecutive_failed_loads >= MAX_CONSECUTIVE_FAILURES
            && self.now >= self.store_health.ejected_until
        {
            self.store_health.eject(self.now);
        }
    }

    /// Takes the reply to an order; calls that waited for it are placed again.
    pub(crate) fn finish_load(&mut self, reply: &LoadFinished, actions: &mut Vec<Action>) {
        let (worker, function, took, count) = (
            &reply.worker,
            reply.function,
            reply.elapsed.min(MAX_DURATION),
            reply.replicas.min(64),
        );
        let run = self.expected_run_time(function, 0);
        if reply.outcome == Outcome::Error {
            self.record_load_outcome(true);
        }
        let mut loaded = false;
        if let Some(mut node) = self.workers.get_mut(worker) {
            if let Some(copies) = node
                .replicas
                .get_mut(&function)
                .filter(|c| c.load_requested)
            {
                copies.load_requested = false;
                if reply.outcome == Outcome::Served && count > 0 {
                    (copies.count, copies.confirmed, copies.loaded_by_command) =
                        (count, true, true);
                    (copies.ready_at, copies.last_used_at) =
                        (copies.ready_at.min(self.now), self.now);
                    loaded = took as f64 > run;
                } else if count == 0 && !copies.confirmed {
                    node.replicas.remove(&function);
                }
            }
        }
        if loaded {
            self.record_load_time(function, took as f64);
        }
        let parked = self
            .pending
            .iter()
            .filter(|(_, o)| o.awaits_load && o.request.function == function);
        for id in parked.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(open) = self
                .pending
                .get_mut(&id)
                .filter(|_| reply.outcome == Outcome::Served)
            {
                open.attempted_workers.pop();
            }
            self.route(id, actions);
        }
    }

    /// Loads that this front end believes under way, and whether one is of this function.
    pub(crate) fn loads_in_progress(&self, function: FunctionId) -> (usize, bool) {
        let (mut count, mut same) = (0, false);
        // What hangs at a worker that cannot be reached loads nothing: counted, it would bar those left.
        for node in self
            .workers
            .loading()
            .filter(|n| n.consecutive_connect_failures < MAX_CONSECUTIVE_FAILURES)
        {
            let slow = |s: &&Attempt| {
                s.cold_start
                    || s.unconfirmed && self.now > s.sent_at + (s.run_time * MAX_SAMPLE) as Time
            };
            // A load that nobody waits for may be left out: no other waits for it.
            let awaited = || node.in_flight.iter().filter(|s| !s.cancelled);
            let waiting = awaited().filter(slow).map(|s| s.function);
            // However many wait beside taken lanes, a worker adds one copy at a time: counted each, a lost
            // zone's calls at those left barred them from loads that they had room and time for.
            let adding: BTreeSet<FunctionId> = node
                .in_flight
                .iter()
                .filter(|s| s.adds_replica)
                .map(|s| s.function)
                .collect();
            count += adding.len();
            let ordered = node
                .replicas
                .iter()
                .filter(|(_, c)| c.load_requested)
                .map(|(f, _)| *f);
            let loading: BTreeSet<FunctionId> = waiting.chain(ordered).collect();
            count += loading.len();
            // Before an answer has shown a copy anywhere, a second load would be a guess on a guess.
            same |= loading.contains(&function)
                || awaited().any(|s| s.unconfirmed && s.function == function);
        }
        (count, same)
    }

    /// Whether a copy more should fit beside those believed there: in a shared order own beliefs tell most.
    pub(crate) fn has_memory_for(&self, node: &WorkerState, function: FunctionId) -> bool {
        let memory = |f: &FunctionId| self.functions.get(f).map_or(0.0, |p| p.memory_mb);
        let stands = node
            .replicas
            .iter()
            .filter(|(f, _)| self.replica_ready_at(node, **f).is_some());
        let held: f64 = stands
            .map(|(f, c)| memory(f) * f64::from(c.count.max(1)))
            .sum();
        node.endpoint.memory_mb <= 0.0
            || held + memory(&function) <= node.endpoint.memory_mb * MAX_MEMORY_SHARE
    }

    /// The only place that orders loads: drained and gone workers get none, and the ration holds.
    pub(crate) fn command_load(
        &mut self,
        worker: &WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        if !self.settings.loading.load_commands
            || !self.functions.contains_key(&function)
            || now < self.store_health.ejected_until
        {
            return false;
        }
        if let Some(ration) = &self.settings.loading.rate_limit {
            let slack = 2 * self.settings.tick;
            let orders = self
                .load_commands
                .since(now.saturating_sub(ration.window + slack));
            let taken = self
                .arrivals
                .since((now + slack + 1).saturating_sub(ration.window));
            if orders as f64 + 1.0 > ration.burst + ration.per_request * taken as f64 {
                return false;
            }
        }
        let Some(mut node) = self.workers.get_mut(worker).filter(|n| n.is_ready()) else {
            return false;
        };
        let copies = node.replicas_of(function);
        if std::mem::replace(&mut copies.load_requested, true) {
            return false;
        }
        if !copies.confirmed {
            copies.ready_at = Time::MAX >> 1;
        }
        copies.last_used_at = now;
        node.may_have_load_commands = true;
        self.load_commands.push(now);
        actions.push(Action::LoadFunction {
            worker: worker.clone(),
            function,
            replicas: 1,
        });
        true
    }
}
