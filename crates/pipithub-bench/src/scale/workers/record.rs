//! Records of the fleet test, which is not part of this repository.

use std::fmt;
use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::Result;

/// The maximum size of a record.
const MAX_RECORD_BYTES: u64 = 16 << 20;

/// The record of one run: sums over all workers, and the numbers that figures are divided by.
#[derive(Clone, Debug)]
pub(super) struct FleetRecord {
    /// The kind of scenario.
    pub kind: String,
    /// The number of front ends.
    pub front_ends: u64,
    /// The number of workers, which the seed determines.
    pub workers: f64,
    /// The number of calls, which the seed determines.
    pub calls: f64,
    /// Calls that were served, in time or late.
    pub served: f64,
    /// The time that the windows of the record cover, in seconds.
    pub seconds: f64,
    /// Attempts at workers.
    pub attempts: f64,
    /// Connections made to workers.
    pub connections: f64,
    /// Mean number of open connections of a front end.
    pub open_connections: f64,
    /// Handshakes with workers.
    pub handshakes: f64,
    /// Polls of workers' loads.
    pub probes: f64,
    /// Loads of functions.
    pub loads: f64,
    /// Requests of a front end for the endpoint list, per second.
    pub list_requests: f64,
}

/// Reads all records of a folder, by file name. Fails if there is none, or one cannot be read or lacks a figure.
pub(super) fn read_all(folder: &Path) -> Result<Vec<FleetRecord>> {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(folder)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    paths.sort();
    if paths.is_empty() {
        return Err(format!("{}: found no records", folder.display()).into());
    }
    paths.iter().map(|path| read(path)).collect()
}

fn read(path: &Path) -> Result<FleetRecord> {
    let file = path.display();
    if std::fs::metadata(path)?.len() > MAX_RECORD_BYTES {
        return Err(format!("{file}: exceeds the maximum size of a record").into());
    }
    let record: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    parse(&record).map_err(|error| format!("{file}: {error}").into())
}

/// The error for a record that lacks a figure.
#[derive(Debug)]
struct MissingField {
    /// The JSON pointer of the figure.
    pointer: &'static str,
}

impl MissingField {
    fn at(pointer: &'static str) -> Self {
        MissingField { pointer }
    }
}

impl fmt::Display for MissingField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is missing", self.pointer)
    }
}

impl std::error::Error for MissingField {}

/// The figures of a record. Fails at the first one that is missing.
fn parse(record: &Value) -> std::result::Result<FleetRecord, MissingField> {
    let number = |pointer: &'static str| {
        let value = record.pointer(pointer).and_then(Value::as_f64);
        value.ok_or(MissingField::at(pointer))
    };
    let windows = record["windows"]
        .as_array()
        .ok_or(MissingField::at("/windows"))?;
    let sum = |field: &str| -> f64 {
        windows
            .iter()
            .filter_map(|window| window[field].as_f64())
            .sum()
    };
    let seconds = window_seconds(windows)? * windows.len() as f64;
    let calls = number("/requests")?;
    let served = sum("in_time") + sum("late");
    Ok(FleetRecord {
        kind: record["name"]
            .as_str()
            .ok_or(MissingField::at("/name"))?
            .to_string(),
        front_ends: number("/row/nodes")? as u64,
        workers: number("/row/servers")?,
        calls,
        served,
        seconds,
        attempts: sum("attempts"),
        connections: number("/real/seen/server_conns")?,
        open_connections: number("/signature/connections_per_instance")?,
        // The record holds meters per call, and loads per served call; their sums are derived.
        handshakes: number("/meters/handshake")? * calls,
        probes: number("/meters/probe")? * calls,
        loads: number("/signature/loads_per_served")? * served,
        list_requests: number("/signature/list_calls_per_instance_s")?,
    })
}

/// The width of each window.
fn window_seconds(windows: &[Value]) -> std::result::Result<f64, MissingField> {
    let start = |index: usize| windows.get(index).and_then(|w| w["from_s"].as_f64());
    start(1)
        .zip(start(0))
        .map(|(second, first)| second - first)
        .ok_or(MissingField::at("/windows/1/from_s"))
}
