//! The choice of the worker that a request is forwarded to.
//!
//! The workers are considered in the function's order, and the first worker for which the prediction
//! meets every deadline gets the request (admission by replay, section III-B of the paper). If there
//! is none, the request may be answered after its latency objective, sent as a speculative attempt or
//! sent to a worker with busy cores; otherwise it is rejected unsent. `docs/design.md`, "Exceptions,
//! and when each acts", states when and why the exceptions apply.

use std::collections::BTreeSet;

use super::FrontEnd;
use super::replay::{Prediction, RUN_TIME_MARGIN};
use crate::api::{Action, FunctionId, Request, RequestId, Time, WorkerId};
use crate::load_reports::REPORT_LIFETIME;
use crate::pending_request::PendingRequest;
use crate::service_lease::ServiceStatus;
use crate::worker::WorkerState;

/// A worker that reports a higher utilization of its cores has a queue, and is used only if no other
/// worker is chosen.
const MAX_CPU_UTILIZATION: f64 = 0.95;
/// The largest number of attempts at one worker that were admitted for a deadline after their latency
/// objective: such attempts must not fill the worker's queue.
const MAX_LATE_REQUESTS: usize = 8;

/// A worker for a request, with the prediction there and the deadline for which the attempt is
/// admitted.
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    pub(super) prediction: Prediction,
    pub(super) target_deadline: Time,
}

/// Whether a worker suits a request.
enum Verdict {
    /// The worker may not be sent the request, or would not serve it in time.
    Unsuitable,
    /// The worker reports busy cores.
    Busy(Prediction),
    /// The worker has to be polled first.
    NeedsPoll,
    /// The worker failed health checks, and the next check is due.
    Suspect,
    /// Every deadline is met at the worker.
    Admits(Prediction),
    /// The worker would admit the request if no load were needed.
    AwaitsLoad(Prediction),
}

/// The request that a search is for, and the state of all workers that the search needs.
struct Search<'a> {
    pending: &'a PendingRequest,
    /// The deadline that the request has to meet.
    target_deadline: Time,
    /// The zones that get no attempt.
    closed_zones: BTreeSet<&'a str>,
    /// The endpoint list is relied on: every worker that it names as ready counts as in service.
    relies_on_endpoint_list: bool,
    /// A ready worker is assumed to hold a replica of the function.
    located: bool,
    /// A load of the function may begin: the limit on loads allows one more, and no load of the
    /// function is in progress.
    may_load: bool,
    /// The limit on loads allows one more, such as a further replica at a worker that holds one.
    may_add_replica: bool,
    /// The run time at a slowdown of 1 with its margin, in nanoseconds.
    padded_run_time: f64,
}

/// The candidates that a search has found.
#[derive(Default)]
struct SearchResult {
    /// The first worker that admits the request.
    admits: Option<Candidate>,
    /// The first worker that may serve the request after its latency objective.
    late: Option<Candidate>,
    /// The first worker that would admit the request if no load were needed.
    awaits_load: Option<Candidate>,
    /// The first worker that was rated [`Verdict::Busy`] and needs no load.
    busy: Option<Candidate>,
    /// The worker that has to be polled first; it ends the search.
    needs_poll: Option<WorkerId>,
    /// The first worker that failed health checks and is due for the next one.
    suspect: Option<WorkerId>,
}

/// Uses all parts of the state; it changes the pending request and takes speculation tokens.
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
        let may_await_check = self.may_await_check(pending);
        let mut found = self.search(pending, target_deadline);
        if let Some(suspect) = &found.suspect {
            self.check_health(suspect, actions);
        }
        if let Some(worker) = found.needs_poll {
            return self.poll_load(id, worker, actions);
        }
        if let Some(miss) = &found.awaits_load {
            // No request starts a load that takes longer than its client waits, so only a command
            // can load such a function at a further worker.
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

    /// The deadline that a further attempt of the request has to meet; `None` if the request gets no
    /// further attempt.
    fn target_deadline(&self, pending: &PendingRequest) -> Option<Time> {
        let class = &self.settings.classes[pending.request.class];
        let out_of_time = self.now + 2 * self.settings.tick >= pending.deadline;
        if pending.attempts.count() >= self.settings.limits.max_attempts || out_of_time {
            return None;
        }
        if self.now < pending.latency_objective {
            return Some(pending.latency_objective);
        }
        // After the latency objective the answer can only be late. If a late answer has no value,
        // further work would be wasted.
        if pending.latency_objective < self.now && class.late_answer_weight <= 0.0 {
            return None;
        }
        Some(pending.deadline)
    }

    /// Assesses the workers in the function's order, until one admits the request or has to be
    /// polled.
    fn search(&self, pending: &PendingRequest, target_deadline: Time) -> SearchResult {
        let request = &pending.request;
        let order = self.preference_order(request.function);
        let search = self.begin_search(pending, target_deadline);
        let mut found = SearchResult::default();
        // A function without a known replica is presumed loaded at its first worker: a front end
        // without any information must neither reject the request nor load the function at several
        // workers. The presumption does not pass on to the next worker when the first one is lost:
        // otherwise each of the lost worker's functions would begin a load at the next worker,
        // bypassing the limit on loads.
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
            // The next load of a function begins only after the previous one has ended.
            may_load: may_add_replica && !loads.of_function,
            may_add_replica,
            padded_run_time: self.estimates.run_time(function, class) * RUN_TIME_MARGIN,
        }
    }

    /// Whether a ready worker is assumed to hold a replica of the function.
    fn is_located(&self, function: FunctionId) -> bool {
        self.workers
            .holders(function)
            .any(|worker| worker.is_ready() && self.replica_ready_at(worker, function).is_some())
    }

    /// Assesses whether a worker suits the request; `presumed` means that the function is presumed
    /// loaded there.
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
            ServiceStatus::Unknown if self.may_await_check(search.pending) => {}
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
            // A request that has to wait for a health check does not also wait for a load report.
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

    /// Whether the rules on retries, ejection, concurrency and slow start allow an attempt of the
    /// request at this worker.
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

    /// Whether a worker may serve the request after its latency objective.
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
        // A function that is loaded elsewhere is loaded here only if the load should not evict
        // another function.
        let load_is_worthwhile = || {
            search.may_load && (!search.located || self.has_memory_for(worker, request.function))
        };
        late_requests < MAX_LATE_REQUESTS
            && (!prediction.cold_start || load_is_worthwhile())
            && (!prediction.adds_replica || search.may_add_replica)
    }

    /// The slowdown of a run that follows from the queue in a fresh load report; 1 if there is no
    /// fresh report, load reports are not relied on, or the worker has responded since, as a response
    /// is better evidence.
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

    /// Chooses a worker that would admit the request if no load were needed, as if the function were
    /// loaded there.
    ///
    /// The other front ends follow the same order, so their requests have likely made this worker load
    /// the function. If the guess is wrong, the request must still be served in time including the
    /// load: a request with little time left goes to a worker with a replica, or is rejected.
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

    /// Sends the worker a command to load the function; the request waits, unsent, for the reply.
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
