//! Trouble at workers or with other clients: every request has its one final answer all the same.

mod core_harness;

use std::collections::BTreeMap;

use core_harness::{CoreHarness, MS, config};
use pipithub_node::effect::ConnectionId;

const CALLS: u64 = 24;
const FLOOD: &str = "{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n";

/// A trouble, with the front end, the client whose calls are open, and what was written to which worker for them.
type Trouble = fn(&mut CoreHarness, &BTreeMap<ConnectionId, Vec<String>>);

fn line(id: u64, class: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"call":"{id:016x}","ttl":1500,"row":"{id:016x}"}}}}"#
    )
}

/// Has one client ask, and the trouble come; how long after it each call had its answer, in milliseconds.
fn answers(class: &str, max_pending_requests: usize, trouble: Trouble) -> BTreeMap<u64, u64> {
    let mut config = config();
    config.site.transport.max_pending_requests = max_pending_requests;
    // One connection to each worker.
    config.max_descriptors = 32;
    let mut b = CoreHarness::of(&config);
    let client = b.client();
    let mut answers = BTreeMap::new();
    let mut asked: BTreeMap<ConnectionId, Vec<String>> = BTreeMap::new();
    let mut note =
        |written: Vec<(ConnectionId, String)>, at: u64, answers: &mut BTreeMap<u64, u64>| {
            for (connection, line) in written {
                if connection != client {
                    asked.entry(connection).or_default().push(line);
                    continue;
                }
                let answer: serde_json::Value = serde_json::from_str(&line).expect("an answer");
                let earlier = answers.insert(answer["id"].as_u64().expect("a number"), at);
                assert_eq!(earlier, None, "a second answer: {line}");
            }
            asked.clone()
        };
    for id in 1..=CALLS {
        b.say(client, &line(id, class));
    }
    let written = b.written();
    let asked = note(written, 0, &mut answers);
    trouble(&mut b, &asked);
    for at in 0..160 {
        let written = b.written();
        note(written, 10 * at, &mut answers);
        b.pass(10 * MS);
    }
    assert_eq!(b.core.pending_requests(), 0);
    answers
}

fn noise_on_all(b: &mut CoreHarness, asked: &BTreeMap<ConnectionId, Vec<String>>) {
    assert!(
        asked.values().any(|lines| lines.len() > 1),
        "some connection is shared: {asked:?}"
    );
    for connection in asked.keys() {
        b.core.worker_bytes(b.now, *connection, b"noise\n");
    }
}

fn flood(b: &mut CoreHarness, asked: &BTreeMap<ConnectionId, Vec<String>>) {
    for connection in asked.keys() {
        (0..200).for_each(|_| {
            b.core
                .worker_bytes(b.now, *connection, FLOOD.repeat(100).as_bytes());
        });
    }
}

fn others_faults(b: &mut CoreHarness, _: &BTreeMap<ConnectionId, Vec<String>>) {
    // Names of the first client's calls, cancels for them, noise, a line too long, and a close.
    let other = b.client();
    for id in 1..=CALLS {
        b.say(other, &line(id, "view"));
        b.say(
            other,
            &format!(r#"{{"jsonrpc":"2.0","method":"forget","params":{{"call":"{id:016x}"}}}}"#),
        );
    }
    b.say(other, "noise");
    let third = b.client();
    b.core.client_bytes(b.now, third, &vec![b'x'; 40_000]);
    b.core.client_closed(b.now, third);
}

fn all_break(b: &mut CoreHarness, asked: &BTreeMap<ConnectionId, Vec<String>>) {
    for connection in asked.keys() {
        b.core.worker_closed(b.now, *connection, u64::MAX);
    }
}

#[test]
fn every_call_has_one_answer_in_its_time_whatever_goes_wrong_beside_it() {
    let troubles: [(&str, usize, Trouble); 5] = [
        (
            "answers that cannot be read, on shared connections",
            20_000,
            noise_on_all,
        ),
        ("workers that flood", 20_000, flood),
        ("a full table", 4, |_, _| ()),
        ("faults of other clients", 20_000, others_faults),
        ("all connections break", 20_000, all_break),
    ];
    for (name, max_pending_requests, trouble) in troubles {
        for class in ["view", "assign"] {
            let answers = answers(class, max_pending_requests, trouble);
            let missing: Vec<u64> = (1..=CALLS).filter(|id| !answers.contains_key(id)).collect();
            assert!(
                missing.is_empty(),
                "{name}, {class}: no answer to {missing:?}"
            );
            let latest = answers.values().max().expect("some");
            assert!(
                *latest <= 1_500,
                "{name}, {class}: an answer after {latest} ms"
            );
        }
    }
}

/// What must not run twice has nothing to wait for once its connection is of no use.
#[test]
fn calls_that_must_not_run_twice_are_answered_at_once_when_their_shared_connection_is_spoilt() {
    let answers = answers("assign", 20_000, noise_on_all);
    let at_once = answers.values().filter(|at| **at == 0).count();
    assert_eq!(at_once, CALLS as usize, "{answers:?}");
}
