//! Idle front-end processes at several numbers of them.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier};

use super::front_end::{FrontEndProcess, configure, wait_until};
use super::{FRONT_ENDS, ZONES, axis};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Figure, Plan, Series};

/// The number of workers in the endpoint list.
const WORKERS: usize = 1_000;
/// How long front ends settle before they are measured.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// How long idle front ends are measured.
const IDLE_TIME: Duration = Duration::from_secs(3);
const SIZES: [u64; 6] = [1, 3, 10, 30, 100, 200];
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The results of one run. All values except the coordinator's CPU are per front end.
struct RunResult {
    resident_mib: f64,
    proportional_mib: f64,
    cpu_percent: f64,
    received_bytes_per_second: f64,
    messages_per_second: f64,
    sent_bytes_per_second: f64,
    coordinator_cpu_percent: f64,
}

const FIGURES: [Figure<RunResult>; 7] = [
    Figure::new(
        "resident memory a front end at 1000 workers",
        "MiB",
        |run| run.resident_mib,
    ),
    Figure::new(
        "proportional memory a front end at 1000 workers",
        "MiB",
        |run| run.proportional_mib,
    ),
    Figure::new(
        "CPU a front end, quiet, at 1000 workers",
        "% of a core",
        |run| run.cpu_percent,
    ),
    Figure::new("bytes a second to a front end, quiet", "B/s", |run| {
        run.received_bytes_per_second
    }),
    Figure::new("messages a second to a front end, quiet", "1/s", |run| {
        run.messages_per_second
    }),
    Figure::new("bytes a second from a front end, quiet", "B/s", |run| {
        run.sent_bytes_per_second
    }),
    Figure::new("CPU of the stand-in, quiet", "% of a core", |run| {
        run.coordinator_cpu_percent
    }),
];

/// Measures idle front ends at each size.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let run = async |size| measure_run(plan, folder, size).await;
    let sizes = plan.run_at_sizes(&SIZES, run).await?;
    Ok(axis("front ends", "processes", FRONT_ENDS).tabulate(&FIGURES, &sizes))
}

async fn measure_run(plan: &Plan, folder: &Path, count: usize) -> Result<RunResult> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    let tier = Tier::new(WORKERS, ZONES);
    coordinator.publish(true, tier.hosts(), &tier);
    let mut front_ends = Vec::new();
    for number in 0..count {
        let seed = plan.seed + number as u64;
        let config = configure(folder, &coordinator, &format!("n{number}"), seed)?;
        front_ends.push(FrontEndProcess::start(&plan.binary, &config)?);
    }
    wait_until(&coordinator, |counts| {
        counts.open >= count as u64 && counts.events >= count as u64
    })
    .await?;
    tokio::time::sleep(SETTLING_TIME).await;
    let run = measure_idle(&coordinator, &front_ends).await;
    if !front_ends[0].is_healthy().await? {
        return Err("the first front end is not healthy".into());
    }
    for front_end in front_ends {
        front_end.kill().await;
    }
    Ok(run)
}

async fn measure_idle(coordinator: &Coordinator, front_ends: &[FrontEndProcess]) -> RunResult {
    let cpu_seconds = || -> f64 {
        front_ends
            .iter()
            .map(|front_end| scheduled_cpu_seconds(front_end.pid()))
            .sum()
    };
    let cpu_before = cpu_seconds();
    let counts_before = coordinator.counts();
    let coordinator_before = coordinator.cpu_ns();
    let began = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let seconds = began.elapsed().as_secs_f64();
    let cpu = cpu_seconds() - cpu_before;
    let counts = coordinator.counts();
    let coordinator_cpu =
        (coordinator.cpu_ns() - coordinator_before) as f64 / NANOSECONDS_PER_SECOND;
    let memory: Vec<MemoryUse> = front_ends
        .iter()
        .map(|front_end| MemoryUse::of(front_end.pid()))
        .collect();
    let each = |total: f64| total / front_ends.len() as f64;
    let messages = counts.comments + counts.events - counts_before.comments - counts_before.events;
    RunResult {
        resident_mib: each(memory.iter().map(|one| one.resident_mib).sum()),
        proportional_mib: each(memory.iter().map(|one| one.proportional_mib).sum()),
        cpu_percent: each(cpu) / seconds * 100.0,
        received_bytes_per_second: each((counts.sent_bytes - counts_before.sent_bytes) as f64)
            / seconds,
        messages_per_second: each(messages as f64) / seconds,
        sent_bytes_per_second: each((counts.received_bytes - counts_before.received_bytes) as f64)
            / seconds,
        coordinator_cpu_percent: coordinator_cpu / seconds * 100.0,
    }
}
