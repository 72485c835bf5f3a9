//! Connections that end, and requests that are withdrawn from theirs.

use pipithub_engine::policy::WorkerId;
use pipithub_engine::{AttemptId, Time};

use super::connection::{InFlight, Progress, Withdrawn};
use super::request::{
    AnsweredRequest, CancelledRequest, FailedRequest, RequestKind, SendFailure, WorkerRequest,
};
use super::{ConnectionPool, MAX_WAITING};
use crate::effect::{ConnectionId, Effect};

/// How often what never arrived is written again, on another connection.
const MAX_REWRITES: u32 = 2;

/// An attempt that was put on a connection.
struct SentAttempt {
    connection: ConnectionId,
    /// The request's name on that connection.
    name: String,
}

impl ConnectionPool {
    /// A connection could not be established: nothing that waits for it was sent. `local_fault`: because this machine
    /// lacked a resource, so that the worker is not at fault.
    pub fn connect_failed(&mut self, id: ConnectionId, local_fault: bool) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let Some(entry) = self.workers.get_mut(&connection.worker) else {
            return;
        };
        entry.connections.retain(|other| *other != id);
        // Others may still come up; each stands for one request.
        let coming = entry
            .connections
            .iter()
            .filter(|id| self.connections.get(id).is_some_and(|l| !l.established))
            .count();
        while entry.waiting.len() > coming {
            let Some(request) = entry.waiting.pop_front() else {
                break;
            };
            let failure = if local_fault {
                SendFailure::NeverSent
            } else {
                SendFailure::Unreachable
            };
            self.failures.push(FailedRequest {
                worker: connection.worker.clone(),
                request,
                failure,
            });
        }
    }

    /// An answer came: the request that it ends. `None` where nothing of this name is open, as with a second copy.
    pub fn answered(
        &mut self,
        now: Time,
        id: ConnectionId,
        reference: &str,
    ) -> Option<AnsweredRequest> {
        let connection = self.connections.get_mut(&id)?;
        let InFlight { request, idle, .. } = connection.in_flight.remove(reference)?;
        connection.last_used = now;
        if matches!(request.kind, RequestKind::Attempt(_)) {
            connection.remember_reference(reference);
        }
        if let Some(idle) = idle {
            self.idle_timeout.record_use(now, idle, false);
        }
        let worker = connection.worker.clone();
        self.close_sealed(now, id);
        self.dispatch(now, &worker);
        Some(AnsweredRequest { worker, request })
    }

    /// A connection has ended, or is ended for what came on it. `written`: the bytes that the system took; what it did
    /// not take whole never arrived and goes out again on another connection.
    pub fn closed(&mut self, now: Time, id: ConnectionId, written: u64, how: SendFailure) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let Some(entry) = self.workers.get_mut(&connection.worker) else {
            return;
        };
        entry.connections.retain(|other| *other != id);
        let mut unsent = Vec::new();
        for InFlight {
            request,
            end_offset,
            idle,
            ..
        } in connection.in_flight.into_values()
        {
            if let Some(idle) = idle {
                self.idle_timeout
                    .record_use(now, idle, how == SendFailure::ConnectionLost);
            }
            if end_offset <= written {
                self.fail(&connection.worker, request, how);
            } else {
                unsent.push(request);
            }
        }
        self.resend(now, &connection.worker, unsent);
    }

    /// Has requests that never arrived whole wait for another connection, as often as that may be tried.
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
                    self.watched.insert(worker.clone());
                }
                _ => self.fail(worker, request, SendFailure::Unreachable),
            }
        }
        self.dispatch(now, worker);
    }

    /// Takes an attempt's request off its connection; see [`Connection::give_up`].
    pub(super) fn give_up(
        &mut self,
        now: Time,
        worker: &WorkerId,
        id: ConnectionId,
        name: &str,
        cancel: bool,
    ) -> Option<CancelledRequest> {
        let connection = self.connections.get_mut(&id)?;
        let Withdrawn {
            request,
            not_sent,
            displaced,
        } = connection.give_up(id, name, cancel, &mut self.effects)?;
        if !displaced.is_empty() {
            self.resend(now, worker, displaced);
        }
        self.close_sealed(now, id);
        Some(CancelledRequest { request, not_sent })
    }

    /// Closes a sealed connection that carries nothing any more.
    fn close_sealed(&mut self, now: Time, id: ConnectionId) {
        if self
            .connections
            .get(&id)
            .is_some_and(|l| l.sealed && l.in_flight.is_empty())
        {
            self.effects.push(Effect::Close { connection: id });
            self.closed(now, id, u64::MAX, SendFailure::ConnectionLost);
        }
    }

    /// What came on a connection cannot be read: it is closed. What the shell was not handed yet did not leave, and
    /// must not count as run: a non-idempotent call would fail without need.
    pub fn close_malformed(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let mut handed = connection.queued_bytes;
        self.effects.retain(|effect| match effect {
            Effect::Write {
                connection: on,
                bytes,
            } if *on == id => {
                handed -= bytes.len() as u64;
                false
            }
            _ => true,
        });
        self.effects.push(Effect::Close { connection: id });
        self.closed(now, id, handed, SendFailure::Malformed);
    }

    /// Withdraws an attempt: its request, and whether it is certain that it was not sent.
    pub fn cancel(
        &mut self,
        now: Time,
        worker: &WorkerId,
        attempt: AttemptId,
    ) -> Option<CancelledRequest> {
        if let Some(request) = self.take_waiting(worker, attempt) {
            return Some(CancelledRequest {
                request,
                not_sent: true,
            });
        }
        let sent = self.find_attempt(worker, attempt)?;
        self.give_up(now, worker, sent.connection, &sent.name, self.cancel)
    }

    /// Nobody waits for an attempt any more, whatever the settings say of cancelling: it is given back if it has not
    /// left whole, and is not written again if its connection ends.
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
        connection.in_flight.get_mut(&sent.name)?.request.abandoned = true;
        if matches!(
            connection.progress(connection.in_flight.get(&sent.name)?),
            Progress::Whole
        ) {
            return None;
        }
        self.give_up(now, worker, sent.connection, &sent.name, false)
            .map(|cancelled| cancelled.request)
    }

    fn take_waiting(&mut self, worker: &WorkerId, attempt: AttemptId) -> Option<WorkerRequest> {
        let waiting = &mut self.workers.get_mut(worker)?.waiting;
        let at = waiting
            .iter()
            .position(|request| request.kind == RequestKind::Attempt(attempt))?;
        waiting.remove(at)
    }

    /// Where an attempt was put on a connection, if it was.
    fn find_attempt(&self, worker: &WorkerId, attempt: AttemptId) -> Option<SentAttempt> {
        self.workers.get(worker)?.connections.iter().find_map(|id| {
            let in_flight = &self.connections.get(id)?.in_flight;
            let (name, _) = in_flight
                .iter()
                .find(|(_, c)| c.request.kind == RequestKind::Attempt(attempt))?;
            Some(SentAttempt {
                connection: *id,
                name: name.clone(),
            })
        })
    }
}
