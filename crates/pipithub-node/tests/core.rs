//! The front end without sockets: attempts, their answers, and retries.

mod core_harness;

use core_harness::{CANCEL_CALL_7, CoreHarness, MS, SERVED, config};
use pipithub_platform::list;

#[test]
fn call_is_answered_once_with_the_workers_answer() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("assign");
    // An answer to no pending request comes first, and the answer comes twice.
    harness.core.worker_bytes(
        harness.now,
        worker,
        b"{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n",
    );
    harness
        .core
        .worker_bytes(harness.now, worker, &SERVED[..20]);
    harness
        .core
        .worker_bytes(harness.now, worker, &SERVED[20..]);
    harness.core.worker_bytes(harness.now, worker, SERVED);
    let answer = "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{\"body\":\"d29ybGQ=\"}}\n".to_string();
    assert_eq!(harness.written(), [(client, answer)]);
    assert_eq!(
        (harness.core.pending_requests(), harness.core.stats().served),
        (0, 1)
    );
}

#[test]
fn malformed_answer_closes_its_connection_and_fails_a_non_idempotent_call() {
    for malformed in [
        "{\"cmd\":\"ACK\",\"ref\":\"0000000000000007\",\"payload\":\"!!\"}\n",
        "noise\n",
    ] {
        let mut harness = CoreHarness::new();
        let (client, worker) = harness.start_call("assign");
        harness
            .core
            .worker_bytes(harness.now, worker, malformed.as_bytes());
        let written = harness.written();
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
    // A line without an end is malformed too, once it exceeds the maximum length.
    let mut harness = CoreHarness::new();
    let (_, worker) = harness.start_call("assign");
    for _ in 0..20 {
        harness
            .core
            .worker_bytes(harness.now, worker, &[b'x'; 16 << 10]);
    }
    assert!(harness.written().contains(&(worker, "closed".to_string())));
}

#[test]
fn idempotent_call_is_retried_when_its_connection_breaks() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("view");
    harness.core.worker_closed(harness.now, worker, u64::MAX);
    let written = harness.written();
    assert!(
        written
            .iter()
            .any(|(connection, line)| *connection != client && line.contains("\"DO\"")),
        "{written:?}"
    );
}

#[test]
fn call_with_a_pending_name_is_an_error_and_the_pending_call_is_answered() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("assign");
    let other = harness.connect_client();
    harness.call(other, 7, "assign");
    let written = harness.written();
    assert!(
        written.len() == 1 && written[0].0 == other && !written[0].1.contains("-32050"),
        "{written:?}"
    );
    harness.core.worker_bytes(harness.now, worker, SERVED);
    assert!(
        harness
            .written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("result"))
    );
}

#[test]
fn unanswered_idempotent_call_is_rejected_before_its_timeout_with_retry_after() {
    let mut harness = CoreHarness::new();
    let (client, _) = harness.start_call("view");
    harness.advance(1_500 * MS);
    let answers: Vec<_> = harness
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
fn draining_worker_gets_no_new_calls() {
    let mut harness = CoreHarness::new();
    let (_, worker) = harness.start_call("view");
    harness.core.worker_bytes(harness.now, worker, SERVED);
    harness.written();
    let drains = |id: &str| {
        let text = format!(
            r#"{{"index":2,"endpoints":{{"seq":2,"whole":false,"hosts":[{{"host":"{id}","dial":"10.0.0.1:9","health":"DRAINING"}}]}}}}"#
        );
        list::parse(&text, &config().site.names).expect("a valid event")
    };
    ["w1", "w2"]
        .iter()
        .for_each(|id| harness.core.update_endpoints(harness.now, &drains(id)));
    let client = harness.connect_client();
    harness.call(client, 20, "view");
    let written = harness.written();
    assert!(
        written.iter().all(|(connection, _)| *connection == client),
        "{written:?}"
    );
    assert!(
        written.iter().any(|(_, line)| line.contains("-32050")),
        "rejected at once, without an attempt"
    );
}

/// The name is used again after the call was answered or cancelled, or its client's connection was closed.
#[test]
fn non_idempotent_call_that_may_have_run_is_not_run_again_under_its_name() {
    for end in ["answered", "closed", "cancelled"] {
        let mut harness = CoreHarness::new();
        let (client, worker) = harness.start_call("assign");
        match end {
            "answered" => harness.core.worker_bytes(harness.now, worker, SERVED),
            "closed" => harness.core.client_closed(harness.now, client),
            _ => harness.send_line(client, CANCEL_CALL_7),
        }
        harness.written();
        let other = harness.connect_client();
        harness.call(other, 7, "assign");
        let written = harness.written();
        assert!(
            written.len() == 1 && written[0].0 == other && written[0].1.contains("-32600"),
            "{end}: {written:?}"
        );
        // Nor is it run once the longest client timeout has passed.
        harness.advance(3_100 * MS);
        let other = harness.connect_client();
        harness.call(other, 7, "assign");
        let written = harness.written();
        let is_forwarded = written.iter().any(|(_, line)| line.contains("\"DO\""));
        let is_failed = written.iter().any(|(_, line)| line.contains("-32600"));
        assert!(!is_forwarded && is_failed, "{end}: {written:?}");
    }
    // An idempotent call is run again.
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("view");
    harness.core.worker_bytes(harness.now, worker, SERVED);
    harness.call(client, 7, "view");
    assert!(
        harness
            .written()
            .iter()
            .any(|(_, line)| line.contains("\"DO\""))
    );
}

/// The duplicate must not end the attempt of the next call, which would then be answered without having run.
#[test]
fn duplicate_answer_does_not_end_a_later_call_of_the_same_name() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("view");
    harness.core.worker_bytes(harness.now, worker, SERVED);
    harness.written();
    harness.call(client, 7, "view");
    harness.written();
    harness.core.worker_bytes(harness.now, worker, SERVED);
    assert!(
        harness
            .written()
            .iter()
            .all(|(connection, _)| *connection != client),
        "the second call is still pending"
    );
    assert_eq!(harness.core.pending_requests(), 1);
}
