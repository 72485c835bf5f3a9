//! The rules, with one function for each. An action is checked against the state when it was taken.

use pipithub_policy::api::{Action, Class, EndpointState, Idempotency, RequestId, Time, WorkerId};

use crate::common::MS;
use crate::model::{Execution, FinishedAttempt, KnownRequest, Model};

/// How late a final answer may be, as the front end gives it when a timer expires.
const ANSWER_TOLERANCE: Time = 8 * MS;
/// How late a missing answer may be noticed, as the clock advances in steps.
const STEP_TOLERANCE: Time = 40 * MS;

/// The circumstances in which an action was taken.
pub(super) struct Decision<'a> {
    pub(super) seed: u64,
    /// When the action was taken.
    pub(super) at: Time,
    /// The attempt that the present event ends, if it may have been executed; otherwise `None`.
    pub(super) finished: Option<FinishedAttempt>,
    pub(super) model: &'a Model,
}

impl Decision<'_> {
    fn request(&self, id: RequestId) -> &KnownRequest {
        let known = self.model.requests.get(&id);
        known.unwrap_or_else(|| panic!("seed {}: request {id} never arrived", self.seed))
    }

    fn class(&self, request: &KnownRequest) -> &Class {
        &self.model.settings.classes[request.class]
    }

    /// The first possible execution of a request, also if the present event is the end of it; `None` if the request
    /// cannot have been executed.
    fn may_have_run(&self, id: RequestId) -> Option<Execution> {
        let just_finished = self.finished.filter(|finished| finished.request == id);
        let earlier = self.request(id).may_have_run;
        earlier.or(just_finished.map(|finished| finished.execution))
    }
}

/// Checks an action against all rules that apply to it.
pub(super) fn check_action(decision: &Decision, action: &Action) {
    match action {
        Action::Forward {
            request, worker, ..
        } => {
            check_one_attempt_at_a_time(decision, *request);
            check_max_attempts(decision, *request);
            check_worker_ready(decision, worker);
            check_executed_once(decision, *request);
            check_deduplication(decision, *request, worker);
        }
        Action::Reject { request, .. } => {
            check_one_final_answer(decision, *request);
            check_answer_in_time(decision, *request);
            check_rejection_is_safe_to_retry(decision, *request);
        }
        Action::Fail { request } => {
            check_one_final_answer(decision, *request);
            check_answer_in_time(decision, *request);
        }
        Action::LoadFunction {
            worker, replicas, ..
        } => {
            assert!(
                *replicas > 0,
                "seed {}: a load command for 0 replicas",
                decision.seed
            );
            check_worker_ready(decision, worker);
            check_load_rate_limit(decision);
        }
        _ => {}
    }
}

/// A request that is not settled has at most one attempt in flight.
fn check_one_attempt_at_a_time(decision: &Decision, id: RequestId) {
    let request = decision.request(id);
    assert!(
        !request.settled && request.in_flight == 0,
        "seed {}: request {id} is forwarded while settled or in flight",
        decision.seed
    );
}

/// No request has more attempts than the settings allow.
fn check_max_attempts(decision: &Decision, id: RequestId) {
    assert!(
        decision.request(id).attempts < decision.model.settings.limits.max_attempts,
        "seed {}: too many attempts of request {id}",
        decision.seed
    );
}

/// Draining and removed workers get neither requests nor load commands.
fn check_worker_ready(decision: &Decision, worker: &WorkerId) {
    assert_eq!(
        decision.model.endpoints[worker].state,
        EndpointState::Ready,
        "seed {}: {worker:?} is not ready",
        decision.seed
    );
}

/// A request that is not idempotent is not retried once it may have run.
fn check_executed_once(decision: &Decision, id: RequestId) {
    let class = decision.class(decision.request(id));
    assert!(
        class.idempotency != Idempotency::NonIdempotent || decision.may_have_run(id).is_none(),
        "seed {}: request {id} may run twice",
        decision.seed
    );
}

/// A request with an idempotency key is retried only in the cell and within the time in which workers deduplicate it.
fn check_deduplication(decision: &Decision, id: RequestId, worker: &WorkerId) {
    let class = decision.class(decision.request(id));
    if class.idempotency != Idempotency::WithKey {
        return;
    }
    let Some(execution) = decision.may_have_run(id) else {
        return;
    };
    assert!(
        decision.at < execution.forwarded_at + class.deduplication_window,
        "seed {}: request {id} is retried after its deduplication window",
        decision.seed
    );
    assert_eq!(
        decision.model.endpoints[worker].cell, execution.cell,
        "seed {}: request {id} is retried outside its deduplication scope",
        decision.seed
    );
}

/// A request that is settled gets no further answer.
fn check_one_final_answer(decision: &Decision, id: RequestId) {
    assert!(
        !decision.request(id).settled,
        "seed {}: two final answers to request {id}",
        decision.seed
    );
}

/// The final answer is given by the client's deadline.
fn check_answer_in_time(decision: &Decision, id: RequestId) {
    assert!(
        decision.at <= decision.request(id).deadline + ANSWER_TOLERANCE,
        "seed {}: the answer to request {id} is late",
        decision.seed
    );
}

/// A rejection promises that a retry is harmless: the request is idempotent, or it never ran and is not in flight.
fn check_rejection_is_safe_to_retry(decision: &Decision, id: RequestId) {
    let request = decision.request(id);
    let never_ran =
        request.may_have_run.is_none() && decision.finished.is_none() && request.in_flight == 0;
    assert!(
        decision.class(request).idempotency == Idempotency::Idempotent || never_ran,
        "seed {}: request {id} is rejected though it may have run",
        decision.seed
    );
}

/// Load commands stay within their rate limit over the window that ends now, this one included.
fn check_load_rate_limit(decision: &Decision) {
    let model = decision.model;
    let Some(limit) = &model.settings.loading.rate_limit else {
        return;
    };
    let in_window = |time: &&Time| **time + limit.window > decision.at;
    let commands = 1 + model.load_command_times.iter().filter(in_window).count();
    let requests = model.request_times.iter().filter(in_window).count();
    assert!(
        commands as f64 <= limit.burst + limit.per_request * requests as f64,
        "seed {}: {commands} load commands for {requests} requests",
        decision.seed
    );
}

/// Each request is settled by its deadline.
pub(super) fn check_deadlines(model: &Model, now: Time, seed: u64) {
    for (id, request) in &model.requests {
        assert!(
            request.settled || request.deadline + STEP_TOLERANCE >= now,
            "seed {seed}: request {id} has no answer"
        );
    }
}
