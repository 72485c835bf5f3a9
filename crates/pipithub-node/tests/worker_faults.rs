//! Every request gets exactly one final answer in spite of faults of workers or of other clients.

mod core_harness;

use std::collections::BTreeMap;

use core_harness::{CoreHarness, MS, config};
use pipithub_node::effect::ConnectionId;

const CALLS: u64 = 24;
/// An answer to no request.
const UNEXPECTED_ANSWER: &str = "{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n";

/// Injects a fault while calls are pending. It gets the lines that were written on each connection to a worker.
type Fault = fn(&mut CoreHarness, &BTreeMap<ConnectionId, Vec<String>>);

fn call_line(id: u64, class: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"call":"{id:016x}","ttl":1500,"row":"{id:016x}"}}}}"#
    )
}

/// Sends [`CALLS`] calls from one client and injects the fault; returns for each call how long after the fault it was
/// answered, in milliseconds.
fn answer_times(class: &str, max_pending_requests: usize, fault: Fault) -> BTreeMap<u64, u64> {
    let mut config = config();
    config.site.transport.max_pending_requests = max_pending_requests;
    // One connection to each worker.
    config.max_descriptors = 32;
    let mut harness = CoreHarness::with_config(&config);
    let client = harness.connect_client();
    let mut answers = BTreeMap::new();
    let mut forwarded: BTreeMap<ConnectionId, Vec<String>> = BTreeMap::new();
    let mut record =
        |written: Vec<(ConnectionId, String)>, at: u64, answers: &mut BTreeMap<u64, u64>| {
            for (connection, line) in written {
                if connection != client {
                    forwarded.entry(connection).or_default().push(line);
                    continue;
                }
                let answer: serde_json::Value = serde_json::from_str(&line).expect("an answer");
                let earlier = answers.insert(answer["id"].as_u64().expect("a number"), at);
                assert_eq!(earlier, None, "a second answer: {line}");
            }
            forwarded.clone()
        };
    for id in 1..=CALLS {
        harness.send_line(client, &call_line(id, class));
    }
    let written = harness.written();
    let forwarded = record(written, 0, &mut answers);
    fault(&mut harness, &forwarded);
    for at in 0..160 {
        let written = harness.written();
        record(written, 10 * at, &mut answers);
        harness.advance(10 * MS);
    }
    assert_eq!(harness.core.pending_requests(), 0);
    answers
}

fn send_malformed_answers(
    harness: &mut CoreHarness,
    forwarded: &BTreeMap<ConnectionId, Vec<String>>,
) {
    assert!(
        forwarded.values().any(|lines| lines.len() > 1),
        "some connection is shared: {forwarded:?}"
    );
    for connection in forwarded.keys() {
        harness
            .core
            .worker_bytes(harness.now, *connection, b"noise\n");
    }
}

fn send_unexpected_answers(
    harness: &mut CoreHarness,
    forwarded: &BTreeMap<ConnectionId, Vec<String>>,
) {
    for connection in forwarded.keys() {
        (0..200).for_each(|_| {
            harness.core.worker_bytes(
                harness.now,
                *connection,
                UNEXPECTED_ANSWER.repeat(100).as_bytes(),
            );
        });
    }
}

fn fail_as_other_clients(harness: &mut CoreHarness, _: &BTreeMap<ConnectionId, Vec<String>>) {
    // Calls with the names of the first client's calls, cancels of these, a malformed line, a line that is too long,
    // and a close.
    let other = harness.connect_client();
    for id in 1..=CALLS {
        harness.send_line(other, &call_line(id, "view"));
        harness.send_line(
            other,
            &format!(r#"{{"jsonrpc":"2.0","method":"forget","params":{{"call":"{id:016x}"}}}}"#),
        );
    }
    harness.send_line(other, "noise");
    let third = harness.connect_client();
    harness
        .core
        .client_bytes(harness.now, third, &vec![b'x'; 40_000]);
    harness.core.client_closed(harness.now, third);
}

fn break_all_connections(
    harness: &mut CoreHarness,
    forwarded: &BTreeMap<ConnectionId, Vec<String>>,
) {
    for connection in forwarded.keys() {
        harness
            .core
            .worker_closed(harness.now, *connection, u64::MAX);
    }
}

#[test]
fn every_call_gets_one_answer_in_time_despite_faults_around_it() {
    let faults: [(&str, usize, Fault); 5] = [
        (
            "malformed answers on shared connections",
            20_000,
            send_malformed_answers,
        ),
        ("many unexpected answers", 20_000, send_unexpected_answers),
        ("too many pending requests", 4, |_, _| ()),
        ("faults of other clients", 20_000, fail_as_other_clients),
        ("all connections break", 20_000, break_all_connections),
    ];
    for (name, max_pending_requests, fault) in faults {
        for class in ["view", "assign"] {
            let answers = answer_times(class, max_pending_requests, fault);
            let missing: Vec<u64> = (1..=CALLS).filter(|id| !answers.contains_key(id)).collect();
            assert!(
                missing.is_empty(),
                "{name}, {class}: no answer to {missing:?}"
            );
            let latest = answers.values().max().expect("at least one answer");
            assert!(
                *latest <= 1_500,
                "{name}, {class}: an answer after {latest} ms"
            );
        }
    }
}

#[test]
fn non_idempotent_calls_fail_at_once_after_a_malformed_answer_on_their_shared_connection() {
    let answers = answer_times("assign", 20_000, send_malformed_answers);
    let at_once = answers.values().filter(|at| **at == 0).count();
    assert_eq!(at_once, CALLS as usize, "{answers:?}");
}
