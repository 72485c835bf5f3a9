//! Periodic clean-up: overdue requests, idle connections, removed workers.

use std::cmp::Reverse;

use pipithub_engine::Time;

use super::ConnectionPool;
use super::connection::{Connection, OverdueRequest};
use super::request::{CancelledRequest, FailedRequest, SendFailure};

/// A line that the operating system has not accepted within this time, in nanoseconds, is withdrawn. A line states how
/// much time its client had left when the line was made, and when the worker reads it, that figure may be at most 150
/// ms too large.
const WRITE_TIMEOUT: Time = 100_000_000;

impl ConnectionPool {
    /// Ends overdue requests, closes connections that stay idle and forgets workers that have been removed.
    pub fn sweep(&mut self, now: Time) {
        self.expire_waiting(now);
        self.withdraw_unsendable(now);
        self.end_overdue(now);
        self.close_idle(now);
        self.forget_removed_workers();
    }

    /// Ends requests whose deadline has passed, and those whose line was not written within [`WRITE_TIMEOUT`].
    fn end_overdue(&mut self, now: Time) {
        let overdue_on = |connection| Connection::overdue_requests(connection, now, WRITE_TIMEOUT);
        let mut overdue: Vec<OverdueRequest> =
            self.connections.values().flat_map(overdue_on).collect();
        // From the last line to the first, so that what is queued behind a partially written line is withdrawn before
        // it.
        overdue.sort_unstable_by_key(|request| Reverse(request.start_offset));
        for request in overdue {
            self.end_overdue_request(now, &request);
        }
    }

    /// Withdraws requests that must not be written any more; see [`Connection::unsendable_requests`].
    fn withdraw_unsendable(&mut self, now: Time) {
        let mut unsendable = Vec::new();
        for connection in self.connections.values().filter(|c| c.is_blocked()) {
            let lease_end = self
                .workers
                .get(connection.worker())
                .and_then(|entry| entry.lease_end);
            unsendable.extend(connection.unsendable_requests(now, lease_end));
        }
        unsendable.sort_unstable_by_key(|request| Reverse(request.start_offset));
        for OverdueRequest {
            connection,
            worker,
            reference,
            ..
        } in unsendable
        {
            let withdrawn = self.withdraw(now, &worker, connection, &reference, false);
            if let Some(CancelledRequest { request, .. }) = withdrawn {
                self.fail(&worker, request, SendFailure::NeverSent);
            }
        }
    }

    fn end_overdue_request(&mut self, now: Time, overdue: &OverdueRequest) {
        let OverdueRequest {
            connection,
            worker,
            reference,
            ..
        } = overdue;
        let cancelled = self.withdraw(now, worker, *connection, reference, self.cancel);
        let Some(CancelledRequest { request, not_sent }) = cancelled else {
            return;
        };
        let failure = if not_sent {
            SendFailure::Unreachable
        } else {
            SendFailure::TimedOut
        };
        self.fail(worker, request, failure);
    }

    /// Fails waiting requests that must not or cannot be sent any more. Those that have waited too long for a
    /// connection fail early enough for an attempt at another worker.
    fn expire_waiting(&mut self, now: Time) {
        for worker in &self.sweep_set {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            let (removed, lease_end) = (entry.removed, entry.lease_end);
            let max_wait = 2 * self.connect_timeout;
            entry.waiting.retain(|request| {
                let has_expired =
                    removed || now >= request.deadline || now >= request.began + max_wait;
                let failure = if request.must_not_be_sent(lease_end, now) {
                    Some(SendFailure::NeverSent)
                } else {
                    has_expired.then_some(SendFailure::Unreachable)
                };
                self.failures.extend(failure.map(|failure| FailedRequest {
                    worker: worker.clone(),
                    request: request.clone(),
                    failure,
                }));
                failure.is_none()
            });
        }
    }

    /// Closes connections that have been idle for too long, or whose worker has been removed or has another address.
    fn close_idle(&mut self, now: Time) {
        let idle_limit = self.idle_timeout.limit();
        let mut idle = Vec::new();
        for (id, connection) in &self.connections {
            let entry = self.workers.get(connection.worker());
            let is_outdated =
                entry.is_none_or(|entry| entry.removed || entry.address != connection.address());
            // Well before the worker would close the connection: a line that crosses the worker's close might be lost.
            let is_expired = self.worker_idle_timeout > 0
                && now >= connection.last_used() + self.worker_idle_timeout / 2
                || idle_limit.is_some_and(|limit| now >= connection.last_used() + limit);
            if connection.is_idle() && (is_outdated || is_expired) {
                idle.push(*id);
            }
        }
        for id in idle {
            self.close(now, id);
        }
    }

    /// Forgets removed workers without requests and connections, and takes those that need no further sweep out of the
    /// sweep set.
    fn forget_removed_workers(&mut self) {
        let workers = &mut self.workers;
        self.sweep_set.retain(|worker| {
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
