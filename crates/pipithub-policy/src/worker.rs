//! The state of one worker: its endpoint, and the part of each decision's state that belongs to it.

use crate::api::{Endpoint, EndpointState, Time};
use crate::attempt::{Attempt, AttemptQueue};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::hashing::hash_address;
use crate::load_reports::ReportedLoad;
use crate::outlier::{OutlierDetection, StalledAttempt};
use crate::replicas::ReplicaTable;
use crate::responses::Responses;
use crate::service_lease::{ServiceLease, WriteBounds};
use crate::slow_start::RecentForwards;
use crate::slowdown::Slowdown;
use crate::worker_table::IndexedState;

/// The state of one worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    endpoint: Endpoint,
    /// The hash of the worker's address.
    hash: u64,
    /// The values of this worker that are included in the index over all workers.
    indexed: IndexedState,
    pub(crate) attempts: AttemptQueue,
    pub(crate) replicas: ReplicaTable,
    pub(crate) responses: Responses,
    pub(crate) slowdown: Slowdown,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) outliers: OutlierDetection,
    pub(crate) load_report: ReportedLoad,
    pub(crate) recent_forwards: RecentForwards,
    pub(crate) service: ServiceLease,
}

impl WorkerState {
    /// Creates the state of a worker of which only the endpoint is known.
    pub(crate) fn new(endpoint: Endpoint, classes: usize) -> Self {
        WorkerState {
            hash: hash_address(&endpoint.worker.0),
            endpoint,
            indexed: IndexedState::default(),
            attempts: AttemptQueue::default(),
            replicas: ReplicaTable::default(),
            responses: Responses::default(),
            slowdown: Slowdown::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            outliers: OutlierDetection::new(classes),
            load_report: ReportedLoad::default(),
            recent_forwards: RecentForwards::default(),
            service: ServiceLease::default(),
        }
    }

    /// The worker's entry in the endpoint list.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// The hash of the worker's address.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// The values of this worker that are included in the index over all workers.
    pub(crate) fn indexed(&self) -> &IndexedState {
        &self.indexed
    }

    /// Like [`WorkerState::indexed`], for changes; only the index may change them.
    pub(crate) fn indexed_mut(&mut self) -> &mut IndexedState {
        &mut self.indexed
    }

    /// Whether the endpoint list names the worker as ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Applies a new entry of the endpoint list. If the worker has restarted, what was learnt about its
    /// former process is forgotten.
    pub(crate) fn update_endpoint(&mut self, endpoint: Endpoint, bounds: WriteBounds) {
        if self.endpoint.started_at != endpoint.started_at {
            self.forget_former_process();
        }
        self.endpoint = endpoint;
        self.service.record_listed(self.is_ready(), bounds);
    }

    /// Treats the worker as one that has just started, because it may have restarted while the endpoint
    /// list could not report that.
    pub(crate) fn presume_restart(&mut self, now: Time) {
        self.endpoint.started_at = Some(now);
        self.forget_former_process();
    }

    /// Records that the endpoint list no longer names the worker.
    pub(crate) fn mark_removed(&mut self, bounds: WriteBounds) {
        self.endpoint.state = EndpointState::Removed;
        self.service.record_listed(false, bounds);
    }

    /// Forgets the replicas and the history of the former process, which the new one does not have.
    fn forget_former_process(&mut self) {
        self.replicas.clear();
        self.slowdown = Slowdown::default();
        self.concurrency_limit = ConcurrencyLimit::default();
        self.outliers.reset();
    }

    /// Whether outlier detection allows an attempt of a class at this worker.
    pub(crate) fn accepts(&self, class: usize, now: Time) -> bool {
        self.outliers.accepts(class, self.attempts.as_slice(), now)
    }

    /// The factor by which a run is expected to be slowed down with `in_flight` attempts at this worker.
    pub(crate) fn expected_slowdown(&self, in_flight: usize, now: Time) -> f64 {
        let age = now.saturating_sub(self.responses.last_at());
        self.slowdown.expected(in_flight, age)
    }

    /// Records an answer to an attempt of a class.
    pub(crate) fn record_answer(&mut self, class: usize, now: Time) {
        self.outliers.record_answer(class);
        self.concurrency_limit.record_answer();
        self.responses.record_answer(class, now);
    }

    /// Records that the worker was at capacity and has rejected an attempt.
    pub(crate) fn record_rejection(&mut self, attempt: &Attempt, now: Time) {
        self.concurrency_limit
            .record_rejection(attempt.concurrency.total);
        self.responses.record(now);
    }

    /// Records a failed or lost connection, and forgets the replicas after too many in a row.
    pub(crate) fn record_connect_failure(&mut self, now: Time) {
        if self.outliers.record_connect_failure(now) {
            self.replicas.clear();
        }
    }

    /// Ejects the worker for each class for which it is silent; see
    /// [`OutlierDetection::eject_if_silent`].
    pub(crate) fn eject_if_silent(&mut self, now: Time, stalled: &mut Vec<StalledAttempt>) {
        let in_flight = self.attempts.as_slice();
        self.outliers
            .eject_if_silent(in_flight, &self.responses, now, stalled);
    }
}
