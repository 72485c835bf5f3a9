//! The worker that a request is forwarded to.
//!
//! The workers are considered in the function's order, and the first at which the prediction meets
//! every deadline gets the request. Where there is none, these are tried in turn: an answer after
//! the latency objective, a speculative attempt, a worker with busy cores. Otherwise the request is
//! rejected unsent.

use pipithub_policy::api::{Action, FunctionId, RequestId, Time, WorkerId};

use super::front_end::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use super::service::ServiceStatus;
use super::state::{PendingRequest, WorkerState};

/// The most requests past their objective at one worker: they must not fill its queue.
const MAX_LATE_REQUESTS: usize = 8;

/// A worker for a request, with what is predicted there and the deadline that the attempt is
/// admitted for.
#[derive(Clone)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerId,
    pub(crate) prediction: Prediction,
    pub(crate) target_deadline: Time,
}

/// Which loads a request may begin.
struct AllowedLoads {
    /// A replica of the function is believed somewhere.
    located: bool,
    /// The first replica of the function at a worker may be loaded.
    first_replica: bool,
    /// A worker may start a further replica beside those that it has.
    further_replica: bool,
}

/// What a search through the workers has found.
#[derive(Default)]
struct Found {
    /// The first worker that admits the request; it ends the search.
    admits: Option<Candidate>,
    /// The first one that serves it after its objective.
    late: Option<Candidate>,
    /// The first one that would admit it, were the function loaded.
    awaits_load: Option<Candidate>,
    /// The first one that would admit it, were its cores not busy.
    busy: Option<Candidate>,
    /// One that has to be polled first; it ends the search.
    needs_poll: Option<WorkerId>,
    /// The first one that failed health checks and is due for the next one.
    check_due: Option<WorkerId>,
}

impl FrontEnd {
    /// Forwards the request to the worker that admits it, has it wait for a load or a load report,
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
            // No request starts a load that takes longer than its client waits: only a load command
            // brings such a function to a further worker.
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
                let worker = found.check_due.expect("just seen");
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

    /// The deadline that a further attempt of the request has to meet; `None`: it gets none.
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
        // After the objective only a late answer is left; where that is worth nothing, more work
        // would be waste.
        if self.now > pending.latency_objective && class.late_answer_weight <= 0.0 {
            return None;
        }
        Some(pending.deadline)
    }

    /// Goes through the workers in the function's order, those left out that had an attempt.
    fn search(&self, pending: &PendingRequest, target_deadline: Time) -> Found {
        let function = pending.request.function;
        let order = self.preference_order(function);
        let loads = self.allowed_loads(function, &order);
        let mut found = Found::default();
        // Where no worker is believed to have the function, the first one is presumed to have it: a
        // front end without any knowledge must neither reject nor spread requests. Where that
        // worker cannot be used nothing is presumed, or each function of a lost worker would
        // start a load at its next one.
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

    /// Considers one worker for a request; `true`: it ends the search.
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

    /// Whether the request may have an attempt at this worker at all.
    fn may_attempt(&self, pending: &PendingRequest, worker: &WorkerState) -> bool {
        self.may_retry_at(pending, worker)
            && self.accepts_zone(&worker.endpoint.zone)
            && worker.accepts(pending.request.class, self.now)
            && (worker.in_flight.len() as f64) < worker.concurrency_limit
            && self.has_slow_start_budget(worker)
    }

    /// Whether the queue that the worker reports would make the request miss its deadline.
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
            // One load of a function is awaited before the next.
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
        // A function that is loaded elsewhere is loaded here only where that should evict nothing.
        let is_worthwhile = !prediction.cold_start
            || !loads.located
            || self.has_memory_for(worker, pending.request.function);
        class.late_answer_weight > 0.0
            && prediction.finish <= pending.deadline
            && late_requests < MAX_LATE_REQUESTS
            && loads.allow(prediction)
            && is_worthwhile
    }

    /// A speculative attempt: the other front ends follow the same order, so that what moved on
    /// here did there, and a replica has likely been loaded. A wrong guess must still be served.
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

    /// Has a worker load the function where only a command does; the request waits here, unsent,
    /// for the reply.
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
    /// Whether the loads that a prediction expects may begin.
    fn allow(&self, prediction: &Prediction) -> bool {
        (!prediction.cold_start || self.first_replica)
            && (!prediction.adds_replica || self.further_replica)
    }
}
