//! The worker that a request is forwarded to.
//!
//! The workers are considered in the function's order, and the first at which the prediction
//! meets every deadline gets the request (admission by replay, the paper, section III-B). Where
//! none does, an answer after the latency objective, a speculative attempt or a worker with busy
//! cores may do; else the request is rejected unsent. `docs/design.md`, "Exceptions, and when each
//! acts", tells when and why the exceptions apply.

use std::collections::BTreeSet;

use super::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use crate::api::{Action, FunctionId, Request, RequestId, Time, WorkerId};
use crate::load_reports::REPORT_LIFETIME;
use crate::pending_request::PendingRequest;
use crate::service_lease::ServiceStatus;
use crate::worker::WorkerState;

/// A worker that reports its cores to be busier than this has a queue: it is second choice.
const MAX_CPU_UTILIZATION: f64 = 0.95;
/// The most requests past their objective at one worker: they must not fill its queue.
const MAX_LATE_REQUESTS: usize = 8;

/// A worker for a request, with what is predicted there and the deadline that the attempt is
/// admitted for.
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    pub(super) prediction: Prediction,
    pub(super) target_deadline: Time,
}

/// Whether a worker suits a request.
enum Verdict {
    /// It may not be sent the request, or would not serve it in time.
    Unsuitable,
    /// Its cores are reported to be busy.
    Busy(Prediction),
    /// It has to be polled first.
    NeedsPoll,
    /// It failed health checks and is due for the next one.
    Suspect,
    /// Every deadline is met there.
    Admits(Prediction),
    /// It would admit the request if it needed no load.
    AwaitsLoad(Prediction),
}

/// What a search looks for, and what it needs to know of all workers.
struct Search<'a> {
    pending: &'a PendingRequest,
    /// The deadline that the request is to meet.
    target_deadline: Time,
    /// Zones that get no attempt.
    closed_zones: BTreeSet<&'a str>,
    /// The endpoint list vouches for every worker.
    relies_on_endpoint_list: bool,
    /// A replica of the function is believed somewhere.
    located: bool,
    /// A load may begin.
    may_load: bool,
    /// A further replica may be started where there is one.
    may_add_replica: bool,
    /// The run time at a slowdown of 1 with its margin, in nanoseconds.
    padded_run_time: f64,
}

/// What a search has found.
#[derive(Default)]
struct SearchResult {
    /// The first worker that admits the request.
    admits: Option<Candidate>,
    /// The first one that serves it after its objective.
    late: Option<Candidate>,
    /// The first one that would admit the request if it needed no load.
    awaits_load: Option<Candidate>,
    /// The first one that would admit it, were its cores not busy.
    busy: Option<Candidate>,
    /// One that has to be polled first; it ends the search.
    needs_poll: Option<WorkerId>,
    /// The first one that failed health checks and is due for the next one.
    suspect: Option<WorkerId>,
}

/// Asks every owner of state; it writes the pending request and takes speculation tokens.
impl FrontEnd {
    /// Forwards the request to the worker that admits it, or ends it.
    pub(super) fn route(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.awaits_load = false;
        let is_waiting = pending.polls.is_waiting() || pending.checks.is_waiting();
        if pending.attempts.in_flight().is_some() || pending.streaming || is_waiting {
            return;
        }
        let pending = &self.pending[&id];
        let (function, deadline) = (pending.request.function, pending.deadline);
        let Some(target_deadline) = self.target_deadline(pending) else {
            return self.reject_or_fail(id, actions);
        };
        let may_await_check = pending.checks.may_begin();
        let mut found = self.search(pending, target_deadline);
        if let Some(suspect) = &found.suspect {
            self.check_health(suspect, actions);
        }
        if let Some(worker) = found.needs_poll {
            return self.poll_load(id, worker, actions);
        }
        if let Some(miss) = &found.awaits_load {
            // No request starts a load that takes longer than clients wait: only a command spreads
            // such a function.
            let may_spread = found.admits.is_some() || miss.prediction.finish > deadline;
            self.record_placement_miss(&miss.worker, id, may_spread, actions);
        }
        let mut choice = found.admits.or(found.late);
        if choice.is_none() {
            choice = found
                .awaits_load
                .take()
                .and_then(|miss| self.speculate(miss, deadline));
        }
        let choice = choice.or(found.busy);
        let unchecked = match &choice {
            Some(_) => self.unchecked_worker(choice.as_ref()),
            None => found.suspect.filter(|_| may_await_check),
        };
        if let Some(worker) = unchecked {
            return self.await_check(id, worker, actions);
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
        let out_of_time = self.now + 2 * self.settings.tick >= pending.deadline;
        if pending.attempts.count() >= self.settings.limits.max_attempts || out_of_time {
            return None;
        }
        if self.now < pending.latency_objective {
            return Some(pending.latency_objective);
        }
        // After the objective only a late answer is left; where that is worth nothing, more work
        // would be waste.
        if pending.latency_objective < self.now && class.late_answer_weight <= 0.0 {
            return None;
        }
        Some(pending.deadline)
    }

    /// Goes through the workers in the function's order.
    fn search(&self, pending: &PendingRequest, target_deadline: Time) -> SearchResult {
        let request = &pending.request;
        let order = self.preference_order(request.function);
        let search = self.begin_search(pending, target_deadline);
        let mut found = SearchResult::default();
        // A function that no worker is believed to hold is presumed loaded at its first worker: a
        // front end that knows nothing must neither reject nor spread. Where that one is lost it is
        // loaded nowhere: presumed at the next one, each of the lost worker's functions would begin
        // a load there past the limit on loads.
        let mut presumed = !search.located && pending.attempts.count() == 0;
        for id in order {
            if pending.attempts.excludes(id) {
                continue;
            }
            let worker = &self.workers[id];
            let verdict = self.assess(&search, worker, std::mem::take(&mut presumed));
            let candidate = |prediction, target_deadline| Candidate {
                worker: id.clone(),
                prediction,
                target_deadline,
            };
            match verdict {
                Verdict::Unsuitable => {}
                Verdict::Suspect => {
                    found.suspect.get_or_insert_with(|| id.clone());
                }
                Verdict::Busy(prediction) => {
                    if found.busy.is_none() && !prediction.cold_start {
                        found.busy = Some(candidate(prediction, target_deadline));
                    }
                }
                Verdict::NeedsPoll => {
                    found.needs_poll = Some(id.clone());
                    break;
                }
                Verdict::Admits(prediction) => {
                    found.admits = Some(candidate(prediction, target_deadline));
                    break;
                }
                Verdict::AwaitsLoad(prediction) => {
                    if found.awaits_load.is_none() && prediction.cold_start {
                        found.awaits_load = Some(candidate(prediction, pending.deadline));
                    }
                    if found.late.is_none() && self.may_serve_late(&search, worker, &prediction) {
                        found.late = Some(candidate(prediction, pending.deadline));
                    }
                }
            }
        }
        found
    }

    fn begin_search<'a>(
        &'a self,
        pending: &'a PendingRequest,
        target_deadline: Time,
    ) -> Search<'a> {
        let Request {
            function, class, ..
        } = pending.request;
        let loads = self.loads_in_progress(function);
        let may_add_replica = self.load_limiter.may_begin(
            loads.count,
            self.estimates.load_slowdown(self.now),
            self.workers.ready_count(),
            self.settings.front_ends,
            self.now,
        );
        Search {
            pending,
            target_deadline,
            closed_zones: self.zones.closed_zones(&self.workers, self.now),
            relies_on_endpoint_list: self.relies_on_endpoint_list(),
            located: self.is_located(function),
            // One load of a function is awaited before the next.
            may_load: may_add_replica && !loads.of_function,
            may_add_replica,
            padded_run_time: self.estimates.run_time(function, class) * RUN_TIME_MARGIN,
        }
    }

    /// Whether a replica of the function is believed at a ready worker.
    fn is_located(&self, function: FunctionId) -> bool {
        self.workers
            .holders(function)
            .any(|worker| worker.is_ready() && self.replica_ready_at(worker, function).is_some())
    }

    /// Whether a worker suits the request.
    fn assess(&self, search: &Search, worker: &WorkerState, presumed: bool) -> Verdict {
        let now = self.now;
        if !self.may_attempt(search, worker) {
            return Verdict::Unsuitable;
        }
        let service = if search.relies_on_endpoint_list {
            ServiceStatus::InService
        } else {
            worker.service.status(now)
        };
        match service {
            ServiceStatus::InService => {}
            ServiceStatus::Unknown if search.pending.checks.may_begin() => {}
            ServiceStatus::Suspect => return Verdict::Suspect,
            ServiceStatus::Unknown | ServiceStatus::OutOfService => return Verdict::Unsuitable,
        }
        let prediction = self.predict(worker, &search.pending.request, presumed);
        let target_deadline = search.target_deadline;
        let saturated = search.padded_run_time * self.reported_slowdown(worker)
            > (target_deadline - now) as f64;
        if !prediction.others_meet_deadlines
            || prediction.warm_finish > target_deadline
            || saturated
        {
            return Verdict::Unsuitable;
        }
        if self.settings.relies_on_load_reports() {
            let report = &worker.load_report;
            let is_busy = report.cpu_utilization > MAX_CPU_UTILIZATION;
            if now < report.received_at + REPORT_LIFETIME && is_busy {
                return Verdict::Busy(prediction);
            }
            let last_heard_at = report.received_at.max(worker.responses.last_at());
            let unheard = now > REPORT_LIFETIME + last_heard_at;
            // A request that has to wait for a health check does not wait for a load report as
            // well.
            if unheard
                && service == ServiceStatus::InService
                && self
                    .load_polls
                    .may_poll(&search.pending.polls, &self.settings)
            {
                return Verdict::NeedsPoll;
            }
        }
        if prediction.finish <= target_deadline
            && (!prediction.cold_start || search.may_load)
            && (!prediction.adds_replica || search.may_add_replica)
        {
            return Verdict::Admits(prediction);
        }
        Verdict::AwaitsLoad(prediction)
    }

    /// Whether the request may have an attempt at this worker at all.
    fn may_attempt(&self, search: &Search, worker: &WorkerState) -> bool {
        let pending = search.pending;
        self.may_retry_at(pending, worker)
            && !search
                .closed_zones
                .contains(worker.endpoint().zone.as_str())
            && worker.accepts(pending.request.class, self.now)
            && worker.concurrency_limit.allows(worker.attempts.len())
            && self.slow_start.allows(worker, &self.workers, self.now)
    }

    /// Whether a worker may serve the request after its objective.
    fn may_serve_late(
        &self,
        search: &Search,
        worker: &WorkerState,
        prediction: &Prediction,
    ) -> bool {
        let request = &search.pending.request;
        let class = &self.settings.classes[request.class];
        if class.late_answer_weight <= 0.0 || prediction.finish > search.pending.deadline {
            return false;
        }
        let late_requests = worker
            .attempts
            .iter()
            .filter(|attempt| attempt.is_late())
            .count();
        // A function that is loaded elsewhere is loaded here only where that should evict nothing.
        let load_is_worthwhile = || {
            search.may_load && (!search.located || self.has_memory_for(worker, request.function))
        };
        late_requests < MAX_LATE_REQUESTS
            && (!prediction.cold_start || load_is_worthwhile())
            && (!prediction.adds_replica || search.may_add_replica)
    }

    /// How far a run at a worker is slowed down by the queue in a fresh load report; 1 if an
    /// answer has come since, which tells more.
    fn reported_slowdown(&self, worker: &WorkerState) -> f64 {
        let report = &worker.load_report;
        if !report.is_fresh(self.now)
            || worker.responses.last_at() >= report.received_at
            || !self.settings.relies_on_load_reports()
        {
            return 1.0;
        }
        self.estimates.reported_slowdown(report)
    }

    /// Chooses a worker that would admit the request if it needed no load, as if the function were
    /// loaded there.
    ///
    /// The others follow the same order: what moved on here did there, and has likely loaded it. A
    /// wrong guess must still be served: a request with little time goes where a replica is, or not
    /// at all.
    fn speculate(&mut self, miss: Candidate, deadline: Time) -> Option<Candidate> {
        let in_time = self.settings.loading.loads_on_request && miss.prediction.finish <= deadline;
        if !self.speculation.is_allowed()
            || !self.load_limiter.store_is_available(self.now)
            || !in_time
        {
            return None;
        }
        self.speculation.take_token();
        Some(Candidate {
            prediction: Prediction {
                cold_start: false,
                finish: miss.prediction.warm_finish,
                ..miss.prediction
            },
            ..miss
        })
    }

    /// Makes the worker load the function by a command; the request waits, unsent, for the reply.
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
            pending.attempts.exclude(worker);
        }
    }
}
