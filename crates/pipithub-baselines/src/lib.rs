//! Textbook policies in the module's place, for comparison in drills alone: they take the same events and give the same
//! actions. Both keep what a caller is promised (one answer, no effect twice, drains); neither foresees anything.

use std::collections::BTreeMap;

use pipithub_engine::Decide;
use pipithub_engine::policy::{
    Action, DeduplicationScope, EndpointState, EndpointUpdate, Event, Idempotency, Outcome,
    Request, RequestId, Settings, Time, WorkerId,
};

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Workers in turn.
    RoundRobin,
    /// The worker with the fewest own sends out.
    LeastLoaded,
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    deadline: Time,
    attempts: u32,
    in_flight: bool,
    /// When it was first sent in a way that may have run.
    may_have_run: Option<Time>,
    last_attempt_at: Time,
    attempted_workers: Vec<WorkerId>,
}

/// A textbook policy.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    settings: Settings,
    workers: BTreeMap<WorkerId, (EndpointState, u32)>,
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    round_robin_turn: usize,
}

impl Baseline {
    /// One that knows nothing but its settings.
    pub fn new(policy: Policy, settings: Settings) -> Self {
        Baseline {
            policy,
            settings,
            workers: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            round_robin_turn: 0,
        }
    }

    fn idempotency(&self, pending: &PendingRequest) -> Idempotency {
        self.settings
            .classes
            .get(pending.request.class)
            .map_or(Idempotency::NonIdempotent, |c| c.idempotency)
    }

    fn may_retry(&self, now: Time, pending: &PendingRequest) -> bool {
        let Some(first) = pending.may_have_run else {
            return true;
        };
        match (
            self.idempotency(pending),
            self.settings.classes.get(pending.request.class),
        ) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::WithKey, Some(c)) => {
                c.deduplication_scope == DeduplicationScope::All
                    && now + 10 * self.settings.tick < first + c.deduplication_window
            }
            _ => false,
        }
    }

    fn choose_worker(&mut self, attempted_workers: &[WorkerId]) -> Option<WorkerId> {
        let ready_workers: Vec<(&WorkerId, u32)> = self
            .workers
            .iter()
            .filter(|(w, (s, _))| *s == EndpointState::Ready && !attempted_workers.contains(w))
            .map(|(w, (_, in_flight))| (w, *in_flight))
            .collect();
        self.round_robin_turn += 1;
        match self.policy {
            _ if ready_workers.is_empty() => None,
            Policy::RoundRobin => Some(
                ready_workers[self.round_robin_turn % ready_workers.len()]
                    .0
                    .clone(),
            ),
            Policy::LeastLoaded => ready_workers
                .into_iter()
                .min_by_key(|(_, in_flight)| *in_flight)
                .map(|(w, _)| w.clone()),
        }
    }

    fn forward_or_end(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.get(&id) else {
            return;
        };
        let is_late = now + 2 * self.settings.tick >= pending.deadline;
        let is_exhausted = pending.attempts >= self.settings.limits.max_attempts;
        let attempted_workers = pending.attempted_workers.clone();
        if is_late || is_exhausted || !self.may_retry(now, pending) {
            return self.reject_or_fail(id, actions);
        }
        let Some(worker) = self.choose_worker(&attempted_workers) else {
            return self.reject_or_fail(id, actions);
        };
        if let Some((_, in_flight)) = self.workers.get_mut(&worker) {
            *in_flight += 1;
        }
        let Some(pending) = self.pending_requests.get_mut(&id) else {
            return;
        };
        (pending.attempts, pending.in_flight, pending.last_attempt_at) =
            (pending.attempts + 1, true, now);
        pending.attempted_workers.push(worker.clone());
        actions.push(Action::Forward {
            request: id,
            worker,
            timeout: None,
        });
    }

    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        if pending.in_flight && self.settings.limits.cancel {
            actions.push(Action::Cancel {
                request: id,
                attempt: pending.attempts - 1,
            });
        }
        let is_safe_to_reject = self.idempotency(&pending) == Idempotency::Idempotent
            || pending.may_have_run.is_none() && !pending.in_flight;
        actions.push(if is_safe_to_reject {
            Action::Reject {
                request: id,
                retry_after: None,
            }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { update, endpoints } => {
                if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
                    self.workers
                        .retain(|w, _| endpoints.iter().any(|e| e.worker == *w));
                }
                for endpoint in endpoints {
                    match endpoint.state {
                        EndpointState::Removed => drop(self.workers.remove(&endpoint.worker)),
                        state => self.workers.entry(endpoint.worker).or_default().0 = state,
                    }
                }
            }
            Event::Arrived(request) => {
                let client_timeout = self
                    .settings
                    .classes
                    .get(request.class)
                    .map_or(0, |c| c.client_timeout);
                let timeout = request.timeout.unwrap_or(client_timeout);
                let (id, deadline) = (request.id, now + timeout);
                let after = timeout.saturating_sub(2 * self.settings.tick);
                actions.push(Action::SetTimer { after, token: id });
                let (may_have_run, attempted_workers) = (None, Vec::new());
                self.pending_requests.insert(
                    id,
                    PendingRequest {
                        request,
                        deadline,
                        attempts: 0,
                        in_flight: false,
                        may_have_run,
                        last_attempt_at: now,
                        attempted_workers,
                    },
                );
                self.forward_or_end(now, id, actions);
            }
            Event::AttemptFinished(end) => {
                if let Some((_, in_flight)) = self.workers.get_mut(&end.worker) {
                    *in_flight = in_flight.saturating_sub(1);
                }
                if end.settled {
                    self.pending_requests.remove(&end.request);
                    return;
                }
                let Some(pending) = self.pending_requests.get_mut(&end.request) else {
                    return;
                };
                pending.in_flight = false;
                if !end.outcome.never_ran() && end.outcome != Outcome::Served {
                    pending.may_have_run.get_or_insert(pending.last_attempt_at);
                }
                self.forward_or_end(now, end.request, actions);
            }
            Event::ClientCancelled { request } => {
                if let Some(pending) = self.pending_requests.remove(&request)
                    && pending.in_flight
                    && self.settings.limits.cancel
                {
                    actions.push(Action::Cancel {
                        request,
                        attempt: pending.attempts - 1,
                    });
                }
            }
            Event::Timer { token } => {
                if self
                    .pending_requests
                    .get(&token)
                    .is_some_and(|o| now + 3 * self.settings.tick >= o.deadline)
                {
                    self.reject_or_fail(token, actions);
                }
            }
            Event::Streaming { .. }
            | Event::LoadPolled { .. }
            | Event::LoadFinished(_)
            | Event::Peer { .. } => {}
        }
    }
}
