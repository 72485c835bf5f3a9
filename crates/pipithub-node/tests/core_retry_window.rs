//! The front end without sockets: a call with an idempotency key is sent again only while the workers drop its
//! repetitions, also if it has to wait for a connection after it was assigned to a worker.

mod core_harness;

use core_harness::{CoreHarness, MS, config};
use pipithub_engine::Time;
use pipithub_engine::policy::{DeduplicationScope, Idempotency};
use pipithub_node::effect::{ConnectionId, Effect};

/// How long the workers of these tests drop repetitions of a call.
const DEDUPLICATION_WINDOW: Time = 600 * MS;
const CALL_WITH_KEY: &str = r#"{"jsonrpc":"2.0","id":7,"method":"view","params":{"call":"0000000000000007","dedupe":"key","ttl":1500,"row":"00000000000000aa","props":"memory_mb:512;lanes:4;load_ms:50","body":"aGVsbG8="}}"#;
const CALL_PREFIX: &str = r#"{"cmd":"DO""#;

/// A front end whose class `view` has an idempotency key.
fn harness_with_key() -> CoreHarness {
    let mut config = config();
    let class = &mut config.site.policy.classes[0];
    class.idempotency = Idempotency::WithKey;
    class.deduplication_scope = DeduplicationScope::All;
    class.deduplication_window = DEDUPLICATION_WINDOW;
    CoreHarness::with_config(&config)
}

/// The connections that are requested, none of which is established.
fn requested_connections(harness: &mut CoreHarness) -> Vec<ConnectionId> {
    let requested = |effect: &Effect| match effect {
        Effect::Connect { connection, .. } => Some(*connection),
        _ => None,
    };
    harness.effects().iter().filter_map(requested).collect()
}

/// Starts a call whose first attempt ends 50 ms before the window does, as the worker dies; returns the client's
/// connection and the requested connection to the second worker.
fn start_call_that_is_retried(harness: &mut CoreHarness) -> (ConnectionId, ConnectionId) {
    let client = harness.connect_client();
    harness.send_line(client, CALL_WITH_KEY);
    let (first, _) = harness.written().pop().expect("the first attempt");
    harness.now += DEDUPLICATION_WINDOW - 50 * MS;
    harness.core.worker_closed(harness.now, first, u64::MAX);
    let second = requested_connections(harness);
    assert_eq!(second.len(), 1, "the call is assigned to the other worker");
    (client, second[0])
}

/// The number of calls written after a connection is established.
fn calls_written_after_connecting(harness: &mut CoreHarness, connection: ConnectionId) -> usize {
    harness.core.worker_connected(harness.now, connection);
    let written = harness.written();
    let is_call = |(_, line): &&(ConnectionId, String)| line.starts_with(CALL_PREFIX);
    written.iter().filter(is_call).count()
}

#[test]
fn call_is_sent_again_if_its_connection_is_established_within_the_window() {
    let mut harness = harness_with_key();
    let (_, second) = start_call_that_is_retried(&mut harness);
    harness.now += 20 * MS;
    assert_eq!(calls_written_after_connecting(&mut harness, second), 1);
}

/// Guards against an effect that happens twice: the call was written when its connection came up, however late.
#[test]
fn call_is_not_sent_again_if_its_connection_is_established_after_the_window() {
    let mut harness = harness_with_key();
    let (client, second) = start_call_that_is_retried(&mut harness);
    harness.now += 60 * MS;
    harness.core.worker_connected(harness.now, second);
    let written = harness.written();
    let is_call = |(_, line): &&(ConnectionId, String)| line.starts_with(CALL_PREFIX);
    assert_eq!(written.iter().filter(is_call).count(), 0, "{written:?}");
    let (to, answer) = written.last().expect("the final answer, at once");
    assert_eq!(*to, client);
    assert!(answer.contains(r#""code":-32050"#), "{answer}");
}
