//! Every request gets one answer before its connection is closed, whatever the reason for the close.

mod core_harness;

use core_harness::{CoreHarness, MS, config};
use pipithub_engine::Time;
use pipithub_node::effect::ConnectionId;

fn call(id: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"view","params":{{"call":"{id:016x}","ttl":1500,"row":"00000000000000aa"}}}}"#
    ) + "\n"
}

/// A request with an id and an unknown method.
fn unknown_method(id: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#) + "\n"
}

/// A reason for which the front end closes a client's connection.
struct CloseReason {
    name: &'static str,
    /// Opens a connection, lets the text arrive on it, read or unread, and brings the close about.
    trigger: fn(&mut CoreHarness, &str) -> ConnectionId,
}

fn read(harness: &mut CoreHarness, connection: ConnectionId, text: &str) {
    harness
        .core
        .client_bytes(harness.now, connection, text.as_bytes());
}

const CLOSE_REASONS: [CloseReason; 11] = [
    CloseReason {
        name: "too many connections",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            harness.unread.insert(connection, text.into());
            // The oldest client without a request is closed first.
            (0..24).for_each(|_| {
                harness.connect_client();
            });
            connection
        },
    },
    CloseReason {
        name: "too many connections, the new one is closed",
        trigger: |harness, text| {
            for id in 1..=24 {
                let client = harness.connect_client();
                read(harness, client, &call(1000 + id));
            }
            let connection = harness.connect_client();
            harness.unread.insert(connection, text.into());
            connection
        },
    },
    CloseReason {
        name: "silent",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            harness.advance(1_990 * MS);
            harness.unread.insert(connection, text.into());
            connection
        },
    },
    CloseReason {
        name: "incomplete request",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            let (start, rest) = text.split_at(text.len() / 3);
            read(harness, connection, start);
            harness.advance(1_990 * MS);
            harness.unread.insert(connection, rest.into());
            connection
        },
    },
    CloseReason {
        name: "malformed line before the text",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            read(harness, connection, &format!("noise\n{text}"));
            connection
        },
    },
    CloseReason {
        name: "malformed line, and the text still unread",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            harness.unread.insert(connection, text.into());
            read(harness, connection, "noise\n");
            connection
        },
    },
    CloseReason {
        name: "consecutive faulty lines before the text",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            let faults: String = (101..=104).map(unknown_method).collect();
            read(harness, connection, &(faults + text));
            connection
        },
    },
    CloseReason {
        name: "a line that is too long after the text",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            read(
                harness,
                connection,
                &(text.to_string() + "\n" + &"x".repeat(40_000)),
            );
            connection
        },
    },
    CloseReason {
        name: "about to be closed while a call is pending",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            read(harness, connection, &(call(500) + "noise\n"));
            harness.advance(10 * MS);
            read(harness, connection, text);
            connection
        },
    },
    CloseReason {
        name: "shutdown, drained",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            harness.core.begin_shutdown(harness.now);
            harness.advance(800 * MS);
            read(harness, connection, text);
            connection
        },
    },
    CloseReason {
        name: "the end of the process",
        trigger: |harness, text| {
            let connection = harness.connect_client();
            harness.core.begin_shutdown(harness.now);
            // The connection does not count as silent yet.
            harness.advance(1_200 * MS);
            harness.unread.insert(connection, text.into());
            harness.core.close_clients();
            connection
        },
    },
];

#[test]
fn every_request_is_answered_before_its_connection_is_closed() {
    let contents: [(&str, String, &[u64]); 5] = [
        ("one call", call(1), &[1]),
        ("two calls", call(1) + &call(2), &[1, 2]),
        (
            "calls around a malformed line",
            call(1) + "noise\n" + &call(2),
            &[1, 2],
        ),
        (
            "a call and a part of another",
            call(1) + &call(2)[..40],
            &[1],
        ),
        (
            "a call of an unknown class, and a valid call",
            unknown_method(1) + &call(2),
            &[1, 2],
        ),
    ];
    for CloseReason { name, trigger } in CLOSE_REASONS {
        for (content, text, requested) in &contents {
            let mut harness = CoreHarness::new();
            let connection = trigger(&mut harness, text);
            let to_client = lines_to_client(&mut harness, connection);
            let closed = to_client.iter().position(|line| line == "closed");
            let closed = closed.unwrap_or(to_client.len());
            for id in *requested {
                let answers: Vec<usize> = (0..to_client.len())
                    .filter(|at| is_answer(&to_client[*at], *id))
                    .collect();
                assert!(
                    answers.len() == 1 && answers[0] < closed,
                    "{name}, {content}: request {id} among {to_client:#?}"
                );
            }
            assert!(harness.unread.is_empty(), "{name}: everything is read");
        }
    }
}

fn is_answer(line: &str, id: u64) -> bool {
    line.contains(&format!("\"id\":{id},"))
}

/// All lines that are written to a client within four seconds.
fn lines_to_client(harness: &mut CoreHarness, client: ConnectionId) -> Vec<String> {
    let mut written = harness.written();
    for _ in 0..400 {
        harness.advance(10 * MS);
        written.extend(harness.written());
    }
    written
        .into_iter()
        .filter(|(connection, _)| *connection == client)
        .map(|(_, line)| line)
        .collect()
}

/// Clients that go on calling while their connections are open. Their calls are of both classes, and no worker answers.
struct CallingClients {
    connections: Vec<ConnectionId>,
    timeout_ms: Time,
    calls: u64,
}

impl CallingClients {
    fn connect(harness: &mut CoreHarness, timeout_ms: Time) -> Self {
        CallingClients {
            connections: (0..4).map(|_| harness.connect_client()).collect(),
            timeout_ms,
            calls: 0,
        }
    }

    /// Creates the next call of each client.
    fn next_calls(&mut self) -> Vec<(ConnectionId, String)> {
        let mut calls = Vec::new();
        for connection in &self.connections {
            self.calls += 1;
            let is_idempotent = !self.calls.is_multiple_of(3);
            let class = if is_idempotent { "view" } else { "assign" };
            let timeout = format!("\"ttl\":{}", self.timeout_ms);
            let line = call(self.calls)
                .replace("view", class)
                .replace("\"ttl\":1500", &timeout);
            calls.push((*connection, line));
        }
        calls
    }

    /// Sends a call from each client, which is read at once.
    fn send_calls(&mut self, harness: &mut CoreHarness) {
        for (connection, line) in self.next_calls() {
            read(harness, connection, &line);
        }
    }

    /// Sends a call from each client, which is read only when the connection is to be closed.
    fn send_unread_calls(&mut self, harness: &mut CoreHarness) {
        for (connection, line) in self.next_calls() {
            harness.unread.insert(connection, line.into());
        }
    }

    fn check_each_call_is_answered_once(&self, written: &[(ConnectionId, String)]) {
        for id in 1..=self.calls {
            let answers = written
                .iter()
                .filter(|(connection, line)| {
                    self.connections.contains(connection) && is_answer(line, id)
                })
                .count();
            let (timeout_ms, calls) = (self.timeout_ms, self.calls);
            assert_eq!(
                answers, 1,
                "timeouts of {timeout_ms} ms: call {id} of {calls}"
            );
        }
    }
}

/// SIGKILL comes the longest client timeout plus 0.7 s after SIGTERM.
#[test]
fn shutdown_answers_every_request_before_sigkill_whatever_the_timeouts() {
    for timeout_ms in [50, 200, 800, 3_000] {
        let mut config = config();
        for class in &mut config.site.policy.classes {
            class.client_timeout = timeout_ms * MS;
        }
        let mut harness = CoreHarness::with_config(&config);
        let mut clients = CallingClients::connect(&mut harness, timeout_ms);
        let mut written = Vec::new();
        harness.core.begin_shutdown(harness.now);
        let kill_time = harness.now + (timeout_ms + 700) * MS;
        while !harness.core.shutdown_overdue(harness.now) && !harness.core.is_drained(harness.now) {
            clients.send_calls(&mut harness);
            harness.advance(5 * MS);
            written.extend(harness.written());
            assert!(
                harness.now < kill_time,
                "timeouts of {timeout_ms} ms: killed"
            );
        }
        assert!(
            harness.now + 15 * MS < kill_time,
            "timeouts of {timeout_ms} ms: too late to close the connections"
        );
        clients.send_unread_calls(&mut harness);
        harness.core.close_clients();
        written.extend(harness.written());
        assert_eq!(harness.core.pending_requests(), 0);
        clients.check_each_call_is_answered_once(&written);
        assert_eq!(
            harness.core.connections().clients,
            0,
            "all connections are closed"
        );
    }
}
