//! The front end without sockets: a graceful shutdown.

mod core_harness;

use core_harness::{CoreHarness, MS, SERVED, config};

#[test]
fn shutdown_finishes_pending_calls_and_admits_calls_while_clients_still_send() {
    let mut harness = CoreHarness::new();
    let (client, worker) = harness.start_call("view");
    harness.core.begin_shutdown(harness.now);
    harness.send_line(client, r#"{"jsonrpc":"2.0","id":8,"method":"isWell"}"#);
    assert!(harness.written()[0].1.contains("\"healthy\":false"));
    harness.advance(500 * MS);
    harness.call(client, 9, "assign");
    assert!(
        harness
            .written()
            .iter()
            .any(|(connection, _)| *connection != client),
        "still admitted"
    );
    harness.advance(400 * MS);
    harness.call(client, 10, "view");
    assert!(
        harness
            .written()
            .iter()
            .any(|(connection, l)| *connection == client && l.contains("-32050")),
        "rejected at once"
    );
    harness.core.worker_bytes(harness.now, worker, SERVED);
    assert!(!harness.core.is_drained(harness.now), "a call is pending");
    harness.advance(2_000 * MS);
    assert!(harness.core.is_drained(harness.now) && harness.core.pending_requests() == 0);
}

#[test]
fn shutdown_counts_client_timeouts_up_to_three_seconds_only() {
    let mut config = config();
    config
        .site
        .policy
        .classes
        .iter_mut()
        .for_each(|class| class.client_timeout = 60_000 * MS);
    let mut harness = CoreHarness::with_config(&config);
    let client = harness.connect_client();
    let line = r#"{"jsonrpc":"2.0","id":7,"method":"assign","params":{"call":"0000000000000007","ttl":60000,"row":"00000000000000aa"}}"#;
    harness.send_line(client, line);
    harness.written();
    harness.core.begin_shutdown(harness.now);
    harness.advance(3_690 * MS);
    assert!(
        harness
            .written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("-32000"))
    );
    assert!(harness.core.is_drained(harness.now));
    // A call that comes after that is rejected at once.
    harness.call(client, 9, "view");
    assert!(
        harness
            .written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("-32050"))
    );
}
