//! The front end without sockets: the time that a worker is told is left.

mod core_harness;

use core_harness::{CoreHarness, MS};
use pipithub_node::effect::{ConnectionId, Effect};

/// What the front end writes and asks for, with no connection brought up by itself.
#[derive(Default)]
struct Asked {
    connects: Vec<ConnectionId>,
    /// Each run that is asked for: its connection, its line's length, and the time that it states, in milliseconds.
    runs: Vec<(ConnectionId, u64, u64)>,
    unwritten: Vec<(ConnectionId, u64, u64)>,
}

impl CoreHarness {
    fn asked(&mut self) -> Asked {
        let mut asked = Asked::default();
        for effect in self.effects() {
            match effect {
                Effect::Connect { connection, .. } => asked.connects.push(connection),
                Effect::CancelWrite {
                    connection,
                    offset,
                    length,
                } => asked.unwritten.push((connection, offset, length)),
                Effect::Write { connection, bytes } if bytes.starts_with(br#"{"cmd":"DO""#) => {
                    let line: serde_json::Value = serde_json::from_slice(&bytes).expect("JSON");
                    let patience = line["opts"]["patience"].as_u64().expect("a figure");
                    asked.runs.push((connection, bytes.len() as u64, patience));
                }
                _ => {}
            }
        }
        asked
    }
}

/// A call of 1,500 ms ends 5 ms before that here; a worker is told what is left of it when its line is written.
#[test]
fn a_worker_is_told_the_time_that_is_left_when_its_connection_comes_up() {
    let mut b = CoreHarness::new();
    let client = b.client();
    b.call(client, 7, "view");
    let connects = b.asked().connects;
    b.pass(240 * MS);
    b.core.worker_connected(b.now, connects[0]);
    let runs = b.asked().runs;
    assert!(runs.len() == 1 && runs[0].2 == 1_495 - 240, "{runs:?}");
}

#[test]
fn a_worker_is_told_the_time_that_is_left_when_a_call_is_written_again() {
    let mut b = CoreHarness::new();
    let client = b.client();
    b.call(client, 7, "view");
    let first = b.asked().connects[0];
    b.pass(100 * MS);
    b.core.worker_connected(b.now, first);
    assert_eq!(b.asked().runs[0].2, 1_495 - 100);
    b.pass(50 * MS);
    // It broke with a part of the line taken.
    b.core.worker_closed(b.now, first, 5);
    let second = b.asked().connects[0];
    b.pass(60 * MS);
    b.core.worker_connected(b.now, second);
    let runs = b.asked().runs;
    assert!(runs.len() == 1 && runs[0].2 == 1_495 - 210, "{runs:?}");
}

#[test]
fn a_call_that_a_worker_does_not_read_is_taken_back_and_states_the_time_left_elsewhere() {
    for taken in [0, 5] {
        let mut b = CoreHarness::new();
        let client = b.client();
        b.call(client, 7, "view");
        let first = b.asked().connects[0];
        b.core.worker_connected(b.now, first);
        let (_, length, patience) = b.asked().runs[0];
        assert_eq!(patience, 1_495);
        b.core.worker_blocked(b.now, first, Some(taken));
        b.pass(150 * MS);
        let asked = b.asked();
        assert_eq!(asked.unwritten, [(first, taken, length - taken)]);
        b.pass(50 * MS);
        let second = asked.connects.last().expect("it goes elsewhere");
        b.core.worker_connected(b.now, *second);
        let runs = b.asked().runs;
        assert!(
            runs.len() == 1 && runs[0].0 == *second && runs[0].2 == 1_495 - 200,
            "{runs:?}"
        );
    }
}
