//! The clients' connections and their pending calls: when a call is rejected, and which connection is closed.

use std::collections::{BTreeMap, HashMap};

use pipithub_engine::Time;
use pipithub_platform::client::MAX_LINE_BYTES;
use pipithub_platform::line::LineFramer;

use crate::cancelled_work::CancelledWork;
use crate::effect::ConnectionId;
use crate::executed_calls::ExecutedCalls;

/// The maximum number of pending calls on one connection.
pub const MAX_PENDING_CALLS: usize = 32;
/// Once the fault score of a connection reaches this value, further calls on it are rejected, and it is closed after
/// its last answer. A valid call resets the score: a connection may be open for days, and occasional faults must not
/// accumulate.
const MAX_FAULT_SCORE: u32 = 32;
/// What a line that is not a valid request adds to the fault score.
pub const MALFORMED_LINE_SCORE: u32 = 8;
/// What a call beyond [`MAX_PENDING_CALLS`] adds to the fault score. It is small, because client and front end may
/// briefly disagree on which calls have ended.
pub const EXCESS_CALL_SCORE: u32 = 1;
/// A connection without pending calls is closed if no request comes on it for this long after it was established, or if
/// a line stays incomplete for this long, in nanoseconds: silent connections would otherwise use up all file
/// descriptors. The platform allows 3 s for this.
const SILENCE_TIMEOUT: Time = 2_000_000_000;

/// The state of one client's connection.
#[derive(Debug)]
pub struct ClientSession {
    /// Splits the received bytes into lines.
    pub framer: LineFramer,
    /// The JSON-RPC ids of the pending calls, each with the call's ticket.
    pub pending_calls: BTreeMap<u64, u64>,
    /// Whether the client has sent a valid call or health check.
    pub has_sent_request: bool,
    /// When the client connected, last sent an admitted call, a cancel or a health check, or last had a call end: the
    /// latest of these.
    pub last_active: Time,
    /// Since when the last line has been incomplete; `None` if it is complete.
    pub partial_line_since: Option<Time>,
    /// Whether further calls are rejected and the connection is closed once its pending calls are answered. Cancels and
    /// health checks are still handled.
    pub is_closing: bool,
    /// Whether a line was too long. What follows it cannot be split into lines and is ignored.
    pub unreadable: bool,
    /// The cancelled calls that workers may still work on.
    cancelled_work: CancelledWork,
    fault_score: u32,
}

/// A call that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCall {
    /// The connection on which the call came.
    pub connection: ConnectionId,
    /// The call's JSON-RPC id on that connection.
    pub id: u64,
    /// The call's name, which is unique among all pending calls.
    pub name: String,
    /// Whether running the call twice does harm.
    pub non_idempotent: bool,
    /// When the client gives up the call.
    pub timeout: Time,
}

/// Why a call is rejected without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallRejection {
    /// The connection has ended in the meantime; no answer is needed.
    #[error("the connection has ended")]
    Disconnected,
    /// Another call with the same id is pending on the connection.
    #[error("id: in use")]
    IdInUse,
    /// Another call with the same name is pending and may be running, so the answer must not say that the call did not
    /// run.
    #[error("call: open already")]
    AlreadyPending,
    /// An earlier call of the same name is not idempotent and may have run.
    #[error("call: has ended, and may have run")]
    MayHaveExecuted,
    /// The connection has [`MAX_PENDING_CALLS`] pending calls; this one has not run.
    #[error("too many calls open on this connection")]
    TooManyPending,
    /// Workers may still work on as many cancelled calls of this connection as are allowed; this one has not run.
    #[error("too many calls of this connection were cancelled and may still be at work")]
    TooManyCancelled,
    /// The connection is about to be closed because of earlier faults on it; this call has not run.
    #[error("this connection is about to be closed")]
    Closing,
}

/// All connected clients and their pending calls.
#[derive(Debug)]
pub struct ClientSessions {
    max_connections: usize,
    sessions: BTreeMap<ConnectionId, ClientSession>,
    pending_calls: BTreeMap<u64, PendingCall>,
    tickets: HashMap<String, u64>,
    executed_calls: ExecutedCalls,
    next_ticket: u64,
}

impl ClientSessions {
    /// Creates the state of a front end without clients. At most `max_connections` may be connected at the same time; 0
    /// counts as 1.
    pub fn new(max_connections: usize) -> Self {
        ClientSessions {
            max_connections: max_connections.max(1),
            sessions: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            tickets: HashMap::new(),
            executed_calls: ExecutedCalls::default(),
            next_ticket: 1,
        }
    }

    /// Adds a connection. If this exceeds the limit, returns the connection to close: the longest idle of the other
    /// connections that never sent a request; else the longest idle of the other connections without pending calls;
    /// else the new connection.
    pub fn connected(&mut self, now: Time, connection: ConnectionId) -> Option<ConnectionId> {
        let client = ClientSession {
            framer: LineFramer::new(MAX_LINE_BYTES),
            pending_calls: BTreeMap::new(),
            has_sent_request: false,
            last_active: now,
            partial_line_since: None,
            is_closing: false,
            unreadable: false,
            cancelled_work: CancelledWork::default(),
            fault_score: 0,
        };
        self.sessions.insert(connection, client);
        if self.sessions.len() <= self.max_connections {
            return None;
        }
        let idle = self
            .sessions
            .iter()
            .filter(|(id, c)| c.pending_calls.is_empty() && **id != connection);
        idle.min_by_key(|(_, c)| (c.has_sent_request, c.last_active))
            .map(|(id, _)| *id)
            .or(Some(connection))
    }

    /// The maximum number of connections at the same time.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The state of a connection; `None` if it has ended.
    pub fn client(&mut self, connection: ConnectionId) -> Option<&mut ClientSession> {
        self.sessions.get_mut(&connection)
    }

    /// The ids of all connections, in ascending order.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.sessions.keys().copied().collect()
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Remembers that the call of this name may have run and must not run again.
    pub(crate) fn record_executed(&mut self, call: &str) {
        self.executed_calls.record(call);
    }

    /// Checks whether a call with this id and name is admitted on a connection.
    ///
    /// # Errors
    /// [`CallRejection`] if the call is not admitted.
    pub(crate) fn check_call(
        &mut self,
        now: Time,
        connection: ConnectionId,
        id: u64,
        name: &str,
    ) -> Result<(), CallRejection> {
        let client = self
            .sessions
            .get_mut(&connection)
            .ok_or(CallRejection::Disconnected)?;
        if client.pending_calls.contains_key(&id) {
            return Err(CallRejection::IdInUse);
        }
        if self.tickets.contains_key(name) {
            return Err(CallRejection::AlreadyPending);
        }
        if self.executed_calls.contains(name) {
            return Err(CallRejection::MayHaveExecuted);
        }
        if client.pending_calls.len() >= MAX_PENDING_CALLS {
            return Err(CallRejection::TooManyPending);
        }
        if client.cancelled_work.is_full(now) {
            return Err(CallRejection::TooManyCancelled);
        }
        if client.is_closing {
            return Err(CallRejection::Closing);
        }
        Ok(())
    }

    /// Records a pending call, resets the fault score of its connection, and returns the call's ticket.
    pub fn begin_call(&mut self, pending: PendingCall) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if let Some(client) = self.sessions.get_mut(&pending.connection) {
            client.pending_calls.insert(pending.id, ticket);
            client.fault_score = 0;
        }
        self.tickets.insert(pending.name.clone(), ticket);
        self.pending_calls.insert(ticket, pending);
        ticket
    }

    /// Removes and returns a call that was answered or cancelled; `None` if it is not pending.
    pub fn end_call(&mut self, now: Time, ticket: u64) -> Option<PendingCall> {
        let pending = self.pending_calls.remove(&ticket)?;
        if self.tickets.get(&pending.name) == Some(&ticket) {
            self.tickets.remove(&pending.name);
        }
        if let Some(client) = self.sessions.get_mut(&pending.connection) {
            client.pending_calls.remove(&pending.id);
            client.last_active = now;
        }
        Some(pending)
    }

    /// Records that a cancelled call of a connection was sent to a worker, which may work on it until its timeout.
    pub(crate) fn record_cancelled_work(&mut self, call: &PendingCall) {
        if let Some(client) = self.sessions.get_mut(&call.connection) {
            client.cancelled_work.record(call.timeout);
        }
    }

    /// The ticket of a call that is pending on a connection, found by its name or else by its id; `None` if there is
    /// none.
    pub fn find_ticket(
        &self,
        connection: ConnectionId,
        id: Option<u64>,
        call: Option<&str>,
    ) -> Option<u64> {
        let by_call = call.and_then(|call| self.tickets.get(call)).copied();
        let by_call = by_call.filter(|t| {
            self.pending_calls
                .get(t)
                .is_some_and(|c| c.connection == connection)
        });
        by_call.or_else(|| {
            self.sessions
                .get(&connection)?
                .pending_calls
                .get(&id?)
                .copied()
        })
    }

    /// Adds to a connection's fault score; returns whether the connection must be closed, which is also the result if
    /// the connection has ended.
    pub fn add_fault_score(&mut self, connection: ConnectionId, score: u32) -> bool {
        self.sessions.get_mut(&connection).is_none_or(|client| {
            client.fault_score += score;
            client.fault_score >= MAX_FAULT_SCORE
        })
    }

    /// Removes a connection that has ended, with its pending calls; returns their tickets. Calls that are not
    /// idempotent are remembered as calls that may have run.
    pub fn disconnected(&mut self, connection: ConnectionId) -> Vec<u64> {
        let Some(client) = self.sessions.remove(&connection) else {
            return Vec::new();
        };
        let tickets: Vec<u64> = client.pending_calls.into_values().collect();
        for ticket in &tickets {
            let Some(pending) = self.pending_calls.remove(ticket) else {
                continue;
            };
            if self.tickets.get(&pending.name) == Some(ticket) {
                self.tickets.remove(&pending.name);
            }
            if pending.non_idempotent {
                self.record_executed(&pending.name);
            }
        }
        tickets
    }

    /// The connections without pending calls that have exceeded the [`SILENCE_TIMEOUT`].
    pub fn silent_connections(&self, now: Time) -> Vec<ConnectionId> {
        let has_timed_out = |since: Time| now >= since + SILENCE_TIMEOUT;
        let silent = |c: &ClientSession| {
            c.pending_calls.is_empty()
                && (!c.has_sent_request && has_timed_out(c.last_active)
                    || c.partial_line_since.is_some_and(has_timed_out))
        };
        self.sessions
            .iter()
            .filter(|(_, c)| silent(c))
            .map(|(id, _)| *id)
            .collect()
    }
}
