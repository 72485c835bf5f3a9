//! Clients: their connections, the lines that they send, and faults in these lines.

use crate::client_sessions::ClientSession;
use pipithub_platform::client::ClientCall;
use pipithub_platform::line::LineTooLong;
use pipithub_platform::settings::SiteSettings;
use std::collections::BTreeSet;

use bytes::Bytes;
use pipithub_engine::Time;
use pipithub_platform::client::{self, ClientLine, RequestError};
use tracing::debug;

use super::Core;
use crate::client_sessions::MALFORMED_LINE_SCORE;
use crate::effect::{ConnectionId, Effect};

impl Core {
    /// Records that a client has connected; if there are too many clients now, requests the close of one connection.
    pub fn client_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(other) = self.client_sessions.connected(now, connection) {
            debug!(
                front_end = self.name,
                connection = other.0,
                "too many client connections, closing one"
            );
            self.effects.push(Effect::CloseIfIdle { connection: other });
        }
    }

    /// Closes a client's connection unless it has pending calls. The shell calls this after
    /// [`Effect::CloseIfIdle`], once it has passed on all that the client has sent.
    pub fn close_client_if_idle(&mut self, now: Time, connection: ConnectionId) {
        if self
            .client_sessions
            .client(connection)
            .is_some_and(|c| c.pending_calls.is_empty())
        {
            debug!(
                front_end = self.name,
                connection = connection.0,
                "client closed"
            );
            self.close_client(now, connection);
        }
    }

    /// Records that a client's connection has ended, and cancels its pending calls.
    pub fn client_closed(&mut self, now: Time, connection: ConnectionId) {
        let tickets = self.client_sessions.disconnected(connection);
        if !tickets.is_empty() {
            debug!(
                front_end = self.name,
                connection = connection.0,
                pending = tickets.len(),
                "client disconnected with pending calls"
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

    /// Handles bytes that came from a client.
    pub fn client_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self
            .client_sessions
            .client(connection)
            .filter(|client| !client.unreadable)
        else {
            return;
        };
        let received = receive(client, now, bytes, &self.site);
        let cancelled = CancelledCalls::among(&received.lines);
        for line in received.lines {
            match line {
                Ok(ClientLine::Call(call)) if cancelled.contains(&call) => {
                    debug!(
                        front_end = self.name,
                        connection = connection.0,
                        call = call.name,
                        "call cancelled before it was forwarded"
                    );
                }
                line => self.handle_client_line(now, connection, line),
            }
        }
        if let Some(error) = received.error {
            self.reject_too_long_line(connection, error);
        }
    }

    /// Answers a line that is too long. Nothing behind it can be read.
    fn reject_too_long_line(&mut self, connection: ConnectionId, error: LineTooLong) {
        let Some(client) = self.client_sessions.client(connection) else {
            return;
        };
        client.unreadable = true;
        let error = RequestError {
            id: None,
            code: client::PARSE_ERROR,
            message: error.to_string(),
        };
        self.answer_fault(connection, &error);
    }

    fn handle_client_line(
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
                self.cancel_requested(now, connection, id, call.as_deref());
            }
            Ok(ClientLine::HealthCheck { id }) => {
                client.last_active = now;
                client.has_sent_request = true;
                let healthy = self.has_endpoint_list && !self.shutdown.is_requested();
                self.write(connection, client::health_line(id, healthy));
            }
            // The connection is about to be closed because of a fault that was answered: malformed lines are no longer
            // answered.
            Err(error) if error.id.is_none() && client.is_closing => {}
            Err(error) => self.answer_fault(connection, &error),
        }
    }

    /// Cancels a call at the request of its client, which identifies the call by its id or its name.
    fn cancel_requested(
        &mut self,
        now: Time,
        connection: ConnectionId,
        id: Option<u64>,
        name: Option<&str>,
    ) {
        let Some(ticket) = self.client_sessions.find_ticket(connection, id, name) else {
            return;
        };
        let ended = self.client_sessions.end_call(now, ticket);
        if let Some(pending) = ended.as_ref().filter(|pending| pending.non_idempotent) {
            self.client_sessions.record_executed(&pending.name);
        }
        let may_be_at_work = self.cancel_call(now, ticket);
        if let Some(cancelled) = ended.filter(|_| may_be_at_work) {
            self.client_sessions.record_cancelled_work(&cancelled);
        }
        self.close_if_answered(connection);
    }

    /// Answers a line that is not a valid request. If the answer has no id, the connection is closed once its pending
    /// calls are answered, because it is unknown what the client sends.
    pub(super) fn answer_fault(&mut self, connection: ConnectionId, fault: &RequestError) {
        debug!(front_end = self.name, connection = connection.0, %fault, "request rejected");
        // An answer under the id of a pending call would be taken for the answer to that call.
        let is_pending = self
            .client_sessions
            .client(connection)
            .is_some_and(|client| {
                fault
                    .id
                    .is_some_and(|id| client.pending_calls.contains_key(&id))
            });
        let id = fault.id.filter(|_| !is_pending);
        self.write(
            connection,
            client::error_line(id, fault.code, &fault.message, None),
        );
        if self
            .client_sessions
            .add_fault_score(connection, MALFORMED_LINE_SCORE)
            || id.is_none()
        {
            self.begin_closing(connection);
        }
    }

    /// Rejects all further calls of a client, and closes its connection once its pending calls are answered.
    pub(super) fn begin_closing(&mut self, connection: ConnectionId) {
        let Some(client) = self
            .client_sessions
            .client(connection)
            .filter(|c| !c.is_closing)
        else {
            return;
        };
        client.is_closing = true;
        debug!(
            front_end = self.name,
            connection = connection.0,
            pending = client.pending_calls.len(),
            "client is no longer read"
        );
        self.close_if_answered(connection);
    }

    /// Requests a last read and the close of a connection that is about to be closed, if it has no pending calls.
    pub(super) fn close_if_answered(&mut self, connection: ConnectionId) {
        if self
            .client_sessions
            .client(connection)
            .is_some_and(|c| c.is_closing && c.pending_calls.is_empty())
        {
            self.effects.push(Effect::CloseIfIdle { connection });
        }
    }

    pub(super) fn write(&mut self, connection: ConnectionId, bytes: Bytes) {
        self.effects.push(Effect::Write { connection, bytes });
    }
}

/// The lines that are complete after a read.
struct ReceivedLines {
    lines: Vec<Result<ClientLine, RequestError>>,
    /// Why what follows the lines cannot be read; `None` if it can.
    error: Option<LineTooLong>,
}

/// Splits what a client has sent into lines and parses them.
fn receive(
    client: &mut ClientSession,
    now: Time,
    bytes: &[u8],
    site: &SiteSettings,
) -> ReceivedLines {
    client.framer.push(bytes);
    let mut lines = Vec::new();
    let error = loop {
        match client.framer.next_line() {
            Ok(Some(line)) => lines.push(client::read_line(&line, site)),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    client.partial_line_since = if client.framer.has_partial_line() {
        client
            .partial_line_since
            .filter(|_| lines.is_empty())
            .or(Some(now))
    } else {
        None
    };
    ReceivedLines { lines, error }
}

/// The calls that are cancelled within one read. If the call itself came in that read, it is not forwarded.
struct CancelledCalls {
    ids: BTreeSet<u64>,
    names: BTreeSet<String>,
}

impl CancelledCalls {
    fn among(lines: &[Result<ClientLine, RequestError>]) -> Self {
        let mut cancelled = CancelledCalls {
            ids: BTreeSet::new(),
            names: BTreeSet::new(),
        };
        for line in lines {
            if let Ok(ClientLine::Cancel { id, call }) = line {
                cancelled.ids.extend(*id);
                cancelled.names.extend(call.clone());
            }
        }
        cancelled
    }

    fn contains(&self, call: &ClientCall) -> bool {
        self.ids.contains(&call.id) || self.names.contains(&call.name)
    }
}
