//! Hollow front ends during ordinary events, the loss of zones, and an outage of the coordinator.

mod resource_use;

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_clock::wall_ns;
use pipithub_emulator::coordinator::{Behaviour, Coordinator, Tier};
use serde_json::Value;

use super::front_end::{configure, wait_until};
use super::hollow::HollowProcess;
use super::{FRONT_ENDS, ZONES, axis};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Figure, Plan, Series};
use resource_use::{Reading, ResourceUse};

/// The number of listed workers, with which all planned front ends fit into the memory of one machine.
const WORKERS: usize = 1_000;
/// The number of processes over which the front ends are distributed.
const PROCESSES: usize = 5;
const SIZES: [u64; 4] = [10, 100, 566, 1_700];
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// How long idle front ends are measured.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// The number of measured events that replace one worker each.
const REPLACEMENTS: usize = 10;
/// The duration of the outage. Connection attempts have their longest backoff after 2 s of it.
const OUTAGE_DURATION: Duration = Duration::from_secs(10);
/// The interval over which the rate of the coordinator is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(50);
/// How long front ends may take to reconnect after the outage.
const RECONNECT_PATIENCE: Duration = Duration::from_secs(60);

/// The results of one run.
struct RunResult {
    front_ends: f64,
    memory_mib: f64,
    start_ms: f64,
    idle: ResourceUse,
    replacement: Replacement,
    zone_lost: Change,
    seventh_lost: Change,
    cut: ResourceUse,
    recovery: Recovery,
}

/// The cost of a list change until all front ends have received it.
struct Change {
    milliseconds: f64,
    used: ResourceUse,
}

/// The cost of the replacement of one worker: medians, and the bytes of the last one.
struct Replacement {
    milliseconds: f64,
    coordinator_cpu_ms: f64,
    bytes: f64,
}

/// The cost of the snapshots that all front ends request after the outage.
struct Recovery {
    milliseconds: f64,
    written_ms: f64,
    peak_rate: f64,
    used: ResourceUse,
}

const FIGURES: [Figure<RunResult>; 23] = [
    Figure::new(
        "proportional memory a hollow front end at 1000 workers",
        "MiB",
        |p| p.memory_mib,
    ),
    Figure::new("start: time until all have the list", "ms", |p| p.start_ms),
    Figure::new("quiet: CPU a hollow front end", "% of a core", |p| {
        p.idle.front_end_cpu_percent()
    }),
    Figure::new("quiet: CPU of the stand-in", "% of a core", |p| {
        p.idle.coordinator_cpu_percent()
    }),
    Figure::new("quiet: bytes a second to a front end", "B/s", |p| {
        p.idle.counts.sent_bytes as f64 / p.idle.seconds / p.front_ends
    }),
    Figure::new("quiet: bytes a second from a front end", "B/s", |p| {
        p.idle.counts.received_bytes as f64 / p.idle.seconds / p.front_ends
    }),
    Figure::new("replacement: time until all have it", "ms", |p| {
        p.replacement.milliseconds
    }),
    Figure::new("replacement: CPU of the stand-in", "ms", |p| {
        p.replacement.coordinator_cpu_ms
    }),
    Figure::new("replacement: bytes to all", "B", |p| p.replacement.bytes),
    Figure::new("zone of 21 lost: time until all have it", "ms", |p| {
        p.zone_lost.milliseconds
    }),
    Figure::new("zone of 21 lost: bytes to all", "B", |p| {
        p.zone_lost.used.event_bytes()
    }),
    Figure::new("seventh lost: time until all have it", "ms", |p| {
        p.seventh_lost.milliseconds
    }),
    Figure::new("seventh lost: bytes to all", "B", |p| {
        p.seventh_lost.used.event_bytes()
    }),
    Figure::new("cut: tries a second, all", "1/s", |p| {
        p.cut.counts.rejected as f64 / p.cut.seconds
    }),
    Figure::new("cut: CPU a hollow front end", "% of a core", |p| {
        p.cut.front_end_cpu_percent()
    }),
    Figure::new("cut: CPU of the stand-in", "% of a core", |p| {
        p.cut.coordinator_cpu_percent()
    }),
    Figure::new(
        "after the cut: time until all have every worker",
        "ms",
        |p| p.recovery.milliseconds,
    ),
    Figure::new(
        "after the cut: time until the stand-in has written all",
        "ms",
        |p| p.recovery.written_ms,
    ),
    Figure::new("after the cut: connections", "", |p| {
        p.recovery.used.counts.connections as f64
    }),
    Figure::new("after the cut: bytes to all", "B", |p| {
        p.recovery.used.event_bytes()
    }),
    Figure::new("after the cut: peak rate to all, over 50 ms", "B/s", |p| {
        p.recovery.peak_rate
    }),
    Figure::new("after the cut: CPU of the stand-in", "ms", |p| {
        p.recovery.used.coordinator_cpu_seconds * 1e3
    }),
    Figure::new("after the cut: CPU a hollow front end", "ms", |p| {
        p.recovery.used.front_end_cpu_seconds * 1e3
    }),
];

/// Measures fleets of each size.
pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let run = async |size| measure_run(plan, folder, size).await;
    let sizes = plan.run_at_sizes(&SIZES, run).await?;
    Ok(axis("front ends", "hollow", FRONT_ENDS).tabulate(&FIGURES, &sizes))
}

async fn measure_run(plan: &Plan, folder: &Path, count: usize) -> Result<RunResult> {
    let mut fleet = Fleet::start(plan, folder, count).await?;
    let start_ms = fleet.publish_first_list().await?;
    tokio::time::sleep(SETTLING_TIME).await;
    let idle = fleet.measure_idle().await;
    let memory_mib = fleet.memory_mib();
    let replacement = fleet.measure_replacements(&idle).await?;
    let zone_lost = fleet.change(|tier| tier.remove_zone(1)).await?;
    // A seventh of the 21 zones.
    let seventh_lost = fleet
        .change(|tier| {
            [
                tier.remove_zone(2),
                tier.remove_zone(3),
                tier.remove_zone(4),
            ]
            .concat()
        })
        .await?;
    let cut = fleet.measure_outage().await;
    let recovery = fleet.measure_recovery().await?;
    fleet.stop().await;
    Ok(RunResult {
        front_ends: count as f64,
        memory_mib,
        start_ms,
        idle,
        replacement,
        zone_lost,
        seventh_lost,
        cut,
        recovery,
    })
}

/// Hollow front ends in several processes, and their coordinator.
struct Fleet {
    coordinator: Coordinator,
    tier: Tier,
    processes: Vec<HollowProcess>,
    count: usize,
}

impl Fleet {
    /// Starts the front ends and waits until all are connected.
    async fn start(plan: &Plan, folder: &Path, count: usize) -> Result<Fleet> {
        let coordinator = Coordinator::start(Behaviour::default())?;
        let config = configure(folder, &coordinator, "hollow", plan.seed)?;
        let mut processes = Vec::new();
        let parts = PROCESSES.min(count);
        for part in 0..parts {
            let first = count * part / parts;
            let end = count * (part + 1) / parts;
            processes.push(HollowProcess::start(&config, end - first, first).await?);
        }
        wait_until(&coordinator, |counts| counts.open == count as u64).await?;
        Ok(Fleet {
            coordinator,
            tier: Tier::new(WORKERS, ZONES),
            processes,
            count,
        })
    }

    async fn stop(self) {
        for process in self.processes {
            process.kill().await;
        }
    }

    fn read(&self) -> Reading {
        let front_end_cpu_seconds = self
            .processes
            .iter()
            .map(|process| scheduled_cpu_seconds(process.pid()))
            .sum();
        Reading {
            at: Instant::now(),
            counts: self.coordinator.counts(),
            coordinator_cpu_ns: self.coordinator.cpu_ns(),
            front_end_cpu_seconds,
        }
    }

    fn used_since(&self, before: &Reading) -> ResourceUse {
        self.read().since(before, self.count)
    }

    fn memory_mib(&self) -> f64 {
        let all: f64 = self
            .processes
            .iter()
            .map(|process| MemoryUse::of(process.pid()).proportional_mib)
            .sum();
        all / self.count as f64
    }

    /// Waits until all front ends have received an event; returns the milliseconds since `published`, in Unix nanoseconds.
    async fn await_event(&mut self, index: u64, published: u64) -> Result<f64> {
        let mut last = 0;
        for process in &mut self.processes {
            last = last.max(process.await_event(index).await?);
        }
        Ok(last.saturating_sub(published) as f64 / 1e6)
    }

    async fn publish_first_list(&mut self) -> Result<f64> {
        let published = wall_ns();
        let index = self
            .coordinator
            .publish(true, self.tier.hosts(), &self.tier);
        self.await_event(index, published).await
    }

    /// Publishes a change and waits until all front ends have received it.
    async fn change(&mut self, change: impl FnOnce(&mut Tier) -> Vec<Value>) -> Result<Change> {
        let changed = change(&mut self.tier);
        let published = wall_ns();
        let before = self.read();
        let index = self.coordinator.publish(false, &changed, &self.tier);
        Ok(Change {
            milliseconds: self.await_event(index, published).await?,
            used: self.used_since(&before),
        })
    }

    async fn measure_idle(&self) -> ResourceUse {
        let before = self.read();
        tokio::time::sleep(IDLE_TIME).await;
        self.used_since(&before)
    }

    async fn measure_replacements(&mut self, idle: &ResourceUse) -> Result<Replacement> {
        let (mut times, mut cpu_times, mut bytes) = (Vec::new(), Vec::new(), 0.0);
        for worker in 0..REPLACEMENTS {
            let change = self.change(|tier| tier.replace(worker)).await?;
            // The cost of comments in that time is subtracted.
            let comments = idle.coordinator_cpu_seconds / idle.seconds * change.used.seconds;
            let cpu_seconds = change.used.coordinator_cpu_seconds - comments;
            cpu_times.push(cpu_seconds.max(0.0) * 1e3);
            times.push(change.milliseconds);
            bytes = change.used.event_bytes();
        }
        Ok(Replacement {
            milliseconds: median(times),
            coordinator_cpu_ms: median(cpu_times),
            bytes,
        })
    }

    /// Starts the outage and measures the front ends at its end.
    async fn measure_outage(&self) -> ResourceUse {
        self.coordinator
            .change_behaviour(|behaviour| behaviour.cut = true);
        tokio::time::sleep(OUTAGE_DURATION.saturating_sub(IDLE_TIME)).await;
        self.measure_idle().await
    }

    /// Ends the outage, after which all front ends request a snapshot.
    async fn measure_recovery(&mut self) -> Result<Recovery> {
        self.tier.replace(20);
        let index = self.coordinator.publish(false, &[], &self.tier);
        self.coordinator.clear_history();
        let published = wall_ns();
        let before = self.read();
        self.coordinator
            .change_behaviour(|behaviour| behaviour.cut = false);
        let writing = tokio::time::timeout(RECONNECT_PATIENCE, self.watch_writing(&before))
            .await
            .map_err(|_| "not all front ends reconnected in time")?;
        Ok(Recovery {
            milliseconds: self.await_event(index, published).await?,
            written_ms: writing.milliseconds,
            peak_rate: writing.peak_rate,
            used: self.used_since(&before),
        })
    }

    /// Measures the coordinator until it has written an event for each front end.
    async fn watch_writing(&self, before: &Reading) -> Writing {
        let mut peak_rate = 0.0f64;
        let mut last_bytes = before.counts.sent_bytes;
        let mut last_at = Instant::now();
        loop {
            tokio::time::sleep(RATE_INTERVAL).await;
            let counts = self.coordinator.counts();
            let written = (counts.sent_bytes - last_bytes) as f64;
            peak_rate = peak_rate.max(written / last_at.elapsed().as_secs_f64());
            last_bytes = counts.sent_bytes;
            last_at = Instant::now();
            if counts.events - before.counts.events >= self.count as u64 {
                return Writing {
                    milliseconds: before.at.elapsed().as_secs_f64() * 1e3,
                    peak_rate,
                };
            }
        }
    }
}

/// The time that the coordinator took to write an event to each front end, and its highest rate in bytes per second.
struct Writing {
    milliseconds: f64,
    peak_rate: f64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
