//! What reading a configuration costs as it grows. A front end reads all of it at each SIGHUP, on the thread that serves,
//! and takes the coordinator's address alone from it.

use std::path::Path;
use std::time::Instant;

use pipithub_platform::config::NodeConfig;

use super::site::{LogEvent, Site, configuration, worker};
use crate::Result;
use crate::scale::{Plan, Series};

/// Entries of one configuration. Functions are named in none: 43,000 is the number of those that are planned for.
const ENTRIES: [u64; 5] = [10, 100, 1_000, 10_000, 43_000];
/// The workers and the functions that are planned for.
const WORKERS: u64 = 16_000;
const FUNCTIONS: u64 = 43_000;

/// Measures the reading alone, and then a process that starts with such a file and reads it again.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let new = |what: &str, unit: &str, of: &str, how: &str, planned: u64| {
        Series::new("settings", what, unit, of, how, planned)
    };
    let mut bytes = new(
        "size of a configuration",
        "bytes",
        "workers known",
        "core",
        WORKERS,
    );
    let mut workers = new(
        "reading a configuration by its workers",
        "ms",
        "workers known",
        "core",
        WORKERS,
    );
    let mut classes = new(
        "reading a configuration by its classes",
        "ms",
        "classes",
        "core",
        FUNCTIONS,
    );
    let mut start = new(
        "CPU of a start",
        "ms",
        "workers known",
        "processes",
        WORKERS,
    );
    let mut again = new(
        "CPU of one SIGHUP",
        "ms",
        "workers known",
        "processes",
        WORKERS,
    );
    let mut peak = new(
        "peak memory of a process",
        "MB",
        "workers known",
        "processes",
        WORKERS,
    );
    for size in ENTRIES {
        let known: Vec<_> = (0..size).map(worker).collect();
        let text = configuration(0, "127.0.0.1:1", &known, 1).to_string();
        bytes.push(size, vec![text.len() as f64]);
        workers.push(size, read(plan, &text)?);
        let text = configuration(0, "127.0.0.1:1", &known[..1], size as usize).to_string();
        classes.push(size, read(plan, &text)?);
        let (mut started, mut read_again, mut held) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..plan.plays {
            let mut site = Site::start(&plan.binary, folder, 1, size, 1).await?;
            started.push(site.cpu() * 1e3);
            let before = site.cpu();
            // The same file: what is spent is the reading, and nothing moves.
            site.reload(0)?;
            site.all_log(LogEvent::Read).await?;
            read_again.push((site.cpu() - before) * 1e3);
            held.push(site.peak_mb());
            site.stop().await;
        }
        start.push(size, started);
        again.push(size, read_again);
        peak.push(size, held);
    }
    Ok(vec![bytes, workers, classes, start, again, peak])
}

/// Times of reading this text, in milliseconds.
fn read(plan: &Plan, text: &str) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for _ in 0..plan.plays {
        // Short texts are read several times: one reading of them is near the clock's own grain.
        let rounds = (200_000 / text.len()).max(1);
        let begun = Instant::now();
        for _ in 0..rounds {
            std::hint::black_box(NodeConfig::parse(std::hint::black_box(text))?);
        }
        times.push(begun.elapsed().as_secs_f64() * 1e3 / rounds as f64);
    }
    Ok(times)
}
