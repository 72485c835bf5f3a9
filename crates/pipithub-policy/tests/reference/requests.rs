//! The steps of a request: it is accepted, forwarded and retried, and gets one final answer before
//! the client's deadline.

use pipithub_policy::api::{
    Action, AttemptFinished, DeduplicationScope, Idempotency, LoadReport, Outcome, Request,
    RequestId, Time,
};

use super::front_end::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use super::routing::Candidate;
use super::state::{Attempt, PendingRequest, Replicas, WorkerState};
use super::time::{MAX_DURATION, MILLISECOND};

/// Speculative attempts that each accepted request allows: one for two requests, so that most
/// requests are sent to a worker with a replica.
const SPECULATION_TOKENS_PER_REQUEST: f64 = 0.5;
/// The largest number of speculative attempts that can be saved.
const MAX_SPECULATION_TOKENS: f64 = 8.0;
/// The largest multiple of the expected work by which the latency objective grows.
const MAX_OBJECTIVE_PER_WORK: f64 = 1e3;

impl FrontEnd {
    /// Accepts a request and routes it.
    pub(crate) fn accept(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        let now = self.now;
        request.class = request.class.min(self.settings.classes.len() - 1);
        let class = &self.settings.classes[request.class];
        let extra = request.expected_work.unwrap_or(0).min(MAX_DURATION) as f64
            * class.objective_per_work.clamp(0.0, MAX_OBJECTIVE_PER_WORK);
        let timeout = request
            .timeout
            .unwrap_or(class.client_timeout)
            .min(MAX_DURATION);
        let deadline = now + timeout;
        let latency_objective = (now + class.latency_objective + extra as Time).min(deadline);
        self.arrivals.push_back(now);
        if self.relies_on_load_reports() {
            let tokens = self.speculation_tokens + SPECULATION_TOKENS_PER_REQUEST;
            self.speculation_tokens = tokens.min(MAX_SPECULATION_TOKENS);
        }
        self.update_function(&request);
        let id = request.id;
        // Two ticks early, as the answer must be sent before the client's deadline.
        actions.push(Action::SetTimer {
            after: timeout.saturating_sub(2 * self.settings.tick),
            token: id.0,
        });
        let pending = PendingRequest {
            request,
            latency_objective,
            deadline,
            ..PendingRequest::default()
        };
        self.pending.insert(id, pending);
        self.route(id, actions);
    }

    /// Records what a request declares about its function.
    fn update_function(&mut self, request: &Request) {
        let function = self.functions.entry(request.function).or_default();
        function.replica_concurrency = request.replica_concurrency;
        function.memory_mb = request.memory_mb.max(0.0);
        function.last_requested_at = self.now;
        if let Some(load_time) = request.load_time.filter(|time| *time > 0) {
            function.declared_load_time = Some(load_time.min(MAX_DURATION));
        }
    }

    /// Sends a request to a worker.
    pub(crate) fn forward(&mut self, id: RequestId, chosen: Candidate, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let function = pending.request.function;
        let run_time = self.expected_run_time(function, pending.request.class);
        let Some(worker) = self.workers.get_mut(&chosen.worker) else {
            return;
        };
        let attempt = new_attempt(worker, pending, &chosen, run_time, self.now);
        let class = &self.settings.classes[pending.request.class];
        // The workers drop a repetition only if it is sent within the deduplication window.
        let send_by = pending
            .possible_execution
            .as_ref()
            .filter(|_| class.idempotency == Idempotency::WithKey)
            .map(|execution| {
                let margin = 4 * self.settings.tick.max(MILLISECOND);
                (execution.sent_at + class.deduplication_window).saturating_sub(margin)
            });
        worker.in_flight.push(attempt);
        worker.recent_sends.push_back(self.now);
        let replicas = worker.replicas.entry(function).or_default();
        replicas.expect(&chosen.prediction, run_time, self.now);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.attempts += 1;
            pending.attempt_in_flight = true;
            pending.attempted_workers.push(chosen.worker.clone());
        }
        actions.push(Action::Forward {
            request: id,
            worker: chosen.worker,
            timeout: None,
            send_by,
        });
    }

    /// Handles the end of an attempt: learns from it, and routes the request again unless it is
    /// settled.
    pub(crate) fn finish_attempt(&mut self, end: &AttemptFinished, actions: &mut Vec<Action>) {
        if end.load_report != LoadReport::default() {
            self.record_load_report(&end.worker, Some(end.load_report), actions);
        }
        let execution = self.record_attempt(end);
        if end.settled {
            self.pending.remove(&end.request);
            return;
        }
        let Some(pending) = self.pending.get_mut(&end.request) else {
            return;
        };
        pending.attempt_in_flight = false;
        if end.outcome == Outcome::NotLoaded {
            // The worker is healthy and only the replica is missing: a command may still load it.
            pending.attempted_workers.pop();
        }
        if !end.outcome.never_ran() && pending.possible_execution.is_none() {
            // If the attempt is not known any more, the deduplication window counts as over.
            pending.possible_execution = Some(execution.unwrap_or_default());
        }
        self.route(end.request, actions);
    }

    /// Whether an attempt at this worker cannot make the request take effect twice.
    pub(crate) fn may_retry_at(&self, pending: &PendingRequest, worker: &WorkerState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let Some(execution) = &pending.possible_execution else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey => {
                let in_scope = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => execution.zone == worker.endpoint.zone,
                    DeduplicationScope::Cell => execution.cell == worker.endpoint.cell,
                };
                let margin = 4 * self.settings.tick.max(MILLISECOND);
                in_scope && self.now + margin < execution.sent_at + class.deduplication_window
            }
        }
    }

    /// Ends a request that its client has cancelled, without an answer.
    pub(crate) fn cancel_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.cancel_attempt(id, &pending, actions);
        }
    }

    /// Ends a request shortly before the client's deadline, unless its answer has started.
    pub(crate) fn expire_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_over = |pending: &PendingRequest| {
            !pending.streaming && self.now + 3 * self.settings.tick >= pending.deadline
        };
        if self.pending.get(&id).is_some_and(is_over) {
            self.reject_or_fail(id, actions);
        }
    }

    /// Gives the final answer: a rejection if a retry is harmless, otherwise a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.cancel_attempt(id, &pending, actions);
        let class = &self.settings.classes[pending.request.class];
        let takes_effect_once = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All;
        let never_ran = pending.possible_execution.is_none() && !pending.attempt_in_flight;
        if takes_effect_once || never_ran {
            let limits = &self.settings.limits;
            let has_retry_after = limits.retry_after && limits.max_retry_after > 0;
            actions.push(Action::Reject {
                request: id,
                retry_after: has_retry_after.then_some(limits.max_retry_after),
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// Cancels the attempt in flight of a request that has ended, if that is allowed and its answer
    /// has not started. Otherwise clients that give up and retry at once would have the work done
    /// more than once.
    fn cancel_attempt(&self, id: RequestId, pending: &PendingRequest, actions: &mut Vec<Action>) {
        if self.settings.limits.cancel && pending.attempt_in_flight && !pending.streaming {
            actions.push(Action::Cancel {
                request: id,
                attempt: pending.attempts - 1,
            });
        }
    }
}

/// The next attempt of a request, sent now.
fn new_attempt(
    worker: &WorkerState,
    pending: &PendingRequest,
    chosen: &Candidate,
    run_time: f64,
    now: Time,
) -> Attempt {
    let function = pending.request.function;
    let prediction = &chosen.prediction;
    let replicas = worker.replicas.get(&function);
    Attempt {
        request: pending.request.id,
        number: pending.attempts,
        function,
        class: pending.request.class,
        sent_at: now,
        zone: worker.endpoint.zone.clone(),
        cell: worker.endpoint.cell,
        predicted_finish: prediction.finish,
        target_deadline: chosen.target_deadline,
        run_time,
        latency_objective: pending.latency_objective,
        cold_start: prediction.cold_start || prediction.finish > prediction.warm_finish,
        unconfirmed: replicas.is_none_or(|replicas| !replicas.confirmed),
        adds_replica: prediction.adds_replica,
        function_concurrency: worker.in_flight_of(function).count() as f64 + 1.0,
        concurrency: worker.in_flight.len() as f64 + 1.0,
        cancelled: false,
    }
}

impl Replicas {
    /// Assumes that the worker has a replica when a request is sent there: one that is loaded
    /// already, or that the request loads.
    fn expect(&mut self, prediction: &Prediction, run_time: f64, now: Time) {
        if self.ready_at == 0 || prediction.cold_start {
            *self = Replicas {
                count: 1,
                ready_at: now,
                loaded_by_command: self.loaded_by_command,
                ..Replicas::default()
            };
        }
        if prediction.cold_start {
            let padded_run_time = (run_time * RUN_TIME_MARGIN) as Time;
            self.ready_at = prediction.finish.saturating_sub(padded_run_time);
        }
        self.last_used_at = now;
        self.admitted_run_time += run_time;
    }
}
