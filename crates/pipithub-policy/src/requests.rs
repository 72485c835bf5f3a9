//! The life of a request, from its arrival to its one final answer.

use crate::api::{
    Action, AttemptFinished, DeduplicationScope, Idempotency, Outcome, Request, RequestId, Time,
    WorkerId,
};
use crate::front_end::{FrontEnd, MAX_DURATION};
use crate::replay::RUN_TIME_MARGIN;
use crate::state::{Attempt, PendingRequest, Prediction, Replicas};

/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const SPECULATION_TOKENS_PER_REQUEST: f64 = 0.5;
/// Calls that may be sent on a guess that others hold a copy, for each call taken, and the most saved up.
const MAX_SPECULATION_TOKENS: f64 = 8.0;

impl FrontEnd {
    pub(crate) fn accept(&mut self, mut call: Request, actions: &mut Vec<Action>) {
        let now = self.now;
        call.class = call.class.min(self.settings.classes.len() - 1);
        let class = &self.settings.classes[call.class];
        let stretch = call.expected_work.unwrap_or(0).min(MAX_DURATION) as f64
            * class.objective_per_work.clamp(0.0, 1e3);
        let budget = call
            .timeout
            .unwrap_or(class.client_timeout)
            .min(MAX_DURATION);
        let deadline = now + budget;
        let aim = (now + class.latency_objective + stretch as Time).min(deadline);
        self.arrivals.push(now);
        if self.relies_on_load_reports() {
            self.speculation_tokens = (self.speculation_tokens + SPECULATION_TOKENS_PER_REQUEST)
                .min(MAX_SPECULATION_TOKENS);
        }
        let program = self.functions.entry(call.function).or_default();
        (
            program.replica_concurrency,
            program.memory_mb,
            program.last_requested_at,
        ) = (call.replica_concurrency, call.memory_mb.max(0.0), now);
        program.declared_load_time = call
            .load_time
            .filter(|t| *t > 0)
            .map(|t| t.min(MAX_DURATION))
            .or(program.declared_load_time);
        // Two ticks early: the answer must be out before the client's time is up.
        let (id, after) = (call.id, budget.saturating_sub(2 * self.settings.tick));
        actions.push(Action::SetTimer { after, token: id });
        self.pending.insert(
            id,
            PendingRequest {
                request: call,
                latency_objective: aim,
                deadline,
                ..PendingRequest::default()
            },
        );
        self.route(id, actions);
    }

    /// Sends to a worker, with what was foreseen there and the deadline that the send is held to.
    pub(crate) fn forward(
        &mut self,
        id: RequestId,
        chosen: (WorkerId, Prediction, Time),
        actions: &mut Vec<Action>,
    ) {
        let (now, (worker, seen, goal)) = (self.now, chosen);
        let Some(Request {
            function, class, ..
        }) = self.pending.get(&id).map(|o| o.request.clone())
        else {
            return;
        };
        let run = self.expected_run_time(function, class);
        let Some(mut node) = self.workers.get_mut(&worker) else {
            return;
        };
        let Some(open) = self.pending.get_mut(&id) else {
            return;
        };
        let crowd = node.in_flight.len() as f64 + 1.0;
        let sent = Attempt {
            request: id,
            attempt: open.attempts,
            function,
            class,
            sent_at: now,
            predicted_finish: seen.finish,
            target_deadline: goal,
            run_time: run,
            cold_start: seen.cold_start || seen.finish > seen.warm_finish,
            adds_replica: seen.adds_replica,
            function_concurrency: node
                .in_flight
                .iter()
                .filter(|s| s.function == function)
                .count() as f64
                + 1.0,
            unconfirmed: node.replicas.get(&function).is_none_or(|c| !c.confirmed),
            latency_objective: open.latency_objective,
            concurrency: crowd,
            cancelled: false,
        };
        node.in_flight.push(sent);
        node.recent_sends
            .retain(|t| *t + self.settings.slow_start.overload_window > now);
        node.recent_sends.push_back(now);
        let copies = node.replicas_of(function);
        if copies.ready_at == 0 || seen.cold_start {
            *copies = Replicas {
                count: 1,
                ready_at: now,
                loaded_by_command: copies.loaded_by_command,
                ..Replicas::default()
            };
            if seen.cold_start {
                copies.ready_at = seen.finish.saturating_sub((run * RUN_TIME_MARGIN) as Time);
            }
        }
        copies.last_used_at = now;
        copies.admitted_run_time += run;
        open.attempts += 1;
        open.attempt_in_flight = true;
        open.attempted_workers.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    pub(crate) fn finish_attempt(
        &mut self,
        end: &AttemptFinished,
        ran: Option<(Time, String, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if end.settled {
            self.pending.remove(&end.request);
            return;
        }
        let Some(open) = self.pending.get_mut(&end.request) else {
            return;
        };
        open.attempt_in_flight = false;
        if end.outcome == Outcome::NotLoaded {
            // The worker is sound, only the copy is not there: an order may still bring it.
            open.attempted_workers.pop();
        }
        if !end.outcome.never_ran() && open.possible_execution.is_none() {
            // Where the send is not known any more, the window counts as over.
            open.possible_execution = Some(ran.unwrap_or_default());
        }
        self.route(end.request, actions);
    }

    /// Gives the final answer: a refusal where a further try is harmless, else a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.remove(&id) else {
            return;
        };
        self.cancel_attempt(id, &open, actions);
        let class = &self.settings.classes[open.request.class];
        let any = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All;
        let harmless = any || open.possible_execution.is_none() && !open.attempt_in_flight;
        let may = |t: &Time| self.settings.limits.retry_after && *t > 0;
        let retry_after = Some(self.settings.limits.max_retry_after).filter(may);
        let refuse = Action::Reject {
            request: id,
            retry_after,
        };
        actions.push(if harmless {
            refuse
        } else {
            Action::Fail { request: id }
        });
    }

    /// Withdraws an attempt that nobody waits for, however the wait ended: clients that leave and ask again
    /// at once would else have the work done twice and more, and the full queues then outlast the cause. In a
    /// small tier the own queue shows it; in a large one nothing does. It may harm where withdrawn work goes
    /// on: that is replayed to its foreseen end, and what it took teaches, but its true end is never heard.
    pub(crate) fn cancel_attempt(
        &self,
        id: RequestId,
        open: &PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.limits.cancel && open.attempt_in_flight && !open.streaming {
            actions.push(Action::Cancel {
                request: id,
                attempt: open.attempts - 1,
            });
        }
    }
}
