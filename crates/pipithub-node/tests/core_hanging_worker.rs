//! The front end without sockets: calls at a worker that hangs while a line to it was accepted in part only.

mod core_harness;

use std::collections::BTreeMap;

use core_harness::{CoreHarness, MS, config};
use pipithub_engine::Time;
use pipithub_node::effect::ConnectionId;

/// So few descriptors that there is one connection to each worker.
const MAX_DESCRIPTORS: usize = 32;
const CALL_PREFIX: &str = r#"{"cmd":"DO""#;
/// The calls that may be repeated and the one that may not, all at the worker when it hangs.
const REPEATABLE_CALLS: [u64; 4] = [101, 102, 103, 104];
const OTHER_CALL: u64 = 105;
/// A call whose line the hanging worker gets only in part.
const PARTIAL_CALL: u64 = 106;

/// A front end, and how many bytes it has written on each connection.
struct Fleet {
    harness: CoreHarness,
    client: ConnectionId,
    written_bytes: BTreeMap<ConnectionId, u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut config = config();
        config.max_descriptors = MAX_DESCRIPTORS;
        let mut harness = CoreHarness::with_config(&config);
        let client = harness.connect_client();
        Fleet {
            harness,
            client,
            written_bytes: BTreeMap::new(),
        }
    }

    /// The calls that were written since the last time, with their connections.
    fn forwarded(&mut self) -> Vec<(ConnectionId, u64)> {
        let mut calls = Vec::new();
        for (connection, line) in self.harness.written() {
            *self.written_bytes.entry(connection).or_default() += line.len() as u64;
            if line.starts_with(CALL_PREFIX) {
                calls.push((connection, reference(&line)));
            }
        }
        calls
    }

    /// The calls that are written within this time. Connections are established at once.
    fn forwarded_within(&mut self, time: Time) -> Vec<u64> {
        let end = self.harness.now + time;
        let mut calls = Vec::new();
        while self.harness.now < end {
            self.harness.advance(10 * MS);
            calls.extend(self.forwarded().iter().map(|(_, call)| *call));
        }
        calls
    }

    fn serve(&mut self, connection: ConnectionId, call: u64) {
        let line = format!("{{\"cmd\":\"ACK\",\"ref\":\"{call:016x}\",\"payload\":\"\"}}\n");
        self.harness
            .core
            .worker_bytes(self.harness.now, connection, line.as_bytes());
    }

    /// Sends a call of a function that loads in 50 ms.
    fn send(&mut self, call: u64, class: &str) {
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{call},"method":"{class}","params":{{"call":"{call:016x}","ttl":1500,"row":"00000000000000aa","props":"memory_mb:512;lanes:4;load_ms:50","body":"aGVsbG8="}}}}"#
        );
        self.harness.send_line(self.client, &line);
    }

    /// Has the front end learn how long calls take, by calls that are served one after the other in 20 ms each.
    fn learn_run_times(&mut self) {
        for call in 1..40 {
            let class = if call % 2 == 0 { "view" } else { "assign" };
            self.send(call, class);
            let forwarded = self.forwarded();
            self.harness.advance(20 * MS);
            for (connection, call) in forwarded {
                self.serve(connection, call);
            }
            self.forwarded();
        }
    }

    /// Sends a call and returns the connection that it is written on.
    fn call(&mut self, call: u64, class: &str) -> ConnectionId {
        self.send(call, class);
        let forwarded = self.forwarded();
        let sent = forwarded.iter().find(|(_, sent)| *sent == call);
        sent.expect("the call is forwarded").0
    }
}

fn reference(line: &str) -> u64 {
    let (_, rest) = line.split_once(r#""ref":""#).expect("a reference");
    u64::from_str_radix(&rest[..16], 16).expect("a call's name")
}

/// Guards against two attempts at once: the front end gave up the first attempts at a hanging worker without a word to
/// it and sent the calls to another worker, while the hanging one still had them.
#[test]
fn call_gets_no_second_attempt_while_the_hanging_worker_was_not_told_to_give_up_the_first() {
    let mut fleet = Fleet::new();
    fleet.learn_run_times();
    let connections: Vec<_> = REPEATABLE_CALLS
        .iter()
        .map(|call| fleet.call(*call, "view"))
        .collect();
    let hanging = fleet.call(OTHER_CALL, "assign");
    assert!(connections.iter().all(|connection| *connection == hanging));
    assert_eq!(fleet.call(PARTIAL_CALL, "assign"), hanging);
    // The system accepts all but the last byte of the last line.
    let accepted = fleet.written_bytes[&hanging] - 1;
    fleet
        .harness
        .core
        .worker_blocked(fleet.harness.now, hanging, Some(accepted));
    // The front end withdraws that line, finds the worker silent and gives up what may be repeated.
    let elsewhere = fleet.forwarded_within(600 * MS);
    assert_eq!(elsewhere, [PARTIAL_CALL], "the others are still out");
    // The last call whose answer is awaited there has it: the connection is closed, which gives up the others.
    fleet.serve(hanging, OTHER_CALL);
    let mut repeated = fleet.forwarded_within(20 * MS);
    repeated.sort_unstable();
    assert_eq!(repeated, REPEATABLE_CALLS);
}
