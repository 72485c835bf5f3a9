//! Draws random plans from seeds.

use std::time::Duration;

use super::plan::{OutageKind, Plan, Rates, Settings, Step, TimedStep};
use crate::random::SplitMix64;

const NODES: [usize; 12] = [1, 2, 3, 3, 3, 4, 5, 6, 8, 12, 20, 30];
const DRAIN_GRACES_MS: [u64; 4] = [500, 1_000, 1_000, 2_000];
const CLIENT_TIMEOUTS_MS: [u64; 4] = [600, 900, 1_000, 1_500];
/// The maximum number of calls of all front ends in a second. Each front end gets an equal part, but at least 15 and at
/// most 80.
const MAX_CALLS_PER_SECOND: usize = 600;
const DURATION_MS: u64 = 17_000;
const SHORT_DURATION_MS: u64 = 12_000;
/// The maximum part of the workers that drain, end, hang or are reset, so that the others can carry the load.
const MAX_AFFECTED_SHARE: f64 = 0.6;

impl Plan {
    /// Draws a plan. Equal seeds give equal plans. A plan that `is_short` has a shorter load and fewer front ends, for CI.
    #[must_use]
    pub fn draw(seed: u64, is_short: bool) -> Plan {
        Draw::new(seed, is_short).plan()
    }
}

/// A plan that is being drawn.
struct Draw {
    seed: u64,
    random: SplitMix64,
    duration_ms: u64,
    nodes: usize,
    workers: usize,
    /// Workers that no step has affected so far.
    unaffected: Vec<usize>,
    /// Front ends that are neither restarted nor given another address of discovery so far.
    undisturbed: Vec<usize>,
    steps: Vec<TimedStep>,
}

impl Draw {
    fn new(seed: u64, is_short: bool) -> Self {
        let mut random = SplitMix64::new(seed ^ 0x0d15_c0fe);
        let nodes = NODES[random.below(if is_short { 6 } else { NODES.len() })];
        let workers = 6 + random.below(if nodes > 8 { 8 } else { 15 });
        Draw {
            seed,
            random,
            duration_ms: if is_short {
                SHORT_DURATION_MS
            } else {
                DURATION_MS
            },
            nodes,
            workers,
            unaffected: (0..workers).collect(),
            undisturbed: (0..nodes).collect(),
            steps: Vec::new(),
        }
    }

    fn plan(mut self) -> Plan {
        let calls = (MAX_CALLS_PER_SECOND / self.nodes).clamp(15, 80) as u32;
        let settings = Settings {
            drain_grace: milliseconds(self.pick(&DRAIN_GRACES_MS)),
            client_timeout: milliseconds(self.pick(&CLIENT_TIMEOUTS_MS)),
            slow_start: milliseconds(4_000 + self.between(0, 4_000)),
            health_checks: true,
        };
        let begin = self.between(1_500, 3_000);
        let end = self.duration_ms - self.between(1_500, 3_000);
        self.add_outage(begin, end);
        for _ in 0..=self.random.below(3) {
            self.add_drain(begin, end);
        }
        if self.one_in(3) {
            self.add_crash(begin, end);
        }
        if self.one_in(3) {
            self.add_hang(begin, end);
        }
        if self.one_in(3) {
            let worker = self.take_workers(1);
            let at = self.between(begin, end);
            self.add(at, Step::Reset(worker));
        }
        if self.one_in(2) {
            self.add_restart(begin);
        }
        if self.one_in(4) {
            self.add_migrations(begin, end);
        }
        if self.one_in(3) {
            let at = self.between(begin, end - 2_000);
            self.add(at, Step::ScaleLoad(300));
            self.add(at + 2_000, Step::ScaleLoad(100));
        }
        let duration = milliseconds(self.duration_ms);
        self.steps.retain(|timed| timed.at <= duration);
        self.steps.sort_by_key(|timed| timed.at);
        Plan {
            seed: self.seed,
            nodes: self.nodes,
            workers: self.workers,
            rates: Rates {
                calls,
                functions: 2 * self.workers,
            },
            settings,
            duration,
            steps: self.steps,
        }
    }

    fn add(&mut self, at_ms: u64, step: Step) {
        let at = milliseconds(at_ms);
        self.steps.push(TimedStep { at, step });
    }

    fn one_in(&mut self, count: usize) -> bool {
        self.random.below(count) == 0
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.random.below(to.saturating_sub(from) as usize + 1) as u64
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.random.below(choices.len())]
    }

    /// Adds an outage for all front ends or half of them, either in one piece or in three with gaps of 300 ms.
    fn add_outage(&mut self, begin: u64, end: u64) {
        let all: Vec<usize> = (0..self.nodes).collect();
        let nodes = if self.one_in(4) {
            all[..self.nodes.div_ceil(2)].to_vec()
        } else {
            all
        };
        let pieces = if self.one_in(4) { 3 } else { 1 };
        let length = (end - begin) / pieces;
        for piece in 0..pieces {
            let kind = self.pick(&OutageKind::ALL);
            let from = begin + piece * length;
            let to = from + length - if piece + 1 < pieces { 300 } else { 0 };
            let nodes = nodes.clone();
            self.add(
                from,
                Step::BeginOutage {
                    nodes: nodes.clone(),
                    kind,
                },
            );
            self.add(to, Step::EndOutage { nodes });
        }
    }

    /// Takes up to this many workers that no other step affects; fewer or none if [`MAX_AFFECTED_SHARE`] is reached.
    fn take_workers(&mut self, count: usize) -> Vec<usize> {
        let reserved = (self.workers as f64 * (1.0 - MAX_AFFECTED_SHARE)).ceil() as usize;
        let available = self.unaffected.len().saturating_sub(reserved);
        (0..count.min(available))
            .map(|_| {
                let index = self.random.below(self.unaffected.len());
                self.unaffected.swap_remove(index)
            })
            .collect()
    }

    fn add_drain(&mut self, begin: u64, end: u64) {
        let few = 1 + self.random.below(2);
        let count = if self.one_in(4) {
            self.workers / 2
        } else {
            few
        };
        let workers = self.take_workers(count);
        let later = self.between(begin + 1_000, end - 2_000);
        let at = self.pick(&[begin - 300, begin, begin + 600, later]);
        self.add(at, Step::Drain(workers.clone()));
        let then = at + self.between(1_200, 4_000);
        match self.random.below(3) {
            0 => {}
            1 => self.add(then, Step::Undrain(workers)),
            _ => {
                self.add(then, Step::End(workers.clone()));
                let back = then + self.between(300, 1_700);
                self.add(back, Step::Start(workers));
            }
        }
    }

    /// Adds a worker that ends without a drain and is started again.
    fn add_crash(&mut self, begin: u64, end: u64) {
        let worker = self.take_workers(1);
        let at = self.between(begin, end - 2_000);
        self.add(at, Step::End(worker.clone()));
        let back = at + self.between(50, 1_700);
        self.add(back, Step::Start(worker));
    }

    fn add_hang(&mut self, begin: u64, end: u64) {
        let worker = self.take_workers(1);
        let at = self.between(begin, end - 2_500);
        self.add(at, Step::Hang(worker.clone()));
        let back = at + self.between(500, 2_500);
        self.add(back, Step::Resume(worker));
    }

    /// Takes half of the front ends that no other step restarts or gives another address of discovery, but at least one if
    /// there are any.
    fn take_nodes(&mut self) -> Vec<usize> {
        let count = (self.undisturbed.len() / 2)
            .max(1)
            .min(self.undisturbed.len());
        self.undisturbed.split_off(self.undisturbed.len() - count)
    }

    fn add_restart(&mut self, begin: u64) {
        let nodes = self.take_nodes();
        let at = self.between(begin, begin + 2_500);
        if self.one_in(3) {
            self.add(at, Step::Kill(nodes));
        } else {
            self.add(at, Step::Restart(nodes));
        }
    }

    /// Adds a series of SIGHUPs that lead to an address that refuses connections, and back.
    fn add_migrations(&mut self, begin: u64, end: u64) {
        let nodes = self.take_nodes();
        let mut at = self.between(begin.saturating_sub(500), begin + 1_000);
        let mut reachable = false;
        while at + 2_000 < end {
            let nodes = nodes.clone();
            self.add(at, Step::MigrateDiscovery { nodes, reachable });
            at += self.between(300, 2_000);
            reachable = !reachable;
        }
        if reachable {
            // The last address can be reached.
            self.add(at, Step::MigrateDiscovery { nodes, reachable });
        }
    }
}

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}
