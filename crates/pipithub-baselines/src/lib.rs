//! Textbook load-balancing policies, for comparison with the decision module in scenarios only.
//!
//! They take the same events and return the same actions as the decision module. Both policies keep
//! the guarantees to clients: one answer, no repeated effect of a request that is not idempotent, no new requests for
//! draining workers. Neither policy makes predictions.

use std::collections::BTreeMap;

use pipithub_engine::Decide;
use pipithub_engine::policy::{
    Action, AttemptFinished, Class, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate,
    Event, Idempotency, Outcome, Request, RequestId, Settings, Time, WorkerId,
};

/// A request is forwarded only if more than this many ticks remain until its deadline.
const FORWARD_MARGIN_TICKS: Time = 2;
/// When the timer of a request fires, the request is ended if at most this many ticks remain until its deadline.
const TIMER_MARGIN_TICKS: Time = 3;
/// A request with an idempotency key is retried only if more than this many ticks remain until its deduplication window ends.
const DEDUPLICATION_MARGIN_TICKS: Time = 10;

/// A textbook load-balancing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each request goes to the next worker in turn.
    RoundRobin,
    /// Each request goes to the worker with the fewest requests of this front end in flight.
    LeastLoaded,
}

#[derive(Debug)]
struct Worker {
    state: EndpointState,
    in_flight: u32,
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    deadline: Time,
    attempts: u32,
    in_flight: bool,
    /// When the first attempt that may have run was sent; `None` if no attempt that has finished may have run.
    may_have_run: Option<Time>,
    last_attempt_at: Time,
    attempted_workers: Vec<WorkerId>,
}

/// A front end that routes by a textbook policy.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    settings: Settings,
    workers: BTreeMap<WorkerId, Worker>,
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    round_robin_turn: usize,
}

impl Baseline {
    /// Creates a front end without workers and requests.
    pub fn new(policy: Policy, settings: Settings) -> Self {
        Baseline {
            policy,
            settings,
            workers: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            round_robin_turn: 0,
        }
    }

    fn class(&self, request: &Request) -> Option<&Class> {
        self.settings.classes.get(request.class)
    }

    fn idempotency(&self, request: &Request) -> Idempotency {
        self.class(request)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    fn may_retry(&self, now: Time, pending: &PendingRequest) -> bool {
        let Some(first_attempt) = pending.may_have_run else {
            return true;
        };
        let Some(class) = self.class(&pending.request) else {
            return false;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => {
                let margin = DEDUPLICATION_MARGIN_TICKS * self.settings.tick;
                class.deduplication_scope == DeduplicationScope::All
                    && now + margin < first_attempt + class.deduplication_window
            }
            Idempotency::NonIdempotent => false,
        }
    }

    fn choose_worker(&mut self, attempted_workers: &[WorkerId]) -> Option<WorkerId> {
        self.round_robin_turn += 1;
        let is_candidate = |(id, worker): &(&WorkerId, &Worker)| {
            worker.state == EndpointState::Ready && !attempted_workers.contains(id)
        };
        let mut candidates = self.workers.iter().filter(is_candidate);
        let chosen = match self.policy {
            Policy::RoundRobin => {
                let count = candidates.clone().count();
                let turn = self.round_robin_turn.checked_rem(count)?;
                candidates.nth(turn)
            }
            Policy::LeastLoaded => candidates.min_by_key(|(_, worker)| worker.in_flight),
        };
        chosen.map(|(id, _)| id.clone())
    }

    /// Sends the next attempt of a request, or ends the request if no attempt may be sent.
    fn forward_or_end(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.get(&id) else {
            return;
        };
        let margin = FORWARD_MARGIN_TICKS * self.settings.tick;
        let is_late = now + margin >= pending.deadline;
        let is_exhausted = pending.attempts >= self.settings.limits.max_attempts;
        if is_late || is_exhausted || !self.may_retry(now, pending) {
            return self.reject_or_fail(id, actions);
        }
        let attempted_workers = pending.attempted_workers.clone();
        let Some(worker) = self.choose_worker(&attempted_workers) else {
            return self.reject_or_fail(id, actions);
        };
        self.forward(now, id, worker, actions);
    }

    fn forward(&mut self, now: Time, id: RequestId, worker: WorkerId, actions: &mut Vec<Action>) {
        if let Some(state) = self.workers.get_mut(&worker) {
            state.in_flight += 1;
        }
        let Some(pending) = self.pending_requests.get_mut(&id) else {
            return;
        };
        pending.attempts += 1;
        pending.in_flight = true;
        pending.last_attempt_at = now;
        pending.attempted_workers.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
            send_by: None,
        });
    }

    /// Ends a request without a response: rejects it if the client may safely retry, and fails it otherwise.
    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        self.cancel_attempt(&pending, actions);
        let never_ran = pending.may_have_run.is_none() && !pending.in_flight;
        let is_idempotent = self.idempotency(&pending.request) == Idempotency::Idempotent;
        actions.push(if is_idempotent || never_ran {
            Action::Reject {
                request: id,
                retry_after: None,
            }
        } else {
            Action::Fail { request: id }
        });
    }

    fn cancel_attempt(&self, pending: &PendingRequest, actions: &mut Vec<Action>) {
        if pending.in_flight && self.settings.limits.cancel {
            actions.push(Action::Cancel {
                request: pending.request.id,
                attempt: pending.attempts - 1,
            });
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            self.workers
                .retain(|id, _| endpoints.iter().any(|endpoint| endpoint.worker == *id));
        }
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Removed {
                self.workers.remove(&endpoint.worker);
                continue;
            }
            let worker = self.workers.entry(endpoint.worker).or_insert(Worker {
                state: endpoint.state,
                in_flight: 0,
            });
            worker.state = endpoint.state;
        }
    }

    fn receive_request(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let client_timeout = self.class(&request).map_or(0, |class| class.client_timeout);
        let timeout = request.timeout.unwrap_or(client_timeout);
        let id = request.id;
        actions.push(Action::SetTimer {
            after: timeout.saturating_sub(FORWARD_MARGIN_TICKS * self.settings.tick),
            token: id.0,
        });
        let pending = PendingRequest {
            request,
            deadline: now + timeout,
            attempts: 0,
            in_flight: false,
            may_have_run: None,
            last_attempt_at: now,
            attempted_workers: Vec::new(),
        };
        self.pending_requests.insert(id, pending);
        self.forward_or_end(now, id, actions);
    }

    fn finish_attempt(&mut self, now: Time, attempt: &AttemptFinished, actions: &mut Vec<Action>) {
        if let Some(worker) = self.workers.get_mut(&attempt.worker) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
        if attempt.settled {
            self.pending_requests.remove(&attempt.request);
            return;
        }
        let Some(pending) = self.pending_requests.get_mut(&attempt.request) else {
            return;
        };
        pending.in_flight = false;
        if !attempt.outcome.never_ran() && attempt.outcome != Outcome::Served {
            pending.may_have_run.get_or_insert(pending.last_attempt_at);
        }
        self.forward_or_end(now, attempt.request, actions);
    }

    /// Ends a request whose deadline is near. Does nothing if the request has already ended.
    fn check_deadline(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let margin = TIMER_MARGIN_TICKS * self.settings.tick;
        let is_due = self
            .pending_requests
            .get(&id)
            .is_some_and(|pending| now + margin >= pending.deadline);
        if is_due {
            self.reject_or_fail(id, actions);
        }
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => self.update_endpoints(update, endpoints),
            Event::Arrived(request) => self.receive_request(now, request, actions),
            Event::AttemptFinished(attempt) => self.finish_attempt(now, &attempt, actions),
            Event::ClientCancelled { request } => {
                if let Some(pending) = self.pending_requests.remove(&request) {
                    self.cancel_attempt(&pending, actions);
                }
            }
            Event::Timer { token } => self.check_deadline(now, RequestId(token), actions),
            Event::Streaming { .. }
            | Event::LoadPolled { .. }
            | Event::LoadFinished(_)
            | Event::EndpointListContact(_)
            | Event::HealthChecked(_)
            | Event::WorkerDisconnected { .. }
            | Event::Peer { .. } => {}
        }
    }
}
