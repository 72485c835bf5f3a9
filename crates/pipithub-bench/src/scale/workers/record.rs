//! Records of the fleet test, which lies outside of this repository.

use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::Result;

/// The longest record that is read.
const MAX_RECORD_BYTES: u64 = 16 << 20;

/// One day as it was recorded: sums over all workers, and what they are divided by.
#[derive(Clone, Debug)]
pub(super) struct FleetRecord {
    /// The kind of day.
    pub kind: String,
    /// Front ends.
    pub front_ends: u64,
    /// Workers and calls are drawn by the day's seed: both are reported, and figures divided by them.
    pub workers: f64,
    /// See `workers`.
    pub calls: f64,
    /// Calls that were answered by a worker, in time or late.
    pub served: f64,
    /// Seconds of the day, as far as its table by stretches of time goes.
    pub seconds: f64,
    /// Requests to workers.
    pub attempts: f64,
    /// Connections made to workers.
    pub connections: f64,
    /// Connections that a front end holds open.
    pub open_connections: f64,
    /// Handshakes with workers.
    pub handshakes: f64,
    /// Polls of workers' loads.
    pub probes: f64,
    /// Loads of functions.
    pub loads: f64,
    /// Requests of a front end for the worker list, in a second.
    pub list_requests: f64,
}

/// All records in a folder, in the order of their names.
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
        return Err(format!("{}: no records", folder.display()).into());
    }
    paths.iter().map(|path| read(path)).collect()
}

fn read(path: &Path) -> Result<FleetRecord> {
    let place = path.display();
    if std::fs::metadata(path)?.len() > MAX_RECORD_BYTES {
        return Err(format!("{place}: too long for a record").into());
    }
    let record: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    parse(&record).map_err(|field| format!("{place}: {field} is not told").into())
}

/// One record's figures; the place of the first that is missing.
fn parse(record: &Value) -> std::result::Result<FleetRecord, &'static str> {
    let number = |place: &'static str| record.pointer(place).and_then(Value::as_f64).ok_or(place);
    let windows = record["windows"].as_array().ok_or("/windows")?;
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
        kind: record["name"].as_str().ok_or("/name")?.to_string(),
        front_ends: number("/row/nodes")? as u64,
        workers: number("/row/servers")?,
        calls,
        served,
        seconds,
        attempts: sum("attempts"),
        connections: number("/real/seen/server_conns")?,
        open_connections: number("/signature/connections_per_instance")?,
        // Meters are told for each call: times the calls they come out as whole numbers. Loads are told for each call
        // served, so their sum is derived.
        handshakes: number("/meters/handshake")? * calls,
        probes: number("/meters/probe")? * calls,
        loads: number("/signature/loads_per_served")? * served,
        list_requests: number("/signature/list_calls_per_instance_s")?,
    })
}

/// How long each window of the table is.
fn window_seconds(windows: &[Value]) -> std::result::Result<f64, &'static str> {
    let start = |index: usize| windows.get(index).and_then(|w| w["from_s"].as_f64());
    start(1)
        .zip(start(0))
        .map(|(second, first)| second - first)
        .ok_or("/windows/1/from_s")
}
