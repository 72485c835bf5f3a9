//! The pool of connections to workers. It decides on which connection a request is sent, and what happens to the
//! request when that connection ends.
//!
//! Workers are identified by their ids, because a new worker may have the address of a removed one. A connection may
//! carry many requests, but all of them are lost when it breaks. So an idle connection is used first, then a new one
//! while file descriptors last, and only then a connection that already carries other requests.

mod connection;
mod endings;
mod request;
mod selection;
mod sweep;

pub use self::request::{
    AnsweredRequest, CancelResult, CancelledRequest, FailedRequest, Payload, RequestKind,
    SendFailure, WorkerRequest,
};

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_platform::line::LineFramer;

use self::connection::Connection;
use crate::effect::{ConnectionId, Effect};
use crate::idle_timeout::IdleTimeout;

/// The maximum number of requests that wait for a connection to one worker.
const MAX_WAITING: usize = 256;

/// A worker, the connections to it, and the requests that wait for one.
#[derive(Debug, Default)]
struct WorkerConnections {
    address: String,
    removed: bool,
    /// The time from which no new work may be written to the worker; `None` if there is no such limit.
    lease_end: Option<Time>,
    connections: Vec<ConnectionId>,
    waiting: VecDeque<WorkerRequest>,
}

/// Allocates connection ids; no id is used twice.
#[derive(Debug, Default)]
struct ConnectionIds {
    last: u64,
}

impl ConnectionIds {
    fn allocate(&mut self) -> ConnectionId {
        self.last += 1;
        ConnectionId(self.last)
    }
}

/// The limits and timeouts of a [`ConnectionPool`].
#[derive(Clone, Copy, Debug)]
pub struct ConnectionPoolSettings {
    /// The maximum number of connections to all workers together, including those being established; 0 counts as 1.
    pub max_connections: usize,
    /// The maximum number of requests in flight on one connection; 0 counts as 1.
    pub max_requests_per_connection: usize,
    /// How long it may take to establish a connection, in nanoseconds.
    pub connect_timeout: Time,
    /// After how long workers close idle connections, in nanoseconds; 0 if they never do. The pool closes idle
    /// connections after half of that time.
    pub worker_idle_timeout: Time,
    /// Whether workers may be asked to cancel attempts.
    pub cancel: bool,
}

/// All connections to workers, and the requests that are in flight or wait for a connection.
#[derive(Debug)]
pub struct ConnectionPool {
    max_connections: usize,
    max_requests_per_connection: usize,
    connect_timeout: Time,
    worker_idle_timeout: Time,
    /// Whether workers may be asked to cancel attempts.
    cancel: bool,
    workers: BTreeMap<WorkerId, WorkerConnections>,
    /// The number of workers that have not been removed. It is stored because neither a request nor a sweep may iterate
    /// over all workers to count them.
    listed: usize,
    /// The workers that a sweep visits: those with waiting requests, and removed ones.
    sweep_set: BTreeSet<WorkerId>,
    connections: BTreeMap<ConnectionId, Connection>,
    connection_ids: ConnectionIds,
    effects: Vec<Effect>,
    failures: Vec<FailedRequest>,
    idle_timeout: IdleTimeout,
}

impl ConnectionPool {
    /// Creates a pool without workers and connections.
    pub fn new(settings: ConnectionPoolSettings) -> Self {
        ConnectionPool {
            max_connections: settings.max_connections.max(1),
            max_requests_per_connection: settings.max_requests_per_connection.max(1),
            connect_timeout: settings.connect_timeout,
            worker_idle_timeout: settings.worker_idle_timeout,
            cancel: settings.cancel,
            workers: BTreeMap::new(),
            listed: 0,
            sweep_set: BTreeSet::new(),
            connections: BTreeMap::new(),
            connection_ids: ConnectionIds::default(),
            effects: Vec::new(),
            failures: Vec::new(),
            idle_timeout: IdleTimeout::default(),
        }
    }

    /// Returns an id for a connection to a client or a worker; no id is returned twice.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.connection_ids.allocate()
    }

    /// Returns the effects requested since the last call, in order.
    #[must_use]
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the requests that ended without an answer since the last call; the caller must report each of them.
    pub fn take_failures(&mut self) -> Vec<FailedRequest> {
        std::mem::take(&mut self.failures)
    }

    /// The number of connections, including those being established.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The maximum number of connections, including those being established.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The number of workers that a sweep visits: those with waiting requests, and removed ones.
    pub fn sweep_set_len(&self) -> usize {
        self.sweep_set.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a worker or changes its address; an empty `address` keeps the current one. `removed` tells whether the
    /// worker has been removed from the endpoint list.
    pub fn set_address(&mut self, worker: &WorkerId, address: &str, removed: bool) {
        let new = || WorkerConnections {
            removed: true,
            ..WorkerConnections::default()
        };
        let entry = self.workers.entry(worker.clone()).or_insert_with(new);
        if !address.is_empty() {
            entry.address = address.to_string();
        }
        self.set_removed(worker, removed);
    }

    fn set_removed(&mut self, worker: &WorkerId, removed: bool) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        self.listed -= usize::from(!entry.removed);
        self.listed += usize::from(!removed);
        entry.removed = removed;
        if removed {
            self.sweep_set.insert(worker.clone());
        }
    }

    /// Records that all workers except those listed have been removed.
    pub fn retain_workers(&mut self, listed: &BTreeSet<&WorkerId>) {
        let unlisted: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|worker| !listed.contains(worker))
            .cloned()
            .collect();
        unlisted
            .iter()
            .for_each(|worker| self.set_removed(worker, true));
    }

    /// Records that a request has ended without an answer.
    fn fail(&mut self, worker: &WorkerId, request: WorkerRequest, failure: SendFailure) {
        self.failures.push(FailedRequest {
            worker: worker.clone(),
            request,
            failure,
        });
    }

    /// Sends a request to a worker as soon as there is a connection for it. The request fails at once if the worker or
    /// its address is not known or too many requests wait for the worker.
    pub fn submit(&mut self, now: Time, worker: &WorkerId, request: WorkerRequest) {
        match self.workers.get_mut(worker) {
            Some(entry) if !entry.address.is_empty() && entry.waiting.len() < MAX_WAITING => {
                entry.waiting.push_back(request);
                self.sweep_set.insert(worker.clone());
                self.dispatch(now, worker);
            }
            _ => self.fail(worker, request, SendFailure::Unreachable),
        }
    }

    /// Sets the time until which new work may be written to a worker; `Time::MAX` means that there is no limit.
    pub fn set_lease_end(&mut self, worker: &WorkerId, lease_end: Time) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.lease_end = Some(lease_end).filter(|end| *end < Time::MAX);
        }
    }

    /// Updates, for each worker that may have unwritten requests, the time until which new work may be written to it.
    pub fn renew_leases(&mut self, lease_end: impl Fn(&WorkerId) -> Time) {
        let blocked = self
            .connections
            .values()
            .filter(|connection| connection.is_blocked())
            .map(|connection| connection.worker().clone());
        let unwritten: BTreeSet<WorkerId> = self.sweep_set.iter().cloned().chain(blocked).collect();
        for worker in unwritten {
            let end = lease_end(&worker);
            self.set_lease_end(&worker, end);
        }
    }

    /// Sends waiting requests on usable connections, and requests new connections for the rest.
    fn dispatch(&mut self, now: Time, worker: &WorkerId) {
        while let Some(id) = self.select_connection(now, worker) {
            let Some(entry) = self.workers.get_mut(worker) else {
                return;
            };
            let lease_end = entry.lease_end;
            let Some(request) = entry.waiting.pop_front() else {
                return;
            };
            if request.must_not_be_sent(lease_end, now) {
                self.fail(worker, request, SendFailure::NeverSent);
                continue;
            }
            let Some(line) = request.line(now) else {
                // The deadline has passed since the last sweep, or is too near.
                self.fail(worker, request, SendFailure::Unreachable);
                continue;
            };
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            let write = connection.send(now, request, line);
            self.effects.push(write);
        }
    }

    /// Records that a connection is established.
    pub fn connected(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            // The pool has given the connection up in the meantime.
            return self.effects.push(Effect::Close { connection: id });
        };
        connection.establish(now);
        let worker = connection.worker().clone();
        self.dispatch(now, &worker);
    }

    /// Records whether a connection is blocked because its worker does not read: `accepted` is the number of bytes that
    /// the operating system has accepted on the connection so far, or `None` if it has accepted all. No request is
    /// written on a blocked connection.
    pub fn set_blocked(&mut self, now: Time, id: ConnectionId, accepted: Option<u64>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let was_unblocked = connection.set_blocked(accepted);
        let cancelled = connection.take_cancelled();
        let worker = connection.worker().clone();
        for request in cancelled {
            self.fail(&worker, request, SendFailure::Cancelled);
        }
        if was_unblocked {
            self.dispatch(now, &worker);
        }
    }

    /// The framer that splits the bytes received on a connection into lines; `None` if the connection has ended.
    pub fn framer(&mut self, id: ConnectionId) -> Option<&mut LineFramer> {
        self.connections.get_mut(&id).map(Connection::framer)
    }
}
