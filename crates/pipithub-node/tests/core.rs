//! The front end without sockets: what clients and workers send, and what goes back.

mod core_harness;

use core_harness::{CoreHarness, MS, config};
use pipithub_node::effect::{ConnectionId, Effect};
use pipithub_platform::list;

const SERVED: &[u8] = b"{\"cmd\":\"ACK\",\"ref\":\"0000000000000007\",\"opts\":{\"same\":\"2\",\"l\":\"inflight:1\"},\"payload\":\"d29ybGQ=\"}\n";

#[test]
fn a_call_is_answered_once_with_what_the_worker_gave() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("assign");
    // An answer to nothing open comes first, and the answer twice.
    b.core.worker_bytes(
        b.now,
        worker,
        b"{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n",
    );
    b.core.worker_bytes(b.now, worker, &SERVED[..20]);
    b.core.worker_bytes(b.now, worker, &SERVED[20..]);
    b.core.worker_bytes(b.now, worker, SERVED);
    let answer = "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{\"body\":\"d29ybGQ=\"}}\n".to_string();
    assert_eq!(b.written(), [(client, answer)]);
    assert_eq!((b.core.pending_requests(), b.core.stats().served), (0, 1));
}

#[test]
fn a_spoilt_answer_closes_its_connection_and_an_unsafe_call_is_failed_not_refused() {
    for spoilt in [
        "{\"cmd\":\"ACK\",\"ref\":\"0000000000000007\",\"payload\":\"!!\"}\n",
        "noise\n",
    ] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("assign");
        b.core.worker_bytes(b.now, worker, spoilt.as_bytes());
        let written = b.written();
        assert!(written.contains(&(worker, "closed".to_string())));
        let to_client: Vec<_> = written
            .iter()
            .filter(|(connection, _)| *connection == client)
            .collect();
        assert!(
            to_client.len() == 1 && to_client[0].1.contains("-32000"),
            "{to_client:?}"
        );
    }
    // A line without end is spoilt too, within a bound.
    let mut b = CoreHarness::new();
    let (_, worker) = b.sent("assign");
    (0..20).for_each(|_| b.core.worker_bytes(b.now, worker, &[b'x'; 16 << 10]));
    assert!(b.written().contains(&(worker, "closed".to_string())));
}

#[test]
fn a_safe_call_whose_connection_breaks_runs_elsewhere() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_closed(b.now, worker, u64::MAX);
    let written = b.written();
    assert!(
        written
            .iter()
            .any(|(connection, line)| *connection != client && line.contains("\"DO\"")),
        "{written:?}"
    );
}

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
fn a_name_in_use_is_not_called_harmless_and_its_owner_keeps_its_answer() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("assign");
    let other = b.client();
    b.call(other, 7, "assign");
    let written = b.written();
    assert!(
        written.len() == 1 && written[0].0 == other && !written[0].1.contains("-32050"),
        "{written:?}"
    );
    b.core.worker_bytes(b.now, worker, SERVED);
    assert!(
        b.written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("result"))
    );
}

#[test]
fn a_client_that_leaves_or_forgets_has_its_call_withdrawn() {
    for forgets in [true, false] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("view");
        if forgets {
            b.say(
                client,
                r#"{"jsonrpc":"2.0","method":"forget","params":{"id":7}}"#,
            );
        } else {
            b.core.client_closed(b.now, client);
        }
        let undo = "{\"cmd\":\"UNDO\",\"ref\":\"0000000000000007\"}\n".to_string();
        assert_eq!(b.written(), [(worker, undo)]);
        b.core.worker_bytes(b.now, worker, SERVED);
        assert!(b.written().is_empty() && b.core.pending_requests() == 0);
    }
}

#[test]
fn a_call_that_no_worker_answers_ends_before_its_time_and_says_when_to_come_back() {
    let mut b = CoreHarness::new();
    let (client, _) = b.sent("view");
    b.pass(1_500 * MS);
    let answers: Vec<_> = b
        .written()
        .into_iter()
        .filter(|(connection, _)| *connection == client)
        .collect();
    assert!(
        answers.len() == 1 && answers[0].1.contains("-32050"),
        "{answers:?}"
    );
    assert!(answers[0].1.contains("\"pushback\":500"));
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

#[test]
fn a_stop_finishes_what_is_open_and_takes_calls_while_clients_still_send() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.begin_shutdown(b.now);
    b.say(client, r#"{"jsonrpc":"2.0","id":8,"method":"isWell"}"#);
    assert!(b.written()[0].1.contains("\"healthy\":false"));
    b.pass(500 * MS);
    b.call(client, 9, "assign");
    assert!(
        b.written()
            .iter()
            .any(|(connection, _)| *connection != client),
        "still taken"
    );
    b.pass(400 * MS);
    b.call(client, 10, "view");
    assert!(
        b.written()
            .iter()
            .any(|(connection, l)| *connection == client && l.contains("-32050")),
        "refused at once"
    );
    b.core.worker_bytes(b.now, worker, SERVED);
    assert!(!b.core.is_drained(b.now), "a call is open");
    b.pass(2_000 * MS);
    assert!(b.core.is_drained(b.now) && b.core.pending_requests() == 0);
}

#[test]
fn nothing_new_goes_to_a_worker_that_drains() {
    let mut b = CoreHarness::new();
    let (_, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.written();
    let drains = |id: &str| {
        let text = format!(
            r#"{{"index":2,"endpoints":{{"seq":2,"whole":false,"hosts":[{{"host":"{id}","dial":"10.0.0.1:9","health":"DRAINING"}}]}}}}"#
        );
        list::parse(&text, &config().site.names).expect("event")
    };
    ["w1", "w2"]
        .iter()
        .for_each(|id| b.core.update_endpoints(b.now, &drains(id)));
    let client = b.client();
    b.call(client, 20, "view");
    let written = b.written();
    assert!(
        written.iter().all(|(connection, _)| *connection == client),
        "{written:?}"
    );
    assert!(
        written.iter().any(|(_, line)| line.contains("-32050")),
        "refused, unsent and at once"
    );
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

const FORGET: &str = r#"{"jsonrpc":"2.0","method":"forget","params":{"id":7}}"#;

/// Asked and taken back within what was read at once: to begin it would be an attempt for nobody.
#[test]
fn a_call_that_is_forgotten_in_the_same_breath_is_not_begun() {
    for forget in [
        FORGET,
        r#"{"jsonrpc":"2.0","method":"forget","params":{"call":"0000000000000007"}}"#,
    ] {
        let mut b = CoreHarness::new();
        let client = b.client();
        let call = r#"{"jsonrpc":"2.0","id":7,"method":"view","params":{"call":"0000000000000007","ttl":1500,"row":"00000000000000aa"}}"#;
        b.say(client, &format!("{call}\n{forget}"));
        assert_eq!((b.written(), b.core.pending_requests()), (vec![], 0));
        b.call(client, 8, "view");
        assert!(
            b.written().iter().any(|(_, line)| line.contains("\"DO\"")),
            "others are"
        );
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

/// The same name again, after what must not run twice has ended: by answer, by a close, by a forget.
#[test]
fn a_call_that_may_have_run_is_not_run_again_under_its_name() {
    for how in ["answered", "closed", "forgotten"] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("assign");
        match how {
            "answered" => b.core.worker_bytes(b.now, worker, SERVED),
            "closed" => b.core.client_closed(b.now, client),
            _ => b.say(client, FORGET),
        }
        b.written();
        let other = b.client();
        b.call(other, 7, "assign");
        let written = b.written();
        assert!(
            written.len() == 1 && written[0].0 == other && written[0].1.contains("-32600"),
            "{how}: {written:?}"
        );
        // Not for ever: the name means nothing once nobody can wait for it any more.
        b.pass(3_100 * MS);
        let other = b.client();
        b.call(other, 7, "assign");
        assert!(
            b.written().iter().any(|(_, line)| line.contains("\"DO\"")),
            "{how}"
        );
    }
    // What may be repeated is.
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.call(client, 7, "view");
    assert!(b.written().iter().any(|(_, line)| line.contains("\"DO\"")));
}

/// A worker turns a call away and its answer comes twice; the second must not end the next attempt, which then would be
/// taken for one that never ran.
#[test]
fn a_second_copy_of_an_answer_does_not_end_a_later_call_of_the_same_name() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.written();
    b.call(client, 7, "view");
    b.written();
    b.core.worker_bytes(b.now, worker, SERVED);
    assert!(
        b.written()
            .iter()
            .all(|(connection, _)| *connection != client),
        "the second call is still open"
    );
    assert_eq!(b.core.pending_requests(), 1);
}

/// A deadline of a minute: it counts as 3 s.
#[test]
fn a_stop_does_not_wait_for_deadlines_beyond_those_that_the_platform_counts() {
    let mut config = config();
    config
        .site
        .policy
        .classes
        .iter_mut()
        .for_each(|c| c.client_timeout = 60_000 * MS);
    let mut b = CoreHarness::of(&config);
    let client = b.client();
    let line = r#"{"jsonrpc":"2.0","id":7,"method":"assign","params":{"call":"0000000000000007","ttl":60000,"row":"00000000000000aa"}}"#;
    b.say(client, line);
    b.written();
    b.core.begin_shutdown(b.now);
    b.pass(3_690 * MS);
    assert!(
        b.written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("-32000"))
    );
    assert!(b.core.is_drained(b.now));
    // Whoever comes later still is refused at once.
    b.call(client, 9, "view");
    assert!(
        b.written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("-32050"))
    );
}

/// Wherever its call stands, a client that has gone gets no further attempt: here between two.
#[test]
fn a_worker_that_turns_a_call_away_after_its_client_has_gone_does_not_send_it_on() {
    for forgets in [true, false] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("view");
        if forgets {
            b.say(client, FORGET);
        } else {
            b.core.client_closed(b.now, client);
        }
        b.written();
        b.core.worker_bytes(
            b.now,
            worker,
            b"{\"cmd\":\"AGAIN\",\"ref\":\"0000000000000007\"}\n",
        );
        assert_eq!((b.written(), b.core.pending_requests()), (vec![], 0));
        b.core.worker_closed(b.now, worker, u64::MAX);
        b.pass(5_000 * MS);
        assert!(b.written().iter().all(|(_, line)| !line.contains("\"DO\"")));
    }
}

/// And here while it waits, unsent, for a load that it had ordered.
#[test]
fn a_call_whose_client_has_gone_while_it_waited_for_a_load_is_not_sent() {
    let mut config = config();
    config.site.policy.loading.loads_on_request = false;
    let mut b = CoreHarness::of(&config);
    // Nothing stands anywhere: found missing at its home, it is ordered there.
    let (client, home) = b.sent("view");
    b.core.worker_bytes(
        b.now,
        home,
        b"{\"cmd\":\"NOENT\",\"ref\":\"0000000000000007\"}\n",
    );
    let written = b.written();
    let (worker, order) = written
        .iter()
        .find(|(_, line)| line.contains("\"PIN\""))
        .expect("ordered")
        .clone();
    b.core.client_closed(b.now, client);
    let tag = order.split('"').nth(7).expect("a tag");
    b.core.worker_bytes(
        b.now,
        worker,
        format!("{{\"cmd\":\"ACK\",\"ref\":\"{tag}\",\"opts\":{{\"n\":1}}}}\n").as_bytes(),
    );
    b.pass(1_000 * MS);
    let written = b.written();
    assert!(
        written.iter().all(|(_, line)| !line.contains("\"DO\"")),
        "{written:?}"
    );
}

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
