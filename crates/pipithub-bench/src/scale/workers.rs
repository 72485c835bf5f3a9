//! What a worker sees of many front ends, from the fleet test's own records (`--fleet DIR`, its `--json` files). Front
//! ends are the real program there; workers, clients and time are that test's. It lies outside of this repository, so
//! nothing is measured where no records are given.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::Value;

use super::{Plan, Point, Series};
use crate::Result;

/// What is planned for: front ends, calls of each in a second, workers.
const PLANNED: u64 = 1_700;
const CALLS_PER_FRONT_END: f64 = 100.0;
const WORKERS: f64 = 16_000.0;
/// The longest record that is read.
const MAX_RECORD_BYTES: u64 = 16 << 20;

/// One day as it was recorded: sums over all workers, and what they are divided by.
#[derive(Clone, Debug)]
struct FleetRecord {
    kind: String,
    front_ends: u64,
    /// Workers and calls are drawn by the day's seed: both are reported, and figures divided by them.
    workers: f64,
    calls: f64,
    /// Calls that were answered by a worker, in time or late.
    served: f64,
    /// Seconds of the day, as far as its table by stretches of time goes.
    seconds: f64,
    attempts: f64,
    connections: f64,
    open: f64,
    handshakes: f64,
    probes: f64,
    loads: f64,
    list_calls: f64,
}

/// Reads the records, one series for each kind of day and figure.
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let Some(folder) = &plan.fleet else {
        println!("\nworkers: skipped, as no records of the fleet test are given (--fleet DIR)");
        return Ok(Vec::new());
    };
    let mut kinds: BTreeMap<String, BTreeMap<u64, Vec<FleetRecord>>> = BTreeMap::new();
    for day in read(folder)? {
        kinds
            .entry(day.kind.clone())
            .or_default()
            .entry(day.front_ends)
            .or_default()
            .push(day);
    }
    println!(
        "\nworkers: front ends are real, workers, clients and time are simulated by the fleet test"
    );
    println!(
        "  not told by its records: which worker got what, so a worker's figures are means over all workers"
    );
    type Figure = (&'static str, &'static str, fn(&FleetRecord) -> f64);
    let figures: [Figure; 17] = [
        ("workers, drawn by the seed", "workers", |d| d.workers),
        ("calls of the day, drawn by the seed", "calls", |d| d.calls),
        ("calls of a front end in a second", "calls/s", |d| {
            d.calls / d.seconds / d.front_ends as f64
        }),
        ("requests sent", "requests", |d| d.attempts),
        ("requests at a worker", "requests", |d| {
            d.attempts / d.workers
        }),
        ("requests for each call", "requests", |d| {
            d.attempts / d.calls
        }),
        ("connections made", "connections", |d| d.connections),
        ("connections at a worker", "connections", |d| {
            d.connections / d.workers
        }),
        ("connections for each call", "connections", |d| {
            d.connections / d.calls
        }),
        (
            "connections of a front end to a worker",
            "connections",
            |d| d.connections / d.workers / d.front_ends as f64,
        ),
        ("connections open at a worker, mean", "connections", |d| {
            d.open * d.front_ends as f64 / d.workers
        }),
        ("handshakes at a worker", "handshakes", |d| {
            d.handshakes / d.workers
        }),
        ("handshakes for each call", "handshakes", |d| {
            d.handshakes / d.calls
        }),
        ("probes at a worker", "probes", |d| d.probes / d.workers),
        ("loads begun at a worker", "loads", |d| d.loads / d.workers),
        ("loads begun for each call served", "loads", |d| {
            d.loads / d.served
        }),
        (
            "calls for the list of a front end in a second",
            "calls/s",
            |d| d.list_calls,
        ),
    ];
    let mut all = Vec::new();
    for (kind, sizes) in &kinds {
        for (what, unit, figure) in figures {
            let what = format!("{what} ({kind})");
            let mut series = Series::new(
                "workers",
                &what,
                unit,
                "front ends",
                "simulated time",
                PLANNED,
            );
            for (size, days) in sizes {
                series.push(*size, days.iter().map(figure).collect());
            }
            all.push(series);
        }
        if let Some((size, days)) = sizes.last_key_value() {
            extrapolate(kind, *size, days);
        }
    }
    Ok(all)
}

/// What each planned worker would see in a second by the ratios of the largest size. The fleet test plays few calls a
/// second at a front end: connections that carry more of them are made less often, so those are an upper bound. It also
/// plays more front ends than workers, where the plan has nine workers for each front end.
fn extrapolate(kind: &str, size: u64, days: &[FleetRecord]) {
    let calls = PLANNED as f64 * CALLS_PER_FRONT_END / WORKERS;
    let median =
        |figure: fn(&FleetRecord) -> f64| Point::of(size, days.iter().map(figure).collect()).value;
    println!(
        "  {kind}: by the ratios at {size} front ends with {:.1} calls a second each, a worker of {WORKERS} under {PLANNED} \
         front ends with {CALLS_PER_FRONT_END} each would see in a second (extrapolated): {:.1} requests, {:.1} new connections and \
         {:.1} handshakes at most, {:.3} probes, {:.2} loads begun",
        median(|d| d.calls / d.seconds / d.front_ends as f64),
        calls * median(|d| d.attempts / d.calls),
        calls * median(|d| d.connections / d.calls),
        calls * median(|d| d.handshakes / d.calls),
        calls * median(|d| d.probes / d.calls),
        calls * median(|d| d.loads / d.calls),
    );
}

/// All records in a folder, in the order of their names.
fn read(folder: &Path) -> Result<Vec<FleetRecord>> {
    let mut places: Vec<_> = std::fs::read_dir(folder)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|e| e == "json"))
        .collect();
    places.sort();
    let mut days = Vec::new();
    for place in places {
        if std::fs::metadata(&place)?.len() > MAX_RECORD_BYTES {
            return Err(format!("{}: too long for a record", place.display()).into());
        }
        let record: Value = serde_json::from_str(&std::fs::read_to_string(&place)?)?;
        days.push(
            parse(&record).map_err(|field| format!("{}: {field} is not told", place.display()))?,
        );
    }
    if days.is_empty() {
        Err(format!("{}: no records", folder.display()).into())
    } else {
        Ok(days)
    }
}

/// One record's figures; the place of the first that is missing.
fn parse(record: &Value) -> std::result::Result<FleetRecord, &'static str> {
    let at = |place: &'static str| record.pointer(place).and_then(Value::as_f64).ok_or(place);
    let windows = record["windows"].as_array().ok_or("/windows")?;
    let sum = |field: &str| {
        windows
            .iter()
            .filter_map(|w| w[field].as_f64())
            .sum::<f64>()
    };
    let start = |i: usize| windows.get(i).and_then(|w| w["from_s"].as_f64());
    let stretch = start(1)
        .zip(start(0))
        .map(|(second, first)| second - first)
        .ok_or("/windows/1/from_s")?;
    let calls = at("/requests")?;
    let served = sum("in_time") + sum("late");
    Ok(FleetRecord {
        kind: record["name"].as_str().ok_or("/name")?.to_string(),
        front_ends: at("/row/nodes")? as u64,
        workers: at("/row/servers")?,
        calls,
        served,
        seconds: stretch * windows.len() as f64,
        attempts: sum("attempts"),
        connections: at("/real/seen/server_conns")?,
        open: at("/signature/connections_per_instance")?,
        // Meters are told for each call: times the calls they come out as whole numbers. Loads are told for each call
        // served, so their sum is derived.
        handshakes: at("/meters/handshake")? * calls,
        probes: at("/meters/probe")? * calls,
        loads: at("/signature/loads_per_served")? * served,
        list_calls: at("/signature/list_calls_per_instance_s")?,
    })
}
