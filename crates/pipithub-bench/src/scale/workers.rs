//! The load of a worker by many front ends, from the records of the fleet test (`--fleet DIR`, its `--json` files). That
//! test runs real front ends with simulated workers, clients and time. It is not part of this repository, so this part
//! is skipped without records.

mod record;

use std::collections::BTreeMap;

use super::{Figure, Plan, Point, RunsAtSize, Series, SizeAxis};
use crate::Result;
use record::FleetRecord;

/// The planned number of front ends.
const PLANNED: u64 = 1_700;
/// The planned number of calls per second and front end.
const CALLS_PER_FRONT_END: f64 = 100.0;
/// The planned number of workers.
const WORKERS: f64 = 16_000.0;
const AXIS: SizeAxis = SizeAxis {
    part: "workers",
    size_unit: "front ends",
    method: "simulated time",
    planned: PLANNED,
};

const FIGURES: [Figure<FleetRecord>; 17] = [
    Figure::new("workers, drawn by the seed", "workers", |r| r.workers),
    Figure::new("calls of the day, drawn by the seed", "calls", |r| r.calls),
    Figure::new("calls of a front end in a second", "calls/s", |r| {
        r.calls / r.seconds / r.front_ends as f64
    }),
    Figure::new("requests sent", "requests", |r| r.attempts),
    Figure::new("requests at a worker", "requests", |r| {
        r.attempts / r.workers
    }),
    Figure::new("requests for each call", "requests", |r| {
        r.attempts / r.calls
    }),
    Figure::new("connections made", "connections", |r| r.connections),
    Figure::new("connections at a worker", "connections", |r| {
        r.connections / r.workers
    }),
    Figure::new("connections for each call", "connections", |r| {
        r.connections / r.calls
    }),
    Figure::new(
        "connections of a front end to a worker",
        "connections",
        |r| r.connections / r.workers / r.front_ends as f64,
    ),
    Figure::new("connections open at a worker, mean", "connections", |r| {
        r.open_connections * r.front_ends as f64 / r.workers
    }),
    Figure::new("handshakes at a worker", "handshakes", |r| {
        r.handshakes / r.workers
    }),
    Figure::new("handshakes for each call", "handshakes", |r| {
        r.handshakes / r.calls
    }),
    Figure::new("probes at a worker", "probes", |r| r.probes / r.workers),
    Figure::new("loads begun at a worker", "loads", |r| r.loads / r.workers),
    Figure::new("loads begun for each call served", "loads", |r| {
        r.loads / r.served
    }),
    Figure::new(
        "calls for the list of a front end in a second",
        "calls/s",
        |r| r.list_requests,
    ),
];

/// Reads the records and returns one series for each kind of scenario and figure.
pub(super) fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let Some(folder) = &plan.fleet else {
        println!("\nworkers: skipped, as no records of the fleet test are given (--fleet DIR)");
        return Ok(Vec::new());
    };
    let kinds = by_kind_and_size(record::read_all(folder)?);
    println!(
        "\nworkers: front ends are real, workers, clients and time are simulated by the fleet test"
    );
    println!(
        "  its records do not show individual workers, so the figures of a worker are means over all workers"
    );
    let mut all = Vec::new();
    for (kind, sizes) in &kinds {
        for mut series in AXIS.tabulate(&FIGURES, sizes) {
            series.what = format!("{} ({kind})", series.what);
            all.push(series);
        }
        if let Some(largest) = sizes.last() {
            extrapolate(kind, largest);
        }
    }
    Ok(all)
}

/// The records by the kind of their scenario, and then by the number of front ends, in ascending order.
fn by_kind_and_size(records: Vec<FleetRecord>) -> BTreeMap<String, Vec<RunsAtSize<FleetRecord>>> {
    let mut kinds: BTreeMap<String, BTreeMap<u64, Vec<FleetRecord>>> = BTreeMap::new();
    for record in records {
        kinds
            .entry(record.kind.clone())
            .or_default()
            .entry(record.front_ends)
            .or_default()
            .push(record);
    }
    let in_order = |sizes: BTreeMap<u64, Vec<FleetRecord>>| {
        sizes
            .into_iter()
            .map(|(size, runs)| RunsAtSize { size, runs })
            .collect()
    };
    kinds
        .into_iter()
        .map(|(kind, sizes)| (kind, in_order(sizes)))
        .collect()
}

/// Prints the load of each planned worker per second, by the ratios of the largest size. The fleet test has few calls per
/// second and front end. Connections that carry more calls are made less often, so their number is an upper bound. It
/// also has more front ends than workers, whereas the plan has nine workers for each front end.
fn extrapolate(kind: &str, largest: &RunsAtSize<FleetRecord>) {
    let calls = PLANNED as f64 * CALLS_PER_FRONT_END / WORKERS;
    let size = largest.size;
    let median = |figure: fn(&FleetRecord) -> f64| {
        Point::of(size, largest.runs.iter().map(figure).collect()).value
    };
    println!(
        "  {kind}: by the ratios at {size} front ends with {:.1} calls a second each, a worker of {WORKERS} under {PLANNED} \
         front ends with {CALLS_PER_FRONT_END} each would see in a second (extrapolated): {:.1} requests, {:.1} new \
         connections and {:.1} handshakes at most, {:.3} probes, {:.2} loads begun",
        median(|r| r.calls / r.seconds / r.front_ends as f64),
        calls * median(|r| r.attempts / r.calls),
        calls * median(|r| r.connections / r.calls),
        calls * median(|r| r.handshakes / r.calls),
        calls * median(|r| r.probes / r.calls),
        calls * median(|r| r.loads / r.calls),
    );
}
