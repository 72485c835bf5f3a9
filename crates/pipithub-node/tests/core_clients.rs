//! The front end without sockets: limits for clients, and malformed requests.

mod core_harness;

use core_harness::{CoreHarness, MS, SERVED, config};
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_platform::list;

#[test]
fn malformed_request_is_answered_with_an_error_and_reaches_no_worker() {
    let call = r#""params":{"call":"0000000000000001","ttl":TTL,"row":"00000000000000aa","props":"PROPS","body":"BODY"}"#;
    let with = |method: &str, ttl: &str, props: &str, body: &str| {
        let call = call
            .replace("TTL", ttl)
            .replace("PROPS", props)
            .replace("BODY", body);
        format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}",{call}}}"#)
    };
    let malformed = [
        "noise".to_string(),
        "[1,2]".to_string(),
        with("nosuch", "1500", "", ""),
        with("view", "-1", "", ""),
        with("view", "1e12", "", ""),
        with("view", "\"soon\"", "", ""),
        with("view", "1500", "memory_mb:-1", ""),
        with("view", "1500", "memory_mb:99999999", ""),
        with("view", "1500", "lanes:0", ""),
        with("view", "1500", "lanes:x", ""),
        with("view", "1500", "", "not base64"),
        with("view", "1500", "", &"AAAA".repeat(6000)),
        with("view", "1500", "", "").replace("\"id\":1,", ""),
        with("view", "1500", "", "").replace("\"id\":1,", "\"id\":0,"),
        with("view", "1500", "", "").replace("00000000000000aa", "aa"),
        "[".repeat(5000),
        "x".repeat(200_000),
    ];
    for line in malformed {
        let mut harness = CoreHarness::new();
        let client = harness.connect_client();
        harness.send_line(client, &line);
        let written = harness.written();
        assert!(
            !written.is_empty() && written.iter().all(|(connection, _)| *connection == client),
            "{line:.80}"
        );
        assert!(
            written[0].1.contains("\"error\""),
            "{line:.80}: {written:?}"
        );
    }
}

#[test]
fn silent_and_excess_clients_are_closed_but_not_one_with_a_pending_call() {
    let mut harness = CoreHarness::new();
    let (client, _) = harness.start_call("view");
    let silent = harness.connect_client();
    let incomplete = harness.connect_client();
    harness
        .core
        .client_bytes(harness.now, incomplete, b"{\"json");
    harness.advance(2_100 * MS);
    let closed: Vec<ConnectionId> = harness
        .written()
        .iter()
        .filter(|(_, l)| l == "closed")
        .map(|(c, _)| *c)
        .collect();
    assert!(
        closed.contains(&silent) && closed.contains(&incomplete) && !closed.contains(&client),
        "{closed:?}"
    );
    let mut harness = CoreHarness::new();
    let (client, _) = harness.start_call("view");
    for _ in 0..200 {
        harness.connect_client();
        assert!(!harness.written().contains(&(client, "closed".to_string())));
        assert!(
            harness.core.connections().clients <= 24,
            "of 64 descriptors, clients get 24"
        );
    }
}

/// An immediate close would lose the answers to pending calls.
#[test]
fn client_that_sends_a_malformed_line_gets_pending_answers_and_then_a_close() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("assign");
    harness.send_line(client, "noise");
    harness.call(client, 8, "view");
    // The call behind the malformed line is rejected as not run.
    let written = harness.written();
    assert!(
        written.len() == 2 && written.iter().all(|(connection, _)| *connection == client),
        "{written:?}"
    );
    assert!(
        written[0].1.contains("-32700") && written[1].1.contains("\"id\":8"),
        "{written:?}"
    );
    assert!(written[1].1.contains("-32050"), "{written:?}");
    harness.core.worker_bytes(harness.now, worker, SERVED);
    let to_client: Vec<_> = harness
        .written()
        .into_iter()
        .filter(|(connection, _)| *connection == client)
        .collect();
    assert!(
        to_client.len() == 2 && to_client[0].1.contains("result"),
        "{to_client:?}"
    );
    assert_eq!(to_client[1].1, "closed");
}

#[test]
fn only_consecutive_faulty_requests_end_a_connection() {
    let mut harness = CoreHarness::new();
    let client = harness.connect_client();
    let closed = |harness: &mut CoreHarness| {
        harness
            .written()
            .iter()
            .any(|(connection, l)| *connection == client && l == "closed")
    };
    for id in 1..20 {
        harness.send_line(
            client,
            &format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#),
        );
        harness.call(client, 100 + id, "view");
        harness.send_line(
            client,
            &format!(
                r#"{{"jsonrpc":"2.0","method":"forget","params":{{"id":{}}}}}"#,
                100 + id
            ),
        );
        assert!(!closed(&mut harness), "after {id}");
    }
    for id in 200..204 {
        harness.send_line(
            client,
            &format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#),
        );
    }
    assert!(closed(&mut harness));
}

#[test]
fn call_beyond_the_pending_limit_is_rejected_and_the_others_go_on() {
    let mut harness = CoreHarness::new();
    let hosts: Vec<_> = (0..40)
        .map(|n| serde_json::json!({"host": format!("h{n}"), "dial": format!("10.0.0.2:{n}"), "health": "SERVING"}))
        .collect();
    let event =
        serde_json::json!({"index": 2, "endpoints": {"seq": 2, "whole": false, "hosts": hosts}});
    let event = list::parse(&event.to_string(), &config().site.names).expect("a valid event");
    harness.core.update_endpoints(harness.now, &event);
    let client = harness.connect_client();
    // The connection stays open, as client and front end may briefly differ on which calls have ended.
    for id in 1..=40 {
        // Each call is for a function of its own, so that the policy module admits all of them.
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"view","params":{{"call":"{id:016x}","ttl":1500,"row":"{id:016x}"}}}}"#
        );
        harness.send_line(client, &line);
    }
    let mut answers = harness.written();
    answers.retain(|(connection, _)| *connection == client);
    let beyond =
        |l: &str| l.contains("too many") && l.contains("-32050") && l.contains("\"pushback\":500");
    let rejected: Vec<_> = answers.iter().filter(|(_, l)| beyond(l)).collect();
    assert!(
        rejected.len() == 8 && answers.len() == 8 && !answers.iter().any(|(_, l)| l == "closed"),
        "{answers:?}"
    );
    assert_eq!(harness.core.pending_requests(), 32);
}

/// A client that is late states a little more than the three seconds of its class, and the three seconds still apply.
#[test]
fn call_with_slightly_too_long_a_timeout_is_served_within_its_class() {
    for (ttl, is_admitted) in [
        ("3000", true),
        ("3049", true),
        ("6001", false),
        ("-5", false),
        ("1e23", false),
    ] {
        let mut harness = CoreHarness::new();
        let client = harness.connect_client();
        harness.send_line(
            client,
            &format!(
                r#"{{"jsonrpc":"2.0","id":7,"method":"view","params":{{"call":"0000000000000007","ttl":{ttl},"row":"00000000000000aa"}}}}"#
            ),
        );
        let sent = harness
            .written()
            .into_iter()
            .find(|(connection, _)| *connection != client)
            .map(|(_, line)| line);
        assert_eq!(sent.is_some(), is_admitted, "{ttl}");
        if let Some(line) = sent {
            assert!(
                line.contains(r#""patience":29"#),
                "a little under three seconds: {line}"
            );
        }
    }
}

#[test]
fn request_that_comes_as_its_silent_client_is_closed_is_served() {
    let mut harness = CoreHarness::new();
    let silent = harness.connect_client();
    harness.advance(2_100 * MS);
    assert!(
        harness
            .effects()
            .contains(&Effect::CloseIfIdle { connection: silent }),
        "the shell reads the connection once more"
    );
    harness.call(silent, 7, "view");
    harness.core.close_client_if_idle(harness.now, silent);
    let written = harness.written();
    assert!(
        written.iter().any(|(_, line)| line.contains("\"DO\"")),
        "{written:?}"
    );
    assert!(
        !written.contains(&(silent, "closed".to_string())),
        "{written:?}"
    );
}
