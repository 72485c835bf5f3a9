//! Whether workers are in service while the source of the endpoint list is out of reach.
//!
//! The list gives a lease on all its workers, which ends some time after the list was last
//! confirmed. From then on only a healthy check gives a lease on its worker, counted from when the
//! check was sent. A request for a worker without a lease waits for a health check.

use pipithub_policy::api::{
    Action, EndpointListContact, HealthCheckOutcome, HealthChecked, Outcome, RequestId, Time,
    WorkerId,
};

use super::front_end::FrontEnd;
use super::state::{Health, PendingRequest, WorkerState};
use super::time::MILLISECOND;

/// A change of the list counts as notified this long after the connection to its source broke.
const BREAK_NOTIFICATION_DELAY: Time = 2_000 * MILLISECOND;
/// A change of the list counts as notified this long after its source fell silent.
const SILENCE_NOTIFICATION_DELAY: Time = 4_000 * MILLISECOND;
/// After the start, and after a request for changes, the list is relied on for the drain grace and
/// this time.
const REQUEST_LEASE_EXTENSION: Time = 25 * MILLISECOND;
/// The part of the drain grace that is kept for the way to the worker; at most a quarter of it.
const MAX_LEASE_MARGIN: Time = 150 * MILLISECOND;
/// The drain grace if the settings give none.
const DEFAULT_DRAIN_GRACE: Time = 1_000 * MILLISECOND;
/// How long a request waits for a health check.
const CHECK_TIMEOUT: Time = 50 * MILLISECOND;
/// How often a request may wait for a health check.
const MAX_CHECKS_PER_REQUEST: u32 = 4;
/// The shortest backoff after a failed check; it doubles with each further one.
const BASE_BACKOFF: Time = 200 * MILLISECOND;
/// The longest backoff.
const MAX_BACKOFF: Time = 1_600 * MILLISECOND;
/// Marks the timers of requests that wait for a health check: the flags of the maintenance timer
/// and of load polls together.
pub(crate) const CHECK_TIMEOUT_TOKEN: u64 = 3 << 61;

/// The lease on one worker, and the health checks that renew it.
#[derive(Debug, Default)]
pub(crate) struct ServiceLease {
    /// When the lease ends; 0 if there is none.
    pub(crate) lease_end: Time,
    /// When the check was sent that showed the most recent state of the worker.
    evidence_at: Time,
    /// When the check in progress was sent; `None` if there is none.
    check_sent_at: Option<Time>,
    /// The check in progress counts as failed, as no answer came in time.
    check_is_overdue: bool,
    /// Failed checks since the last healthy one.
    failures: u32,
    /// No check is sent before this time.
    next_check_at: Time,
    /// When a connection to the worker was first lost since the list was last confirmed; 0 if none
    /// was lost since the last healthy check.
    pub(crate) connection_lost_at: Time,
}

/// Whether a worker may be sent requests, as far as health checks and leases are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceStatus {
    /// The worker may be sent requests.
    InService,
    /// A request may wait for a check of the worker.
    Unchecked,
    /// Checks have failed and the next one is due; it is sent, but a request waits for it only if
    /// no other worker takes the request.
    CheckDue,
    /// Checks have failed, and the next one is in progress or not due yet.
    OutOfService,
}

impl FrontEnd {
    /// Records a contact with the source of the endpoint list.
    pub(crate) fn record_endpoint_list_contact(&mut self, contact: EndpointListContact) {
        let may_check = self.settings.limits.health_checks;
        let lease = match contact {
            EndpointListContact::Started => self.request_lease(),
            EndpointListContact::Requested => {
                self.limit_list_lease(self.now + self.request_lease());
                return;
            }
            EndpointListContact::Disconnected => {
                self.limit_list_lease(self.now + BREAK_NOTIFICATION_DELAY + self.lease_time());
                return;
            }
            EndpointListContact::Current => {
                let delay = if may_check {
                    BREAK_NOTIFICATION_DELAY
                } else {
                    SILENCE_NOTIFICATION_DELAY
                };
                delay + self.lease_time()
            }
        };
        self.endpoint_list_confirmed_at = self.now;
        self.endpoint_list_lease_end = Some(self.now + lease);
    }

    /// How long work may be sent to a worker after it was last known to be in service.
    fn lease_time(&self) -> Time {
        self.drain_grace() - MAX_LEASE_MARGIN.min(self.drain_grace() / 4)
    }

    /// How long the list is relied on after the start, or after a request without a heartbeat since.
    fn request_lease(&self) -> Time {
        self.drain_grace() + REQUEST_LEASE_EXTENSION
    }

    /// How long new work may be sent to a worker after the notification of its drain.
    fn drain_grace(&self) -> Time {
        self.settings.drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE)
    }

    /// Ends the lease of the list at this time if it would last longer.
    fn limit_list_lease(&mut self, end: Time) {
        if let Some(current) = &mut self.endpoint_list_lease_end {
            *current = end.min(*current);
        }
    }

    /// Whether all workers that the endpoint list names as ready count as in service.
    fn relies_on_endpoint_list(&self) -> bool {
        self.endpoint_list_lease_end
            .is_none_or(|end| self.now < end)
    }

    /// Whether a worker is in service, as far as is known.
    pub(crate) fn service_status(&self, worker: &WorkerState) -> ServiceStatus {
        let service = &worker.service;
        let is_awaited = service.check_sent_at.is_some() && !service.check_is_overdue;
        let failed_often = service.failures > 1;
        if self.relies_on_endpoint_list() || self.now < service.lease_end {
            ServiceStatus::InService
        } else if !self.settings.limits.health_checks {
            ServiceStatus::OutOfService
        } else if !failed_often && (is_awaited || self.now >= service.next_check_at) {
            ServiceStatus::Unchecked
        } else if !is_awaited && self.now >= service.next_check_at {
            ServiceStatus::CheckDue
        } else {
            ServiceStatus::OutOfService
        }
    }

    /// Whether work may be sent to a worker without waiting for a check.
    pub(crate) fn is_in_service(&self, worker: &WorkerId) -> bool {
        self.relies_on_endpoint_list()
            || self
                .workers
                .get(worker)
                .is_some_and(|worker| self.service_status(worker) == ServiceStatus::InService)
    }

    /// Sends a health check, unless one is awaited already.
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

    /// Makes a request wait, unsent, for a health check of a worker.
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

    /// Records the end of a health check, and routes the requests that waited for it.
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
            // An overdue check was counted as failed when it became overdue.
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
                    service.note_connection_lost(confirmed_at, now);
                }
            }
        }
        self.route_waiting(&checked.worker, actions);
    }

    /// Ends a request's wait for a health check that takes too long.
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

    /// Routes the requests that waited for a worker's health check.
    fn route_waiting(&mut self, worker: &WorkerId, actions: &mut Vec<Action>) {
        let waiting = self.pending_where(|pending| pending.checked_worker.as_ref() == Some(worker));
        for id in waiting {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.checked_worker = None;
            }
            self.route(id, actions);
        }
    }

    /// Records that a worker has closed or reset a connection.
    pub(crate) fn record_connection_lost(&mut self, worker: &WorkerId) {
        let now = self.now;
        let confirmed_at = self.endpoint_list_confirmed_at;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.service.note_connection_lost(confirmed_at, now);
        }
    }
}

impl ServiceLease {
    /// Notes a lost connection, unless an earlier one since `since` is noted already.
    pub(crate) fn note_connection_lost(&mut self, since: Time, now: Time) {
        if self.connection_lost_at <= since {
            self.connection_lost_at = now;
        }
    }

    /// Counts a failed check. `backoff_steps` is 0 for no backoff and 1 for the shortest one; each
    /// further step doubles it.
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
    /// Forgets the results of health checks, as the endpoint list names the worker as ready.
    pub(crate) fn forget_checks(&mut self) {
        self.service = ServiceLease {
            connection_lost_at: self.service.connection_lost_at,
            ..ServiceLease::default()
        };
    }

    /// Assumes that the worker's process has restarted now.
    fn presume_restart(&mut self, now: Time) {
        self.endpoint.started_at = Some(now);
        self.forget_process();
    }

    /// Forgets what was learnt of the worker's former process: a restarted one has no replicas, and
    /// its slowdown and health are not known.
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
    /// Whether the request may wait for a further health check.
    pub(crate) fn may_await_check(&self) -> bool {
        self.health_checks < MAX_CHECKS_PER_REQUEST
    }
}

/// Whether an outcome shows that a connection failed or broke.
pub(crate) fn is_connection_lost(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost)
}
