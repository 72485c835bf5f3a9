//! Whether workers are in service while the source of the endpoint list is out of reach.
//!
//! The list vouches for all workers in it until some time after it was last confirmed. After that
//! only a health check vouches for one, from when it was sent. What would go to a worker without
//! either waits for a check of it.

use pipithub_policy::api::{
    Action, EndpointListContact, HealthCheckOutcome, HealthChecked, Outcome, RequestId, Time,
    WorkerId,
};

use super::front_end::FrontEnd;
use super::state::{Health, PendingRequest, WorkerState};
use super::time::MILLISECOND;

/// Changes of the list count as notified so long after its source got out of reach.
const NOTIFICATION_DELAY: Time = 2_000 * MILLISECOND;
/// If its source has answered, the list of the start vouches so long after the grace.
const ALLOWED_DELAY: Time = 50 * MILLISECOND;
/// What is left of the grace after a drain for the way to the worker: so much, at most a quarter.
const MAX_LEASE_MARGIN: Time = 150 * MILLISECOND;
/// The grace where the settings do not tell.
const DEFAULT_DRAIN_GRACE: Time = 1_000 * MILLISECOND;
/// How long a request waits for a check.
const CHECK_TIMEOUT: Time = 50 * MILLISECOND;
/// How often a request may wait for one.
const MAX_CHECKS_PER_REQUEST: u32 = 4;
/// The backoff after failed checks, and its largest.
const BASE_BACKOFF: Time = 200 * MILLISECOND;
const MAX_BACKOFF: Time = 1_600 * MILLISECOND;
/// Marks the timers of requests that wait for a check: both flags of the others.
pub(crate) const CHECK_TIMEOUT_TOKEN: u64 = 3 << 61;

/// What checks have told of a worker.
#[derive(Debug, Default)]
pub(crate) struct ServiceLease {
    pub(crate) lease_end: Time,
    evidence_at: Time,
    /// When the check was sent that is not answered yet.
    check_sent_at: Option<Time>,
    check_is_overdue: bool,
    failures: u32,
    next_check_at: Time,
    pub(crate) connection_lost_at: Time,
}

/// Whether a request may go to a worker as far as its being in service is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceStatus {
    /// It may.
    InService,
    /// It may once a check was answered.
    Unchecked,
    /// It may not; another check is sent meanwhile.
    CheckDue,
    /// It may not.
    OutOfService,
}

impl FrontEnd {
    /// Takes in a contact with the source of the list.
    pub(crate) fn record_endpoint_list_contact(&mut self, contact: EndpointListContact) {
        let lease = match contact {
            EndpointListContact::Sought => self.lease_time(),
            EndpointListContact::Answered => {
                if !self.endpoint_list_was_current {
                    let end = self.endpoint_list_confirmed_at + self.drain_grace() + ALLOWED_DELAY;
                    self.endpoint_list_lease_end = self.endpoint_list_lease_end.max(Some(end));
                }
                return;
            }
            EndpointListContact::Current => {
                self.endpoint_list_was_current = true;
                NOTIFICATION_DELAY + self.lease_time()
            }
        };
        self.endpoint_list_confirmed_at = self.now;
        self.endpoint_list_lease_end = Some(self.now + lease);
    }

    /// How long a worker that was in service may be sent work.
    fn lease_time(&self) -> Time {
        self.drain_grace() - MAX_LEASE_MARGIN.min(self.drain_grace() / 4)
    }

    fn drain_grace(&self) -> Time {
        self.settings.drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE)
    }

    fn relies_on_endpoint_list(&self) -> bool {
        let may_check = self.settings.limits.health_checks;
        self.endpoint_list_lease_end
            .is_none_or(|end| !may_check || self.now < end)
    }

    /// What is known of a worker's being in service.
    pub(crate) fn service_status(&self, worker: &WorkerState) -> ServiceStatus {
        let service = &worker.service;
        let is_awaited = service.check_sent_at.is_some() && !service.check_is_overdue;
        let failed_often = service.failures > 1;
        if self.relies_on_endpoint_list() || self.now < service.lease_end {
            ServiceStatus::InService
        } else if !failed_often && (is_awaited || self.now >= service.next_check_at) {
            ServiceStatus::Unchecked
        } else if !is_awaited && self.now >= service.next_check_at {
            ServiceStatus::CheckDue
        } else {
            ServiceStatus::OutOfService
        }
    }

    /// Whether work may be sent to a worker without a check.
    pub(crate) fn is_in_service(&self, worker: &WorkerId) -> bool {
        self.relies_on_endpoint_list()
            || self
                .workers
                .get(worker)
                .is_some_and(|worker| self.service_status(worker) == ServiceStatus::InService)
    }

    /// Checks a worker, unless an answer is awaited.
    pub(crate) fn check_health(&mut self, id: &WorkerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let service = &mut worker.service;
        if service.check_sent_at.is_some() && !service.check_is_overdue {
            return;
        }
        service.check_sent_at = Some(now);
        service.check_is_overdue = false;
        actions.push(Action::CheckHealth { worker: id.clone() });
    }

    /// Has a request wait for a check of a worker.
    pub(crate) fn await_check(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        actions: &mut Vec<Action>,
    ) {
        self.check_health(&worker, actions);
        actions.push(Action::SetTimer {
            after: CHECK_TIMEOUT,
            token: id.0 | CHECK_TIMEOUT_TOKEN,
        });
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.checked_worker = Some(worker);
            pending.health_checks += 1;
        }
    }

    /// Takes in the end of a check, and routes the requests that waited for it.
    pub(crate) fn finish_check(&mut self, checked: &HealthChecked, actions: &mut Vec<Action>) {
        let (now, lease, confirmed_at) =
            (self.now, self.lease_time(), self.endpoint_list_confirmed_at);
        let sent_at = now.saturating_sub(checked.elapsed);
        let Some(worker) = self.workers.get_mut(&checked.worker) else {
            return;
        };
        let service = &mut worker.service;
        let mut failure_is_uncounted = false;
        if let Some(awaited) = service.check_sent_at
            && awaited < sent_at + CHECK_TIMEOUT / 2
        {
            service.check_sent_at = None;
            // An overdue check was counted when it became overdue.
            failure_is_uncounted = !service.check_is_overdue;
        }
        match checked.outcome {
            HealthCheckOutcome::Healthy => {
                if sent_at >= service.evidence_at {
                    service.evidence_at = sent_at;
                    service.lease_end = sent_at + lease;
                    service.failures = 0;
                    service.next_check_at = 0;
                }
                let lost_at = std::mem::take(&mut service.connection_lost_at);
                if lost_at > confirmed_at && checked.connected_at >= lost_at {
                    worker.presume_restart(now);
                }
            }
            HealthCheckOutcome::Unhealthy => {
                if sent_at >= service.evidence_at {
                    service.evidence_at = sent_at;
                    service.lease_end = 0;
                    service.record_failure(now, service.failures + 1);
                }
            }
            HealthCheckOutcome::Unanswered | HealthCheckOutcome::Disconnected => {
                if failure_is_uncounted {
                    service.record_failure(now, service.failures);
                }
                if checked.outcome == HealthCheckOutcome::Disconnected {
                    service.connection_lost_at = now;
                }
            }
        }
        self.route_waiting(&checked.worker, actions);
    }

    /// Ends the wait for a check that takes too long.
    pub(crate) fn expire_check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let checked = self.pending.get(&id).and_then(|p| p.checked_worker.clone());
        let Some(id) = checked else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&id) {
            let service = &mut worker.service;
            let is_late = |sent_at: Time| now >= sent_at + CHECK_TIMEOUT;
            if service.check_sent_at.is_some_and(is_late) && !service.check_is_overdue {
                service.check_is_overdue = true;
                service.record_failure(now, service.failures);
            }
        }
        self.route_waiting(&id, actions);
    }

    fn route_waiting(&mut self, worker: &WorkerId, actions: &mut Vec<Action>) {
        let waiting = self.pending_where(|pending| pending.checked_worker.as_ref() == Some(worker));
        for id in waiting {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.checked_worker = None;
            }
            self.route(id, actions);
        }
    }

    /// Takes in that a connection to a worker has ended.
    pub(crate) fn record_connection_lost(&mut self, worker: &WorkerId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.service.connection_lost_at = now;
        }
    }
}

impl ServiceLease {
    /// Counts a failed check: `steps` says how long the backoff is, none at all for 0.
    fn record_failure(&mut self, now: Time, backoff_steps: u32) {
        self.failures += 1;
        let backoff = match backoff_steps {
            0 => 0,
            steps => (BASE_BACKOFF << (steps - 1).min(10)).min(MAX_BACKOFF),
        };
        self.next_check_at = now + backoff;
    }
}

impl WorkerState {
    /// Takes in what the list tells: whatever checks told before does not count any more.
    pub(crate) fn forget_checks(&mut self) {
        self.service = ServiceLease {
            connection_lost_at: self.service.connection_lost_at,
            ..ServiceLease::default()
        };
    }

    /// Takes the worker for a new process.
    fn presume_restart(&mut self, now: Time) {
        self.endpoint.started_at = Some(now);
        self.forget_process();
    }

    /// A restarted process has no replicas, and its past says nothing about it.
    pub(crate) fn forget_process(&mut self) {
        let classes = self.health.len();
        self.replicas.clear();
        self.slowdown = 1.0;
        self.concurrency = 1.0;
        self.concurrency_limit = f64::INFINITY;
        self.consecutive_connect_failures = 0;
        self.health = vec![Health::default(); classes];
    }
}

impl PendingRequest {
    /// Whether it may wait for a further check.
    pub(crate) fn may_await_check(&self) -> bool {
        self.health_checks < MAX_CHECKS_PER_REQUEST
    }
}

/// Whether an outcome shows the end of a connection.
pub(crate) fn is_connection_lost(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost)
}
