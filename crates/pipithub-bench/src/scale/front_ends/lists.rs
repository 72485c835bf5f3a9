//! One real front end, over the workers in the list.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier, event};

use super::front_end::{FrontEnd, configure, wait_until};
use super::{Table, WORKERS, ZONES};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Plan, Series};

const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// What a list may take to be worked in before it is looked at.
const SETTLE: Duration = Duration::from_secs(2);
const EVENTS: usize = 20;

pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let mut table = Table::new(
        "workers",
        "processes",
        WORKERS,
        &[
            ("bytes of every worker in one event", "B"),
            ("CPU of the first event with every worker", "ms"),
            ("CPU of a later event with every worker", "ms"),
            ("CPU of an event that replaces one worker", "ms"),
            ("bytes of an event that replaces one worker", "B"),
            ("CPU of a quiet front end", "% of a core"),
            ("resident memory of a front end", "MiB"),
            ("proportional memory of a front end", "MiB"),
            ("most resident memory of a front end, ever", "MiB"),
        ],
    );
    for size in plan.sizes_or(&[300, 1_000, 4_000, 6_000, 16_000, 32_000]) {
        let mut plays = Vec::new();
        for _ in 0..plan.plays {
            plays.push(play(plan, folder, size as usize).await?);
        }
        table.push(size, &plays);
    }
    Ok(table.0)
}

async fn play(plan: &Plan, folder: &Path, workers: usize) -> Result<Vec<f64>> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    let real = FrontEnd::start(
        &plan.binary,
        &configure(folder, &coordinator, "n0", plan.seed)?,
    )?;
    let pid = real.pid();
    wait_until(&coordinator, |c| c.open == 1).await?;
    let mut tier = Tier::new(workers, ZONES);
    let quiet = async || {
        let (before, began) = (scheduled_cpu_seconds(pid), Instant::now());
        tokio::time::sleep(IDLE_TIME).await;
        (scheduled_cpu_seconds(pid) - before) / began.elapsed().as_secs_f64()
    };
    let empty = quiet().await;
    let bytes = event(1, true, tier.hosts()).len() as f64;
    // CPU of what happens until all is quiet again, without what a quiet front end takes.
    let (before, began) = (scheduled_cpu_seconds(pid), Instant::now());
    coordinator.publish(true, tier.hosts(), &tier);
    wait_until(&coordinator, |c| c.events == 1).await?;
    tokio::time::sleep(SETTLE).await;
    if !real.is_well().await? {
        return Err(format!(
            "cannot serve with {workers} workers: {:?}",
            real.logged("WARN").last()
        )
        .into());
    }
    let (spent, took) = (
        scheduled_cpu_seconds(pid) - before,
        began.elapsed().as_secs_f64(),
    );
    let idle = quiet().await;
    let first = spent - took * idle;
    let (before, began) = (scheduled_cpu_seconds(pid), Instant::now());
    coordinator.publish(true, tier.hosts(), &tier);
    wait_until(&coordinator, |c| c.events == 2).await?;
    tokio::time::sleep(SETTLE).await;
    let later = scheduled_cpu_seconds(pid) - before - began.elapsed().as_secs_f64() * idle;
    let (counts, before, began) = (
        coordinator.counts(),
        scheduled_cpu_seconds(pid),
        Instant::now(),
    );
    for at in 0..EVENTS {
        let changed = tier.replace(at);
        coordinator.publish(false, &changed, &tier);
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    wait_until(&coordinator, |c| c.events == 2 + EVENTS as u64).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let each = (scheduled_cpu_seconds(pid) - before - began.elapsed().as_secs_f64() * idle)
        / EVENTS as f64;
    let now = coordinator.counts();
    let told = now.sent_bytes - counts.sent_bytes - 3 * (now.comments - counts.comments);
    let held = MemoryUse::of(pid);
    println!(
        "  {workers} workers: quiet without any list {:.2} % of a core, then {:.2} %",
        empty * 100.0,
        idle * 100.0
    );
    real.kill().await;
    Ok(vec![
        bytes,
        first * 1e3,
        later * 1e3,
        each * 1e3,
        told as f64 / EVENTS as f64,
        idle * 100.0,
        held.resident_mib,
        held.proportional_mib,
        held.peak_mib,
    ])
}
