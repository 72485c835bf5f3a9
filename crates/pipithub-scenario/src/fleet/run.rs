//! Runs a scenario of a fleet with real processes and checks what its members claimed.

mod action;
mod claims;
mod cluster;
mod generations;

use std::path::{Path, PathBuf};
use std::time::Duration;

use pipithub_clock::{Clock, wall_ns};
use pipithub_conformance::fleet::{Breach, Disk, History, check};
use tokio::time::Instant;

use crate::error::RunError;
use crate::fleet::scenario::FleetScenario;
use crate::outcome::InjectedFault;

use action::Schedule;
use cluster::Cluster;

/// How often the reports of members are read.
const SAMPLE_PERIOD: Duration = Duration::from_millis(200);
/// How long members may take to report their addresses, and to make their last claims.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The violations of rules.
    pub breaches: Vec<Breach>,
    /// The history that was recorded.
    pub history: History,
    /// The injected faults, with their times since the start.
    pub faults: Vec<InjectedFault>,
    /// Where logs and data folders are.
    pub folder: PathBuf,
}

/// Runs a scenario with the faults that its seed gives, and checks all rules.
///
/// `binary` is the program `pipithub`, whose processes write their logs and data into `folder`, which is created.
///
/// Fails if a process cannot be started or not all members report their address. A breach of a rule is no error but
/// part of the outcome.
pub async fn run(
    scenario: &FleetScenario,
    seed: u64,
    binary: &Path,
    folder: &Path,
) -> Result<Outcome, RunError> {
    std::fs::create_dir_all(folder)?;
    let schedule = Schedule::new(scenario, seed);
    let slots = scenario.members + schedule.duplicates;
    let mut cluster = Cluster::new(scenario, slots, seed, binary, folder).await?;
    for member in 0..scenario.members {
        cluster.start(member, Disk::Current)?;
    }
    cluster.wait_until_reachable().await?;
    let began = wall_ns();
    cluster.run_schedule(schedule, began).await?;
    cluster.restore().await?;
    cluster.converge().await;
    let faults = cluster.injected_faults(began);
    let history = cluster.shut_down().await;
    Ok(Outcome {
        breaches: check(&history, scenario.bounds),
        history,
        faults,
        folder: folder.to_path_buf(),
    })
}

impl Cluster<'_> {
    async fn wait_until_reachable(&mut self) -> Result<(), RunError> {
        let started = Instant::now();
        while self.slots[..self.scenario.members]
            .iter()
            .any(|slot| !slot.reachable)
        {
            if started.elapsed() > START_TIMEOUT {
                return Err(RunError::NoReports);
            }
            tokio::time::sleep(SAMPLE_PERIOD / 4).await;
            self.sample_claims();
        }
        Ok(())
    }

    /// Carries out all actions, each at its time, until the scenario is over.
    async fn run_schedule(&mut self, schedule: Schedule, began: u64) -> Result<(), RunError> {
        let clock = Clock::default();
        // Before the first action the fleet gets time to form.
        let offset = self.scenario.bounds.convergence / 2;
        let end = offset + self.scenario.duration;
        self.history.disturbances = schedule.disturbances(began + offset, self.scenario.duration);
        let mut actions = schedule.actions.into_iter().peekable();
        while clock.now() < end {
            let next = actions
                .peek()
                .map_or(end, |next| (offset + next.at).min(end));
            tokio::select! {
                () = clock.sleep_until(Some(next)) => {}
                () = tokio::time::sleep(SAMPLE_PERIOD) => {}
            }
            while let Some(due) = actions.next_if(|next| offset + next.at <= clock.now()) {
                self.apply(due.action).await?;
            }
            self.sample_claims();
        }
        Ok(())
    }

    /// Ends all faults: links are restored, duplicates are ended, and all members run.
    async fn restore(&mut self) -> Result<(), RunError> {
        self.restore_links();
        for slot in 0..self.slots.len() {
            self.set_paused(slot, false);
            if slot >= self.scenario.members {
                self.kill(slot).await;
            } else if self.slots[slot].process.is_none() {
                self.start(slot, Disk::Current)?;
            }
        }
        Ok(())
    }

    /// Gives the fleet its time to converge, and waits up to [`START_TIMEOUT`] for a later claim of each member.
    async fn converge(&mut self) {
        let clock = Clock::default();
        while clock.now() < self.scenario.bounds.convergence {
            tokio::time::sleep(SAMPLE_PERIOD).await;
            self.sample_claims();
        }
        self.history.end = wall_ns();
        let ended = Instant::now();
        while !self.have_last_claims() && ended.elapsed() < START_TIMEOUT {
            tokio::time::sleep(SAMPLE_PERIOD).await;
            self.sample_claims();
        }
    }

    fn have_last_claims(&self) -> bool {
        (0..self.scenario.members).all(|member| self.has_last_claim(member))
    }
}
