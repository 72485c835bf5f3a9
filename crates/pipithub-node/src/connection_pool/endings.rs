//! How connections and requests end: by failures, answers, cancellation and withdrawal.

use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};

use super::connection::{CancelStep, Connection, Withdrawn};
use super::request::{
    AnsweredRequest, CancelResult, CancelledRequest, RequestKind, SendFailure, WorkerRequest,
};
use super::{ConnectionPool, MAX_WAITING};
use crate::effect::{ConnectionId, Effect};

/// How many times a request that did not arrive completely is written again, on another connection.
const MAX_REWRITES: u32 = 2;

/// The connection on which an attempt is in flight, and the reference of the attempt's request there.
struct SentAttempt {
    connection: ConnectionId,
    reference: String,
}

impl ConnectionPool {
    /// Records that a connection could not be established, and fails the requests that waited for it; they were not
    /// sent. `local_fault` means that this machine lacked a resource, so that the worker is not at fault.
    pub fn connect_failed(&mut self, id: ConnectionId, local_fault: bool) {
        let Some(worker) = self
            .remove_connection(id)
            .map(|connection| connection.worker().clone())
        else {
            return;
        };
        let failure = if local_fault {
            SendFailure::NeverSent
        } else {
            SendFailure::Unreachable
        };
        for request in self.take_excess_waiting(&worker) {
            self.fail(&worker, request, failure);
        }
    }

    /// Removes and returns the waiting requests for which no connection is being established any more, the oldest
    /// first.
    fn take_excess_waiting(&mut self, worker: &WorkerId) -> Vec<WorkerRequest> {
        let Some(entry) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        // Each connection that is being established serves one waiting request.
        let connecting = entry
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| !connection.is_established())
            .count();
        let excess = entry.waiting.len().saturating_sub(connecting);
        entry.waiting.drain(..excess).collect()
    }

    /// Removes a connection from the pool and from its worker; `None` if the connection or the worker is not known.
    fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        let entry = self.workers.get_mut(connection.worker())?;
        entry.connections.retain(|other| *other != id);
        Some(connection)
    }

    /// Records an answer and returns the request that it ends; `None` if no request with this reference is in flight,
    /// as with a duplicate answer.
    pub fn answered(
        &mut self,
        now: Time,
        id: ConnectionId,
        reference: &str,
    ) -> Option<AnsweredRequest> {
        let connection = self.connections.get_mut(&id)?;
        let in_flight = connection.answered(now, reference)?;
        let worker = connection.worker().clone();
        let connected_at = connection.established_at();
        if let Some(idle) = in_flight.idle_before() {
            self.idle_timeout.record_use(now, idle, false);
        }
        self.close_if_finished(now, id);
        self.dispatch(now, &worker);
        Some(AnsweredRequest {
            worker,
            request: in_flight.into_request(),
            connected_at,
        })
    }

    /// The worker of an established connection without requests in flight; `None` if a request is in flight, or if the
    /// connection is not established or has ended.
    pub fn worker_of_idle(&self, id: ConnectionId) -> Option<WorkerId> {
        let connection = self.connections.get(&id)?;
        connection.is_idle().then(|| connection.worker().clone())
    }

    /// Records that a connection has ended or is being closed. `written` is the number of bytes that the operating
    /// system has accepted on it: a request that was not written completely never arrived and is sent again on another
    /// connection; the other requests fail with `failure`.
    pub fn closed(&mut self, now: Time, id: ConnectionId, written: u64, failure: SendFailure) {
        let Some(connection) = self.remove_connection(id) else {
            return;
        };
        let worker = connection.worker().clone();
        let mut unsent = Vec::new();
        for in_flight in connection.into_in_flight() {
            if let Some(idle) = in_flight.idle_before() {
                self.idle_timeout
                    .record_use(now, idle, failure == SendFailure::ConnectionLost);
            }
            if in_flight.is_written(written) {
                self.fail(&worker, in_flight.into_request(), failure);
            } else {
                unsent.push(in_flight.into_request());
            }
        }
        self.resend(now, &worker, unsent);
    }

    /// Queues requests that did not arrive completely for another connection, up to [`MAX_REWRITES`] times each.
    fn resend(&mut self, now: Time, worker: &WorkerId, requests: Vec<WorkerRequest>) {
        for mut request in requests {
            let waiting = self.workers.get_mut(worker).map(|entry| &mut entry.waiting);
            match waiting.filter(|waiting| waiting.len() < MAX_WAITING) {
                _ if request.abandoned => {
                    self.fail(worker, request, SendFailure::NeverSent);
                }
                Some(waiting) if request.rewrites < MAX_REWRITES => {
                    request.rewrites += 1;
                    waiting.push_back(request);
                    self.sweep_set.insert(worker.clone());
                }
                _ => self.fail(worker, request, SendFailure::Unreachable),
            }
        }
        self.dispatch(now, worker);
    }

    /// Removes a request from its connection; see [`Connection::withdraw`].
    pub(super) fn withdraw(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: ConnectionId,
        reference: &str,
        cancel: bool,
    ) -> Option<CancelledRequest> {
        let connection = self.connections.get_mut(&id)?;
        let withdrawn = connection.withdraw(reference, cancel)?;
        Some(self.end_withdrawn(now, worker, id, withdrawn))
    }

    /// Ends a request that was removed from its connection.
    fn end_withdrawn(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: ConnectionId,
        withdrawn: Withdrawn,
    ) -> CancelledRequest {
        let Withdrawn {
            request,
            not_sent,
            displaced,
            effect,
        } = withdrawn;
        self.effects.extend(effect);
        if !displaced.is_empty() {
            self.resend(now, worker, displaced);
        }
        self.close_if_finished(now, id);
        CancelledRequest { request, not_sent }
    }

    /// Closes a sealed connection on which no request awaits an answer any more.
    fn close_if_finished(&mut self, now: Time, id: ConnectionId) {
        if self
            .connections
            .get(&id)
            .is_some_and(Connection::is_finished)
        {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, SendFailure::Cancelled);
        }
    }

    /// Closes a connection that carries no request.
    pub(super) fn close(&mut self, now: Time, id: ConnectionId) {
        self.effects.push(Effect::Close { connection: id });
        self.closed(now, id, u64::MAX, SendFailure::ConnectionLost);
    }

    /// Closes a connection on which a malformed answer came. Lines that the shell has not taken yet were not sent and
    /// must not count as run: non-idempotent calls would fail needlessly.
    pub fn close_malformed(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let mut handed_over = connection.queued_bytes();
        self.effects.retain(|effect| match effect {
            Effect::Write {
                connection: on,
                bytes,
            } if *on == id => {
                handed_over -= bytes.len() as u64;
                false
            }
            _ => true,
        });
        self.effects.push(Effect::Close { connection: id });
        self.closed(now, id, handed_over, SendFailure::Malformed);
    }

    /// Cancels an attempt. If it remains in flight, its end follows as an answer or among the failures.
    pub fn cancel(&mut self, now: Time, worker: &WorkerId, attempt: AttemptId) -> CancelResult {
        if let Some(request) = self.take_waiting(worker, attempt) {
            return CancelResult::Ended(Box::new(CancelledRequest {
                request,
                not_sent: true,
            }));
        }
        let Some(sent) = self.find_attempt(worker, attempt) else {
            return CancelResult::Unknown;
        };
        let id = sent.connection;
        let may_cancel = self.cancel;
        let connection = self.connections.get_mut(&id);
        let step = connection.and_then(|connection| connection.cancel(&sent.reference, may_cancel));
        match step {
            Some(CancelStep::Withdrawn(withdrawn)) => {
                let cancelled = self.end_withdrawn(now, worker, id, *withdrawn);
                CancelResult::Ended(Box::new(cancelled))
            }
            Some(CancelStep::Pending(effect)) => {
                self.effects.extend(effect);
                self.close_if_finished(now, id);
                CancelResult::Pending
            }
            None => CancelResult::Unknown,
        }
    }

    /// Records that the answer to an attempt is no longer awaited; the worker is not asked to cancel it. Returns the
    /// request of the attempt if it was not sent completely; otherwise `None`: the attempt goes on, but is not sent
    /// again if its connection ends.
    pub fn abandon(
        &mut self,
        now: Time,
        worker: &WorkerId,
        attempt: AttemptId,
    ) -> Option<WorkerRequest> {
        if let Some(request) = self.take_waiting(worker, attempt) {
            return Some(request);
        }
        let sent = self.find_attempt(worker, attempt)?;
        let connection = self.connections.get_mut(&sent.connection)?;
        if !connection.abandon(&sent.reference) {
            return None;
        }
        self.withdraw(now, worker, sent.connection, &sent.reference, false)
            .map(|cancelled| cancelled.request)
    }

    fn take_waiting(&mut self, worker: &WorkerId, attempt: AttemptId) -> Option<WorkerRequest> {
        let waiting = &mut self.workers.get_mut(worker)?.waiting;
        let at = waiting
            .iter()
            .position(|request| request.kind == RequestKind::Attempt(attempt))?;
        waiting.remove(at)
    }

    fn find_attempt(&self, worker: &WorkerId, attempt: AttemptId) -> Option<SentAttempt> {
        let connections = &self.workers.get(worker)?.connections;
        connections.iter().find_map(|id| {
            let reference = self.connections.get(id)?.reference_of(attempt)?;
            Some(SentAttempt {
                connection: *id,
                reference: reference.to_string(),
            })
        })
    }
}
