//! What reading a configuration costs as it grows. A front end reads all of it at each SIGHUP, on the thread that serves,
//! and takes the coordinator's address alone from it.

use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

use pipithub_platform::config::NodeConfig;

use super::configuration::{configuration, worker};
use super::site::{LogEvent, Site};
use crate::Result;
use crate::scale::{Figure, Plan, PlaysAtSize, Series, SizeAxis};

/// Entries of one configuration. Functions are named in none: 43,000 is the number of those that are planned for.
const ENTRIES: [u64; 5] = [10, 100, 1_000, 10_000, 43_000];
/// The workers and the functions that are planned for.
const WORKERS: u64 = 16_000;
const FUNCTIONS: u64 = 43_000;
/// Bytes that one measurement reads at least: one reading of a short text is near the clock's own grain.
const MIN_BYTES_READ: usize = 200_000;
/// An address that nobody is asked at.
const NO_COORDINATOR: &str = "127.0.0.1:1";

fn axis(size_unit: &'static str, method: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "settings",
        size_unit,
        method,
        planned,
    }
}

/// What one process showed that starts with a configuration and reads it again.
struct ProcessPlay {
    start_ms: f64,
    reload_ms: f64,
    peak_mib: f64,
}

const PROCESS_FIGURES: [Figure<ProcessPlay>; 3] = [
    Figure::new("CPU of a start", "ms", |play| play.start_ms),
    Figure::new("CPU of one SIGHUP", "ms", |play| play.reload_ms),
    Figure::new("peak memory of a process", "MB", |play| play.peak_mib),
];

/// Measures the reading alone, and a process that starts with such a file and reads it again.
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
        let mut plays = Vec::new();
        for _ in 0..plan.plays {
            plays.push(play(plan, folder, size).await?);
        }
        processes.push(PlaysAtSize { size, plays });
    }
    let mut all = vec![bytes, workers, classes];
    let process_axis = axis("workers known", "processes", WORKERS);
    all.extend(process_axis.tabulate(&PROCESS_FIGURES, &processes));
    Ok(all)
}

async fn play(plan: &Plan, folder: &Path, workers: u64) -> Result<ProcessPlay> {
    let mut site = Site::start(&plan.binary, folder, 1, workers, 1).await?;
    let start_ms = site.cpu_seconds() * 1e3;
    let before = site.cpu_seconds();
    // The same file: what is spent is the reading, and nothing moves.
    site.reload(0)?;
    site.all_log(LogEvent::Read).await?;
    let play = ProcessPlay {
        start_ms,
        reload_ms: (site.cpu_seconds() - before) * 1e3,
        peak_mib: site.peak_mib(),
    };
    site.stop().await;
    Ok(play)
}

/// Times of reading this text, in milliseconds.
fn read(plan: &Plan, text: &str) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..plan.plays {
        let rounds = (MIN_BYTES_READ / text.len()).max(1);
        let begun = Instant::now();
        for _ in 0..rounds {
            black_box(NodeConfig::parse(black_box(text))?);
        }
        times.push(begun.elapsed().as_secs_f64() * 1e3 / rounds as f64);
    }
    Ok(times)
}
