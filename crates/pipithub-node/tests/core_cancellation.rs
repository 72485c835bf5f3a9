//! The front end without sockets: calls whose clients have cancelled them or disconnected.

mod core_harness;

use core_harness::{CANCEL_CALL_7, CoreHarness, MS, SERVED, config};

#[test]
fn call_is_cancelled_at_the_worker_when_its_client_cancels_or_disconnects() {
    for cancels in [true, false] {
        let mut harness = CoreHarness::new();
        let (client, worker) = harness.start_call("view");
        if cancels {
            harness.send_line(client, CANCEL_CALL_7);
        } else {
            harness.core.client_closed(harness.now, client);
        }
        let undo = "{\"cmd\":\"UNDO\",\"ref\":\"0000000000000007\"}\n".to_string();
        assert_eq!(harness.written(), [(worker, undo)]);
        harness.core.worker_bytes(harness.now, worker, SERVED);
        assert!(harness.written().is_empty() && harness.core.pending_requests() == 0);
    }
}

/// No client waits for the answer any more, so an attempt would be wasted.
#[test]
fn call_that_is_cancelled_in_the_same_read_is_not_forwarded() {
    for cancel in [
        CANCEL_CALL_7,
        r#"{"jsonrpc":"2.0","method":"forget","params":{"call":"0000000000000007"}}"#,
    ] {
        let mut harness = CoreHarness::new();
        let client = harness.connect_client();
        let call = r#"{"jsonrpc":"2.0","id":7,"method":"view","params":{"call":"0000000000000007","ttl":1500,"row":"00000000000000aa"}}"#;
        harness.send_line(client, &format!("{call}\n{cancel}"));
        assert_eq!(
            (harness.written(), harness.core.pending_requests()),
            (vec![], 0)
        );
        harness.call(client, 8, "view");
        assert!(
            harness
                .written()
                .iter()
                .any(|(_, line)| line.contains("\"DO\"")),
            "the next call is forwarded"
        );
    }
}

#[test]
fn rejected_attempt_is_not_retried_after_its_client_left() {
    for cancels in [true, false] {
        let mut harness = CoreHarness::new();
        let (client, worker) = harness.start_call("view");
        if cancels {
            harness.send_line(client, CANCEL_CALL_7);
        } else {
            harness.core.client_closed(harness.now, client);
        }
        harness.written();
        harness.core.worker_bytes(
            harness.now,
            worker,
            b"{\"cmd\":\"AGAIN\",\"ref\":\"0000000000000007\"}\n",
        );
        assert_eq!(
            (harness.written(), harness.core.pending_requests()),
            (vec![], 0)
        );
        harness.core.worker_closed(harness.now, worker, u64::MAX);
        harness.advance(5_000 * MS);
        assert!(
            harness
                .written()
                .iter()
                .all(|(_, line)| !line.contains("\"DO\""))
        );
    }
}

#[test]
fn call_that_waits_for_a_load_is_not_forwarded_after_its_client_left() {
    let mut config = config();
    config.site.policy.loading.loads_on_request = false;
    let mut harness = CoreHarness::with_config(&config);
    // No worker has the function loaded: the preferred worker reports this, and a load command is sent.
    let (client, preferred_worker) = harness.start_call("view");
    harness.core.worker_bytes(
        harness.now,
        preferred_worker,
        b"{\"cmd\":\"NOENT\",\"ref\":\"0000000000000007\"}\n",
    );
    let written = harness.written();
    let (worker, load_command) = written
        .iter()
        .find(|(_, line)| line.contains("\"PIN\""))
        .expect("a load command")
        .clone();
    harness.core.client_closed(harness.now, client);
    let reference = load_command.split('"').nth(7).expect("a reference");
    harness.core.worker_bytes(
        harness.now,
        worker,
        format!("{{\"cmd\":\"ACK\",\"ref\":\"{reference}\",\"opts\":{{\"n\":1}}}}\n").as_bytes(),
    );
    harness.advance(1_000 * MS);
    let written = harness.written();
    assert!(
        written.iter().all(|(_, line)| !line.contains("\"DO\"")),
        "{written:?}"
    );
}
