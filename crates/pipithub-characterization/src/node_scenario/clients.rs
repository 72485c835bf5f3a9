//! The clients of a scenario and what they send.

use super::world::{Event, World};
use super::{MILLISECOND, Node};

/// The maximum number of calls in a burst. It exceeds the number of calls that a connection may have pending.
const MAX_BURST: u64 = 45;
/// The length, in bytes, of a line that is too long for the node.
const LONG_LINE: usize = 40_000;

/// A call without a response.
#[derive(Debug)]
pub(super) struct PendingCall {
    /// The id of the JSON-RPC request. Each client numbers its requests in ascending order.
    pub(super) id: u64,
    /// The name of the call, by which it can be retried on any connection.
    pub(super) name: String,
}

/// The connection of a client.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Calls without a response.
    pub(super) pending: Vec<PendingCall>,
    next_id: u64,
}

impl<N: Node> World<'_, N> {
    /// Performs an action of one client and schedules the next action after a drawn time.
    pub(super) fn client_acts(&mut self) {
        let gap = self.random.between(1, 2 * self.mean_client_gap);
        self.schedule.add(self.now + gap, Event::ClientActs);
        if self.clients.is_empty() || self.random.per_mille(60) {
            return self.connect_client();
        }
        let connections: Vec<u64> = self.clients.keys().copied().collect();
        let connection = self.random.pick(&connections);
        match self.random.between(0, 199) {
            0..=1 => self.close_client(connection),
            2..=12 => self.cancel_call(connection, true),
            13..=20 => self.cancel_call(connection, false),
            21..=23 => {
                let id = self.fresh_id(connection);
                let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"isWell\"}}\n");
                self.client_sends("isWell", connection, line.as_bytes());
            }
            24 => self.client_sends("noise", connection, b"noise\n"),
            25 => self.client_sends("long line", connection, &vec![b'x'; LONG_LINE]),
            26 => self.client_sends("half a line", connection, b"{\"json"),
            27..=28 => self.invalid_calls(connection),
            29..=40 => self.retry(connection),
            41..=44 => self.call_and_cancel(connection),
            45..=50 => self.call_in_pieces(connection),
            51 => self.burst(connection),
            52 => self.pause_clients(),
            _ => self.call(connection),
        }
    }

    fn connect_client(&mut self) {
        let connection = self.node.client_connected(self.now);
        self.record_input("client connected", format!("client connected {connection}"));
        self.clients.insert(
            connection,
            Client {
                pending: Vec::new(),
                next_id: 1,
            },
        );
    }

    fn close_client(&mut self, connection: u64) {
        self.clients.remove(&connection);
        self.record_input("client closed", format!("client closed {connection}"));
        self.node.client_closed(self.now, connection);
    }

    /// Stops all clients from sending for a while, so that connections of the node become idle.
    fn pause_clients(&mut self) {
        self.clients_silent_until = self.now + self.random.between(500, 2_600) * MILLISECOND;
    }

    pub(super) fn client_sends(&mut self, kind: &str, connection: u64, bytes: &[u8]) {
        self.record_input(
            kind,
            format!("client {connection} {}", bytes.escape_ascii()),
        );
        self.node.client_bytes(self.now, connection, bytes);
    }

    fn fresh_id(&mut self, connection: u64) -> u64 {
        let client = self
            .clients
            .get_mut(&connection)
            .expect("a connected client");
        client.next_id += 1;
        client.next_id - 1
    }

    /// The line of a new call, which is added to the pending calls of the client.
    fn call_line(&mut self, connection: u64) -> String {
        let id = self.fresh_id(connection);
        let name = format!("{:016x}", self.random.number());
        self.line_of(connection, id, &name)
    }

    fn line_of(&mut self, connection: u64, id: u64, name: &str) -> String {
        let last = self.functions.len() as u64 - 1;
        let drawn = self
            .random
            .between(0, last)
            .min(self.random.between(0, last));
        let function = &self.functions[drawn as usize];
        let class = &self.configuration.classes[function.class];
        let wait = class.time_to_live * self.random.between(4, 14).min(10) / 10;
        let key = if class.has_idempotency_key {
            format!(",\"dedupe\":\"key-{name}\"")
        } else {
            String::new()
        };
        let body = self.random.pick(&["", "aGVsbG8=", "AAECAwQFBgc="]);
        let body = if self.random.per_mille(50) {
            "QUJD".repeat(1_000)
        } else {
            body.to_string()
        };
        let client = self
            .clients
            .get_mut(&connection)
            .expect("a connected client");
        client.pending.push(PendingCall {
            id,
            name: name.to_string(),
        });
        format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"call\":\"{name}\",\"ttl\":{wait},\
             \"row\":\"{:016x}\",\"props\":\"{}\",\"body\":\"{body}\"{key}}}}}\n",
            class.name, function.name, function.properties
        )
    }

    fn call(&mut self, connection: u64) {
        let line = self.call_line(connection);
        self.client_sends("call", connection, line.as_bytes());
    }

    fn call_in_pieces(&mut self, connection: u64) {
        let line = self.call_line(connection);
        let (first, second) = line.as_bytes().split_at(line.len() / 2);
        self.client_sends("call in two pieces", connection, first);
        self.client_sends("call in two pieces", connection, second);
    }

    fn call_and_cancel(&mut self, connection: u64) {
        let call = self.call_line(connection);
        let Some(PendingCall { id, .. }) = self
            .clients
            .get_mut(&connection)
            .and_then(|client| client.pending.pop())
        else {
            return;
        };
        let forget =
            format!("{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{id}}}}}\n");
        self.client_sends(
            "call and forget at once",
            connection,
            format!("{call}{forget}").as_bytes(),
        );
    }

    /// Sends a call with the name of an earlier one, which may have been sent on another connection.
    fn retry(&mut self, connection: u64) {
        let pending: Vec<String> = self
            .clients
            .values()
            .flat_map(|client| &client.pending)
            .map(|call| call.name.clone())
            .collect();
        let ended: Vec<String> = self.ended_calls.iter().cloned().collect();
        let names = if self.random.per_mille(300) {
            pending
        } else {
            ended
        };
        if !names.is_empty() {
            let name = &names[self.random.between(0, names.len() as u64 - 1) as usize];
            let id = self.fresh_id(connection);
            let line = self.line_of(connection, id, name);
            self.client_sends("call repeated", connection, line.as_bytes());
        }
    }

    fn burst(&mut self, connection: u64) {
        let mut lines = String::new();
        for _ in 0..self.random.between(2, MAX_BURST) {
            lines.push_str(&self.call_line(connection));
        }
        let is_beyond_limit = self
            .clients
            .get(&connection)
            .is_some_and(|client| client.pending.len() > 32);
        let kind = if is_beyond_limit {
            "call beyond those that may be open"
        } else {
            "call"
        };
        self.client_sends(kind, connection, lines.as_bytes());
    }

    fn cancel_call(&mut self, connection: u64, by_id: bool) {
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        if client.pending.is_empty() {
            return;
        }
        let last = client.pending.len() as u64 - 1;
        let index = self.random.between(0, last) as usize;
        let PendingCall { id, name } = client.pending.remove(index);
        let (kind, what) = if by_id {
            ("forget by id", format!("\"id\":{id}"))
        } else {
            ("forget by name", format!("\"call\":\"{name}\""))
        };
        let line = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{{what}}}}}\n");
        self.remember_ended(name);
        self.client_sends(kind, connection, line.as_bytes());
    }

    /// Sends one invalid call, or several in a row.
    fn invalid_calls(&mut self, connection: u64) {
        for _ in 0..self.random.between(1, 6) {
            if self.clients.contains_key(&connection) {
                self.invalid_call(connection);
            }
        }
    }

    fn invalid_call(&mut self, connection: u64) {
        let id = self.fresh_id(connection);
        let line = match self.random.between(0, 3) {
            0 => format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"nothing\"}}\n"),
            1 => format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"class-0\",\"params\":{{\"ttl\":-1}}}}\n"
            ),
            2 => format!("{{\"id\":{id},\"method\":\"class-0\"}}\n"),
            _ => {
                let name = format!("{:016x}", self.random.number());
                let earlier = self.random.between(1, id);
                self.line_of(connection, earlier, &name)
            }
        };
        self.client_sends("call", connection, line.as_bytes());
    }
}
