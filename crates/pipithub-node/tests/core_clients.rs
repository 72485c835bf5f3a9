//! The front end without sockets: limits on clients, and what they send wrongly.

mod core_harness;

use core_harness::{CoreHarness, MS, SERVED, config};
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_platform::list;

#[test]
fn what_clients_send_wrongly_is_answered_with_an_error_and_reaches_no_worker() {
    let call = r#""params":{"call":"0000000000000001","ttl":TTL,"row":"00000000000000aa","props":"PROPS","body":"BODY"}"#;
    let with = |method: &str, ttl: &str, props: &str, body: &str| {
        let call = call
            .replace("TTL", ttl)
            .replace("PROPS", props)
            .replace("BODY", body);
        format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}",{call}}}"#)
    };
    let bad = [
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
    for line in bad {
        let mut b = CoreHarness::new();
        let client = b.client();
        b.say(client, &line);
        let written = b.written();
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
fn silent_clients_and_too_many_are_closed_and_one_with_an_open_call_is_not() {
    let mut b = CoreHarness::new();
    let (client, _) = b.sent("view");
    let silent = b.client();
    let half = b.client();
    b.core.client_bytes(b.now, half, b"{\"json");
    b.pass(2_100 * MS);
    let closed: Vec<ConnectionId> = b
        .written()
        .iter()
        .filter(|(_, l)| l == "closed")
        .map(|(c, _)| *c)
        .collect();
    assert!(
        closed.contains(&silent) && closed.contains(&half) && !closed.contains(&client),
        "{closed:?}"
    );
    let mut b = CoreHarness::new();
    let (client, _) = b.sent("view");
    for _ in 0..200 {
        b.client();
        assert!(!b.written().contains(&(client, "closed".to_string())));
        assert!(
            b.core.connections().clients <= 24,
            "the descriptors of 64 suffice"
        );
    }
}

/// A close would lose the calls that are open on the connection: what was taken is owed its answer.
#[test]
fn a_client_that_sends_noise_still_gets_the_answers_it_is_owed_and_then_a_close() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("assign");
    b.say(client, "noise");
    b.call(client, 8, "view");
    // The call behind it has not run, and is told so.
    let written = b.written();
    assert!(
        written.len() == 2 && written.iter().all(|(connection, _)| *connection == client),
        "{written:?}"
    );
    assert!(
        written[0].1.contains("-32700") && written[1].1.contains("\"id\":8"),
        "{written:?}"
    );
    assert!(written[1].1.contains("-32050"), "{written:?}");
    b.core.worker_bytes(b.now, worker, SERVED);
    let to_client: Vec<_> = b
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
fn slips_on_a_long_connection_do_not_add_up_but_in_a_row_they_end_it() {
    let mut b = CoreHarness::new();
    let client = b.client();
    let closed = |b: &mut CoreHarness| {
        b.written()
            .iter()
            .any(|(connection, l)| *connection == client && l == "closed")
    };
    for id in 1..20 {
        b.say(
            client,
            &format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#),
        );
        b.call(client, 100 + id, "view");
        b.say(
            client,
            &format!(
                r#"{{"jsonrpc":"2.0","method":"forget","params":{{"id":{}}}}}"#,
                100 + id
            ),
        );
        assert!(!closed(&mut b), "after {id}");
    }
    for id in 200..204 {
        b.say(
            client,
            &format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#),
        );
    }
    assert!(closed(&mut b));
}

#[test]
fn a_call_beyond_those_that_may_be_open_is_refused_and_the_others_go_on() {
    let mut b = CoreHarness::new();
    let hosts: Vec<_> = (0..40)
        .map(|n| serde_json::json!({"host": format!("h{n}"), "dial": format!("10.0.0.2:{n}"), "health": "SERVING"}))
        .collect();
    let event =
        serde_json::json!({"index": 2, "endpoints": {"seq": 2, "whole": false, "hosts": hosts}});
    let event = list::parse(&event.to_string(), &config().site.names).expect("event");
    b.core.update_endpoints(b.now, &event);
    let client = b.client();
    // Answered without a close, as a client may be a moment ahead in what it counts as over.
    for id in 1..=40 {
        // A function each, so that the module takes all of them.
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"view","params":{{"call":"{id:016x}","ttl":1500,"row":"{id:016x}"}}}}"#
        );
        b.say(client, &line);
    }
    let mut answers = b.written();
    answers.retain(|(connection, _)| *connection == client);
    let beyond =
        |l: &str| l.contains("too many") && l.contains("-32050") && l.contains("\"pushback\":500");
    let refused: Vec<_> = answers.iter().filter(|(_, l)| beyond(l)).collect();
    assert!(
        refused.len() == 8 && answers.len() == 8 && !answers.iter().any(|(_, l)| l == "closed"),
        "{answers:?}"
    );
    assert_eq!(b.core.pending_requests(), 32);
}

/// A late client states a little more than its class's three seconds; it is held to these, and not turned away.
#[test]
fn a_client_that_states_a_little_too_much_time_is_served_within_its_class() {
    for (ttl, taken) in [
        ("3000", true),
        ("3049", true),
        ("6001", false),
        ("-5", false),
        ("1e23", false),
    ] {
        let mut b = CoreHarness::new();
        let client = b.client();
        b.say(
            client,
            &format!(
                r#"{{"jsonrpc":"2.0","id":7,"method":"view","params":{{"call":"0000000000000007","ttl":{ttl},"row":"00000000000000aa"}}}}"#
            ),
        );
        let sent = b
            .written()
            .into_iter()
            .find(|(connection, _)| *connection != client)
            .map(|(_, line)| line);
        assert_eq!(sent.is_some(), taken, "{ttl}");
        if let Some(line) = sent {
            assert!(
                line.contains(r#""patience":29"#),
                "a little under three seconds: {line}"
            );
        }
    }
}

/// A request may come in the very moment in which its connection is to be closed as silent, or to make room.
#[test]
fn a_silent_client_whose_request_comes_as_it_is_to_be_closed_is_served() {
    let mut b = CoreHarness::new();
    let silent = b.client();
    b.pass(2_100 * MS);
    assert!(
        b.effects().contains(&Effect::Retire { connection: silent }),
        "the shell looks once more"
    );
    b.call(silent, 7, "view");
    b.core.close_client_if_idle(b.now, silent);
    let written = b.written();
    assert!(
        written.iter().any(|(_, line)| line.contains("\"DO\"")),
        "{written:?}"
    );
    assert!(
        !written.contains(&(silent, "closed".to_string())),
        "{written:?}"
    );
}
