//! What is looked at from time to time: overdue requests, idle connections, removed workers.

use std::cmp::Reverse;

use pipithub_engine::Time;
use pipithub_engine::policy::WorkerId;

use super::ConnectionPool;
use super::connection::Progress;
use super::request::{CancelledRequest, FailedRequest, SendFailure};
use crate::effect::{ConnectionId, Effect};

/// A line that the system has not taken by then is taken back: it states how long its client waited when it was made,
/// and a worker may be told 150 ms more than that at the most.
const UNWRITTEN_TIMEOUT: Time = 100_000_000;

/// A request on a connection that is to be given up.
struct OverdueRequest {
    start_offset: u64,
    connection: ConnectionId,
    worker: WorkerId,
    reference: String,
}

impl ConnectionPool {
    /// Ends requests whose time is up, and takes back those that a worker has not read for too long.
    fn end_overdue(&mut self, now: Time) {
        let mut overdue = Vec::new();
        for (id, connection) in &self.connections {
            for (reference, in_flight) in &connection.in_flight {
                let is_stuck = now >= in_flight.queued_at + UNWRITTEN_TIMEOUT
                    && !matches!(connection.progress(in_flight), Progress::Whole);
                if is_stuck || now >= in_flight.request.deadline {
                    overdue.push(OverdueRequest {
                        start_offset: in_flight.start_offset,
                        connection: *id,
                        worker: connection.worker.clone(),
                        reference: reference.clone(),
                    });
                }
            }
        }
        // From the last to the first: what stands behind half a line is taken back before it.
        overdue.sort_unstable_by_key(|request| Reverse(request.start_offset));
        for OverdueRequest {
            connection,
            worker,
            reference,
            ..
        } in overdue
        {
            let cancelled = self.give_up(now, &worker, connection, &reference, self.cancel);
            let Some(CancelledRequest { request, not_sent }) = cancelled else {
                continue;
            };
            let failure = if not_sent {
                SendFailure::Unreachable
            } else {
                SendFailure::TimedOut
            };
            self.fail(&worker, request, failure);
        }
    }

    /// Ends what is overdue, closes connections that stay idle and forgets workers that have been removed.
    pub fn sweep(&mut self, now: Time) {
        self.expire_waiting(now);
        self.end_overdue(now);
        self.close_idle(now);
        self.forget_removed_workers();
    }

    /// Gives back requests that wait for a connection, in time to go elsewhere: they were not sent.
    fn expire_waiting(&mut self, now: Time) {
        for worker in &self.watched {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            let removed = entry.removed;
            let max_wait = 2 * self.connect_timeout;
            entry.waiting.retain(|request| {
                let has_expired =
                    removed || now >= request.deadline || now >= request.began + max_wait;
                if has_expired {
                    self.failures.push(FailedRequest {
                        worker: worker.clone(),
                        request: request.clone(),
                        failure: SendFailure::Unreachable,
                    });
                }
                !has_expired
            });
        }
    }

    /// Closes connections that have been idle for too long, or whose worker has been removed or has another address.
    fn close_idle(&mut self, now: Time) {
        let idle_limit = self.idle_timeout.limit();
        let mut idle = Vec::new();
        for (id, connection) in &self.connections {
            let entry = self.workers.get(&connection.worker);
            let is_outdated =
                entry.is_none_or(|entry| entry.removed || entry.address != connection.address);
            // Closed well before the worker does: a line that crosses its close might be lost.
            let is_expired = self.idle_close > 0
                && now >= connection.last_used + self.idle_close / 2
                || idle_limit.is_some_and(|limit| now >= connection.last_used + limit);
            let is_idle = connection.established && connection.in_flight.is_empty();
            if is_idle && (is_outdated || is_expired) {
                idle.push(*id);
            }
        }
        for id in idle {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, SendFailure::ConnectionLost);
        }
    }

    /// Forgets removed workers of which nothing is left, and those that need no further look.
    fn forget_removed_workers(&mut self) {
        let workers = &mut self.workers;
        self.watched.retain(|worker| {
            let Some(entry) = workers.get(worker) else {
                return false;
            };
            let has_waiting = !entry.waiting.is_empty();
            let is_finished = entry.removed && !has_waiting && entry.connections.is_empty();
            let needs_sweep = entry.removed || has_waiting;
            if is_finished {
                workers.remove(worker);
            }
            !is_finished && needs_sweep
        });
    }
}
