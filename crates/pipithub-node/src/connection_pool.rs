//! Connections to workers: which one carries what, and what became of it when one ends.
//!
//! Workers are known by their id: a new one may have the address of a removed one. One connection carries many
//! requests, yet a broken one takes all of them with it; so a free connection is preferred, then a new one while there
//! are descriptors, and only then one that carries others already.

mod connection;
mod endings;
mod request;
mod selection;
mod sweep;

pub use self::request::{
    AnsweredRequest, CancelledRequest, FailedRequest, Payload, RequestKind, SendFailure,
    WorkerRequest,
};

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;
use pipithub_platform::line::LineFramer;

use self::connection::Connection;
use crate::effect::{ConnectionId, Effect};
use crate::idle_timeout::IdleTimeout;

/// The most requests to wait for a connection to one worker.
const MAX_WAITING: usize = 256;

#[derive(Debug, Default)]
struct WorkerConnections {
    address: String,
    removed: bool,
    connections: Vec<ConnectionId>,
    waiting: VecDeque<WorkerRequest>,
}

/// The bounds of a [`ConnectionPool`] and the times of its connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionPoolSettings {
    /// The most connections to all workers, connections being made included; at least one is allowed.
    pub max_connections: usize,
    /// The most requests in flight on one connection; at least one is allowed.
    pub max_requests_per_connection: usize,
    /// How long a connection may take to come up, in nanoseconds.
    pub connect_timeout: Time,
    /// How long a connection may stay idle before it is closed, in nanoseconds.
    pub idle_close: Time,
    /// Whether a worker may be asked to cancel an attempt.
    pub cancel: bool,
}

/// All connections to workers.
#[derive(Debug)]
pub struct ConnectionPool {
    max_connections: usize,
    max_requests_per_connection: usize,
    connect_timeout: Time,
    idle_close: Time,
    /// Workers may be told to cancel an attempt.
    cancel: bool,
    workers: BTreeMap<WorkerId, WorkerConnections>,
    /// How many workers have not been removed; counted, as neither a call nor a sweep may iterate over all of them.
    listed: usize,
    /// Workers with waiting requests, and removed ones: all that a sweep looks at.
    watched: BTreeSet<WorkerId>,
    connections: BTreeMap<ConnectionId, Connection>,
    next: ConnectionId,
    effects: Vec<Effect>,
    failures: Vec<FailedRequest>,
    idle_timeout: IdleTimeout,
}

impl ConnectionPool {
    /// A pool without workers and connections.
    pub fn new(settings: ConnectionPoolSettings) -> Self {
        ConnectionPool {
            max_connections: settings.max_connections.max(1),
            max_requests_per_connection: settings.max_requests_per_connection.max(1),
            connect_timeout: settings.connect_timeout,
            idle_close: settings.idle_close,
            cancel: settings.cancel,
            workers: BTreeMap::new(),
            listed: 0,
            watched: BTreeSet::new(),
            connections: BTreeMap::new(),
            next: 1,
            effects: Vec::new(),
            failures: Vec::new(),
            idle_timeout: IdleTimeout::default(),
        }
    }

    /// A number for a connection, of whichever side; never used twice.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.next += 1;
        self.next - 1
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

    /// Connections, those under way included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Connections that there may be, those under way included.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// How many workers a sweep looks at: those with waiting requests, and removed ones.
    pub fn watched(&self) -> usize {
        self.watched.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Sets a worker's address, or records that it has been removed.
    pub fn set_address(&mut self, worker: &WorkerId, address: &str, gone: bool) {
        let new = || WorkerConnections {
            removed: true,
            ..WorkerConnections::default()
        };
        let entry = self.workers.entry(worker.clone()).or_insert_with(new);
        if !address.is_empty() {
            entry.address = address.to_string();
        }
        self.set_removed(worker, gone);
    }

    fn set_removed(&mut self, worker: &WorkerId, gone: bool) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        self.listed -= usize::from(!entry.removed);
        self.listed += usize::from(!gone);
        entry.removed = gone;
        if gone {
            self.watched.insert(worker.clone());
        }
    }

    /// Records that all workers but these have been removed.
    pub fn retain_workers(&mut self, named: &BTreeSet<&WorkerId>) {
        let lost: Vec<WorkerId> = self
            .workers
            .keys()
            .filter(|w| !named.contains(w))
            .cloned()
            .collect();
        lost.iter()
            .for_each(|worker| self.set_removed(worker, true));
    }

    /// Notes that a request has ended without an answer.
    fn fail(&mut self, worker: &WorkerId, request: WorkerRequest, failure: SendFailure) {
        self.failures.push(FailedRequest {
            worker: worker.clone(),
            request,
            failure,
        });
    }

    /// Queues a request for a worker; a request that cannot be sent fails at once.
    pub fn submit(&mut self, now: Time, worker: &WorkerId, request: WorkerRequest) {
        match self.workers.get_mut(worker) {
            Some(entry) if !entry.address.is_empty() && entry.waiting.len() < MAX_WAITING => {
                entry.waiting.push_back(request);
                self.watched.insert(worker.clone());
                self.dispatch(now, worker);
            }
            _ => self.fail(worker, request, SendFailure::Unreachable),
        }
    }

    /// Sends waiting requests on usable connections, and requests new connections for the rest.
    fn dispatch(&mut self, now: Time, worker: &WorkerId) {
        while let Some(id) = self.select_connection(now, worker) {
            let Some(request) = self
                .workers
                .get_mut(worker)
                .and_then(|p| p.waiting.pop_front())
            else {
                return;
            };
            let Some(line) = request.line(now) else {
                // Its deadline passed between two sweeps.
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
            // The pool has given it up meanwhile.
            return self.effects.push(Effect::Close { connection: id });
        };
        connection.establish(now);
        let worker = connection.worker().clone();
        self.dispatch(now, &worker);
    }

    /// Records that the worker behind a connection does not read, with the number of bytes that the system has accepted
    /// on the connection so far; with `None`, that it has accepted all. Nothing is written on a blocked connection.
    pub fn set_blocked(&mut self, now: Time, id: ConnectionId, accepted: Option<u64>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.set_blocked(accepted) {
            let worker = connection.worker().clone();
            self.dispatch(now, &worker);
        }
    }

    /// The framer that cuts what comes on a connection into lines; `None` if the connection has ended.
    pub fn framer(&mut self, id: ConnectionId) -> Option<&mut LineFramer> {
        self.connections.get_mut(&id).map(Connection::framer)
    }
}
