//! What a real front end does with lists about and above the bounds.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier, event};

use super::front_end::{FrontEnd, configure, wait_until};
use super::{Table, WORKERS, ZONES};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Plan, Series};

const WATCH: Duration = Duration::from_secs(6);
/// Workers in the list that went well before.
const FORMER: usize = 100;

pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let mut table = Table::new(
        "workers",
        "processes",
        WORKERS,
        &[
            (
                "a list at the start: whether it can serve after 6 s",
                "0 or 1",
            ),
            ("a list at the start: connections in 6 s", ""),
            ("a list at the start: bytes a second", "B/s"),
            ("a list at the start: CPU", "% of a core"),
            ("a list at the start: most resident memory", "MiB"),
            (
                "a list after one of 100: whether it can serve after 6 s",
                "0 or 1",
            ),
            ("a list after one of 100: connections in 6 s", ""),
        ],
    );
    for size in plan.sizes_or(&[6_000, 8_000, 10_001, 16_000, 100_000]) {
        // Nothing of this is drawn: one play shows what happens.
        let mut values = one(plan, folder, size as usize, false).await?;
        values.extend(
            one(plan, folder, size as usize, true)
                .await?
                .into_iter()
                .take(2),
        );
        table.push(size, &[values]);
    }
    Ok(table.0)
}

async fn one(plan: &Plan, folder: &Path, workers: usize, former: bool) -> Result<Vec<f64>> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    if former {
        let tier = Tier::new(FORMER, ZONES);
        coordinator.publish(true, tier.hosts(), &tier);
    }
    let real = FrontEnd::start(
        &plan.binary,
        &configure(folder, &coordinator, "n0", plan.seed)?,
    )?;
    wait_until(&coordinator, |c| {
        c.open == 1 && c.events == u64::from(former)
    })
    .await?;
    let tier = Tier::new(workers, ZONES);
    let (counts, before, began) = (
        coordinator.counts(),
        scheduled_cpu_seconds(real.pid()),
        Instant::now(),
    );
    let index = coordinator.publish(true, tier.hosts(), &tier);
    tokio::time::sleep(WATCH).await;
    let (now, took) = (coordinator.counts(), began.elapsed().as_secs_f64());
    let spent = scheduled_cpu_seconds(real.pid()) - before;
    let well = real.is_well().await?;
    let reasons = real.logged("coordinator stream ended");
    println!(
        "  {workers} workers, {} bytes, {}: can serve {well}; {} streams ended, the last: {}",
        event(index, true, tier.hosts()).len(),
        if former {
            "after a list of 100"
        } else {
            "at the start"
        },
        reasons.len(),
        reasons.last().map_or("-", String::as_str)
    );
    let held = MemoryUse::of(real.pid());
    real.kill().await;
    let connections = (now.connections - counts.connections) as f64;
    let rate = (now.sent_bytes - counts.sent_bytes) as f64 / took;
    let values = [
        f64::from(u8::from(well)),
        connections,
        rate,
        spent / took * 100.0,
        held.peak_mib,
    ];
    Ok(values.to_vec())
}
