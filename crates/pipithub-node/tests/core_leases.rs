//! The front end without sockets while discovery is out of reach: health checks before calls, and calls that were
//! assigned to a worker within a lease but not written before its end.

mod core_harness;

use core_harness::{CoreHarness, MS};
use pipithub_node::coordinator::StreamUpdate;
use pipithub_node::effect::{ConnectionId, Effect};

/// How long the front end relies on the initial list without a health check, with a grace period of 1 s.
const LEASE_DURATION: u64 = 1_025 * MS;
const CALL_PREFIX: &str = r#"{"cmd":"DO""#;
const HEALTH_CHECK_PREFIX: &str = r#"{"cmd":"ECHO""#;

/// A front end that has begun to follow a coordinator and has received nothing from it.
fn harness_following_coordinator() -> CoreHarness {
    let mut harness = CoreHarness::new();
    harness.core.follow_coordinator(harness.now);
    harness
}

/// The written lines that begin with `prefix`, with their connections.
fn lines_starting_with<'a>(
    written: &'a [(ConnectionId, String)],
    prefix: &'a str,
) -> impl Iterator<Item = &'a (ConnectionId, String)> {
    written
        .iter()
        .filter(move |(_, line)| line.starts_with(prefix))
}

fn answer_check(harness: &mut CoreHarness, check: &(ConnectionId, String), status: &str) {
    let (_, rest) = check.1.split_once(r#""ref":""#).expect("a reference");
    let (reference, _) = rest.split_once('"').expect("the end of the reference");
    let line = format!("{{\"cmd\":\"{status}\",\"ref\":\"{reference}\",\"payload\":\"\"}}\n");
    harness
        .core
        .worker_bytes(harness.now, check.0, line.as_bytes());
}

/// Takes the effects without establishing connections; returns the requested connections, and the written lines.
fn effects_without_connecting(
    harness: &mut CoreHarness,
) -> (Vec<ConnectionId>, Vec<(ConnectionId, String)>) {
    let (mut connecting, mut written) = (Vec::new(), Vec::new());
    for effect in harness.effects() {
        match effect {
            Effect::Connect { connection, .. } => connecting.push(connection),
            Effect::Write { connection, bytes } => {
                written.push((
                    connection,
                    String::from_utf8(bytes.to_vec()).expect("UTF-8"),
                ));
            }
            _ => {}
        }
    }
    (connecting, written)
}

#[test]
fn call_waits_for_a_health_check_once_the_list_is_out_of_reach() {
    let mut harness = harness_following_coordinator();
    harness.advance(LEASE_DURATION);
    let client = harness.connect_client();
    harness.call(client, 7, "view");
    let written = harness.written();
    assert_eq!(
        lines_starting_with(&written, CALL_PREFIX).count(),
        0,
        "{written:?}"
    );
    let check = lines_starting_with(&written, HEALTH_CHECK_PREFIX)
        .next()
        .expect("a check")
        .clone();
    answer_check(&mut harness, &check, "READY");
    let written = harness.written();
    let call = lines_starting_with(&written, CALL_PREFIX)
        .next()
        .expect("the call");
    assert_eq!(call.0, check.0, "on the connection of the check");
    let stats = harness.core.stats();
    assert_eq!((stats.health_checks, stats.failed_health_checks), (1, 0));
}

#[test]
fn call_goes_to_another_worker_if_the_first_one_is_not_in_service() {
    let mut harness = harness_following_coordinator();
    harness.advance(LEASE_DURATION);
    let client = harness.connect_client();
    harness.call(client, 7, "view");
    let written = harness.written();
    let first = lines_starting_with(&written, HEALTH_CHECK_PREFIX)
        .next()
        .expect("a check")
        .clone();
    answer_check(&mut harness, &first, "AILING");
    let written = harness.written();
    assert_eq!(
        lines_starting_with(&written, CALL_PREFIX).count(),
        0,
        "{written:?}"
    );
    let second = lines_starting_with(&written, HEALTH_CHECK_PREFIX)
        .next()
        .expect("a check")
        .clone();
    assert_ne!(second.0, first.0);
    answer_check(&mut harness, &second, "READY");
    let written = harness.written();
    assert_eq!(
        lines_starting_with(&written, CALL_PREFIX)
            .next()
            .expect("the call")
            .0,
        second.0
    );
    assert_eq!(harness.core.stats().failed_health_checks, 1);
}

#[test]
fn nothing_is_checked_while_the_coordinator_gives_signs_of_life() {
    let mut harness = harness_following_coordinator();
    let client = harness.connect_client();
    for id in 1..60 {
        harness
            .core
            .apply_stream_update(harness.now, harness.now, &StreamUpdate::Current);
        harness.call(client, id, "view");
        let written = harness.written();
        assert_eq!(
            lines_starting_with(&written, CALL_PREFIX).count(),
            1,
            "{written:?}"
        );
        harness.advance(1_000 * MS);
        harness.written();
    }
    assert_eq!(harness.core.stats().health_checks, 0);
}

#[test]
fn call_that_waits_for_a_connection_is_not_written_after_the_lease() {
    let mut harness = harness_following_coordinator();
    harness.advance(LEASE_DURATION - 100 * MS);
    let client = harness.connect_client();
    harness.call(client, 7, "assign");
    let (connecting, _) = effects_without_connecting(&mut harness);
    assert_eq!(connecting.len(), 1);
    harness.advance(150 * MS);
    harness.core.worker_connected(harness.now, connecting[0]);
    let written = harness.written();
    assert_eq!(
        lines_starting_with(&written, CALL_PREFIX).count(),
        0,
        "{written:?}"
    );
    let check = lines_starting_with(&written, HEALTH_CHECK_PREFIX)
        .next()
        .expect("a check")
        .clone();
    answer_check(&mut harness, &check, "READY");
    assert_eq!(
        lines_starting_with(&harness.written(), CALL_PREFIX).count(),
        1,
        "it never ran, so it may"
    );
}

#[test]
fn call_behind_unread_bytes_is_withdrawn_when_the_lease_ends() {
    let mut harness = harness_following_coordinator();
    harness.advance(LEASE_DURATION - 30 * MS);
    let client = harness.connect_client();
    harness.call(client, 7, "assign");
    let written = harness.written();
    let call = lines_starting_with(&written, CALL_PREFIX)
        .next()
        .expect("the call")
        .clone();
    // The worker reads nothing of the call's line.
    harness.core.worker_blocked(harness.now, call.0, Some(0));
    harness.advance(20 * MS);
    let is_withdrawn = |effects: &[Effect]| {
        effects
            .iter()
            .any(|e| matches!(e, Effect::CancelWrite { .. }))
    };
    assert!(!is_withdrawn(&harness.effects()), "within the lease");
    harness.advance(20 * MS);
    assert!(
        is_withdrawn(&harness.effects()),
        "well before the write timeout"
    );
}

#[test]
fn call_that_was_begun_to_be_written_is_completed_after_the_lease() {
    let mut harness = harness_following_coordinator();
    harness.advance(LEASE_DURATION - 30 * MS);
    let client = harness.connect_client();
    harness.call(client, 7, "assign");
    let written = harness.written();
    let call = lines_starting_with(&written, CALL_PREFIX)
        .next()
        .expect("the call")
        .clone();
    harness.core.worker_blocked(harness.now, call.0, Some(10));
    harness.advance(60 * MS);
    let withdrawn = harness
        .effects()
        .iter()
        .any(|effect| matches!(effect, Effect::CancelWrite { .. }));
    assert!(!withdrawn, "a send counts from its first byte");
}

/// Guards against a call that was decided under a long lease and is written after a request for the list has cut that lease
/// short, also if no sweep has come between.
#[test]
fn call_that_waits_for_a_connection_is_not_written_after_a_request_for_the_list_has_cut_the_lease_short()
 {
    let mut harness = harness_following_coordinator();
    harness
        .core
        .apply_stream_update(harness.now, harness.now, &StreamUpdate::Current);
    let client = harness.connect_client();
    harness.call(client, 7, "assign");
    let (connecting, _) = effects_without_connecting(&mut harness);
    for update in [StreamUpdate::Disconnected, StreamUpdate::Requested] {
        harness
            .core
            .apply_stream_update(harness.now, harness.now, &update);
    }
    harness.now += LEASE_DURATION;
    harness.core.worker_connected(harness.now, connecting[0]);
    let written = harness.written();
    assert_eq!(
        lines_starting_with(&written, CALL_PREFIX).count(),
        0,
        "{written:?}"
    );
}
