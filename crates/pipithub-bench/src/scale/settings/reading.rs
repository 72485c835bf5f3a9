//! The cost of reading a configuration by its size. At each SIGHUP a front end reads all of it on the thread that serves
//! requests, though it applies only the coordinator's address.

use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

use pipithub_platform::config::NodeConfig;

use super::configuration::{configuration, worker};
use super::site::{LogEvent, Site};
use crate::Result;
use crate::scale::{Figure, Plan, RunsAtSize, Series, SizeAxis};

/// The number of entries of a configuration, up to the planned number of functions. Configurations do not list functions.
const ENTRIES: [u64; 5] = [10, 100, 1_000, 10_000, 43_000];
/// The planned number of workers.
const WORKERS: u64 = 16_000;
/// The planned number of functions.
const FUNCTIONS: u64 = 43_000;
/// The minimum number of bytes that one measurement reads, so that it is long compared with the clock's resolution.
const MIN_BYTES_READ: usize = 200_000;
/// An address without a coordinator.
const NO_COORDINATOR: &str = "127.0.0.1:1";

fn axis(size_unit: &'static str, method: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "settings",
        size_unit,
        method,
        planned,
    }
}

/// The cost of a start with a configuration, and of reading it again.
struct ProcessRun {
    start_ms: f64,
    reload_ms: f64,
    peak_mib: f64,
}

const PROCESS_FIGURES: [Figure<ProcessRun>; 3] = [
    Figure::new("CPU of a start", "ms", |run| run.start_ms),
    Figure::new("CPU of one SIGHUP", "ms", |run| run.reload_ms),
    Figure::new("peak memory of a process", "MB", |run| run.peak_mib),
];

/// Measures the parser alone, and processes that start with such a file and read it again.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let worker_axis = axis("workers known", "core", WORKERS);
    let mut bytes = worker_axis.series("size of a configuration", "bytes");
    let mut workers = worker_axis.series("reading a configuration by its workers", "ms");
    let mut classes =
        axis("classes", "core", FUNCTIONS).series("reading a configuration by its classes", "ms");
    let mut processes = Vec::new();
    for size in ENTRIES {
        let known: Vec<_> = (0..size).map(worker).collect();
        let text = configuration(0, NO_COORDINATOR, &known, 1).to_string();
        bytes.push(size, vec![text.len() as f64]);
        workers.push(size, read(plan, &text)?);
        let text = configuration(0, NO_COORDINATOR, &known[..1], size as usize).to_string();
        classes.push(size, read(plan, &text)?);
        let mut runs = Vec::new();
        for _ in 0..plan.runs {
            runs.push(measure_run(plan, folder, size).await?);
        }
        processes.push(RunsAtSize { size, runs });
    }
    let mut all = vec![bytes, workers, classes];
    let process_axis = axis("workers known", "processes", WORKERS);
    all.extend(process_axis.tabulate(&PROCESS_FIGURES, &processes));
    Ok(all)
}

async fn measure_run(plan: &Plan, folder: &Path, workers: u64) -> Result<ProcessRun> {
    let mut site = Site::start(&plan.binary, folder, 1, workers, 1).await?;
    let start_ms = site.cpu_seconds() * 1e3;
    let before = site.cpu_seconds();
    // The file is unchanged, so only reading it costs time.
    site.reload(0)?;
    site.all_log(LogEvent::Read).await?;
    let run = ProcessRun {
        start_ms,
        reload_ms: (site.cpu_seconds() - before) * 1e3,
        peak_mib: site.peak_mib(),
    };
    site.stop().await;
    Ok(run)
}

/// The times of parsing a text, in milliseconds.
fn read(plan: &Plan, text: &str) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..plan.runs {
        let rounds = (MIN_BYTES_READ / text.len()).max(1);
        let begun = Instant::now();
        for _ in 0..rounds {
            black_box(NodeConfig::parse(black_box(text))?);
        }
        times.push(begun.elapsed().as_secs_f64() * 1e3 / rounds as f64);
    }
    Ok(times)
}
