//! The client side: connections, their lines, and the answers to their calls.

use std::collections::BTreeSet;

use bytes::Bytes;
use pipithub_engine::Time;
use pipithub_platform::client::{self, ClientLine, Fault};
use tracing::debug;

use super::Core;
use crate::desk::FAULTY;
use crate::effect::{ConnectionId, Effect};

impl Core {
    /// A client has connected.
    pub fn client_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(other) = self.desk.opened(now, connection) {
            debug!(
                front_end = self.name,
                connection = other,
                "too many clients"
            );
            self.effects.push(Effect::Retire { connection: other });
        }
    }

    /// All that a client has sent by now is handed over: its connection is closed, unless that was a request.
    pub fn close_client_if_idle(&mut self, now: Time, connection: ConnectionId) {
        if self
            .desk
            .client(connection)
            .is_some_and(|c| c.open.is_empty())
        {
            debug!(front_end = self.name, connection, "client closed");
            self.drop_client(now, connection);
        }
    }

    /// A client's connection has ended.
    pub fn client_closed(&mut self, now: Time, connection: ConnectionId) {
        let tickets = self.desk.closed(connection, now + self.give_up_most);
        if !tickets.is_empty() {
            debug!(
                front_end = self.name,
                connection,
                open = tickets.len(),
                "client has left calls open"
            );
        }
        for ticket in tickets {
            self.left(now, ticket);
        }
    }

    fn drop_client(&mut self, now: Time, connection: ConnectionId) {
        self.effects.push(Effect::Close { connection });
        self.client_closed(now, connection);
    }

    /// Bytes came from a client.
    pub fn client_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self.desk.client(connection).filter(|c| !c.unreadable) else {
            return;
        };
        client.framer.push(bytes);
        let mut lines = Vec::new();
        let long = loop {
            match client.framer.next_line() {
                Ok(Some(line)) => lines.push(client::read(&line, &self.site)),
                Ok(None) => break None,
                Err(long) => break Some(long),
            }
        };
        let partial = client.framer.partial();
        client.partial = if partial {
            client.partial.filter(|_| lines.is_empty()).or(Some(now))
        } else {
            None
        };
        // What was asked and taken back in one breath has nobody who waits for it: it is not begun.
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for line in &lines {
            if let Ok(ClientLine::Forget { id, call }) = line {
                ids.extend(*id);
                names.extend(call.clone());
            }
        }
        for line in lines {
            match line {
                Ok(ClientLine::Call(call))
                    if ids.contains(&call.id) || names.contains(&call.call) =>
                {
                    debug!(
                        front_end = self.name,
                        connection,
                        call = call.call,
                        "forgotten before it began"
                    );
                }
                line => self.client_line(now, connection, line),
            }
        }
        if let (Some(long), Some(client)) = (long, self.desk.client(connection)) {
            client.unreadable = true;
            let fault = Fault {
                id: None,
                code: client::PARSE,
                message: long.to_string(),
            };
            self.fault(connection, &fault);
        }
    }

    fn client_line(
        &mut self,
        now: Time,
        connection: ConnectionId,
        line: Result<ClientLine, Fault>,
    ) {
        let Some(client) = self.desk.client(connection) else {
            return;
        };
        match line {
            Ok(ClientLine::Call(call)) => self.call(now, connection, *call),
            Ok(ClientLine::Forget { id, call }) => {
                client.active = now;
                if let Some(ticket) = self.desk.find(connection, id, call.as_deref()) {
                    if let Some(caller) = self.desk.end(now, ticket).filter(|c| c.once) {
                        self.desk.note(now + self.give_up_most, &caller.call);
                    }
                    self.left(now, ticket);
                    self.retire_condemned(connection);
                }
            }
            Ok(ClientLine::IsWell { id }) => {
                (client.active, client.spoke) = (now, true);
                let healthy = self.listed && self.stopping.is_none();
                self.write(connection, client::health(id, healthy));
            }
            // Noise on a connection that is given up has been answered once.
            Err(fault) if fault.id.is_none() && client.condemned => {}
            Err(fault) => self.fault(connection, &fault),
        }
    }

    /// Answers what is no call. What bears no number cannot be told from noise, and what follows noise cannot be trusted.
    pub(super) fn fault(&mut self, connection: ConnectionId, fault: &Fault) {
        debug!(front_end = self.name, connection, %fault, "no call");
        // An answer under the number of an open call would be taken for that call's.
        let open = self
            .desk
            .client(connection)
            .is_some_and(|c| fault.id.is_some_and(|id| c.open.contains_key(&id)));
        let id = fault.id.filter(|_| !open);
        self.write(
            connection,
            client::error(id, fault.code, &fault.message, None),
        );
        if self.desk.fault(connection, FAULTY) || id.is_none() {
            self.give_up(connection);
        }
    }

    /// Begins no further call of a client, and closes its connection once all that came on it is answered.
    pub(super) fn give_up(&mut self, connection: ConnectionId) {
        let Some(client) = self.desk.client(connection).filter(|c| !c.condemned) else {
            return;
        };
        client.condemned = true;
        debug!(
            front_end = self.name,
            connection,
            open = client.open.len(),
            "client given up"
        );
        self.retire_condemned(connection);
    }

    /// Has the shell look once more at a client that is given up and has no call open, and then close it.
    pub(super) fn retire_condemned(&mut self, connection: ConnectionId) {
        if self
            .desk
            .client(connection)
            .is_some_and(|c| c.condemned && c.open.is_empty())
        {
            self.effects.push(Effect::Retire { connection });
        }
    }

    pub(super) fn write(&mut self, connection: ConnectionId, bytes: Bytes) {
        self.effects.push(Effect::Write { connection, bytes });
    }
}
