//! A pool of worker connections without sockets, with one worker played by hand.
#![allow(dead_code)]

use bytes::Bytes;
use pipithub_engine::policy::{RequestId, WorkerId};
use pipithub_engine::{AttemptId, Time};
use pipithub_node::connection_pool::{
    ConnectionPool, ConnectionPoolSettings, RequestKind, SendFailure, WorkerRequest,
};
use pipithub_node::effect::{ConnectionId, Effect};

pub(crate) const MS: Time = 1_000_000;

pub(crate) fn worker_request(now: Time, request: u64) -> WorkerRequest {
    let task = RequestKind::Attempt(AttemptId {
        request: RequestId(request),
        number: 0,
    });
    let line = Bytes::from(format!("line {request}\n"));
    WorkerRequest::new(task, format!("{request:016x}"), line, now, now + 5_000 * MS)
}

pub(crate) fn settings(
    max_connections: usize,
    max_requests_per_connection: usize,
) -> ConnectionPoolSettings {
    ConnectionPoolSettings {
        max_connections,
        max_requests_per_connection,
        connect_timeout: 250 * MS,
        idle_close: 30_000 * MS,
        cancel: true,
    }
}

pub(crate) fn settings_without_cancel(
    max_connections: usize,
    max_requests_per_connection: usize,
) -> ConnectionPoolSettings {
    ConnectionPoolSettings {
        cancel: false,
        ..settings(max_connections, max_requests_per_connection)
    }
}

pub(crate) struct PoolHarness {
    pub(crate) pool: ConnectionPool,
    pub(crate) worker: WorkerId,
    pub(crate) effects: Vec<Effect>,
}

impl PoolHarness {
    pub(crate) fn new(most: usize) -> Self {
        let mut pool = ConnectionPool::new(settings(most, 4));
        let worker = WorkerId::new("w");
        pool.set_address(&worker, "10.0.0.1:1", false);
        PoolHarness {
            pool,
            worker,
            effects: Vec::new(),
        }
    }

    pub(crate) fn submit(&mut self, now: Time, request: u64) {
        self.pool
            .submit(now, &self.worker, worker_request(now, request));
    }

    pub(crate) fn effects(&mut self) -> Vec<Effect> {
        self.effects = self.pool.take_effects();
        self.effects.clone()
    }

    pub(crate) fn connected(&mut self) -> Vec<ConnectionId> {
        let connects = self.effects();
        connects
            .iter()
            .filter_map(|e| {
                if let Effect::Connect { connection, .. } = e {
                    Some(*connection)
                } else {
                    None
                }
            })
            .collect()
    }

    pub(crate) fn failures(&mut self) -> Vec<(u64, SendFailure)> {
        let number = |t: &RequestKind| {
            if let RequestKind::Attempt(id) = t {
                id.request.0
            } else {
                0
            }
        };
        self.pool
            .take_failures()
            .iter()
            .map(|failed| (number(&failed.request.kind), failed.failure))
            .collect()
    }

    /// One call over one connection, answered after a millisecond.
    pub(crate) fn call(&mut self, now: Time, request: u64) -> Option<ConnectionId> {
        self.submit(now, request);
        let mut wrote = None;
        for effect in self.effects() {
            match effect {
                Effect::Connect { connection, .. } => {
                    self.pool.connected(now, connection);
                    wrote = Some(connection);
                }
                Effect::Write { connection, .. } => wrote = Some(connection),
                Effect::Close { .. } | Effect::Retire { .. } | Effect::CancelWrite { .. } => {}
            }
        }
        wrote
    }
}

/// A pool that may not tell workers to give runs up.
pub(crate) fn uncancelled() -> PoolHarness {
    let mut b = PoolHarness::new(4);
    b.pool = ConnectionPool::new(settings_without_cancel(4, 4));
    b.pool.set_address(&b.worker, "10.0.0.1:1", false);
    b
}

pub(crate) fn attempt(request: u64) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number: 0,
    }
}
