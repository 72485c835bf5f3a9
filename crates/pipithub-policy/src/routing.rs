//! The worker that a request is forwarded to.

use std::collections::BTreeSet;

use crate::api::{Action, DeduplicationScope, Idempotency, RequestId};
use crate::front_end::{FrontEnd, MILLISECOND};
use crate::load_reports::{
    MAX_POLLS_PER_REQUEST, POLL_TIMEOUT, POLL_TIMEOUT_TOKEN, REPORT_LIFETIME,
};
use crate::replay::RUN_TIME_MARGIN;
use crate::state::{PendingRequest, Prediction, WorkerState};

/// Loads that may be under way for each worker: with one, a lost zone's functions came back too slowly.
const MAX_LOADS_PER_WORKER: usize = 4;
/// The most late calls to wait at one worker for a load: they must not fill its queue.
const MAX_LATE_REQUESTS: usize = 8;
/// A worker whose cores are told to be busier than this has a queue: it is second choice.
const MAX_CPU_UTILIZATION: f64 = 0.95;

impl FrontEnd {
    /// Whether the request may have an attempt at this worker at all.
    fn may_attempt(
        &self,
        open: &PendingRequest,
        node: &WorkerState,
        closed: &BTreeSet<&str>,
    ) -> bool {
        let class = &self.settings.classes[open.request.class];
        let repeat_ok = match (&open.possible_execution, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some((at, zone, cell)), Idempotency::WithKey) => {
                let in_group = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => *zone == node.endpoint.zone,
                    DeduplicationScope::Cell => *cell == node.endpoint.cell,
                };
                in_group
                    && self.now + 4 * self.settings.tick.max(MILLISECOND)
                        < at + class.deduplication_window
            }
        };
        // A worker in trouble is left alone; once that time is over one send at a time tries it.
        let health = &node.health[open.request.class];
        let idle = || {
            node.in_flight
                .iter()
                .all(|s| s.class != open.request.class || s.sent_at < health.ejected_until)
        };
        repeat_ok
            && !closed.contains(node.endpoint.zone.as_str())
            && (health.consecutive_errors == 0 || self.now >= health.ejected_until && idle())
            && (node.in_flight.len() as f64) < node.concurrency_limit
            && self.has_slow_start_budget(node)
    }

    /// Sends the request where the design says, or ends it.
    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    pub(crate) fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get_mut(&id) else {
            return;
        };
        open.awaits_load = false;
        if open.attempt_in_flight || open.streaming || open.polled_worker.is_some() {
            return;
        }
        let open = &self.pending[&id];
        let class = &self.settings.classes[open.request.class];
        let (now, function) = (self.now, open.request.function);
        if open.attempts >= self.settings.limits.max_attempts
            || now + 2 * self.settings.tick >= open.deadline
        {
            return self.reject_or_fail(id, actions);
        }
        // After the aim only late worth is left; where there is none, more work would be waste.
        let goal = if now < open.latency_objective {
            open.latency_objective
        } else {
            open.deadline
        };
        if goal == open.deadline && open.latency_objective < now && class.late_answer_weight <= 0.0
        {
            return self.reject_or_fail(id, actions);
        }
        let order = self.preference_order(function);
        let stands = |n: &WorkerState| n.is_ready() && self.replica_ready_at(n, function).is_some();
        let located = self.workers.holders(function).any(stands);
        let closed = self.closed_zones();
        // A slow store must not be asked for more: loads are bounded, and one of this function is awaited.
        let (loads, loading) = self.loads_in_progress(function);
        // The most: some for each of its part of the workers; the fewer, the slower the store is.
        let store_open = now >= self.store_health.ejected_until;
        let most = (MAX_LOADS_PER_WORKER * self.workers.ready_count())
            .div_ceil(self.settings.front_ends as usize)
            .max(2);
        let may_add = store_open && loads as f64 * self.load_slowdown().max(1.0) < most as f64;
        let may_load = may_add && !loading;
        let (blind, run) = (
            self.relies_on_load_reports(),
            self.expected_run_time(function, open.request.class) * RUN_TIME_MARGIN,
        );
        let mut presume = !located && open.attempts == 0;
        let (mut choice, mut late, mut want, mut soft, mut ask) = (None, None, None, None, None);
        for worker in order
            .into_iter()
            .filter(|w| !open.attempted_workers.contains(w))
        {
            let node = &self.workers[worker];
            if !self.may_attempt(open, node, &closed) {
                // Presumed at its home alone. Where that is lost it stands nowhere: presumed at the next one,
                // each of the lost worker's functions would begin a load there past the bound on loads.
                presume = false;
                continue;
            }
            // Found nowhere, it is presumed at its home: who knows nothing must neither refuse nor spread.
            let seen = self.predict(node, &open.request, presume);
            presume = false;
            let crowded = run * self.reported_slowdown(node) > (goal - now) as f64;
            if !seen.others_meet_deadlines || seen.warm_finish > goal || crowded {
                continue;
            }
            if blind
                && now < node.load_report.received_at + REPORT_LIFETIME
                && node.load_report.cpu_utilization > MAX_CPU_UTILIZATION
            {
                soft = soft.or_else(|| (!seen.cold_start).then(|| (worker.clone(), seen, goal)));
                continue;
            }
            let unheard = blind
                && now > REPORT_LIFETIME + node.load_report.received_at.max(node.last_response_at);
            if unheard && self.poll_is_worthwhile() && open.load_polls < MAX_POLLS_PER_REQUEST {
                ask = Some(worker.clone());
                break;
            }
            if seen.finish <= goal
                && (!seen.cold_start || may_load)
                && (!seen.adds_replica || may_add)
            {
                choice = Some((worker.clone(), seen, goal));
                break;
            }
            // Only a load stands in the way.
            if seen.cold_start && want.is_none() {
                want = Some((worker.clone(), seen));
            }
            if late.is_some() || class.late_answer_weight <= 0.0 || seen.finish > open.deadline {
                continue;
            }
            let waiting = node
                .in_flight
                .iter()
                .filter(|s| s.target_deadline > s.latency_objective)
                .count();
            // A function that stands elsewhere is loaded here only where that should evict nothing.
            let worthwhile = || may_load && (!located || self.has_memory_for(node, function));
            if waiting < MAX_LATE_REQUESTS
                && (!seen.cold_start || worthwhile())
                && (!seen.adds_replica || may_add)
            {
                late = Some((worker.clone(), seen, open.deadline));
            }
        }
        if let Some(worker) = ask {
            actions.push(Action::PollLoad {
                worker: worker.clone(),
            });
            actions.push(Action::SetTimer {
                after: POLL_TIMEOUT,
                token: id | POLL_TIMEOUT_TOKEN,
            });
            self.awaiting_load_report
                .entry(worker.clone())
                .or_default()
                .insert(id);
            self.pending
                .entry(id)
                .and_modify(|o| (o.polled_worker, o.load_polls) = (Some(worker), o.load_polls + 1));
            return;
        }
        if let Some((worker, seen)) = &want {
            // A load longer than clients wait is begun by no call: only an order spreads such a function.
            let spread = choice.is_some() || seen.finish > self.pending[&id].deadline;
            self.record_placement_miss(worker, id, spread, actions);
        }
        let mut choice = choice.or(late);
        // The others follow the same order: what moved on here did there, and has likely loaded it. A wrong
        // guess must still be served: a call with little time goes where a copy stands, or not at all.
        if let Some((worker, seen)) =
            want.filter(|_| choice.is_none() && self.speculation_tokens >= 1.0 && store_open)
        {
            let goal = self.pending[&id].deadline;
            if self.settings.loading.loads_on_request && seen.finish <= goal {
                self.speculation_tokens -= 1.0;
                let seen = Prediction {
                    cold_start: false,
                    finish: seen.warm_finish,
                    ..seen
                };
                choice = Some((worker, seen, goal));
            }
        }
        match choice.or(soft) {
            Some((worker, seen, _))
                if seen.cold_start && !self.settings.loading.loads_on_request =>
            {
                // Only an order brings the function in: the call waits here, unsent, for its reply.
                if !self.command_load(&worker, function, actions) {
                    return self.reject_or_fail(id, actions);
                }
                if let Some(open) = self.pending.get_mut(&id) {
                    open.awaits_load = true;
                    open.attempted_workers.push(worker);
                }
            }
            Some(chosen) => self.forward(id, chosen, actions),
            None => self.reject_or_fail(id, actions),
        }
    }
}
