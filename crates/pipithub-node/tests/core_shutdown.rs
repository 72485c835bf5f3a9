//! The front end without sockets: a graceful shutdown.

mod core_harness;

use core_harness::{CoreHarness, MS, SERVED, config};

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
