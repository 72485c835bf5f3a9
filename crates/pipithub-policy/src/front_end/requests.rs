//! The steps of a request: it is accepted, forwarded, retried, and gets one final answer before its
//! client gives up.

use super::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use super::routing::Candidate;
use crate::api::{
    Action, AttemptFinished, Class, DeduplicationScope, FunctionId, Idempotency, LoadReport,
    Request, RequestId, Time,
};
use crate::attempt::{Attempt, AttemptDeadlines, AttemptId, Expectation, OwnConcurrency};
use crate::pending_request::PendingRequest;
use crate::replicas::Replicas;
use crate::time::{MAX_DURATION, MILLISECOND};
use crate::timer::TimerToken;
use crate::worker::WorkerState;
use crate::worker_table::WorkerGuard;

/// The largest multiple of the expected work by which the latency objective is extended.
const MAX_OBJECTIVE_PER_WORK: f64 = 1e3;
/// A request with an idempotency key is not sent again in the last ticks of its deduplication window;
/// a tick counts as at least a millisecond.
const RETRY_WINDOW_MARGIN_TICKS: Time = 4;

/// Uses the settings, the workers, the pending requests, the arrivals, the estimates and the
/// speculation.
impl FrontEnd {
    /// Accepts a request and routes it.
    pub(super) fn accept(&mut self, mut request: Request, actions: &mut Vec<Action>) {
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
        self.arrivals.push(now);
        if self.settings.relies_on_load_reports() {
            self.speculation.add_tokens();
        }
        self.estimates.record_request(&request, now);
        let id = request.id;
        // Two ticks early: the final answer must be given before the client gives up.
        actions.push(Action::SetTimer {
            after: timeout.saturating_sub(2 * self.settings.tick),
            token: TimerToken::RequestTimeout(id).into(),
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

    /// Forwards a request to the chosen worker.
    pub(super) fn forward(&mut self, id: RequestId, chosen: Candidate, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let (function, class) = (pending.request.function, pending.request.class);
        let run_time = self.estimates.run_time(function, class);
        let Some(mut worker) = self.workers.get_mut(&chosen.worker) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let attempt = new_attempt(&worker, pending, &chosen, run_time, self.now);
        let class = &self.settings.classes[class];
        let send_by = retry_window_end(pending, class, self.settings.tick);
        let overload_window = self.settings.slow_start.overload_window;
        worker.attempts.push(attempt);
        worker.recent_forwards.record(overload_window, self.now);
        worker.expect_replicas(function, &chosen.prediction, run_time, self.now);
        pending.attempts.begin(chosen.worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker: chosen.worker,
            timeout: None,
            send_by,
        });
    }

    /// Handles the end of an attempt: updates the estimates, and routes the request again if it has
    /// no final answer.
    pub(super) fn finish_attempt(&mut self, end: &AttemptFinished, actions: &mut Vec<Action>) {
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
        pending.attempts.end(end.outcome, execution);
        self.route(end.request, actions);
    }

    /// Whether it is certain that an attempt at this worker cannot make the request take effect twice.
    pub(super) fn may_retry_at(&self, pending: &PendingRequest, worker: &WorkerState) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let Some(execution) = pending.attempts.possible_execution() else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey => {
                let in_scope = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => execution.zone == worker.endpoint().zone,
                    DeduplicationScope::Cell => execution.cell == worker.endpoint().cell,
                };
                let window_end = retry_window_end(pending, class, self.settings.tick);
                in_scope && window_end.is_some_and(|end| self.now < end)
            }
        }
    }

    /// Ends a request that its client has cancelled, without a final answer.
    pub(super) fn cancel_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.cancel_attempt(id, &pending, actions);
        }
    }

    /// Ends a request whose client is about to give up, unless its answer has started.
    pub(super) fn expire_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_over = |pending: &PendingRequest| {
            !pending.streaming && self.now + 3 * self.settings.tick >= pending.deadline
        };
        if self.pending.get(&id).is_some_and(is_over) {
            self.reject_or_fail(id, actions);
        }
    }

    /// Gives the final answer: a rejection if a retry is harmless, otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.cancel_attempt(id, &pending, actions);
        let class = &self.settings.classes[pending.request.class];
        let may_run_twice = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        };
        if !may_run_twice && !pending.attempts.never_ran() {
            actions.push(Action::Fail { request: id });
            return;
        }
        let limits = &self.settings.limits;
        let has_retry_after = limits.retry_after && limits.max_retry_after > 0;
        actions.push(Action::Reject {
            request: id,
            retry_after: has_retry_after.then_some(limits.max_retry_after),
        });
    }

    /// Cancels the attempt in flight of a request that is ended, if the settings allow that and no
    /// answer is being streamed.
    ///
    /// Otherwise a client that gives up and retries at once would have the work done several times,
    /// and full queues would outlast their cause. In a small deployment the front end's own queue
    /// shows such work; in a large one nothing does. The drawback appears where cancelled work
    /// continues at the worker: the replay counts the work until its predicted finish, and the elapsed
    /// time is used as a sample, but the actual end is never known.
    fn cancel_attempt(&self, id: RequestId, pending: &PendingRequest, actions: &mut Vec<Action>) {
        if let Some(attempt) = pending.attempts.in_flight()
            && self.settings.limits.cancel
            && !pending.streaming
        {
            actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }
}

/// When the time ends in which a request with an idempotency key may be sent again, because the
/// workers drop its repetition; `None` if the request has no key or cannot have run.
///
/// The window is counted from the decision to send the first attempt that may have run: no worker can
/// have received that attempt earlier.
fn retry_window_end(pending: &PendingRequest, class: &Class, tick: Time) -> Option<Time> {
    if class.idempotency != Idempotency::WithKey {
        return None;
    }
    let execution = pending.attempts.possible_execution()?;
    let margin = RETRY_WINDOW_MARGIN_TICKS * tick.max(MILLISECOND);
    Some((execution.sent_at + class.deduplication_window).saturating_sub(margin))
}

fn new_attempt(
    worker: &WorkerState,
    pending: &PendingRequest,
    chosen: &Candidate,
    run_time: f64,
    now: Time,
) -> Attempt {
    let function = pending.request.function;
    let prediction = &chosen.prediction;
    Attempt {
        id: AttemptId {
            request: pending.request.id,
            number: pending.attempts.count(),
        },
        function,
        class: pending.request.class,
        sent_at: now,
        zone: worker.endpoint().zone.clone(),
        cell: worker.endpoint().cell,
        expected: Expectation {
            run_time,
            finish: prediction.finish,
            cold_start: prediction.cold_start || prediction.finish > prediction.warm_finish,
            unconfirmed: worker
                .replicas
                .get(function)
                .is_none_or(|replicas| !replicas.confirmed),
            adds_replica: prediction.adds_replica,
        },
        deadlines: AttemptDeadlines {
            target: chosen.target_deadline,
            latency_objective: pending.latency_objective,
        },
        concurrency: OwnConcurrency {
            total: worker.attempts.len() as f64 + 1.0,
            of_function: worker.attempts.of_function(function).count() as f64 + 1.0,
        },
        cancelled: false,
    }
}

impl WorkerGuard<'_> {
    /// Assumes that the worker holds a replica of a function whose request is sent there: the replica
    /// is loaded already, or the request loads it.
    fn expect_replicas(
        &mut self,
        function: FunctionId,
        prediction: &Prediction,
        run_time: f64,
        now: Time,
    ) {
        let replicas = self.replicas_of(function);
        if replicas.ready_at == 0 || prediction.cold_start {
            *replicas = Replicas {
                count: 1,
                ready_at: now,
                loaded_by_command: replicas.loaded_by_command,
                ..Replicas::default()
            };
            if prediction.cold_start {
                let padded_run_time = (run_time * RUN_TIME_MARGIN) as Time;
                replicas.ready_at = prediction.finish.saturating_sub(padded_run_time);
            }
        }
        replicas.last_used_at = now;
        replicas.demand.record_admission(run_time);
    }
}
