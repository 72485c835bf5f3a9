//! Connections of clients, their pending calls, and when a connection is closed or a call rejected.

use std::collections::{BTreeMap, HashMap};

use pipithub_engine::Time;
use pipithub_platform::client::MAX_LINE_BYTES;
use pipithub_platform::line::LineFramer;

use crate::effect::ConnectionId;
use crate::executed_calls::ExecutedCalls;

/// Calls that may be open on one connection.
pub const MAX_PENDING_CALLS: usize = 32;
/// Once its faults in a row add up to this, a connection is no longer read and is closed after its last answer. A
/// proper call resets the score: connections live for days, and occasional mistakes must not add up on them.
const MAX_FAULT_SCORE: u32 = 32;
/// What a line that is no request adds to the score.
pub const MALFORMED_LINE_SCORE: u32 = 8;
/// What a call above [`MAX_PENDING_CALLS`] adds: client and front end may briefly differ on which calls have ended.
pub const EXCESS_CALL_SCORE: u32 = 1;
/// A connection that has sent no whole line for so long after it was made, or holds one half sent for so long, is
/// closed, well before the 3 s within which the platform owes a bad client an end. Silent connections would else take
/// all descriptors.
const SILENCE_TIMEOUT: Time = 2_000_000_000;

/// One client's connection.
#[derive(Debug)]
pub struct ClientSession {
    /// Cuts what it sends into lines.
    pub framer: LineFramer,
    /// Numbers of its open calls, with the ticket of each.
    pub pending_calls: BTreeMap<u64, u64>,
    /// It has sent a call that could be read.
    pub has_called: bool,
    /// The last time something whole came from it or went to it.
    pub last_active: Time,
    /// Since when a line is half sent.
    pub partial_line_since: Option<Time>,
    /// No call of it is begun any more; it is closed once all that came on it is answered.
    pub reading_stopped: bool,
    /// Its bytes cannot be cut into lines any more.
    pub unreadable: bool,
    fault_score: u32,
}

/// An open call: whose it is and what it is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCall {
    /// The connection.
    pub connection: ConnectionId,
    /// Its number there.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// It must not run twice.
    pub non_idempotent: bool,
}

/// Why a call is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallRejection {
    /// The connection has ended meanwhile; nobody waits for an answer.
    #[error("the connection has ended")]
    Disconnected,
    /// A pending call of the connection bears its number.
    #[error("id: in use")]
    IdInUse,
    /// A pending call bears its name. That one may be running: to call a retry harmless would be wrong.
    #[error("call: open already")]
    AlreadyPending,
    /// It must not run twice, and an earlier call of its name may have run.
    #[error("call: has ended, and may have run")]
    MayHaveExecuted,
    /// The client may count a call as over whose end has not come here yet; this one has not run.
    #[error("too many calls open on this connection")]
    TooManyPending,
    /// The client has sent too much that cannot be used; this call has not run.
    #[error("this connection is about to be closed")]
    ReadingStopped,
}

/// All clients.
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
    /// At most so many connections.
    pub fn new(most: usize) -> Self {
        ClientSessions {
            max_connections: most.max(1),
            sessions: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            tickets: HashMap::new(),
            executed_calls: ExecutedCalls::default(),
            next_ticket: 1,
        }
    }

    /// A connection came. Where there are too many, the one to close for it: one that never asked for anything before
    /// one that did, the longest idle of them; the newcomer itself where calls are open on all.
    pub fn connected(&mut self, now: Time, connection: ConnectionId) -> Option<ConnectionId> {
        let client = ClientSession {
            framer: LineFramer::new(MAX_LINE_BYTES),
            pending_calls: BTreeMap::new(),
            has_called: false,
            last_active: now,
            partial_line_since: None,
            reading_stopped: false,
            unreadable: false,
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
        idle.min_by_key(|(_, c)| (c.has_called, c.last_active))
            .map(|(id, _)| *id)
            .or(Some(connection))
    }

    /// Connections that there may be.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The client of a connection.
    pub fn client(&mut self, connection: ConnectionId) -> Option<&mut ClientSession> {
        self.sessions.get_mut(&connection)
    }

    /// The numbers of all connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.sessions.keys().copied().collect()
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Remembers a call that may have run and must not run again, until the given time.
    pub(crate) fn record_executed(&mut self, until: Time, call: &str) {
        self.executed_calls.record(until, call);
    }

    /// Whether a call of this number and name may begin on a connection.
    ///
    /// # Errors
    /// [`CallRejection`] says why not.
    pub(crate) fn check_call(
        &mut self,
        now: Time,
        connection: ConnectionId,
        id: u64,
        name: &str,
    ) -> Result<(), CallRejection> {
        let client = self
            .sessions
            .get(&connection)
            .ok_or(CallRejection::Disconnected)?;
        if client.pending_calls.contains_key(&id) {
            return Err(CallRejection::IdInUse);
        }
        if self.tickets.contains_key(name) {
            return Err(CallRejection::AlreadyPending);
        }
        if self.executed_calls.contains(now, name) {
            return Err(CallRejection::MayHaveExecuted);
        }
        if client.pending_calls.len() >= MAX_PENDING_CALLS {
            return Err(CallRejection::TooManyPending);
        }
        if client.reading_stopped {
            return Err(CallRejection::ReadingStopped);
        }
        Ok(())
    }

    /// Records a pending call and returns its ticket.
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

    /// Takes a call out, as it is answered or not waited for any more.
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

    /// The ticket of a call on a connection, by its number there or by its name.
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

    /// Adds to a connection's fault score; returns whether the connection must no longer be read.
    pub fn add_fault_score(&mut self, connection: ConnectionId, counts: u32) -> bool {
        self.sessions.get_mut(&connection).is_none_or(|client| {
            client.fault_score += counts;
            client.fault_score >= MAX_FAULT_SCORE
        })
    }

    /// A connection has ended; the tickets that were open on it, none of them owed an answer any more. What of it must
    /// not run twice is remembered until the given time.
    pub fn disconnected(&mut self, connection: ConnectionId, until: Time) -> Vec<u64> {
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
                self.record_executed(until, &pending.name);
            }
        }
        tickets
    }

    /// Connections that have sent no call, or half a line, for longer than [`SILENCE_TIMEOUT`].
    pub fn silent_connections(&self, now: Time) -> Vec<ConnectionId> {
        let over = |since: Time| now >= since + SILENCE_TIMEOUT;
        let silent = |c: &ClientSession| {
            c.pending_calls.is_empty()
                && (!c.has_called && over(c.last_active) || c.partial_line_since.is_some_and(over))
        };
        self.sessions
            .iter()
            .filter(|(_, c)| silent(c))
            .map(|(id, _)| *id)
            .collect()
    }
}
