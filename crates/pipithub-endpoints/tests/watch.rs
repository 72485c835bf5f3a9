//! Lists and watches as an API server writes them.

use pipithub_endpoints::{WatchStep, Watcher, read_cached_list};
use pipithub_engine::Time;
use pipithub_engine::policy::{Endpoint, EndpointState, EndpointUpdate};
use serde_json::{Value, json};

const SECOND: Time = 1_000_000_000;
const WALL: u64 = 1_800_000_000_000;

fn endpoint(n: u8, uid: &str, conditions: Value) -> Value {
    json!({"addresses": [format!("10.0.0.{n}")], "conditions": conditions, "zone": "a", "nodeName": "x",
           "targetRef": {"kind": "Pod", "name": format!("w-{n}"), "uid": uid}})
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

fn short(entries: &[Endpoint]) -> Vec<(String, EndpointState)> {
    entries
        .iter()
        .map(|e| (e.worker.0.to_string(), e.state))
        .collect()
}

#[test]
fn conditions_become_states() {
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
    let all = watcher.list(SECOND, WALL, &body).expect("a list");
    let at = |n: u8| format!("10.0.0.{n}:80");
    assert_eq!(
        short(&all),
        [
            (at(1), EndpointState::Ready),
            (at(2), EndpointState::Draining),
            (at(3), EndpointState::Draining),
            (at(4), EndpointState::Ready),
            (at(5), EndpointState::Ready)
        ]
    );
    assert_eq!(
        (all[0].memory_mb, all[0].zone.as_str(), all[0].started_at),
        (8000.0, "a", None)
    );
    assert_eq!((watcher.version(), watcher.ready_count()), (Some("5"), 3));
}

#[test]
fn a_watch_brings_only_what_changed() {
    let up = || json!({"ready": true});
    let mut watcher = watcher();
    watcher
        .list(
            0,
            WALL,
            &list("5", vec![slice("s", "4", vec![endpoint(1, "a", up())])]),
        )
        .expect("a list");
    let line = event(
        "MODIFIED",
        slice(
            "s",
            "6",
            vec![endpoint(1, "a", up()), endpoint(2, "b", up())],
        ),
    );
    let Ok(WatchStep::Changes(changes)) = watcher.line(3 * SECOND, WALL, &line) else {
        panic!("changes")
    };
    assert_eq!(
        short(&changes),
        [("10.0.0.2:80".to_string(), EndpointState::Ready)]
    );
    assert_eq!(
        changes[0].started_at,
        Some(3 * SECOND),
        "first seen in a watch: started now"
    );
    assert_eq!(watcher.version(), Some("6"));
    assert!(matches!(
        watcher.line(4 * SECOND, WALL, &line),
        Ok(WatchStep::Nothing)
    ));
    let gone = event("DELETED", slice("s", "7", vec![]));
    let Ok(WatchStep::Changes(changes)) = watcher.line(5 * SECOND, WALL, &gone) else {
        panic!("changes")
    };
    assert!(changes.iter().all(|e| e.state == EndpointState::Removed) && changes.len() == 2);
}

/// A pod that takes over the address of another is a new process: it holds nothing.
#[test]
fn another_uid_at_the_same_address_is_a_restart() {
    let mut watcher = watcher();
    let one = |uid: &str| slice("s", "4", vec![endpoint(1, uid, json!({"ready": true}))]);
    watcher
        .list(0, WALL, &list("5", vec![one("a")]))
        .expect("a list");
    let Ok(WatchStep::Changes(changes)) =
        watcher.line(9 * SECOND, WALL, &event("MODIFIED", one("b")))
    else {
        panic!("changes")
    };
    assert_eq!(changes[0].started_at, Some(9 * SECOND));
    // A list after a break that still shows it changes nothing about its start.
    let all = watcher
        .list(20 * SECOND, WALL, &list("9", vec![one("b")]))
        .expect("a list");
    assert_eq!(all[0].started_at, Some(9 * SECOND));
}

#[test]
fn an_endpoint_in_two_slices_counts_as_the_careful_one_says() {
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
        .list(0, WALL, &list("5", vec![a, b]))
        .expect("a list");
    assert_eq!(
        short(&all),
        [("10.0.0.1:80".to_string(), EndpointState::Draining)]
    );
}

#[test]
fn bookmarks_move_the_version_and_gone_asks_for_a_list() {
    let mut watcher = watcher();
    watcher.list(0, WALL, &list("5", vec![])).expect("a list");
    let bookmark = event("BOOKMARK", json!({"metadata": {"resourceVersion": "77"}}));
    assert!(matches!(
        watcher.line(0, WALL, &bookmark),
        Ok(WatchStep::Nothing)
    ));
    assert_eq!(watcher.version(), Some("77"));
    let gone = event(
        "ERROR",
        json!({"kind": "Status", "code": 410, "reason": "Expired", "message": "too old"}),
    );
    assert!(matches!(
        watcher.line(0, WALL, &gone),
        Ok(WatchStep::Expired)
    ));
    assert_eq!(watcher.version(), None);
    let other = event(
        "ERROR",
        json!({"kind": "Status", "code": 500, "message": "etcd"}),
    );
    assert!(
        watcher
            .line(0, WALL, &other)
            .expect_err("an error")
            .to_string()
            .contains("500: etcd")
    );
}

#[test]
fn what_cannot_be_read_is_told_and_changes_nothing() {
    let mut watcher = watcher();
    let up = slice("s", "4", vec![endpoint(1, "a", json!({"ready": true}))]);
    watcher.list(0, WALL, &list("5", vec![up])).expect("a list");
    for bad in [
        "",
        "{",
        "[]",
        "{\"items\": 5}",
        "{\"items\": [{\"metadata\": {}, \"endpoints\": [{}]}]}",
    ] {
        assert!(watcher.list(0, WALL, bad.as_bytes()).is_err(), "{bad}");
        assert!(watcher.line(0, WALL, bad.as_bytes()).is_err(), "{bad}");
        assert_eq!((watcher.ready_count(), watcher.version()), (1, Some("5")));
    }
    let many = vec![endpoint(1, "a", json!({})); pipithub_endpoints::MAX_ENDPOINTS + 1];
    assert!(
        watcher
            .list(0, WALL, &list("6", vec![slice("s", "6", many)]))
            .is_err()
    );
    // Null for an empty list is what an API server sends.
    let null = json!({"metadata": {"name": "s"}, "endpoints": null, "ports": null});
    assert_eq!(
        watcher
            .list(0, WALL, &list("7", vec![null]))
            .expect("empty"),
        []
    );
}

#[test]
fn a_remembered_list_comes_back_after_a_restart() {
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
    watcher.list(0, WALL, &body).expect("a list");
    let line = event(
        "ADDED",
        slice("t", "6", vec![endpoint(3, "c", json!({"ready": true}))]),
    );
    watcher
        .line(10 * SECOND, WALL + 10_000, &line)
        .expect("changes");
    let text = watcher.to_cached_list(20 * SECOND, WALL + 20_000);
    // The new process counts its own time, 5 s on.
    let cached = read_cached_list(&text, 60 * SECOND, WALL + 25_000).expect("its own text");
    assert_eq!(cached.update, EndpointUpdate::Cached);
    let entries = cached.endpoints;
    assert_eq!(short(&entries)[1].1, EndpointState::Draining);
    assert_eq!(entries[2].started_at, Some(45 * SECOND), "started 15 s ago");
    assert!(read_cached_list("nonsense", 0, 0).is_err());
}

const HOUR_MS: u64 = 3_600_000;

fn recalled_start(text: &str, wall_ms: u64) -> Option<Time> {
    let now = 3 * 3_600 * SECOND;
    let entries = read_cached_list(text, now, wall_ms)
        .expect("its own text")
        .endpoints;
    entries[0].started_at.map(|started| now - started)
}

/// A step back between the writing and the restart had made a worker that is an hour old start just now.
#[test]
fn no_worker_is_younger_after_a_restart() {
    let mut watcher = watcher();
    watcher.list(0, WALL, &list("5", vec![])).expect("a list");
    let line = event(
        "ADDED",
        slice("t", "6", vec![endpoint(3, "c", json!({"ready": true}))]),
    );
    watcher
        .line(10 * SECOND, WALL + 10_000, &line)
        .expect("changes");
    let written_ms = WALL + 10_000 + HOUR_MS;
    let text = watcher.to_cached_list(10 * SECOND + 3_600 * SECOND, written_ms);
    let age = 3_600 * SECOND;
    assert_eq!(
        recalled_start(&text, written_ms + 5_000),
        Some(age + 5 * SECOND)
    );
    assert_eq!(
        recalled_start(&text, written_ms - 5_000),
        Some(age),
        "stepped back by seconds"
    );
    assert_eq!(
        recalled_start(&text, written_ms - HOUR_MS),
        Some(age),
        "by an hour"
    );
    assert_eq!(
        recalled_start(&text, 0),
        Some(age),
        "to the clock's beginning"
    );
    assert_eq!(
        recalled_start(&text, written_ms + HOUR_MS),
        Some(2 * age),
        "forward"
    );
}

/// Written by hand or by a fault: a start after the writing, and figures beyond any clock.
#[test]
fn a_remembered_start_in_the_future_counts_as_long_ago() {
    let text = |wall_ms: u64, started_ms: u64| {
        let worker = json!({"address": "10.0.0.1:80", "draining": false, "zone": "a", "memory_mb": 1.0,
                            "started_ms": started_ms});
        json!({"format": 1, "wall_ms": wall_ms, "workers": [worker]}).to_string()
    };
    assert_eq!(recalled_start(&text(WALL, WALL + 1), WALL + 10), None);
    assert_eq!(
        recalled_start(&text(u64::MAX, 0), u64::MAX),
        Some(3 * 3_600 * SECOND - 1)
    );
}

/// While the process runs, a known start is monotonic time and no step moves it.
#[test]
fn a_step_of_the_wall_clock_is_no_restart_of_workers() {
    let stamped = |version: &str| {
        let mut slice = slice("s", version, vec![endpoint(1, "a", json!({"ready": true}))]);
        slice["metadata"]["annotations"]["pipithub.dev/started-ms"] =
            json!(format!("{{\"a\": {}}}", WALL - 30_000));
        slice
    };
    let mut watcher = watcher();
    let all = watcher
        .list(60 * SECOND, WALL, &list("5", vec![stamped("4")]))
        .expect("a list");
    assert_eq!(all[0].started_at, Some(30 * SECOND));
    for wall_ms in [WALL + HOUR_MS, WALL - HOUR_MS] {
        let line = event("MODIFIED", stamped("6"));
        assert!(
            matches!(
                watcher.line(61 * SECOND, wall_ms, &line),
                Ok(WatchStep::Nothing)
            ),
            "{wall_ms}"
        );
        let all = watcher
            .list(62 * SECOND, wall_ms, &list("7", vec![stamped("6")]))
            .expect("a list");
        assert_eq!(all[0].started_at, Some(30 * SECOND), "{wall_ms}");
    }
}
