//! The steps that keep work away from workers that may no longer be in service: leases from the
//! endpoint list and from health checks, and requests that wait for a check.

use super::FrontEnd;
use super::routing::Candidate;
use crate::api::{
    Action, EndpointListContact, HealthCheckOutcome, HealthChecked, RequestId, Time, WorkerId,
};
use crate::endpoint_list_lease::LeaseTerms;
use crate::pending_request::PendingRequest;
use crate::service_lease::{
    CHECK_TIMEOUT, DEFAULT_DRAIN_GRACE, ServiceStatus, WriteBounds, lease_time,
};
use crate::timer::TimerToken;
use crate::worker::WorkerState;

/// Uses the settings, the workers, the lease of the endpoint list and the pending requests, and
/// routes the requests that waited.
impl FrontEnd {
    /// Records a contact with the source of the endpoint list.
    pub(super) fn record_endpoint_list_contact(&mut self, contact: EndpointListContact) {
        let terms = LeaseTerms {
            drain_grace: self.drain_grace(),
            has_health_checks: self.settings.limits.health_checks,
        };
        self.endpoint_list_lease
            .record_contact(contact, terms, self.now);
    }

    /// How long work may be sent to a worker after it was last known to be in service.
    pub(super) fn lease_time(&self) -> Time {
        lease_time(self.drain_grace())
    }

    fn drain_grace(&self) -> Time {
        self.settings.drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE)
    }

    /// The time by which work for a worker must be written to it: a request that still waits for a
    /// connection then must not be sent. [`Time::MAX`] if there is no limit.
    pub fn lease_end(&self, worker: &WorkerId) -> Time {
        if !self.uses_leases() {
            return Time::MAX;
        }
        match self.workers.get(worker) {
            Some(worker) if worker.is_ready() => {
                self.endpoint_list_lease.end().max(worker.service.end())
            }
            Some(worker) => worker.service.write_deadline(),
            None => 0,
        }
    }

    /// The bounds on writing work to workers that the endpoint list now names as draining or removed.
    pub(super) fn write_bounds(&self) -> WriteBounds {
        WriteBounds {
            endpoint_list_lease_end: self.endpoint_list_lease.end(),
            grace_end: self.now + self.lease_time(),
        }
    }

    /// Whether work depends on leases. Where health checks are not allowed nothing shows that a worker
    /// is in service once the lease of the endpoint list has ended: then no worker gets work until the
    /// source of the list is back.
    fn uses_leases(&self) -> bool {
        self.endpoint_list_lease.is_followed()
    }

    /// Whether all workers that the endpoint list names as ready count as in service.
    pub(super) fn relies_on_endpoint_list(&self) -> bool {
        self.endpoint_list_lease.is_valid(self.now) || !self.uses_leases()
    }

    /// Whether a worker counts as in service, by the endpoint list or a health check.
    pub(super) fn is_in_service(&self, worker: &WorkerId) -> bool {
        let by_check =
            |worker: &WorkerState| worker.service.status(self.now) == ServiceStatus::InService;
        self.relies_on_endpoint_list() || self.workers.get(worker).is_some_and(by_check)
    }

    /// Whether the request may wait for a further health check.
    pub(super) fn may_await_check(&self, pending: &PendingRequest) -> bool {
        self.settings.limits.health_checks && pending.checks.may_begin()
    }

    /// Sends a health check, unless the answer to another one is still awaited.
    pub(super) fn check_health(&mut self, worker_id: &WorkerId, actions: &mut Vec<Action>) {
        let Some(mut worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.service.begin_check(self.now) {
            actions.push(Action::CheckHealth {
                worker: worker_id.clone(),
            });
        }
    }

    /// Makes a request wait, unsent, for a health check of the worker that it would go to.
    pub(super) fn await_check(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        actions: &mut Vec<Action>,
    ) {
        self.check_health(&worker, actions);
        actions.push(Action::SetTimer {
            after: CHECK_TIMEOUT,
            token: TimerToken::CheckTimeout(id).into(),
        });
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.checks.begin(worker.clone());
        }
        self.awaiting_check.add(worker, id);
    }

    /// Handles the end of a health check.
    pub(super) fn finish_check(&mut self, checked: &HealthChecked, actions: &mut Vec<Action>) {
        let now = self.now;
        let lease = self.lease_time();
        let confirmed_at = self.endpoint_list_lease.confirmed_at();
        let Some(mut worker) = self.workers.get_mut(&checked.worker) else {
            return;
        };
        let sent_at = now.saturating_sub(checked.elapsed);
        worker
            .service
            .finish_check(sent_at, checked.outcome, lease, now);
        match checked.outcome {
            HealthCheckOutcome::Healthy => {
                // The endpoint list cannot report a restart while its source is out of reach.
                if worker
                    .service
                    .take_restart(confirmed_at, checked.connected_at)
                {
                    worker.presume_restart(now);
                }
            }
            HealthCheckOutcome::Disconnected => {
                worker.service.record_connection_lost(confirmed_at, now);
            }
            HealthCheckOutcome::Unhealthy | HealthCheckOutcome::Unanswered => {}
        }
        drop(worker);
        self.route_waiting(&checked.worker, actions);
    }

    /// Handles the timeout of a health check that a request waits for: routes all requests that wait
    /// for that worker.
    pub(super) fn expire_check(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let awaited = self
            .pending
            .get(&id)
            .and_then(|pending| pending.checks.worker());
        let Some(worker_id) = awaited.cloned() else {
            return;
        };
        if let Some(mut worker) = self.workers.get_mut(&worker_id) {
            worker.service.expire_check(self.now);
        }
        self.route_waiting(&worker_id, actions);
    }

    /// Routes the requests that waited for a worker's health check.
    fn route_waiting(&mut self, worker: &WorkerId, actions: &mut Vec<Action>) {
        for id in self.awaiting_check.take(worker) {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.checks.end();
            }
            self.route(id, actions);
        }
    }

    /// Records that a worker has closed or reset an idle connection: the worker may have restarted.
    pub(super) fn record_connection_lost(&mut self, worker: &WorkerId) {
        let now = self.now;
        let confirmed_at = self.endpoint_list_lease.confirmed_at();
        if let Some(mut worker) = self.workers.get_mut(worker) {
            worker.service.record_connection_lost(confirmed_at, now);
        }
    }

    /// The worker whose health check a request has to wait for before it is sent to the candidate;
    /// `None` if it may be sent now.
    pub(super) fn unchecked_worker(&self, candidate: Option<&Candidate>) -> Option<WorkerId> {
        let worker = &candidate?.worker;
        (!self.is_in_service(worker)).then(|| worker.clone())
    }
}
