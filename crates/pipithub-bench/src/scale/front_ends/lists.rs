//! One front-end process at several numbers of listed workers.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier, event};

use super::front_end::{FrontEndProcess, configure, wait_until};
use super::{WORKERS, ZONES, axis};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Figure, Plan, Series};

/// How long an idle front end is measured.
const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// How long a front end may take to process a list.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The number of measured events that replace one worker each.
const EVENTS: usize = 20;
/// The time between two of these events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// How long a front end may take to process the last of these events.
const EVENT_SETTLING_TIME: Duration = Duration::from_millis(100);
/// The size of a comment on the stream, in bytes.
const COMMENT_BYTES: u64 = 3;
const SIZES: [u64; 6] = [300, 1_000, 4_000, 6_000, 16_000, 32_000];

/// The results of one run. The CPU of an idle front end is subtracted from that of events.
struct RunResult {
    list_bytes: f64,
    first_list_cpu_ms: f64,
    later_list_cpu_ms: f64,
    event: EventCost,
    idle_cpu_percent: f64,
    memory: MemoryUse,
}

/// The cost of an event that replaces one worker.
struct EventCost {
    cpu_ms: f64,
    bytes: f64,
}

const FIGURES: [Figure<RunResult>; 9] = [
    Figure::new("bytes of every worker in one event", "B", |run| {
        run.list_bytes
    }),
    Figure::new("CPU of the first event with every worker", "ms", |run| {
        run.first_list_cpu_ms
    }),
    Figure::new("CPU of a later event with every worker", "ms", |run| {
        run.later_list_cpu_ms
    }),
    Figure::new("CPU of an event that replaces one worker", "ms", |run| {
        run.event.cpu_ms
    }),
    Figure::new("bytes of an event that replaces one worker", "B", |run| {
        run.event.bytes
    }),
    Figure::new("CPU of a quiet front end", "% of a core", |run| {
        run.idle_cpu_percent
    }),
    Figure::new("resident memory of a front end", "MiB", |run| {
        run.memory.resident_mib
    }),
    Figure::new("proportional memory of a front end", "MiB", |run| {
        run.memory.proportional_mib
    }),
    Figure::new("most resident memory of a front end, ever", "MiB", |run| {
        run.memory.peak_mib
    }),
];

/// Measures one front end with lists of each size.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let run = async |size| measure_run(plan, folder, size).await;
    let sizes = plan.run_at_sizes(&SIZES, run).await?;
    Ok(axis("workers", "processes", WORKERS).tabulate(&FIGURES, &sizes))
}

async fn measure_run(plan: &Plan, folder: &Path, workers: usize) -> Result<RunResult> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    let config = configure(folder, &coordinator, "n0", plan.seed)?;
    let front_end = FrontEndProcess::start(&plan.binary, &config)?;
    let pid = front_end.pid();
    wait_until(&coordinator, |counts| counts.open == 1).await?;
    let mut tier = Tier::new(workers, ZONES);
    let idle_without_list = idle_cpu(pid).await;
    let list_bytes = event(1, true, tier.hosts()).len() as f64;
    let first = measure_list(&coordinator, &tier, pid, 1).await?;
    if !front_end.is_healthy().await? {
        let warnings = front_end.logged("WARN");
        let last = warnings.last();
        return Err(format!(
            "the front end is not healthy with {workers} workers; last warning: {last:?}"
        )
        .into());
    }
    let first = first.ended();
    let idle = idle_cpu(pid).await;
    let later = measure_list(&coordinator, &tier, pid, 2).await?.ended();
    let event = measure_events(&coordinator, &mut tier, pid, idle).await?;
    let memory = MemoryUse::of(pid);
    println!(
        "  {workers} workers: an idle front end uses {:.2} % of a core without a list, {:.2} % with it",
        idle_without_list * 100.0,
        idle * 100.0
    );
    front_end.kill().await;
    Ok(RunResult {
        list_bytes,
        first_list_cpu_ms: first.beyond(idle) * 1e3,
        later_list_cpu_ms: later.beyond(idle) * 1e3,
        event,
        idle_cpu_percent: idle * 100.0,
        memory,
    })
}

/// The CPU of an idle front end, as a fraction of a core.
async fn idle_cpu(pid: u32) -> f64 {
    let reading = CpuReading::take(pid);
    tokio::time::sleep(IDLE_TIME).await;
    let span = reading.ended();
    span.cpu_seconds / span.seconds
}

/// The CPU time of a process at the start of a measurement.
struct CpuReading {
    pid: u32,
    cpu_seconds: f64,
    at: Instant,
}

/// The CPU time that a process used during a measurement.
struct CpuSpan {
    cpu_seconds: f64,
    seconds: f64,
}

impl CpuReading {
    fn take(pid: u32) -> Self {
        CpuReading {
            pid,
            cpu_seconds: scheduled_cpu_seconds(pid),
            at: Instant::now(),
        }
    }

    fn ended(&self) -> CpuSpan {
        CpuSpan {
            cpu_seconds: scheduled_cpu_seconds(self.pid) - self.cpu_seconds,
            seconds: self.at.elapsed().as_secs_f64(),
        }
    }
}

impl CpuSpan {
    /// The seconds of CPU that exceed those of an idle process.
    fn beyond(&self, idle: f64) -> f64 {
        self.cpu_seconds - self.seconds * idle
    }
}

/// Publishes a snapshot and waits until the front end has processed it; returns the reading from before.
async fn measure_list(
    coordinator: &Coordinator,
    tier: &Tier,
    pid: u32,
    events: u64,
) -> Result<CpuReading> {
    let before = CpuReading::take(pid);
    coordinator.publish(true, tier.hosts(), tier);
    wait_until(coordinator, |counts| counts.events == events).await?;
    tokio::time::sleep(SETTLING_TIME).await;
    Ok(before)
}

/// Replaces workers one by one.
async fn measure_events(
    coordinator: &Coordinator,
    tier: &mut Tier,
    pid: u32,
    idle: f64,
) -> Result<EventCost> {
    let counts_before = coordinator.counts();
    let before = CpuReading::take(pid);
    for worker in 0..EVENTS {
        let changed = tier.replace(worker);
        coordinator.publish(false, &changed, tier);
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    let all_events = counts_before.events + EVENTS as u64;
    wait_until(coordinator, |counts| counts.events == all_events).await?;
    tokio::time::sleep(EVENT_SETTLING_TIME).await;
    let cpu_seconds = before.ended().beyond(idle);
    let counts = coordinator.counts();
    let comments = counts.comments - counts_before.comments;
    let bytes = counts.sent_bytes - counts_before.sent_bytes - COMMENT_BYTES * comments;
    Ok(EventCost {
        cpu_ms: cpu_seconds / EVENTS as f64 * 1e3,
        bytes: bytes as f64 / EVENTS as f64,
    })
}
