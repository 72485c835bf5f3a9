//! Meters of a simulated fleet: its traffic, its suspicions and its CPU time.

use std::time::Instant;

use pipithub_membership::{Event, Time};
use pipithub_membership_sim::Fleet;

use super::{NEVER, SECOND, STEP};
use crate::process_usage::ProcessUsage;

/// Converts a time to seconds.
pub(super) fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// A rate per second: the mean over all members, and that of the member with the highest.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    pub mean: f64,
    pub highest: f64,
}

impl Rate {
    /// The rate of the increase of each member's count within a number of seconds.
    pub(super) fn between(before: &[u64], after: &[u64], seconds: f64) -> Rate {
        let rates = || {
            after
                .iter()
                .zip(before)
                .map(|(after, before)| (after - before) as f64 / seconds)
        };
        Rate {
            mean: rates().sum::<f64>() / after.len() as f64,
            highest: rates().fold(0.0, f64::max),
        }
    }
}

/// Reads the fleet's counts once per simulated second.
pub(super) struct Meter {
    /// Bytes that each member had sent at the last reading.
    bytes_before: Vec<u64>,
    read_at: Time,
    /// The highest rates of any second so far.
    pub worst: Rate,
    /// Suspicions of running members.
    pub suspected: f64,
    /// Running members that were declared failed.
    pub false_deaths: f64,
    /// Members that were rejected because of `max-members`.
    pub rejected_members: f64,
    patience: Time,
}

impl Meter {
    /// A meter that starts now. `patience` limits how long it waits for a state.
    pub(super) fn new(fleet: &Fleet, patience: Time) -> Meter {
        Meter {
            bytes_before: fleet.sent_bytes.clone(),
            read_at: fleet.network.now(),
            worst: Rate::default(),
            suspected: 0.0,
            false_deaths: 0.0,
            rejected_members: 0.0,
            patience,
        }
    }

    /// Runs the fleet for one step.
    pub(super) fn step(&mut self, fleet: &mut Fleet) {
        fleet.run_for(STEP);
        for observed in std::mem::take(&mut fleet.history) {
            self.count(fleet, &observed.event);
        }
        if fleet.network.now() >= self.read_at + SECOND {
            self.read(fleet);
        }
    }

    fn count(&mut self, fleet: &Fleet, event: &Event) {
        let is_running = |name: &str| {
            name.strip_prefix("front-")
                .and_then(|number| number.parse().ok())
                .is_some_and(|number| fleet.is_running(number))
        };
        match event {
            Event::Suspected(member) if is_running(&member.identity.name) => self.suspected += 1.0,
            Event::Down { member, .. } if is_running(&member.identity.name) => {
                self.false_deaths += 1.0;
            }
            Event::MemberLimitReached(_) => self.rejected_members += 1.0,
            _ => {}
        }
    }

    fn read(&mut self, fleet: &Fleet) {
        let now = fleet.network.now();
        let span = seconds(now - self.read_at);
        let rate = Rate::between(&self.bytes_before, &fleet.sent_bytes, span);
        self.worst.mean = self.worst.mean.max(rate.mean);
        self.worst.highest = self.worst.highest.max(rate.highest);
        self.bytes_before.clone_from(&fleet.sent_bytes);
        self.read_at = now;
    }

    /// Runs the fleet for a time.
    pub(super) fn run_for(&mut self, fleet: &mut Fleet, time: Time) {
        let until = fleet.network.now() + time;
        while fleet.network.now() < until {
            self.step(fleet);
        }
    }

    /// Runs the fleet until a condition holds. Returns the seconds until then, or `NEVER` if it does not hold within
    /// the patience.
    pub(super) fn until(&mut self, fleet: &mut Fleet, condition: impl Fn(&Fleet) -> bool) -> f64 {
        let begun = fleet.network.now();
        while fleet.network.now() < begun + self.patience {
            if condition(fleet) {
                return seconds(fleet.network.now() - begun);
            }
            self.step(fleet);
        }
        NEVER
    }
}

/// CPU time per member and simulated second, as a fraction of a processor core.
pub(super) struct CpuShares {
    /// The part of the membership cores.
    pub cores: f64,
    /// The part of the simulation itself.
    pub simulation: f64,
}

/// A reading of the CPU time of the process and of the time spent in the membership cores.
pub(super) struct CpuReading {
    cpu_seconds: f64,
    core_seconds: f64,
    at: Instant,
}

impl CpuReading {
    /// Reads both times.
    pub(super) fn take(fleet: &Fleet) -> CpuReading {
        CpuReading {
            cpu_seconds: ProcessUsage::of_this_process().cpu_seconds,
            core_seconds: fleet.membership_time.as_secs_f64(),
            at: Instant::now(),
        }
    }

    /// The CPU time used since this reading. The process has one thread, so its CPU time is divided in proportion to
    /// the elapsed time that the membership cores and the simulation took.
    pub(super) fn since(&self, fleet: &Fleet, simulated_seconds: f64) -> CpuShares {
        let now = CpuReading::take(fleet);
        let elapsed = now.at.duration_since(self.at).as_secs_f64().max(1e-9);
        let share = (now.core_seconds - self.core_seconds) / elapsed;
        let used = now.cpu_seconds - self.cpu_seconds;
        let each = used / fleet.size() as f64 / simulated_seconds.max(1e-9);
        CpuShares {
            cores: each * share,
            simulation: each * (1.0 - share),
        }
    }
}
