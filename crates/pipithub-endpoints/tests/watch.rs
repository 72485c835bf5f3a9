//! Tests of lists and watches as an API server sends them.

use pipithub_endpoints::{WatchStep, Watcher, read_cached_list};
use pipithub_engine::Time;
use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate};
use serde_json::{Value, json};

const SECOND: Time = 1_000_000_000;
/// The wall time of the tests, in Unix milliseconds.
const WALL_MS: u64 = 1_800_000_000_000;

fn endpoint(number: u8, uid: &str, conditions: Value) -> Value {
    json!({"addresses": [format!("10.0.0.{number}")], "conditions": conditions, "zone": "a", "nodeName": "x",
           "targetRef": {"kind": "Pod", "name": format!("w-{number}"), "uid": uid}})
}

fn slice(name: &str, version: &str, endpoints: Vec<Value>) -> Value {
    json!({"kind": "EndpointSlice", "apiVersion": "discovery.k8s.io/v1", "addressType": "IPv4",
           "metadata": {"name": name, "resourceVersion": version, "annotations": {
               "pipithub.dev/memory-mb": "{\"a\": 8000, \"b\": 16000}"}},
           "endpoints": endpoints, "ports": [{"name": "metrics", "port": 9}, {"name": "http", "port": 80}]})
}

fn list(version: &str, slices: Vec<Value>) -> Vec<u8> {
    json!({"kind": "EndpointSliceList", "metadata": {"resourceVersion": version}, "items": slices})
        .to_string()
        .into_bytes()
}

fn event(kind: &str, object: Value) -> Vec<u8> {
    json!({"type": kind, "object": object})
        .to_string()
        .into_bytes()
}

fn watcher() -> Watcher {
    Watcher::new(Some("http".into()))
}

/// The address and the state of each endpoint.
fn states(endpoints: &[Endpoint]) -> Vec<(String, EndpointState)> {
    endpoints
        .iter()
        .map(|endpoint| (endpoint.worker.0.to_string(), endpoint.state))
        .collect()
}

/// Passes a line to the watcher and returns the changes. Panics if there are none.
fn changes(watcher: &mut Watcher, now: Time, line: &[u8]) -> Vec<Endpoint> {
    match watcher.apply_watch_line(now, WALL_MS, line) {
        Ok(WatchStep::Changes(changes)) => changes,
        other => panic!("expected changes, got {other:?}"),
    }
}

#[test]
fn endpoint_states_follow_from_conditions() {
    let ready = json!({"ready": true, "serving": true, "terminating": false});
    let stopping = json!({"ready": false, "serving": true, "terminating": true});
    let body = list(
        "5",
        vec![slice(
            "s",
            "4",
            vec![
                endpoint(1, "a", ready),
                endpoint(2, "b", stopping),
                endpoint(3, "c", json!({"ready": false})),
                endpoint(4, "d", json!({})),
                endpoint(5, "e", json!({"ready": null})),
            ],
        )],
    );
    let mut watcher = watcher();
    let all = watcher.apply_list(SECOND, WALL_MS, &body).expect("a list");
    let address = |number: u8| format!("10.0.0.{number}:80");
    assert_eq!(
        states(&all),
        [
            (address(1), EndpointState::Ready),
            (address(2), EndpointState::Draining),
            (address(3), EndpointState::Draining),
            (address(4), EndpointState::Ready),
            (address(5), EndpointState::Ready)
        ]
    );
    assert_eq!(
        (all[0].memory_mb, all[0].zone.as_str(), all[0].started_at),
        (8000.0, "a", None)
    );
    assert_eq!((watcher.version(), watcher.ready_count()), (Some("5"), 3));
}

#[test]
fn watch_event_returns_only_changed_endpoints() {
    let ready = || json!({"ready": true});
    let mut watcher = watcher();
    watcher
        .apply_list(
            0,
            WALL_MS,
            &list("5", vec![slice("s", "4", vec![endpoint(1, "a", ready())])]),
        )
        .expect("a list");
    let line = event(
        "MODIFIED",
        slice(
            "s",
            "6",
            vec![endpoint(1, "a", ready()), endpoint(2, "b", ready())],
        ),
    );
    let added = changes(&mut watcher, 3 * SECOND, &line);
    assert_eq!(
        states(&added),
        [("10.0.0.2:80".to_string(), EndpointState::Ready)]
    );
    assert_eq!(
        added[0].started_at,
        Some(3 * SECOND),
        "an endpoint added by a watch event has just started"
    );
    assert_eq!(watcher.version(), Some("6"));
    assert!(matches!(
        watcher.apply_watch_line(4 * SECOND, WALL_MS, &line),
        Ok(WatchStep::Nothing)
    ));
    let deleted = event("DELETED", slice("s", "7", vec![]));
    let removed = changes(&mut watcher, 5 * SECOND, &deleted);
    assert!(
        removed
            .iter()
            .all(|endpoint| endpoint.state == EndpointState::Removed)
    );
    assert_eq!(removed.len(), 2);
}

/// A pod that takes over the address of another one is a new process, which has no replicas loaded.
#[test]
fn different_uid_at_the_same_address_is_a_restart() {
    let mut watcher = watcher();
    let slice_with_uid =
        |uid: &str| slice("s", "4", vec![endpoint(1, uid, json!({"ready": true}))]);
    watcher
        .apply_list(0, WALL_MS, &list("5", vec![slice_with_uid("a")]))
        .expect("a list");
    let changed = changes(
        &mut watcher,
        9 * SECOND,
        &event("MODIFIED", slice_with_uid("b")),
    );
    assert_eq!(changed[0].started_at, Some(9 * SECOND));
    // A later list with the same pod does not change its start.
    let all = watcher
        .apply_list(20 * SECOND, WALL_MS, &list("9", vec![slice_with_uid("b")]))
        .expect("a list");
    assert_eq!(all[0].started_at, Some(9 * SECOND));
}

#[test]
fn endpoint_in_two_slices_drains_if_one_of_them_says_so() {
    let mut watcher = watcher();
    let a = slice(
        "a",
        "4",
        vec![endpoint(
            1,
            "a",
            json!({"ready": false, "terminating": true}),
        )],
    );
    let b = slice("b", "4", vec![endpoint(1, "a", json!({"ready": true}))]);
    let all = watcher
        .apply_list(0, WALL_MS, &list("5", vec![a, b]))
        .expect("a list");
    assert_eq!(
        states(&all),
        [("10.0.0.1:80".to_string(), EndpointState::Draining)]
    );
}

#[test]
fn bookmark_advances_the_version_and_410_discards_it() {
    let mut watcher = watcher();
    watcher
        .apply_list(0, WALL_MS, &list("5", vec![]))
        .expect("a list");
    let bookmark = event("BOOKMARK", json!({"metadata": {"resourceVersion": "77"}}));
    assert!(matches!(
        watcher.apply_watch_line(0, WALL_MS, &bookmark),
        Ok(WatchStep::Nothing)
    ));
    assert_eq!(watcher.version(), Some("77"));
    let expired = event(
        "ERROR",
        json!({"kind": "Status", "code": 410, "reason": "Expired", "message": "too old"}),
    );
    assert!(matches!(
        watcher.apply_watch_line(0, WALL_MS, &expired),
        Ok(WatchStep::Expired)
    ));
    assert_eq!(watcher.version(), None);
    let other = event(
        "ERROR",
        json!({"kind": "Status", "code": 500, "message": "etcd"}),
    );
    assert!(
        watcher
            .apply_watch_line(0, WALL_MS, &other)
            .expect_err("an error")
            .to_string()
            .contains("500: etcd")
    );
}

#[test]
fn invalid_input_is_an_error_and_changes_nothing() {
    let mut watcher = watcher();
    let ready = slice("s", "4", vec![endpoint(1, "a", json!({"ready": true}))]);
    watcher
        .apply_list(0, WALL_MS, &list("5", vec![ready]))
        .expect("a list");
    for invalid in [
        "",
        "{",
        "[]",
        "{\"items\": 5}",
        "{\"items\": [{\"metadata\": {}, \"endpoints\": [{}]}]}",
    ] {
        assert!(
            watcher.apply_list(0, WALL_MS, invalid.as_bytes()).is_err(),
            "{invalid}"
        );
        assert!(
            watcher
                .apply_watch_line(0, WALL_MS, invalid.as_bytes())
                .is_err(),
            "{invalid}"
        );
        assert_eq!((watcher.ready_count(), watcher.version()), (1, Some("5")));
    }
    let many = vec![endpoint(1, "a", json!({})); pipithub_endpoints::MAX_ENDPOINTS + 1];
    assert!(
        watcher
            .apply_list(0, WALL_MS, &list("6", vec![slice("s", "6", many)]))
            .is_err()
    );
    // An API server sends null for an empty list.
    let null = json!({"metadata": {"name": "s"}, "endpoints": null, "ports": null});
    assert_eq!(
        watcher
            .apply_list(0, WALL_MS, &list("7", vec![null]))
            .expect("an empty list"),
        []
    );
}

#[test]
fn cached_list_is_restored_after_a_restart() {
    let mut watcher = watcher();
    let body = list(
        "5",
        vec![slice(
            "s",
            "4",
            vec![
                endpoint(1, "a", json!({"ready": true})),
                endpoint(2, "b", json!({"terminating": true})),
            ],
        )],
    );
    watcher.apply_list(0, WALL_MS, &body).expect("a list");
    let line = event(
        "ADDED",
        slice("t", "6", vec![endpoint(3, "c", json!({"ready": true}))]),
    );
    watcher
        .apply_watch_line(10 * SECOND, WALL_MS + 10_000, &line)
        .expect("changes");
    let text = watcher.to_cached_list(20 * SECOND, WALL_MS + 20_000);
    // The new process has another clock, and reads the list 5 s after it was written.
    let cached = read_cached_list(&text, 60 * SECOND, WALL_MS + 25_000).expect("a cached list");
    assert_eq!(cached.update, EndpointUpdate::Cached);
    let endpoints = cached.endpoints;
    assert_eq!(states(&endpoints)[1].1, EndpointState::Draining);
    assert_eq!(
        endpoints[2].started_at,
        Some(45 * SECOND),
        "started 15 s ago"
    );
    assert!(read_cached_list("nonsense", 0, 0).is_err());
}

const HOUR_MS: u64 = 3_600_000;

/// The age of the first worker of a cached list that is read at this wall time.
fn cached_age(text: &str, wall_ms: u64) -> Option<Time> {
    let now = 3 * 3_600 * SECOND;
    let endpoints = read_cached_list(text, now, wall_ms)
        .expect("a cached list")
        .endpoints;
    endpoints[0].started_at.map(|started| now - started)
}

/// If the wall clock is stepped back between the writing of the list and the restart, a worker that is an hour old must
/// not count as just started.
#[test]
fn restart_does_not_make_workers_younger() {
    let mut watcher = watcher();
    watcher
        .apply_list(0, WALL_MS, &list("5", vec![]))
        .expect("a list");
    let line = event(
        "ADDED",
        slice("t", "6", vec![endpoint(3, "c", json!({"ready": true}))]),
    );
    watcher
        .apply_watch_line(10 * SECOND, WALL_MS + 10_000, &line)
        .expect("changes");
    let written_ms = WALL_MS + 10_000 + HOUR_MS;
    let text = watcher.to_cached_list(10 * SECOND + 3_600 * SECOND, written_ms);
    let age = 3_600 * SECOND;
    assert_eq!(
        cached_age(&text, written_ms + 5_000),
        Some(age + 5 * SECOND)
    );
    assert_eq!(
        cached_age(&text, written_ms - 5_000),
        Some(age),
        "clock stepped back by seconds"
    );
    assert_eq!(
        cached_age(&text, written_ms - HOUR_MS),
        Some(age),
        "clock stepped back by an hour"
    );
    assert_eq!(
        cached_age(&text, 0),
        Some(age),
        "clock stepped back to the Unix epoch"
    );
    assert_eq!(
        cached_age(&text, written_ms + HOUR_MS),
        Some(2 * age),
        "clock stepped forward by an hour"
    );
}

/// A file that was edited by hand or damaged may have a start time after the time at which it was written, or extreme
/// numbers.
#[test]
fn cached_start_in_the_future_counts_as_long_ago() {
    let text = |wall_ms: u64, started_ms: u64| {
        let worker = json!({"address": "10.0.0.1:80", "draining": false, "zone": "a", "memory_mb": 1.0,
                            "started_ms": started_ms});
        json!({"format": 1, "wall_ms": wall_ms, "workers": [worker]}).to_string()
    };
    assert_eq!(cached_age(&text(WALL_MS, WALL_MS + 1), WALL_MS + 10), None);
    assert_eq!(
        cached_age(&text(u64::MAX, 0), u64::MAX),
        Some(3 * 3_600 * SECOND - 1)
    );
}

/// The start of a known endpoint is stored in monotonic time, which steps of the wall clock do not change.
#[test]
fn step_of_the_wall_clock_does_not_change_start_times() {
    let slice_with_start = |version: &str| {
        let mut slice = slice("s", version, vec![endpoint(1, "a", json!({"ready": true}))]);
        slice["metadata"]["annotations"]["pipithub.dev/started-ms"] =
            json!(format!("{{\"a\": {}}}", WALL_MS - 30_000));
        slice
    };
    let mut watcher = watcher();
    let all = watcher
        .apply_list(
            60 * SECOND,
            WALL_MS,
            &list("5", vec![slice_with_start("4")]),
        )
        .expect("a list");
    assert_eq!(all[0].started_at, Some(30 * SECOND));
    for wall_ms in [WALL_MS + HOUR_MS, WALL_MS - HOUR_MS] {
        let line = event("MODIFIED", slice_with_start("6"));
        assert!(
            matches!(
                watcher.apply_watch_line(61 * SECOND, wall_ms, &line),
                Ok(WatchStep::Nothing)
            ),
            "{wall_ms}"
        );
        let all = watcher
            .apply_list(
                62 * SECOND,
                wall_ms,
                &list("7", vec![slice_with_start("6")]),
            )
            .expect("a list");
        assert_eq!(all[0].started_at, Some(30 * SECOND), "{wall_ms}");
    }
}
