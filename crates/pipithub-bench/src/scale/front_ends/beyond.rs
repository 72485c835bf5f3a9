//! One front-end process with lists near and above its bounds.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier, event};

use super::front_end::{FrontEndProcess, configure, wait_until};
use super::{WORKERS, ZONES, axis};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Figure, Plan, RunsAtSize, Series};

/// How long a front end is observed.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// The number of workers in the earlier list, which is within the bounds.
const FORMER_WORKERS: usize = 100;
const SIZES: [u64; 5] = [6_000, 8_000, 10_001, 16_000, 100_000];

/// The effects of one list.
struct Outcome {
    can_serve: bool,
    connections: f64,
    bytes_per_second: f64,
    cpu_percent: f64,
    peak_mib: f64,
}

/// The effects of a list as the first one, and after an earlier one.
struct RunResult {
    at_start: Outcome,
    after_former: Outcome,
}

const FIGURES: [Figure<RunResult>; 7] = [
    Figure::new(
        "a list at the start: whether it can serve after 6 s",
        "0 or 1",
        |run| f64::from(u8::from(run.at_start.can_serve)),
    ),
    Figure::new("a list at the start: connections in 6 s", "", |run| {
        run.at_start.connections
    }),
    Figure::new("a list at the start: bytes a second", "B/s", |run| {
        run.at_start.bytes_per_second
    }),
    Figure::new("a list at the start: CPU", "% of a core", |run| {
        run.at_start.cpu_percent
    }),
    Figure::new("a list at the start: most resident memory", "MiB", |run| {
        run.at_start.peak_mib
    }),
    Figure::new(
        "a list after one of 100: whether it can serve after 6 s",
        "0 or 1",
        |run| f64::from(u8::from(run.after_former.can_serve)),
    ),
    Figure::new("a list after one of 100: connections in 6 s", "", |run| {
        run.after_former.connections
    }),
];

/// Measures the effects of lists of each size. Nothing is random, so one run is enough.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let mut sizes = Vec::new();
    for size in plan.sizes_or(&SIZES) {
        let run = RunResult {
            at_start: watch(plan, folder, size as usize, false).await?,
            after_former: watch(plan, folder, size as usize, true).await?,
        };
        sizes.push(RunsAtSize {
            size,
            runs: vec![run],
        });
    }
    Ok(axis("workers", "processes", WORKERS).tabulate(&FIGURES, &sizes))
}

async fn watch(plan: &Plan, folder: &Path, workers: usize, former: bool) -> Result<Outcome> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    if former {
        let tier = Tier::new(FORMER_WORKERS, ZONES);
        coordinator.publish(true, tier.hosts(), &tier);
    }
    let config = configure(folder, &coordinator, "n0", plan.seed)?;
    let front_end = FrontEndProcess::start(&plan.binary, &config)?;
    wait_until(&coordinator, |counts| {
        counts.open == 1 && counts.events == u64::from(former)
    })
    .await?;
    let tier = Tier::new(workers, ZONES);
    let counts_before = coordinator.counts();
    let cpu_before = scheduled_cpu_seconds(front_end.pid());
    let began = Instant::now();
    let index = coordinator.publish(true, tier.hosts(), &tier);
    tokio::time::sleep(WATCH_TIME).await;
    let counts = coordinator.counts();
    let seconds = began.elapsed().as_secs_f64();
    let cpu_seconds = scheduled_cpu_seconds(front_end.pid()) - cpu_before;
    let can_serve = front_end.is_healthy().await?;
    let reasons = front_end.logged("coordinator stream ended");
    println!(
        "  {workers} workers, {} bytes, {}: healthy {can_serve}; {} streams ended, the last: {}",
        event(index, true, tier.hosts()).len(),
        if former {
            "after a list of 100"
        } else {
            "at the start"
        },
        reasons.len(),
        reasons.last().map_or("-", String::as_str)
    );
    let memory = MemoryUse::of(front_end.pid());
    front_end.kill().await;
    Ok(Outcome {
        can_serve,
        connections: (counts.connections - counts_before.connections) as f64,
        bytes_per_second: (counts.sent_bytes - counts_before.sent_bytes) as f64 / seconds,
        cpu_percent: cpu_seconds / seconds * 100.0,
        peak_mib: memory.peak_mib,
    })
}
