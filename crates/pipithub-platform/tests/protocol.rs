//! Framing and parsing of lines, events and settings, valid and invalid.

use pipithub_platform::client::{self, ClientLine};
use pipithub_platform::line::LineFramer;
use pipithub_platform::list::{MAX_ENDPOINT_BYTES, MAX_ENDPOINTS};
use pipithub_platform::settings::SiteSettings;
use pipithub_platform::sse::{EventTooLong, MAX_DATA_BYTES, SseEvent, SseReader};
use pipithub_platform::{config::NodeConfig, list, worker};
use pipithub_policy::api::{Class, Idempotency, Settings};
use proptest::prelude::*;

fn site() -> SiteSettings {
    let mut site = SiteSettings {
        policy: Settings::default(),
        ..SiteSettings::default()
    };
    site.policy.classes.push(Class::default());
    site.names.classes.push("view".to_string());
    site
}

/// The lines of a stream that arrives in pieces, and whether a line exceeded the maximum.
fn lines(pieces: &[&[u8]], max_bytes: usize) -> (Vec<Vec<u8>>, bool) {
    let (mut framer, mut lines) = (LineFramer::new(max_bytes), Vec::new());
    for piece in pieces {
        framer.push(piece);
        loop {
            match framer.next_line() {
                Ok(Some(line)) => lines.push(line.to_vec()),
                Ok(None) => break,
                Err(_) => return (lines, true),
            }
        }
    }
    (lines, false)
}

proptest! {
    #[test]
    fn lines_do_not_depend_on_how_the_bytes_are_divided(
        text in prop::collection::vec(prop::sample::select(vec![b'a', b'b', b'\n']), 0..200),
        cuts in prop::collection::vec(0usize..200, 0..8),
    ) {
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &text[w[0]..w[1]]).collect();
        let (got, long) = lines(&pieces, 200);
        let mut expected: Vec<Vec<u8>> = text.split(|b| *b == b'\n').map(<[u8]>::to_vec).collect();
        expected.pop();
        prop_assert_eq!((got, long), (expected, false));
    }

    #[test]
    fn no_bytes_make_a_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = client::read_line(&bytes, &site());
        let _ = worker::read_answer(&bytes);
        let _ = SseReader::default().push(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = list::parse(&text, &site().names);
        let _ = NodeConfig::parse(&text);
        let _ = worker::read_load_report(&text);
    }

    #[test]
    fn body_is_forwarded_and_returned_unchanged(body in prop::collection::vec(any::<u8>(), 0..600)) {
        let line = worker::run_line("9b1f03aa5c7e2d41", "view", "7f3a9c21e0b4d655", 1_500_000_000, None, &body);
        let sent: serde_json::Value = serde_json::from_slice(&line).unwrap();
        let text = sent["payload"].as_str().unwrap();
        let back = worker::read_answer(format!(r#"{{"cmd":"ACK","ref":1,"payload":"{text}"}}"#).as_bytes()).unwrap();
        prop_assert_eq!(&back.body[..], &body[..]);
        let answer: serde_json::Value = serde_json::from_slice(&client::result_line(3, &back.body)).unwrap();
        prop_assert_eq!(answer["result"]["body"].as_str().unwrap(), text);
    }
}

#[test]
fn line_longer_than_the_bound_is_an_error_complete_or_not() {
    assert_eq!(
        lines(&[b"abc\r\n", b"abcd\n"], 4),
        (vec![b"abc".to_vec(), b"abcd".to_vec()], false)
    );
    assert!(lines(&[b"abcde\n"], 4).1 && lines(&[b"ab", b"cde"], 4).1);
}

#[test]
fn event_is_returned_once_the_empty_line_after_it_has_come() {
    let mut reader = SseReader::default();
    let events = reader
        .push(b": hello\n\nid: 4\nevent: x\ndata: {\"a\":\n")
        .unwrap();
    assert!(events.is_empty());
    let events = reader.push(b"data:1}\n\nid: 5\ndata: cut of").unwrap();
    assert_eq!(
        events,
        [SseEvent {
            id: Some("4".into()),
            data: "{\"a\":\n1}".into()
        }]
    );
}

#[test]
fn answer_options_may_be_numbers_or_text() {
    let line = br#"{"cmd":"ACK","ref":"t1","opts":{"n":"2","same":3,"l":"inflight:7;util:0.61;x0:nan;new:1"},"payload":""}"#;
    let answer = worker::read_answer(line).unwrap();
    assert_eq!(
        (
            answer.replicas,
            answer.function_concurrency,
            answer.reference.as_str()
        ),
        (2, 3, "t1")
    );
    assert_eq!(
        (
            answer.load_report.in_flight,
            answer.load_report.cpu_utilization,
            answer.load_report.pinned_memory
        ),
        (Some(7.0), Some(0.61), None)
    );
    for malformed in [
        "{}",
        "[]",
        r#"{"cmd":"DO","ref":"a"}"#,
        r#"{"cmd":"ACK"}"#,
        r#"{"cmd":"ACK","ref":"a","payload":"%"}"#,
    ] {
        assert!(
            worker::read_answer(malformed.as_bytes()).is_err(),
            "{malformed}"
        );
    }
}

#[test]
fn error_of_an_endpoint_event_names_the_faulty_field() {
    let event =
        |host: &str| format!(r#"{{"index":3,"endpoints":{{"whole":true,"hosts":[{host}]}}}}"#);
    let fault = |host: &str| {
        list::parse(&event(host), &site().names)
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        fault(r#"{"host":"w","dial":"a:1","health":"ODD"}"#),
        "endpoints.hosts[0].health: unknown Some(\"ODD\")"
    );
    assert_eq!(
        fault(r#"{"host":"w","health":"SERVING"}"#),
        "endpoints.hosts[0].dial: missing"
    );
    let good = list::parse(
        &event(r#"{"host":"w","dial":"a:1","health":"SERVING","born_ms":5}"#),
        &site().names,
    )
    .unwrap();
    assert_eq!(good.endpoints[0].endpoint.started_at, Some(5_000_000));
}

/// Workers recognize retries by the key: without it, or with another one, a retry would take effect again.
#[test]
fn idempotency_key_is_forwarded_unchanged_and_required_by_classes_with_keys() {
    let mut site = site();
    site.policy.classes[0] = Class {
        idempotency: Idempotency::WithKey,
        client_timeout: 3_000_000_000,
        ..Class::default()
    };
    let line = |key: &str| {
        format!(
            r#"{{"jsonrpc":"2.0","id":1,"method":"view","params":{{"call":"9b1f03aa5c7e2d41","ttl":1500,"row":"7f3a9c21e0b4d655"{key}}}}}"#
        )
    };
    let read =
        client::read_line(line(r#","dedupe":"40bf \"e3\"""#).as_bytes(), &site).expect("a call");
    let ClientLine::Call(call) = read else {
        panic!("{read:?}")
    };
    let sent = worker::run_line(
        &call.name,
        "view",
        &call.function,
        call.client_timeout,
        call.idempotency_key.as_deref(),
        &call.body,
    );
    let sent: serde_json::Value = serde_json::from_slice(&sent).expect("a line");
    assert_eq!(sent["opts"]["op"], "40bf \"e3\"");
    for key in ["", r#","dedupe":"""#, r#","dedupe":7"#, r#","dedupe":null"#] {
        let fault = client::read_line(line(key).as_bytes(), &site).expect_err("no key");
        assert!(
            fault.id == Some(1) && fault.code != client::REJECTED,
            "{key}: {fault}"
        );
    }
    // Other classes need no key, and their lines have none.
    site.policy.classes[0].idempotency = Idempotency::NonIdempotent;
    assert!(client::read_line(line("").as_bytes(), &site).is_ok());
    let plain = worker::run_line(
        "9b1f03aa5c7e2d41",
        "view",
        "7f3a9c21e0b4d655",
        1_000_000,
        None,
        &[],
    );
    assert!(!String::from_utf8_lossy(&plain).contains("\"op\""));
}

#[test]
fn settings_without_usable_classes_are_an_error_with_place_and_reason() {
    let grade = |name: &str, give_up: u64| serde_json::json!({"Name": name, "Effect": "read_like", "GiveUp": give_up});
    let fault = |grades: serde_json::Value| {
        let all = serde_json::json!({"name": "n", "listen": "127.0.0.1:0", "seed": "1", "coordinator": "127.0.0.1:1",
            "settings": {"Grades": grades}});
        NodeConfig::parse(&all.to_string())
            .err()
            .map(|error| error.to_string())
    };
    let assert_fault =
        |grades, expected: &str| assert_eq!(fault(grades).as_deref(), Some(expected));
    assert_fault(serde_json::json!([]), "settings.Grades: no class");
    assert_fault(
        serde_json::json!([grade("", 1)]),
        "settings.Grades[0].Name: \"\" cannot name a class",
    );
    assert_fault(
        serde_json::json!([grade("isWell", 1)]),
        "settings.Grades[0].Name: \"isWell\" cannot name a class",
    );
    assert_fault(
        serde_json::json!([grade("a", 1), grade("a", 1)]),
        "settings.Grades[1].Name: \"a\" names an earlier class too",
    );
    assert_fault(
        serde_json::json!([grade("a", 0)]),
        "settings.Grades[0].GiveUp: not above 0",
    );
    assert_eq!(
        fault(serde_json::json!([grade("a", 1), grade("b", u64::MAX)])),
        None
    );
}

/// A complete endpoint list with this number of workers.
fn complete_list(workers: usize) -> String {
    let host =
        |n| format!(r#"{{"host":"worker-{n:06}","dial":"10.0.0.1:30012","health":"SERVING"}}"#);
    let hosts: Vec<String> = (0..workers).map(host).collect();
    format!(
        r#"{{"index":1,"endpoints":{{"whole":true,"hosts":[{}]}}}}"#,
        hosts.join(",")
    )
}

#[test]
fn event_with_the_most_workers_is_read_and_one_worker_more_is_an_error() {
    let names = site().names;
    let read = list::parse(&complete_list(MAX_ENDPOINTS), &names).expect("at the bound");
    assert_eq!(
        (read.endpoints.len(), MAX_ENDPOINTS >= 2 * 16_000),
        (MAX_ENDPOINTS, true)
    );
    let fault = list::parse(&complete_list(MAX_ENDPOINTS + 1), &names).expect_err("beyond it");
    assert_eq!(
        fault.to_string(),
        format!("endpoints.hosts: more than {MAX_ENDPOINTS}")
    );
}

#[test]
fn event_with_the_longest_data_is_read_and_one_byte_more_is_an_error() {
    assert_eq!(MAX_DATA_BYTES, MAX_ENDPOINTS * MAX_ENDPOINT_BYTES);
    let read = |text: &str| {
        let mut events = Vec::new();
        // The text is pushed in pieces, as a stream is read.
        let (mut reader, text) = (SseReader::default(), format!("id: 7\ndata: {text}\n\n"));
        text.as_bytes()
            .chunks(65_536)
            .try_for_each(|piece| {
                events.extend(reader.push(piece)?);
                Ok::<_, EventTooLong>(())
            })
            .map(|()| events)
    };
    let events = read(&"x".repeat(MAX_DATA_BYTES)).expect("at the bound");
    assert_eq!(
        events.iter().map(|e| e.data.len()).collect::<Vec<_>>(),
        [MAX_DATA_BYTES]
    );
    let fault = |text: &str| read(text).expect_err("beyond the bound").to_string();
    let expected = "event 7: data: more than 8192000 bytes, which are 32000 workers of 256 bytes";
    assert_eq!(fault(&"x".repeat(MAX_DATA_BYTES + 1)), expected);
    assert_eq!(
        fault(&format!("{}\ndata: x", "x".repeat(MAX_DATA_BYTES))),
        expected,
        "several lines count together"
    );
    // 100,000 workers of few bytes each fit into the data of an event, but exceed the maximum number of workers.
    assert!(complete_list(100_000).len() < MAX_DATA_BYTES);
    let fault = list::parse(&complete_list(100_000), &site().names).expect_err("beyond the bound");
    assert_eq!(fault.to_string(), "endpoints.hosts: more than 32000");
}

/// A coordinator that stops in the middle of an event has not confirmed anything by the part that it sent.
#[test]
fn complete_comments_and_events_count_as_completed_and_parts_of_them_do_not() {
    let mut reader = SseReader::default();
    let cases = [
        ("id: 1\nda", false),
        ("ta: {}\n", false),
        ("\n", true),
        (": pi", false),
        ("ng\n", true),
        (":\n\n", true),
        ("\n\n", false),
        ("id: 2\n\n", false),
        ("noise\n", false),
        ("id: 3\ndata: {}\n\nid: 4\ndata: {", true),
    ];
    for (text, completes) in cases {
        reader.push(text.as_bytes()).expect("short");
        assert_eq!(reader.take_completed(), completes, "{text:?}");
        assert!(!reader.take_completed(), "it is reported once");
    }
}
