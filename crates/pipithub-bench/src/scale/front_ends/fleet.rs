//! Hollow front ends through an ordinary day's events, the loss of a zone, and a cut.

use std::path::Path;
use std::time::{Duration, Instant};

use pipithub_clock::wall_ns;
use pipithub_emulator::coordinator::{Behaviour, Coordinator, Counts, Tier};

use super::front_end::{HollowProcess, configure, wait_until};
use super::{FRONT_ENDS, Table, ZONES};
use crate::Result;
use crate::process_usage::{MemoryUse, scheduled_cpu_seconds};
use crate::scale::{Plan, Series};

/// Workers in the list: as many as all of the planned front ends hold in this machine's memory.
const WORKERS: usize = 1_000;
/// Processes that share the front ends.
const PROCESSES: usize = 5;
const IDLE_TIME: Duration = Duration::from_secs(3);
const REPLACEMENTS: usize = 10;
/// Tries come at their slowest after 2 s of a cut: what comes later is as at the end of this.
const CUT_TIME: Duration = Duration::from_secs(10);
/// How often the rate is looked at.
const RATE_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn measure(plan: &Plan, folder: &Path) -> Result<Vec<Series>> {
    let mut table = Table::new(
        "front ends",
        "hollow",
        FRONT_ENDS,
        &[
            (
                "proportional memory a hollow front end at 1000 workers",
                "MiB",
            ),
            ("start: time until all have the list", "ms"),
            ("quiet: CPU a hollow front end", "% of a core"),
            ("quiet: CPU of the stand-in", "% of a core"),
            ("quiet: bytes a second to a front end", "B/s"),
            ("quiet: bytes a second from a front end", "B/s"),
            ("replacement: time until all have it", "ms"),
            ("replacement: CPU of the stand-in", "ms"),
            ("replacement: bytes to all", "B"),
            ("zone of 21 lost: time until all have it", "ms"),
            ("zone of 21 lost: bytes to all", "B"),
            ("seventh lost: time until all have it", "ms"),
            ("seventh lost: bytes to all", "B"),
            ("cut: tries a second, all", "1/s"),
            ("cut: CPU a hollow front end", "% of a core"),
            ("cut: CPU of the stand-in", "% of a core"),
            ("after the cut: time until all have every worker", "ms"),
            (
                "after the cut: time until the stand-in has written all",
                "ms",
            ),
            ("after the cut: connections", ""),
            ("after the cut: bytes to all", "B"),
            ("after the cut: peak rate to all, over 50 ms", "B/s"),
            ("after the cut: CPU of the stand-in", "ms"),
            ("after the cut: CPU a hollow front end", "ms"),
        ],
    );
    for size in plan.sizes_or(&[10, 100, 566, 1_700]) {
        let mut plays = Vec::new();
        for _ in 0..plan.plays {
            plays.push(play(plan, folder, size as usize).await?);
        }
        table.push(size, &plays);
    }
    Ok(table.0)
}

struct Fleet {
    coordinator: Coordinator,
    processes: Vec<HollowProcess>,
    count: f64,
}

/// What was spent between two points in time.
struct ResourceUse {
    seconds: f64,
    counts: Counts,
    own: f64,
    front_ends: f64,
}

impl Fleet {
    fn now(&self) -> (Instant, Counts, u64, f64) {
        let front_ends = self
            .processes
            .iter()
            .map(|c| scheduled_cpu_seconds(c.pid()))
            .sum();
        (
            Instant::now(),
            self.coordinator.counts(),
            self.coordinator.cpu_ns(),
            front_ends,
        )
    }

    fn since(&self, then: (Instant, Counts, u64, f64)) -> ResourceUse {
        let now = self.now();
        let (a, b) = (then.1, now.1);
        ResourceUse {
            seconds: (now.0 - then.0).as_secs_f64(),
            counts: Counts {
                connections: b.connections - a.connections,
                rejected: b.rejected - a.rejected,
                open: b.open,
                received_bytes: b.received_bytes - a.received_bytes,
                sent_bytes: b.sent_bytes - a.sent_bytes,
                events: b.events - a.events,
                comments: b.comments - a.comments,
            },
            own: (now.2 - then.2) as f64 / 1e9,
            front_ends: (now.3 - then.3) / self.count,
        }
    }

    /// Waits until all have this event; milliseconds since then, which is Unix time in nanoseconds.
    async fn await_event(&mut self, index: u64, then: u64) -> Result<f64> {
        let mut last = 0;
        for process in &mut self.processes {
            last = last.max(process.await_event(index).await?);
        }
        Ok(last.saturating_sub(then) as f64 / 1e6)
    }

    /// Hands out a change and waits until all have it: milliseconds and what was spent.
    async fn change(
        &mut self,
        tier: &mut Tier,
        change: impl FnOnce(&mut Tier) -> Vec<serde_json::Value>,
    ) -> Result<(f64, ResourceUse)> {
        let changed = change(tier);
        let (then, before) = (wall_ns(), self.now());
        let index = self.coordinator.publish(false, &changed, tier);
        let took = self.await_event(index, then).await?;
        Ok((took, self.since(before)))
    }
}

/// Bytes without those of comments.
fn event_bytes(counts: &Counts) -> f64 {
    (counts.sent_bytes - 3 * counts.comments) as f64
}

#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
async fn play(plan: &Plan, folder: &Path, count: usize) -> Result<Vec<f64>> {
    let coordinator = Coordinator::start(Behaviour::default())?;
    let config = configure(folder, &coordinator, "hollow", plan.seed)?;
    let mut tier = Tier::new(WORKERS, ZONES);
    let mut fleet = Fleet {
        coordinator,
        processes: Vec::new(),
        count: count as f64,
    };
    let parts = PROCESSES.min(count);
    for n in 0..parts {
        let (from, to) = (count * n / parts, count * (n + 1) / parts);
        fleet
            .processes
            .push(HollowProcess::start(&config, to - from, from).await?);
    }
    wait_until(&fleet.coordinator, |c| c.open == count as u64).await?;
    let then = wall_ns();
    let index = fleet.coordinator.publish(true, tier.hosts(), &tier);
    let start = fleet.await_event(index, then).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let before = fleet.now();
    tokio::time::sleep(IDLE_TIME).await;
    let quiet = fleet.since(before);
    let memory = fleet
        .processes
        .iter()
        .map(|c| MemoryUse::of(c.pid()).proportional_mib)
        .sum::<f64>()
        / count as f64;

    let (mut times, mut cost, mut bytes) = (Vec::new(), Vec::new(), 0.0);
    for at in 0..REPLACEMENTS {
        let (took, spent) = fleet.change(&mut tier, |t| t.replace(at)).await?;
        // Without what the comments of that time take.
        cost.push((spent.own - quiet.own / quiet.seconds * spent.seconds).max(0.0) * 1e3);
        times.push(took);
        bytes = event_bytes(&spent.counts);
    }
    let middle = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let (replaced, cost) = (middle(&mut times), middle(&mut cost));
    let (one, one_spent) = fleet.change(&mut tier, |t| t.lose(1)).await?;
    // Two more of the other twenty.
    let (more, more_spent) = fleet
        .change(&mut tier, |t| [t.lose(2), t.lose(3), t.lose(4)].concat())
        .await?;

    fleet.coordinator.behave(|b| b.cut = true);
    tokio::time::sleep(CUT_TIME.checked_sub(IDLE_TIME).unwrap()).await;
    let before = fleet.now();
    tokio::time::sleep(IDLE_TIME).await;
    let cut = fleet.since(before);
    tier.replace(20);
    let index = fleet.coordinator.publish(false, &[], &tier);
    fleet.coordinator.forget();
    let (then, before) = (wall_ns(), fleet.now());
    fleet.coordinator.behave(|b| b.cut = false);
    let (mut peak, mut last, mut written) = (0.0f64, before.1.sent_bytes, 0.0);
    let waited = async {
        let mut at = Instant::now();
        loop {
            tokio::time::sleep(RATE_INTERVAL).await;
            let counts = fleet.coordinator.counts();
            peak = peak.max((counts.sent_bytes - last) as f64 / at.elapsed().as_secs_f64());
            (last, at) = (counts.sent_bytes, Instant::now());
            if counts.events - before.1.events >= count as u64 {
                written = before.0.elapsed().as_secs_f64() * 1e3;
                return;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(60), waited)
        .await
        .map_err(|_| "not all asked anew")?;
    let all = fleet.await_event(index, then).await?;
    let anew = fleet.since(before);
    let values = vec![
        memory,
        start,
        quiet.front_ends / quiet.seconds * 100.0,
        quiet.own / quiet.seconds * 100.0,
        quiet.counts.sent_bytes as f64 / quiet.seconds / count as f64,
        quiet.counts.received_bytes as f64 / quiet.seconds / count as f64,
        replaced,
        cost,
        bytes,
        one,
        event_bytes(&one_spent.counts),
        more,
        event_bytes(&more_spent.counts),
        cut.counts.rejected as f64 / cut.seconds,
        cut.front_ends / cut.seconds * 100.0,
        cut.own / cut.seconds * 100.0,
        all,
        written,
        anew.counts.connections as f64,
        event_bytes(&anew.counts),
        peak,
        anew.own * 1e3,
        anew.front_ends * 1e3,
    ];
    for process in fleet.processes {
        process.kill().await;
    }
    Ok(values)
}
