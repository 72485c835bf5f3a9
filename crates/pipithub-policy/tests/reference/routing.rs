//! The worker that a request is forwarded to.
//!
//! The workers are considered in the function's order, and the first one where every deadline is
//! predicted to be met gets the request. If there is none, these are tried in turn: an answer after
//! the latency objective, a speculative attempt, a worker with busy cores. Otherwise the request is
//! not sent, and gets its final answer.

use pipithub_policy::api::{Action, FunctionId, RequestId, Time, WorkerId};

use super::front_end::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use super::service::ServiceStatus;
use super::state::{PendingRequest, WorkerState};

/// The largest number of requests at one worker that were admitted for an answer after their
/// objective, so that they do not fill its queue.
const MAX_LATE_REQUESTS: usize = 8;

/// A worker for a request, with the prediction for it and the deadline that the attempt is admitted
/// for.
#[derive(Clone)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerId,
    pub(crate) prediction: Prediction,
    pub(crate) target_deadline: Time,
}

/// Which loads a request may begin.
struct AllowedLoads {
    /// Some ready worker is assumed to have a replica of the function.
    located: bool,
    /// A worker may load its first replica of the function.
    first_replica: bool,
    /// A worker may start a further replica beside those that it has.
    further_replica: bool,
}

/// The result of a search through the workers.
#[derive(Default)]
struct Found {
    /// The first worker that admits the request; it ends the search.
    admits: Option<Candidate>,
    /// The first worker that serves the request after its objective.
    late: Option<Candidate>,
    /// The first worker that would admit the request if the function were loaded there.
    awaits_load: Option<Candidate>,
    /// The first worker with a replica that is passed over because its cores are busy.
    busy: Option<Candidate>,
    /// A worker that has to be polled first; it ends the search.
    needs_poll: Option<WorkerId>,
    /// The first worker that failed health checks and is due for the next one.
    check_due: Option<WorkerId>,
}

impl FrontEnd {
    /// Forwards the request to a worker, makes it wait for a load, a load report or a health check,
    /// or ends it.
    pub(crate) fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.awaits_load = false;
        if pending.attempt_in_flight || pending.streaming || pending.polled_worker.is_some() {
            return;
        }
        if pending.checked_worker.is_some() {
            return;
        }
        let pending = &self.pending[&id];
        let (function, deadline) = (pending.request.function, pending.deadline);
        let Some(target_deadline) = self.target_deadline(pending) else {
            return self.reject_or_fail(id, actions);
        };
        let may_await_check = pending.may_await_check();
        let found = self.search(pending, target_deadline);
        if let Some(worker) = &found.check_due {
            self.check_health(worker, actions);
        }
        if let Some(worker) = found.needs_poll {
            return self.poll_load(id, worker, actions);
        }
        if let Some(miss) = &found.awaits_load {
            // No request starts a load that takes longer than its client waits: only a command
            // loads such a function at a further worker.
            let may_spread = found.admits.is_some() || miss.prediction.finish > deadline;
            self.record_placement_miss(&miss.worker, id, may_spread, actions);
        }
        let choice = found.admits.or(found.late);
        let choice = choice.or_else(|| self.speculate(found.awaits_load?, deadline));
        let choice = choice.or(found.busy);
        match &choice {
            Some(chosen) if !self.is_in_service(&chosen.worker) => {
                return self.await_check(id, chosen.worker.clone(), actions);
            }
            None if may_await_check && found.check_due.is_some() => {
                let worker = found.check_due.expect("the guard has found one");
                return self.await_check(id, worker, actions);
            }
            _ => {}
        }
        match choice {
            Some(chosen)
                if chosen.prediction.cold_start && !self.settings.loading.loads_on_request =>
            {
                self.await_load(id, chosen.worker, function, actions);
            }
            Some(chosen) => self.forward(id, chosen, actions),
            None => self.reject_or_fail(id, actions),
        }
    }

    /// The deadline that the next attempt of the request has to meet; `None` if the request gets no
    /// further attempt.
    fn target_deadline(&self, pending: &PendingRequest) -> Option<Time> {
        let class = &self.settings.classes[pending.request.class];
        if pending.attempts >= self.settings.limits.max_attempts {
            return None;
        }
        if self.now + 2 * self.settings.tick >= pending.deadline {
            return None;
        }
        if self.now < pending.latency_objective {
            return Some(pending.latency_objective);
        }
        // After the objective only a late answer is possible; if that has no value, an attempt
        // would be wasted work.
        if self.now > pending.latency_objective && class.late_answer_weight <= 0.0 {
            return None;
        }
        Some(pending.deadline)
    }

    /// Searches the workers in the function's order, without those that get no further attempt.
    fn search(&self, pending: &PendingRequest, target_deadline: Time) -> Found {
        let function = pending.request.function;
        let order = self.preference_order(function);
        let loads = self.allowed_loads(function, &order);
        let mut found = Found::default();
        // If no worker is assumed to have the function, the first one is presumed to have it: a
        // front end that knows nothing yet must neither reject requests nor spread them. If that
        // worker cannot be used, nothing is presumed, as otherwise each function of a lost worker
        // would start a load at its next one.
        let mut presumed = !loads.located && pending.attempts == 0;
        for id in order {
            if pending.attempted_workers.contains(&id) {
                continue;
            }
            let presumed = std::mem::take(&mut presumed);
            let worker = &self.workers[&id];
            if !self.may_attempt(pending, worker) {
                continue;
            }
            match self.service_status(worker) {
                ServiceStatus::InService => {}
                ServiceStatus::Unchecked if pending.may_await_check() => {}
                ServiceStatus::CheckDue => {
                    found.check_due.get_or_insert(id);
                    continue;
                }
                _ => continue,
            }
            let candidate = Candidate {
                worker: id,
                prediction: self.predict(worker, &pending.request, presumed),
                target_deadline,
            };
            if self.consider(pending, worker, candidate, &loads, &mut found) {
                break;
            }
        }
        found
    }

    /// Considers one worker for a request; `true` if it ends the search.
    fn consider(
        &self,
        pending: &PendingRequest,
        worker: &WorkerState,
        candidate: Candidate,
        loads: &AllowedLoads,
        found: &mut Found,
    ) -> bool {
        let (prediction, target_deadline) = (candidate.prediction, candidate.target_deadline);
        if !prediction.others_meet_deadlines
            || prediction.warm_finish > target_deadline
            || self.is_slowed_down(pending, worker, target_deadline)
        {
            return false;
        }
        if self.reports_busy_cores(worker) {
            if found.busy.is_none() && !prediction.cold_start {
                found.busy = Some(candidate);
            }
            return false;
        }
        let in_service = self.service_status(worker) == ServiceStatus::InService;
        if in_service && self.needs_poll(worker, pending) {
            found.needs_poll = Some(candidate.worker);
            return true;
        }
        if prediction.finish <= target_deadline && loads.allow(&prediction) {
            found.admits = Some(candidate);
            return true;
        }
        let late = Candidate {
            target_deadline: pending.deadline,
            ..candidate
        };
        if found.awaits_load.is_none() && prediction.cold_start {
            found.awaits_load = Some(late.clone());
        }
        if found.late.is_none() && self.may_serve_late(pending, worker, &prediction, loads) {
            found.late = Some(late);
        }
        false
    }

    /// Whether the request may have an attempt at this worker, apart from what is predicted there.
    fn may_attempt(&self, pending: &PendingRequest, worker: &WorkerState) -> bool {
        self.may_retry_at(pending, worker)
            && self.accepts_zone(&worker.endpoint.zone)
            && worker.accepts(pending.request.class, self.now)
            && (worker.in_flight.len() as f64) < worker.concurrency_limit
            && self.has_slow_start_budget(worker)
    }

    /// Whether the queue in the worker's load report would make the request miss its deadline.
    fn is_slowed_down(
        &self,
        pending: &PendingRequest,
        worker: &WorkerState,
        target_deadline: Time,
    ) -> bool {
        let request = &pending.request;
        let padded_run_time =
            self.expected_run_time(request.function, request.class) * RUN_TIME_MARGIN;
        let time_left = (target_deadline - self.now) as f64;
        padded_run_time * self.reported_slowdown(worker) > time_left
    }

    /// Which loads a request of the function may begin.
    fn allowed_loads(&self, function: FunctionId, order: &[WorkerId]) -> AllowedLoads {
        let loads = self.loads_in_progress(function);
        let further_replica = self.may_begin_load(loads.count, order.len());
        AllowedLoads {
            located: order
                .iter()
                .any(|id| self.replica_ready_at(&self.workers[id], function).is_some()),
            // A load of the function must end before the next one begins.
            first_replica: further_replica && !loads.of_function,
            further_replica,
        }
    }

    /// Whether the worker may serve the request after its objective.
    fn may_serve_late(
        &self,
        pending: &PendingRequest,
        worker: &WorkerState,
        prediction: &Prediction,
        loads: &AllowedLoads,
    ) -> bool {
        let class = &self.settings.classes[pending.request.class];
        let late_requests = worker
            .in_flight
            .iter()
            .filter(|attempt| attempt.target_deadline > attempt.latency_objective)
            .count();
        // A function that is loaded elsewhere is loaded here only if that should evict nothing.
        let is_worthwhile = !prediction.cold_start
            || !loads.located
            || self.has_memory_for(worker, pending.request.function);
        class.late_answer_weight > 0.0
            && prediction.finish <= pending.deadline
            && late_requests < MAX_LATE_REQUESTS
            && loads.allow(prediction)
            && is_worthwhile
    }

    /// Chooses a worker for a speculative attempt, as if the function were loaded there. The other
    /// front ends follow the same order and have probably sent requests for the function on to that
    /// worker too, so that a replica is loaded. If not, the request must still be served by the
    /// client's deadline.
    fn speculate(&mut self, miss: Candidate, deadline: Time) -> Option<Candidate> {
        let is_allowed = self.speculation_tokens >= 1.0
            && self.store_is_available()
            && self.settings.loading.loads_on_request
            && miss.prediction.finish <= deadline;
        if !is_allowed {
            return None;
        }
        self.speculation_tokens -= 1.0;
        let prediction = Prediction {
            cold_start: false,
            finish: miss.prediction.warm_finish,
            ..miss.prediction
        };
        Some(Candidate { prediction, ..miss })
    }

    /// Commands a worker to load the function, as requests begin no loads. The request waits,
    /// unsent, for the reply; if no command may be sent, the request ends.
    fn await_load(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        function: FunctionId,
        actions: &mut Vec<Action>,
    ) {
        if !self.command_load(&worker, function, actions) {
            return self.reject_or_fail(id, actions);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.awaits_load = true;
            pending.attempted_workers.push(worker);
        }
    }
}

impl AllowedLoads {
    /// Whether the loads that a prediction includes may begin.
    fn allow(&self, prediction: &Prediction) -> bool {
        (!prediction.cold_start || self.first_replica)
            && (!prediction.adds_replica || self.further_replica)
    }
}
