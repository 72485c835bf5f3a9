//! A connection pool without sockets and with one worker. The test decides when connections are established, how many
//! bytes the operating system accepts, and what the worker answers.
#![allow(dead_code)]

use bytes::Bytes;
use pipithub_engine::policy::{RequestId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_node::connection_pool::{
    CancelResult, CancelledRequest, ConnectionPool, ConnectionPoolSettings, RequestKind,
    SendFailure, WorkerRequest,
};
use pipithub_node::effect::{ConnectionId, Effect};

pub(crate) const MS: Time = 1_000_000;

/// The length in bytes of each line that is written for a [`worker_request`] with a number below 10.
pub(crate) const LINE_BYTES: u64 = 7;

/// The harness's worker and its address.
pub(crate) const WORKER: &str = "w";
pub(crate) const ADDRESS: &str = "10.0.0.1:1";

pub(crate) fn attempt(request: u64) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number: 0,
    }
}

/// The reference of a request, which the worker's answer repeats.
pub(crate) fn reference(request: u64) -> String {
    format!("{request:016x}")
}

pub(crate) fn worker_request(now: Time, request: u64) -> WorkerRequest {
    let kind = RequestKind::Attempt(attempt(request));
    let line = Bytes::from(format!("line {request}\n"));
    WorkerRequest::new(kind, reference(request), line, now, now + 5_000 * MS)
}

pub(crate) fn settings(
    max_connections: usize,
    max_requests_per_connection: usize,
) -> ConnectionPoolSettings {
    ConnectionPoolSettings {
        max_connections,
        max_requests_per_connection,
        connect_timeout: 250 * MS,
        worker_idle_timeout: 30_000 * MS,
        cancel: true,
    }
}

/// The effect that withdraws a part of the queued bytes.
pub(crate) fn cancel_write(connection: ConnectionId, offset: u64, length: u64) -> Effect {
    Effect::CancelWrite {
        connection,
        offset,
        length,
    }
}

fn requested_connection(effect: &Effect) -> Option<ConnectionId> {
    match effect {
        Effect::Connect { connection, .. } => Some(*connection),
        _ => None,
    }
}

pub(crate) struct PoolHarness {
    pub(crate) pool: ConnectionPool,
    pub(crate) worker: WorkerId,
}

impl PoolHarness {
    pub(crate) fn new(max_connections: usize) -> Self {
        PoolHarness::with_settings(settings(max_connections, 4))
    }

    pub(crate) fn with_settings(settings: ConnectionPoolSettings) -> Self {
        let mut pool = ConnectionPool::new(settings);
        let worker = WorkerId::new(WORKER);
        pool.set_address(&worker, ADDRESS, false);
        PoolHarness { pool, worker }
    }

    /// Creates a pool whose settings forbid asking workers to cancel.
    pub(crate) fn without_cancel() -> Self {
        PoolHarness::with_settings(ConnectionPoolSettings {
            cancel: false,
            ..settings(4, 4)
        })
    }

    pub(crate) fn submit(&mut self, now: Time, request: u64) {
        self.submit_request(now, worker_request(now, request));
    }

    pub(crate) fn submit_request(&mut self, now: Time, request: WorkerRequest) {
        self.pool.submit(now, &self.worker, request);
    }

    pub(crate) fn effects(&mut self) -> Vec<Effect> {
        self.pool.take_effects()
    }

    /// The number of lines written since the last effects were taken.
    pub(crate) fn writes(&mut self) -> usize {
        let is_write = |effect: &&Effect| matches!(effect, Effect::Write { .. });
        self.effects().iter().filter(is_write).count()
    }

    /// The connections that the pool has requested.
    pub(crate) fn requested_connections(&mut self) -> Vec<ConnectionId> {
        self.effects()
            .iter()
            .filter_map(requested_connection)
            .collect()
    }

    /// Establishes the first connection that the pool has requested.
    pub(crate) fn establish_requested(&mut self, now: Time) -> ConnectionId {
        let connection = self.requested_connections()[0];
        self.pool.connected(now, connection);
        connection
    }

    /// Submits a request and establishes the connection that is requested for it, if one is; returns the connection
    /// that it is written on.
    pub(crate) fn send(&mut self, now: Time, request: u64) -> ConnectionId {
        self.submit(now, request);
        let mut used = None;
        for effect in self.effects() {
            match effect {
                Effect::Connect { connection, .. } => {
                    self.pool.connected(now, connection);
                    self.effects();
                    used = Some(connection);
                }
                Effect::Write { connection, .. } => used = Some(connection),
                Effect::Close { .. } | Effect::CloseIfIdle { .. } | Effect::CancelWrite { .. } => {}
            }
        }
        used.expect("the request is written")
    }

    /// Lets the worker answer a request; returns whether the pool had the request in flight on this connection.
    pub(crate) fn answer(&mut self, now: Time, connection: ConnectionId, request: u64) -> bool {
        self.pool
            .answered(now, connection, &reference(request))
            .is_some()
    }

    /// Lets the worker stop reading after the operating system has accepted this many of the written bytes.
    pub(crate) fn stop_reading(&mut self, now: Time, connection: ConnectionId, accepted: u64) {
        self.pool.set_blocked(now, connection, Some(accepted));
    }

    /// Lets the worker read again; the operating system has accepted all bytes then.
    pub(crate) fn resume_reading(&mut self, now: Time, connection: ConnectionId) {
        self.pool.set_blocked(now, connection, None);
    }

    /// Breaks the connection after the operating system has accepted this many bytes.
    pub(crate) fn break_connection(&mut self, now: Time, connection: ConnectionId, accepted: u64) {
        self.pool
            .closed(now, connection, accepted, SendFailure::ConnectionLost);
    }

    /// Cancels a request that can end at once.
    pub(crate) fn cancel(&mut self, now: Time, request: u64) -> CancelledRequest {
        match self.try_cancel(now, request) {
            CancelResult::Ended(cancelled) => *cancelled,
            other => panic!("request {request}: {other:?}"),
        }
    }

    pub(crate) fn try_cancel(&mut self, now: Time, request: u64) -> CancelResult {
        let worker = self.worker.clone();
        self.pool.cancel(now, &worker, attempt(request))
    }

    /// Abandons a request, as when its client has left; returns whether the request is certain not to run.
    pub(crate) fn abandon(&mut self, now: Time, request: u64) -> bool {
        let worker = self.worker.clone();
        self.pool.abandon(now, &worker, attempt(request)).is_some()
    }

    /// The requests that ended without an answer since the last call, and why.
    pub(crate) fn failures(&mut self) -> Vec<(u64, SendFailure)> {
        let number = |kind: &RequestKind| match kind {
            RequestKind::Attempt(id) => id.request.0,
            _ => 0,
        };
        self.pool
            .take_failures()
            .iter()
            .map(|failed| (number(&failed.request.kind), failed.failure))
            .collect()
    }
}
