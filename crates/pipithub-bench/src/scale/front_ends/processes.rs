//! Real front ends as processes, over their number.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier};

use super::front_end::{FrontEnd, configure, wait_until};
use super::{FRONT_ENDS, Table, ZONES};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Plan, Series};

/// Workers in the list.
const WORKERS: usize = 1_000;
const IDLE_TIME: Duration = Duration::from_secs(3);

pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let mut table = Table::new(
        "front ends",
        "processes",
        FRONT_ENDS,
        &[
            ("resident memory a front end at 1000 workers", "MiB"),
            ("proportional memory a front end at 1000 workers", "MiB"),
            ("CPU a front end, quiet, at 1000 workers", "% of a core"),
            ("bytes a second to a front end, quiet", "B/s"),
            ("messages a second to a front end, quiet", "1/s"),
            ("bytes a second from a front end, quiet", "B/s"),
            ("CPU of the stand-in, quiet", "% of a core"),
        ],
    );
    for size in plan.sizes_or(&[1, 3, 10, 30, 100, 200]) {
        let mut plays = Vec::new();
        for _ in 0..plan.plays {
            plays.push(play(plan, folder, size as usize).await?);
        }
        table.push(size, &plays);
    }
    Ok(table.0)
}

async fn play(plan: &Plan, folder: &Path, count: usize) -> Result<Vec<f64>> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    let tier = Tier::new(WORKERS, ZONES);
    coordinator.publish(true, tier.hosts(), &tier);
    let mut real = Vec::new();
    for n in 0..count {
        real.push(FrontEnd::start(
            &plan.binary,
            &configure(folder, &coordinator, &format!("n{n}"), plan.seed + n as u64)?,
        )?);
    }
    wait_until(&coordinator, |c| {
        c.open >= count as u64 && c.events >= count as u64
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let used = || {
        real.iter()
            .map(|r| scheduled_cpu_seconds(r.pid()))
            .sum::<f64>()
    };
    let (before, counts, own, began) = (
        used(),
        coordinator.counts(),
        coordinator.cpu_ns(),
        Instant::now(),
    );
    tokio::time::sleep(IDLE_TIME).await;
    let (took, after, now) = (began.elapsed().as_secs_f64(), used(), coordinator.counts());
    let own = (coordinator.cpu_ns() - own) as f64 / 1e9;
    let held: Vec<MemoryUse> = real.iter().map(|r| MemoryUse::of(r.pid())).collect();
    let each = |total: f64| total / count as f64;
    let values = vec![
        each(held.iter().map(|m| m.resident_mib).sum()),
        each(held.iter().map(|m| m.proportional_mib).sum()),
        each(after - before) / took * 100.0,
        each((now.sent_bytes - counts.sent_bytes) as f64) / took,
        each((now.comments + now.events - counts.comments - counts.events) as f64) / took,
        each((now.received_bytes - counts.received_bytes) as f64) / took,
        own / took * 100.0,
    ];
    if !real[0].is_well().await? {
        return Err("a front end cannot serve".into());
    }
    for one in real {
        one.kill().await;
    }
    Ok(values)
}
