//! The part `workers` of the scale tests, with and without records of the fleet test.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipithub-bench"));
    command
        .args(["scale", "workers"])
        .args(arguments)
        .output()
        .expect("runs")
}

/// The record of a run with a hundred calls per front end and one and a half attempts per call.
fn record(front_ends: u64, workers: u64) -> Value {
    let calls = front_ends * 100;
    let window = |from: f64| json!({"from_s": from, "attempts": calls * 3 / 4, "in_time": calls / 4, "late": calls / 4});
    json!({
        "name": "calm+mass", "requests": calls, "windows": [window(0.0), window(5.0)],
        "row": {"nodes": front_ends, "servers": workers},
        "real": {"seen": {"server_conns": calls / 2}},
        "meters": {"handshake": 0.25, "probe": 0.5},
        "signature": {"connections_per_instance": 2.0, "loads_per_served": 0.1, "list_calls_per_instance_s": 0.0}
    })
}

fn write(folder: &Path, name: &str, record: &Value) {
    std::fs::write(folder.join(name), record.to_string()).expect("written");
}

#[test]
fn missing_records_are_reported_and_the_part_is_skipped() {
    let output = scale(&[]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("workers: skipped"));
}

#[test]
fn figures_are_ratios_of_the_sums_of_each_record() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), "a.json", &record(10, 20));
    write(folder.path(), "b.json", &record(100, 40));
    let (records, out) = (
        folder.path().display().to_string(),
        folder.path().join("out"),
    );
    let output = scale(&["--fleet", &records, "--json", &out.display().to_string()]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let all: Value =
        serde_json::from_str(&std::fs::read_to_string(&out).expect("written")).expect("JSON");
    let values = |what: &str| -> Vec<f64> {
        let series = all.as_array().expect("a list").iter();
        let named: Vec<&Value> = series
            .filter(|s| s["what"] == format!("{what} (calm+mass)"))
            .collect();
        assert_eq!(named.len(), 1, "{what}");
        named[0]["points"]
            .as_array()
            .expect("points")
            .iter()
            .filter_map(|p| p["value"].as_f64())
            .collect()
    };
    assert_eq!(values("workers, drawn by the seed"), [20.0, 40.0]);
    assert_eq!(values("calls of a front end in a second"), [10.0, 10.0]);
    assert_eq!(values("requests at a worker"), [75.0, 375.0]);
    assert_eq!(values("requests for each call"), [1.5, 1.5]);
    assert_eq!(values("connections at a worker"), [25.0, 125.0]);
    assert_eq!(values("connections open at a worker, mean"), [1.0, 5.0]);
    assert_eq!(values("handshakes at a worker"), [12.5, 62.5]);
    assert_eq!(values("probes at a worker"), [25.0, 125.0]);
    assert_eq!(values("loads begun at a worker"), [5.0, 25.0]);
}

#[test]
fn record_without_a_figure_is_reported_with_its_file_and_the_figure() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut short = record(10, 20);
    short["meters"]
        .as_object_mut()
        .expect("an object")
        .remove("probe");
    write(folder.path(), "short.json", &short);
    let output = scale(&["--fleet", &folder.path().display().to_string()]);
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(
        stderr.contains("short.json") && stderr.contains("/meters/probe is missing"),
        "{stderr}"
    );
}
