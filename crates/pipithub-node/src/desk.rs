//! Clients: their connections, what is open on each, and what makes one be turned away.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use pipithub_engine::Time;
use pipithub_platform::client::LINE_MOST;
use pipithub_platform::line::LineFramer;

use crate::effect::ConnectionId;

/// Calls that may be open on one connection.
pub const OPEN_MOST: usize = 32;
/// What a connection may ask amiss in a row, each time with an answer, before it is given up: it costs more than it is
/// worth. A proper call begins the count anew: connections live for days, and the odd slip must not add up on them.
const FAULTS_MOST: u32 = 32;
/// How much a faulty line counts.
pub const FAULTY: u32 = 8;
/// How much a call beyond those that may be open counts: client and front end may for a moment differ on what is over.
pub const BEYOND: u32 = 1;
/// A connection that has sent no whole line for so long after it was made, or holds one half sent for so long, is
/// closed, well before the 3 s within which the platform owes a bad client an end. Silent connections would else take
/// all descriptors.
const SILENT_MOST: Time = 2_000_000_000;

/// Ended calls that are remembered against repeats: some seconds of them at the most that a front end takes.
const RAN_MOST: usize = 4096;

/// One client's connection.
#[derive(Debug)]
pub struct Client {
    /// Cuts what it sends into lines.
    pub framer: LineFramer,
    /// Numbers of its open calls, with the ticket of each.
    pub open: BTreeMap<u64, u64>,
    /// It has sent a call that could be read.
    pub spoke: bool,
    /// The last time something whole came from it or went to it.
    pub active: Time,
    /// Since when a line is half sent.
    pub partial: Option<Time>,
    /// No call of it is begun any more; it is closed once all that came on it is answered.
    pub condemned: bool,
    /// Its bytes cannot be cut into lines any more.
    pub unreadable: bool,
    faults: u32,
}

/// An open call: whose it is and what it is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The connection.
    pub connection: ConnectionId,
    /// Its number there.
    pub id: u64,
    /// Its name.
    pub call: String,
    /// It must not run twice.
    pub once: bool,
}

/// All clients.
#[derive(Debug)]
pub struct Desk {
    most: usize,
    clients: BTreeMap<ConnectionId, Client>,
    callers: BTreeMap<u64, Caller>,
    calls: HashMap<String, u64>,
    /// Calls that must not run twice and may have run, each until when it is remembered; and in that order.
    ran: HashSet<String>,
    ran_order: VecDeque<(Time, String)>,
    next: u64,
}

impl Desk {
    /// At most so many connections.
    pub fn new(most: usize) -> Self {
        Desk {
            most: most.max(1),
            clients: BTreeMap::new(),
            callers: BTreeMap::new(),
            calls: HashMap::new(),
            ran: HashSet::new(),
            ran_order: VecDeque::new(),
            next: 1,
        }
    }

    /// A connection came. Where there are too many, the one to close for it: one that never asked for anything before
    /// one that did, the longest idle of them; the newcomer itself where calls are open on all.
    pub fn opened(&mut self, now: Time, connection: ConnectionId) -> Option<ConnectionId> {
        let client = Client {
            framer: LineFramer::new(LINE_MOST),
            open: BTreeMap::new(),
            spoke: false,
            active: now,
            partial: None,
            condemned: false,
            unreadable: false,
            faults: 0,
        };
        self.clients.insert(connection, client);
        if self.clients.len() <= self.most {
            return None;
        }
        let idle = self
            .clients
            .iter()
            .filter(|(id, c)| c.open.is_empty() && **id != connection);
        idle.min_by_key(|(_, c)| (c.spoke, c.active))
            .map(|(id, _)| *id)
            .or(Some(connection))
    }

    /// Connections that there may be.
    pub fn most(&self) -> usize {
        self.most
    }

    /// The client of a connection.
    pub fn client(&mut self, connection: ConnectionId) -> Option<&mut Client> {
        self.clients.get_mut(&connection)
    }

    /// The numbers of all connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.clients.keys().copied().collect()
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Whether a call of this name is open here, from whomever.
    pub fn knows(&self, call: &str) -> bool {
        self.calls.contains_key(call)
    }

    /// Remembers a call that has ended, may have run and must not run again, until the given time.
    pub fn note(&mut self, until: Time, call: &str) {
        if self.ran_order.len() >= RAN_MOST
            && let Some((_, oldest)) = self.ran_order.pop_front()
        {
            self.ran.remove(&oldest);
        }
        if self.ran.insert(call.to_string()) {
            self.ran_order.push_back((until, call.to_string()));
        }
    }

    /// Whether a call of this name has ended here lately, may have run and must not run again.
    pub fn may_have_run(&mut self, now: Time, call: &str) -> bool {
        while self
            .ran_order
            .front()
            .is_some_and(|(until, _)| *until < now)
        {
            if let Some((_, oldest)) = self.ran_order.pop_front() {
                self.ran.remove(&oldest);
            }
        }
        self.ran.contains(call)
    }

    /// Notes a call; its ticket.
    pub fn begin(&mut self, caller: Caller) -> u64 {
        let ticket = self.next;
        self.next += 1;
        if let Some(client) = self.clients.get_mut(&caller.connection) {
            client.open.insert(caller.id, ticket);
            client.faults = 0;
        }
        self.calls.insert(caller.call.clone(), ticket);
        self.callers.insert(ticket, caller);
        ticket
    }

    /// Takes a call out, as it is answered or not waited for any more.
    pub fn end(&mut self, now: Time, ticket: u64) -> Option<Caller> {
        let caller = self.callers.remove(&ticket)?;
        if self.calls.get(&caller.call) == Some(&ticket) {
            self.calls.remove(&caller.call);
        }
        if let Some(client) = self.clients.get_mut(&caller.connection) {
            client.open.remove(&caller.id);
            client.active = now;
        }
        Some(caller)
    }

    /// The ticket of a call on a connection, by its number there or by its name.
    pub fn find(
        &self,
        connection: ConnectionId,
        id: Option<u64>,
        call: Option<&str>,
    ) -> Option<u64> {
        let by_call = call.and_then(|call| self.calls.get(call)).copied();
        let by_call = by_call.filter(|t| {
            self.callers
                .get(t)
                .is_some_and(|c| c.connection == connection)
        });
        by_call.or_else(|| self.clients.get(&connection)?.open.get(&id?).copied())
    }

    /// Counts what was asked amiss; whether the connection is to be given up for it.
    pub fn fault(&mut self, connection: ConnectionId, counts: u32) -> bool {
        self.clients.get_mut(&connection).is_none_or(|client| {
            client.faults += counts;
            client.faults >= FAULTS_MOST
        })
    }

    /// A connection has ended; the tickets that were open on it, none of them owed an answer any more. What of it must not
    /// run twice is remembered until the given time.
    pub fn closed(&mut self, connection: ConnectionId, until: Time) -> Vec<u64> {
        let Some(client) = self.clients.remove(&connection) else {
            return Vec::new();
        };
        let tickets: Vec<u64> = client.open.into_values().collect();
        for ticket in &tickets {
            let Some(caller) = self.callers.remove(ticket) else {
                continue;
            };
            if self.calls.get(&caller.call) == Some(ticket) {
                self.calls.remove(&caller.call);
            }
            if caller.once {
                self.note(until, &caller.call);
            }
        }
        tickets
    }

    /// Connections that hold a descriptor for nothing.
    pub fn silent(&self, now: Time) -> Vec<ConnectionId> {
        let over = |since: Time| now >= since + SILENT_MOST;
        let silent = |c: &Client| {
            c.open.is_empty() && (!c.spoke && over(c.active) || c.partial.is_some_and(over))
        };
        self.clients
            .iter()
            .filter(|(_, c)| silent(c))
            .map(|(id, _)| *id)
            .collect()
    }
}
