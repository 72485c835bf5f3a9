//! The front end without sockets: the time left that a line to a worker states.

mod core_harness;

use core_harness::{CoreHarness, MS};
use pipithub_node::effect::{ConnectionId, Effect};

/// The effects that the front end requests. The test establishes the connections itself.
#[derive(Default)]
struct RequestedEffects {
    connections: Vec<ConnectionId>,
    runs: Vec<Run>,
    withdrawals: Vec<Withdrawal>,
}

/// A line that asks a worker to run a call.
#[derive(Debug)]
struct Run {
    connection: ConnectionId,
    length: u64,
    /// The time that the line states, in milliseconds.
    time_left: u64,
}

/// Bytes that the front end withdraws from those written on a connection.
#[derive(Debug, PartialEq, Eq)]
struct Withdrawal {
    connection: ConnectionId,
    offset: u64,
    length: u64,
}

impl CoreHarness {
    fn requested_effects(&mut self) -> RequestedEffects {
        let mut requested = RequestedEffects::default();
        for effect in self.effects() {
            match effect {
                Effect::Connect { connection, .. } => requested.connections.push(connection),
                Effect::CancelWrite {
                    connection,
                    offset,
                    length,
                } => requested.withdrawals.push(Withdrawal {
                    connection,
                    offset,
                    length,
                }),
                Effect::Write { connection, bytes } if bytes.starts_with(br#"{"cmd":"DO""#) => {
                    let line: serde_json::Value = serde_json::from_slice(&bytes).expect("JSON");
                    requested.runs.push(Run {
                        connection,
                        length: bytes.len() as u64,
                        time_left: line["opts"]["patience"].as_u64().expect("a number"),
                    });
                }
                _ => {}
            }
        }
        requested
    }
}

/// The time in which the front end must answer a call with a timeout of 1,500 ms: 5 ms less.
const CALL_TIME_MS: u64 = 1_495;

#[test]
fn run_states_the_time_left_when_its_connection_is_established() {
    let mut harness = CoreHarness::new();
    let client = harness.connect_client();
    harness.call(client, 7, "view");
    let connections = harness.requested_effects().connections;
    harness.advance(240 * MS);
    harness.core.worker_connected(harness.now, connections[0]);
    let runs = harness.requested_effects().runs;
    assert!(
        runs.len() == 1 && runs[0].time_left == CALL_TIME_MS - 240,
        "{runs:?}"
    );
}

#[test]
fn run_states_the_time_left_when_it_is_resent() {
    let mut harness = CoreHarness::new();
    let client = harness.connect_client();
    harness.call(client, 7, "view");
    let first = harness.requested_effects().connections[0];
    harness.advance(100 * MS);
    harness.core.worker_connected(harness.now, first);
    assert_eq!(
        harness.requested_effects().runs[0].time_left,
        CALL_TIME_MS - 100
    );
    harness.advance(50 * MS);
    // The connection breaks after the operating system has accepted a part of the line.
    harness.core.worker_closed(harness.now, first, 5);
    let second = harness.requested_effects().connections[0];
    harness.advance(60 * MS);
    harness.core.worker_connected(harness.now, second);
    let runs = harness.requested_effects().runs;
    assert!(
        runs.len() == 1 && runs[0].time_left == CALL_TIME_MS - 210,
        "{runs:?}"
    );
}

#[test]
fn unread_run_is_withdrawn_and_states_the_time_left_at_the_next_worker() {
    for accepted in [0, 5] {
        let mut harness = CoreHarness::new();
        let client = harness.connect_client();
        harness.call(client, 7, "view");
        let first = harness.requested_effects().connections[0];
        harness.core.worker_connected(harness.now, first);
        let Run {
            length, time_left, ..
        } = harness.requested_effects().runs[0];
        assert_eq!(time_left, CALL_TIME_MS);
        harness
            .core
            .worker_blocked(harness.now, first, Some(accepted));
        harness.advance(150 * MS);
        let requested = harness.requested_effects();
        let withdrawal = Withdrawal {
            connection: first,
            offset: accepted,
            length: length - accepted,
        };
        assert_eq!(requested.withdrawals, [withdrawal]);
        harness.advance(50 * MS);
        let second = requested.connections.last().expect("another worker");
        harness.core.worker_connected(harness.now, *second);
        let runs = harness.requested_effects().runs;
        assert!(
            runs.len() == 1
                && runs[0].connection == *second
                && runs[0].time_left == CALL_TIME_MS - 200,
            "{runs:?}"
        );
    }
}
