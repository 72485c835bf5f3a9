//! What workers do with their connections and with what they are asked.

use serde_json::Value;

use super::world::{Event, World};
use super::{MILLISECOND, Node, SECOND};

/// Calls that a worker holds before it turns others away.
const CAPACITY: u32 = 10;

/// A connection to a worker.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) address: String,
    connected: bool,
    /// Bytes that the system has taken.
    taken: u64,
    /// Bytes that wait for the system to take them.
    waiting: Vec<u8>,
    blocked: bool,
    /// Bytes that have reached the worker and are no whole line yet.
    partial: Vec<u8>,
    /// Names of calls that the worker runs here.
    running: Vec<String>,
    /// When bytes were written on it last.
    written_at: Option<u64>,
}

impl<N: Node> World<'_, N> {
    // ---- connections ----

    pub(super) fn connect(&mut self, connection: u64, address: String, within: u64) {
        let silent = self.silent_hosts.contains(&address);
        let link = Link { address, ..Link::default() };
        self.links.insert(connection, link);
        let event = match self.random.between(0, 99) {
            _ if silent => (within, Event::LinkFailed { connection, own: false }),
            0..=2 => (MILLISECOND, Event::LinkFailed { connection, own: true }),
            3..=6 => (MILLISECOND, Event::LinkFailed { connection, own: false }),
            7 => (within, Event::LinkFailed { connection, own: false }),
            _ => (self.random.between(0, 3) * MILLISECOND, Event::LinkUp { connection }),
        };
        self.schedule.add(self.now + event.0, event.1);
    }

    pub(super) fn link_up(&mut self, connection: u64) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.connected = true;
            self.note("worker connected", format!("worker connected {connection}"));
            self.node.worker_connected(self.now, connection);
        }
    }

    pub(super) fn link_failed(&mut self, connection: u64, own: bool) {
        if self.links.remove(&connection).is_some() {
            let kind = if own { "worker failed for own want" } else { "worker failed by itself" };
            self.note(kind, format!("worker failed {connection} {own}"));
            self.node.worker_failed(self.now, connection, own);
        }
    }

    /// A connection ends from the worker's side.
    pub(super) fn link_breaks(&mut self, connection: u64) {
        if let Some(link) = self.links.remove(&connection) {
            let kind = if link.waiting.is_empty() { "worker closed" } else { "worker closed within a line" };
            self.note(kind, format!("worker closed {connection} {}", link.taken));
            self.node.worker_closed(self.now, connection, link.taken);
        }
    }

    pub(super) fn host_breaks(&mut self, address: &str) {
        let links = self.links.iter().filter(|(_, link)| link.connected && link.address == address);
        let connections: Vec<u64> = links.map(|(connection, _)| *connection).collect();
        connections.into_iter().for_each(|connection| self.link_breaks(connection));
    }

    /// The node writes; the system takes all of it, some of it, or none while the worker does not read.
    pub(super) fn write_to_worker(&mut self, connection: u64, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.waiting.extend_from_slice(bytes);
        let idle = link.written_at.replace(self.now).map_or(0, |at| self.now - at);
        if link.blocked {
            return;
        }
        if idle >= self.idle_breaks {
            // Something on the way has forgotten the connection.
            self.take(connection, bytes.len());
            return self.schedule.add(self.now + MILLISECOND, Event::LinkBreaks { connection });
        }
        match self.random.between(0, 99) {
            0 => {
                let part = self.random.between(0, bytes.len() as u64 - 1) as usize;
                self.take(connection, part);
                self.schedule.add(self.now + MILLISECOND, Event::LinkBreaks { connection });
                self.block(connection);
            }
            1..=2 => {
                let part = if self.random.per_mille(500) {
                    0
                } else {
                    self.random.between(1, bytes.len() as u64 - 1)
                };
                self.take(connection, part as usize);
                self.block(connection);
                let until = self.now + self.random.between(5, 1_200) * MILLISECOND;
                self.schedule.add(until, Event::LinkUnblocked { connection });
            }
            _ => self.take(connection, bytes.len()),
        }
    }

    fn block(&mut self, connection: u64) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.blocked = true;
        let taken = link.taken;
        self.schedule.add(self.now, Event::LinkBlocked { connection, taken });
    }

    pub(super) fn link_blocked(&mut self, connection: u64, taken: u64) {
        if self.links.get(&connection).is_some_and(|link| link.blocked) {
            self.note("worker blocked", format!("worker blocked {connection} {taken}"));
            self.node.worker_blocked(self.now, connection, Some(taken));
        }
    }

    pub(super) fn link_unblocked(&mut self, connection: u64) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.blocked = false;
        let waiting = link.waiting.len();
        self.take(connection, waiting);
        self.note("worker unblocked", format!("worker unblocked {connection}"));
        self.node.worker_blocked(self.now, connection, None);
    }

    /// Bytes are taken back that wait for the system to take them.
    pub(super) fn unwrite(&mut self, connection: u64, at: u64, length: u64) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        let from = at.checked_sub(link.taken).expect("bytes that the system has are not taken back") as usize;
        link.waiting.drain(from..from + length as usize);
    }

    /// The system takes so many of the bytes that wait, and the worker reads them.
    fn take(&mut self, connection: u64, count: usize) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.taken += count as u64;
        link.partial.extend(link.waiting.drain(..count));
        let mut lines: Vec<String> = Vec::new();
        while let Some(end) = link.partial.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = link.partial.drain(..=end).collect();
            lines.push(String::from_utf8(line).expect("the node writes text"));
        }
        lines.iter().for_each(|line| self.asked(connection, line));
    }

    // ---- requests and answers ----

    fn asked(&mut self, connection: u64, line: &str) {
        let line: Value = serde_json::from_str(line).expect("the node writes JSON");
        let command = line["cmd"].as_str().expect("a command").to_string();
        let reference = line["ref"].as_str().expect("a reference").to_string();
        self.transcript.count(&format!("worker asked {command}"));
        let Some(link) = self.links.get_mut(&connection) else { return };
        if self.silent_hosts.contains(&link.address) {
            return;
        }
        match command.as_str() {
            "DO" => {
                link.running.push(reference.clone());
                self.run_call(connection, reference);
            }
            "UNDO" => link.running.retain(|name| *name != reference),
            "METER" => {
                let word = if self.random.per_mille(850) { "READY" } else { "AILING" };
                let after = self.random.between(1, 30) * MILLISECOND;
                self.answer_after(after, connection, word, &reference);
            }
            "PIN" => {
                let word = self.random.pick(&["ACK", "ACK", "ACK", "AGAIN", "EIO"]);
                let after = self.random.between(5, 600) * MILLISECOND;
                if !self.random.per_mille(50) {
                    self.answer_after(after, connection, word, &reference);
                }
            }
            "UNPIN" => {}
            other => panic!("an unknown command: {other}"),
        }
    }

    fn run_call(&mut self, connection: u64, reference: String) {
        let held = self.links.get(&connection).map_or(0, |link| link.running.len() as u32);
        let trip = self.random.between(1, 4) * MILLISECOND;
        let run = self.random.between(5, 120) * MILLISECOND;
        let (word, after) = match self.random.between(0, 199) {
            _ if held > CAPACITY => ("AGAIN", trip),
            0..=7 => ("NOENT", trip),
            8..=13 => ("AGAIN", trip),
            14..=19 => ("EIO", run),
            20..=22 => ("STALE", trip),
            23 => ("READY", trip),
            24 => return self.schedule.add(self.now + run, Event::LinkBreaks { connection }),
            25..=28 => return,
            29..=32 => ("ACK", run + SECOND),
            _ => ("ACK", run),
        };
        self.answer_after(after, connection, word, &reference);
    }

    fn answer_after(&mut self, after: u64, connection: u64, word: &'static str, reference: &str) {
        let reference = reference.to_string();
        self.schedule.add(self.now + after, Event::WorkerAnswers { connection, word, reference });
    }

    pub(super) fn worker_answers(&mut self, connection: u64, word: &'static str, reference: &str) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        let held = link.running.len();
        let probe_or_order = reference.starts_with('t');
        let position = link.running.iter().position(|name| name == reference);
        match position {
            Some(position) => drop(link.running.remove(position)),
            // Given up meanwhile.
            None if !probe_or_order => return,
            None => {}
        }
        let line = self.answer_line(word, reference, held);
        match self.random.between(0, 199) {
            0 => {
                self.worker_says("worker noise", connection, b"noise\n");
                // The node closes it, or has closed it.
            }
            1 => {
                let stranger = self.answer_line("ACK", "ffffffffffffffff", held);
                self.worker_says("worker answer to nothing", connection, stranger.as_bytes());
                self.worker_says(&format!("worker {word}"), connection, line.as_bytes());
            }
            2..=5 => {
                self.worker_says(&format!("worker {word}"), connection, line.as_bytes());
                self.worker_says("worker second answer", connection, line.as_bytes());
            }
            6..=12 => {
                let (first, second) = line.as_bytes().split_at(line.len() / 3);
                self.worker_says("worker answer in two pieces", connection, first);
                self.worker_says(&format!("worker {word}"), connection, second);
            }
            _ => self.worker_says(&format!("worker {word}"), connection, line.as_bytes()),
        }
    }

    fn answer_line(&mut self, word: &str, reference: &str, held: usize) -> String {
        let same = self.random.between(0, 3);
        let busy = self.random.between(0, 99);
        let payload = self.random.pick(&["", "d29ybGQ=", "AAECAw=="]);
        let copies = self.random.between(1, 2);
        format!(
            "{{\"cmd\":\"{word}\",\"ref\":\"{reference}\",\"opts\":{{\"same\":\"{same}\",\"n\":{copies},\
             \"l\":\"inflight:{held};util:0.{busy:02}\"}},\"payload\":\"{payload}\"}}\n"
        )
    }

    fn worker_says(&mut self, kind: &str, connection: u64, bytes: &[u8]) {
        if self.links.contains_key(&connection) {
            self.note(kind, format!("worker {connection} {}", bytes.escape_ascii()));
            self.node.worker_bytes(self.now, connection, bytes);
        }
    }
}
