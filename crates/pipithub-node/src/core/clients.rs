//! The client side: connections, their lines, and the answers to their calls.

use std::collections::BTreeSet;

use bytes::Bytes;
use pipithub_engine::Time;
use pipithub_platform::client::{self, ClientLine, RequestError};
use tracing::debug;

use super::Core;
use crate::client_sessions::MALFORMED_LINE_SCORE;
use crate::effect::{ConnectionId, Effect};

impl Core {
    /// A client has connected.
    pub fn client_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(other) = self.client_sessions.connected(now, connection) {
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
            .client_sessions
            .client(connection)
            .is_some_and(|c| c.pending_calls.is_empty())
        {
            debug!(front_end = self.name, connection, "client closed");
            self.close_client(now, connection);
        }
    }

    /// A client's connection has ended.
    pub fn client_closed(&mut self, now: Time, connection: ConnectionId) {
        let tickets = self
            .client_sessions
            .disconnected(connection, now + self.max_client_timeout);
        if !tickets.is_empty() {
            debug!(
                front_end = self.name,
                connection,
                open = tickets.len(),
                "client has left calls open"
            );
        }
        for ticket in tickets {
            self.cancel_call(now, ticket);
        }
    }

    fn close_client(&mut self, now: Time, connection: ConnectionId) {
        self.effects.push(Effect::Close { connection });
        self.client_closed(now, connection);
    }

    /// Bytes came from a client.
    pub fn client_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self
            .client_sessions
            .client(connection)
            .filter(|c| !c.unreadable)
        else {
            return;
        };
        client.framer.push(bytes);
        let mut lines = Vec::new();
        let long = loop {
            match client.framer.next_line() {
                Ok(Some(line)) => lines.push(client::read_line(&line, &self.site)),
                Ok(None) => break None,
                Err(long) => break Some(long),
            }
        };
        let partial = client.framer.partial();
        client.partial_line_since = if partial {
            client
                .partial_line_since
                .filter(|_| lines.is_empty())
                .or(Some(now))
        } else {
            None
        };
        // What was asked and taken back in one breath has nobody who waits for it: it is not begun.
        let (mut ids, mut names) = (BTreeSet::new(), BTreeSet::new());
        for line in &lines {
            if let Ok(ClientLine::Cancel { id, call }) = line {
                ids.extend(*id);
                names.extend(call.clone());
            }
        }
        for line in lines {
            match line {
                Ok(ClientLine::Call(call))
                    if ids.contains(&call.id) || names.contains(&call.name) =>
                {
                    debug!(
                        front_end = self.name,
                        connection,
                        call = call.name,
                        "forgotten before it began"
                    );
                }
                line => self.client_line(now, connection, line),
            }
        }
        if let (Some(long), Some(client)) = (long, self.client_sessions.client(connection)) {
            client.unreadable = true;
            let fault = RequestError {
                id: None,
                code: client::PARSE_ERROR,
                message: long.to_string(),
            };
            self.answer_fault(connection, &fault);
        }
    }

    fn client_line(
        &mut self,
        now: Time,
        connection: ConnectionId,
        line: Result<ClientLine, RequestError>,
    ) {
        let Some(client) = self.client_sessions.client(connection) else {
            return;
        };
        match line {
            Ok(ClientLine::Call(call)) => self.begin_call(now, connection, *call),
            Ok(ClientLine::Cancel { id, call }) => {
                client.last_active = now;
                if let Some(ticket) =
                    self.client_sessions
                        .find_ticket(connection, id, call.as_deref())
                {
                    if let Some(pending) = self
                        .client_sessions
                        .end_call(now, ticket)
                        .filter(|c| c.non_idempotent)
                    {
                        self.client_sessions
                            .record_executed(now + self.max_client_timeout, &pending.name);
                    }
                    self.cancel_call(now, ticket);
                    self.close_if_answered(connection);
                }
            }
            Ok(ClientLine::HealthCheck { id }) => {
                (client.last_active, client.has_called) = (now, true);
                let healthy = self.has_endpoint_list && self.shutdown_started.is_none();
                self.write(connection, client::health_line(id, healthy));
            }
            // Noise on a connection that is given up has been answered once.
            Err(fault) if fault.id.is_none() && client.reading_stopped => {}
            Err(fault) => self.answer_fault(connection, &fault),
        }
    }

    /// Answers what is no call. What bears no number cannot be told from noise, and what follows noise cannot be trusted.
    pub(super) fn answer_fault(&mut self, connection: ConnectionId, fault: &RequestError) {
        debug!(front_end = self.name, connection, %fault, "no call");
        // An answer under the number of an open call would be taken for that call's.
        let open = self
            .client_sessions
            .client(connection)
            .is_some_and(|c| fault.id.is_some_and(|id| c.pending_calls.contains_key(&id)));
        let id = fault.id.filter(|_| !open);
        self.write(
            connection,
            client::error_line(id, fault.code, &fault.message, None),
        );
        if self
            .client_sessions
            .add_fault_score(connection, MALFORMED_LINE_SCORE)
            || id.is_none()
        {
            self.stop_reading(connection);
        }
    }

    /// Begins no further call of a client, and closes its connection once all that came on it is answered.
    pub(super) fn stop_reading(&mut self, connection: ConnectionId) {
        let Some(client) = self
            .client_sessions
            .client(connection)
            .filter(|c| !c.reading_stopped)
        else {
            return;
        };
        client.reading_stopped = true;
        debug!(
            front_end = self.name,
            connection,
            open = client.pending_calls.len(),
            "client given up"
        );
        self.close_if_answered(connection);
    }

    /// Has the shell look once more at a client that is given up and has no call open, and then close it.
    pub(super) fn close_if_answered(&mut self, connection: ConnectionId) {
        if self
            .client_sessions
            .client(connection)
            .is_some_and(|c| c.reading_stopped && c.pending_calls.is_empty())
        {
            self.effects.push(Effect::Retire { connection });
        }
    }

    pub(super) fn write(&mut self, connection: ConnectionId, bytes: Bytes) {
        self.effects.push(Effect::Write { connection, bytes });
    }
}
