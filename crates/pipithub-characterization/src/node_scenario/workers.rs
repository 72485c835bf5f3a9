//! How workers treat their connections and the commands that they receive.

use serde_json::Value;

use super::world::{Event, World};
use super::{MILLISECOND, Node, SECOND};

/// The maximum number of calls that a worker runs on one connection; it rejects further ones.
const CAPACITY: u32 = 10;

/// A connection to a worker.
#[derive(Debug, Default)]
pub(super) struct WorkerConnection {
    pub(super) address: String,
    connected: bool,
    /// The number of bytes that the operating system has accepted.
    written: u64,
    /// Bytes that the operating system has not accepted yet.
    unsent: Vec<u8>,
    blocked: bool,
    /// Bytes that have reached the worker but do not form a complete line yet.
    partial: Vec<u8>,
    /// The names of the calls from this connection that the worker is running.
    running: Vec<String>,
    /// When the node last wrote to the connection; `None` if it has not written yet.
    written_at: Option<u64>,
}

impl<N: Node> World<'_, N> {
    pub(super) fn connect(&mut self, connection: u64, address: String, within: u64) {
        let is_unresponsive = self.unresponsive_addresses.contains(&address);
        let link = WorkerConnection {
            address,
            ..WorkerConnection::default()
        };
        self.worker_connections.insert(connection, link);
        let failed = |local_cause| Event::ConnectFailed {
            connection,
            local_cause,
        };
        let (after, event) = match self.random.between(0, 99) {
            _ if is_unresponsive => (within, failed(false)),
            0..=2 => (MILLISECOND, failed(true)),
            3..=6 => (MILLISECOND, failed(false)),
            7 => (within, failed(false)),
            _ => (
                self.random.between(0, 3) * MILLISECOND,
                Event::WorkerConnected { connection },
            ),
        };
        self.schedule.add(self.now + after, event);
    }

    pub(super) fn connected(&mut self, connection: u64) {
        if let Some(link) = self.worker_connections.get_mut(&connection) {
            link.connected = true;
            self.record_input("worker connected", format!("worker connected {connection}"));
            self.node.worker_connected(self.now, connection);
        }
    }

    pub(super) fn connect_failed(&mut self, connection: u64, local_cause: bool) {
        if self.worker_connections.remove(&connection).is_some() {
            let kind = if local_cause {
                "worker failed for own want"
            } else {
                "worker failed by itself"
            };
            self.record_input(kind, format!("worker failed {connection} {local_cause}"));
            self.node.worker_failed(self.now, connection, local_cause);
        }
    }

    /// Ends a connection from the worker's side.
    pub(super) fn connection_breaks(&mut self, connection: u64) {
        if let Some(link) = self.worker_connections.remove(&connection) {
            let kind = if link.unsent.is_empty() {
                "worker closed"
            } else {
                "worker closed within a line"
            };
            self.record_input(kind, format!("worker closed {connection} {}", link.written));
            self.node.worker_closed(self.now, connection, link.written);
        }
    }

    pub(super) fn break_connections(&mut self, address: &str) {
        let connections: Vec<u64> = self
            .worker_connections
            .iter()
            .filter(|(_, connection)| connection.connected && connection.address == address)
            .map(|(id, _)| *id)
            .collect();
        for connection in connections {
            self.connection_breaks(connection);
        }
    }

    /// Writes bytes of the node to a connection. The operating system accepts all of them, or only some or none while the worker
    /// does not read.
    pub(super) fn write_to_worker(&mut self, connection: u64, bytes: &[u8]) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        link.unsent.extend_from_slice(bytes);
        let idle = link
            .written_at
            .replace(self.now)
            .map_or(0, |at| self.now - at);
        if link.blocked {
            return;
        }
        if idle >= self.idle_break_after {
            // Something on the path, such as a firewall, has dropped the idle connection.
            self.accept_bytes(connection, bytes.len());
            return self.schedule.add(
                self.now + MILLISECOND,
                Event::ConnectionBreaks { connection },
            );
        }
        match self.random.between(0, 99) {
            0 => {
                let part = self.random.between(0, bytes.len() as u64 - 1) as usize;
                self.accept_bytes(connection, part);
                self.schedule.add(
                    self.now + MILLISECOND,
                    Event::ConnectionBreaks { connection },
                );
                self.block_writes(connection);
            }
            1..=2 => {
                let part = if self.random.per_mille(500) {
                    0
                } else {
                    self.random.between(1, bytes.len() as u64 - 1)
                };
                self.accept_bytes(connection, part as usize);
                self.block_writes(connection);
                let until = self.now + self.random.between(5, 1_200) * MILLISECOND;
                self.schedule
                    .add(until, Event::WriteUnblocked { connection });
            }
            _ => self.accept_bytes(connection, bytes.len()),
        }
    }

    fn block_writes(&mut self, connection: u64) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        link.blocked = true;
        let written = link.written;
        self.schedule.add(
            self.now,
            Event::WriteBlocked {
                connection,
                written,
            },
        );
    }

    pub(super) fn write_blocked(&mut self, connection: u64, written: u64) {
        if self
            .worker_connections
            .get(&connection)
            .is_some_and(|link| link.blocked)
        {
            self.record_input(
                "worker blocked",
                format!("worker blocked {connection} {written}"),
            );
            self.node
                .worker_blocked(self.now, connection, Some(written));
        }
    }

    pub(super) fn write_unblocked(&mut self, connection: u64) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        link.blocked = false;
        let waiting = link.unsent.len();
        self.accept_bytes(connection, waiting);
        self.record_input("worker unblocked", format!("worker unblocked {connection}"));
        self.node.worker_blocked(self.now, connection, None);
    }

    /// Discards bytes of the node that the operating system has not accepted.
    pub(super) fn cancel_write(&mut self, connection: u64, at: u64, length: u64) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        let from = at
            .checked_sub(link.written)
            .expect("only bytes that the operating system has not accepted are discarded")
            as usize;
        link.unsent.drain(from..from + length as usize);
    }

    /// Lets the operating system accept a number of the unsent bytes, which the worker then reads.
    fn accept_bytes(&mut self, connection: u64, count: usize) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        link.written += count as u64;
        link.partial.extend(link.unsent.drain(..count));
        let mut lines: Vec<String> = Vec::new();
        while let Some(end) = link.partial.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = link.partial.drain(..=end).collect();
            lines.push(String::from_utf8(line).expect("the node writes text"));
        }
        lines
            .iter()
            .for_each(|line| self.receive_command(connection, line));
    }

    fn receive_command(&mut self, connection: u64, line: &str) {
        let line: Value = serde_json::from_str(line).expect("the node writes JSON");
        let command = line["cmd"].as_str().expect("a command").to_string();
        let reference = line["ref"].as_str().expect("a reference").to_string();
        self.transcript.count(&format!("worker asked {command}"));
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        if self.unresponsive_addresses.contains(&link.address) {
            return;
        }
        match command.as_str() {
            "DO" => {
                link.running.push(reference.clone());
                self.run_call(connection, reference);
            }
            "UNDO" => link.running.retain(|name| *name != reference),
            "METER" => {
                let response = if self.random.per_mille(850) {
                    "READY"
                } else {
                    "AILING"
                };
                let after = self.random.between(1, 30) * MILLISECOND;
                self.respond_after(after, connection, response, &reference);
            }
            "PIN" => {
                let response = self.random.pick(&["ACK", "ACK", "ACK", "AGAIN", "EIO"]);
                let after = self.random.between(5, 600) * MILLISECOND;
                if !self.random.per_mille(50) {
                    self.respond_after(after, connection, response, &reference);
                }
            }
            "UNPIN" => {}
            other => panic!("an unknown command: {other}"),
        }
    }

    fn run_call(&mut self, connection: u64, reference: String) {
        let in_flight = self
            .worker_connections
            .get(&connection)
            .map_or(0, |link| link.running.len() as u32);
        let round_trip = self.random.between(1, 4) * MILLISECOND;
        let run = self.random.between(5, 120) * MILLISECOND;
        let (response, after) = match self.random.between(0, 199) {
            _ if in_flight > CAPACITY => ("AGAIN", round_trip),
            0..=7 => ("NOENT", round_trip),
            8..=13 => ("AGAIN", round_trip),
            14..=19 => ("EIO", run),
            20..=22 => ("STALE", round_trip),
            23 => ("READY", round_trip),
            24 => {
                return self
                    .schedule
                    .add(self.now + run, Event::ConnectionBreaks { connection });
            }
            25..=28 => return,
            29..=32 => ("ACK", run + SECOND),
            _ => ("ACK", run),
        };
        self.respond_after(after, connection, response, &reference);
    }

    fn respond_after(
        &mut self,
        after: u64,
        connection: u64,
        response: &'static str,
        reference: &str,
    ) {
        let reference = reference.to_string();
        self.schedule.add(
            self.now + after,
            Event::WorkerResponds {
                connection,
                response,
                reference,
            },
        );
    }

    pub(super) fn worker_responds(
        &mut self,
        connection: u64,
        response: &'static str,
        reference: &str,
    ) {
        let Some(link) = self.worker_connections.get_mut(&connection) else {
            return;
        };
        let in_flight = link.running.len();
        let is_poll_or_load_command = reference.starts_with('t');
        if let Some(index) = link.running.iter().position(|name| name == reference) {
            link.running.remove(index);
        } else if !is_poll_or_load_command {
            // The node has cancelled the call in the meantime.
            return;
        }
        let line = self.response_line(response, reference, in_flight);
        match self.random.between(0, 199) {
            0 => {
                self.worker_sends("worker noise", connection, b"noise\n");
                // The node then closes the connection, if it has not closed it already.
            }
            1 => {
                let stranger = self.response_line("ACK", "ffffffffffffffff", in_flight);
                self.worker_sends("worker answer to nothing", connection, stranger.as_bytes());
                self.worker_sends(&format!("worker {response}"), connection, line.as_bytes());
            }
            2..=5 => {
                self.worker_sends(&format!("worker {response}"), connection, line.as_bytes());
                self.worker_sends("worker second answer", connection, line.as_bytes());
            }
            6..=12 => {
                let (first, second) = line.as_bytes().split_at(line.len() / 3);
                self.worker_sends("worker answer in two pieces", connection, first);
                self.worker_sends(&format!("worker {response}"), connection, second);
            }
            _ => self.worker_sends(&format!("worker {response}"), connection, line.as_bytes()),
        }
    }

    fn response_line(&mut self, response: &str, reference: &str, in_flight: usize) -> String {
        let concurrency = self.random.between(0, 3);
        let busy = self.random.between(0, 99);
        let payload = self.random.pick(&["", "d29ybGQ=", "AAECAw=="]);
        let replicas = self.random.between(1, 2);
        format!(
            "{{\"cmd\":\"{response}\",\"ref\":\"{reference}\",\"opts\":{{\"same\":\"{concurrency}\",\"n\":{replicas},\
             \"l\":\"inflight:{in_flight};util:0.{busy:02}\"}},\"payload\":\"{payload}\"}}\n"
        )
    }

    fn worker_sends(&mut self, kind: &str, connection: u64, bytes: &[u8]) {
        if self.worker_connections.contains_key(&connection) {
            self.record_input(
                kind,
                format!("worker {connection} {}", bytes.escape_ascii()),
            );
            self.node.worker_bytes(self.now, connection, bytes);
        }
    }
}
