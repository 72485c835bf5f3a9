//! Random faults in simulated clusters, which must converge once all faults are over.

use pipithub_membership::{JoinState, Settings, Time, View};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;
use rand::RngExt;

const SECOND: Time = 1_000_000_000;
const SIZE: usize = 7;
const FAULTS: usize = 25;
/// Number of seeds of the long run, unless `PIPITHUB_SEEDS` sets another number.
const DEFAULT_LONG_RUN_SEEDS: u64 = 1_000;

/// A cluster under random faults, with the copies of disks that processes may be started from.
struct Scenario {
    fleet: Fleet,
    disk_copies: Vec<Option<String>>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let settings = Settings {
            cluster: "campus".into(),
            ..Settings::default()
        };
        let lossy = Link {
            loss: 0.02,
            jitter: 10_000_000,
            ..Link::default()
        };
        let mut fleet = Fleet::new(SIZE, 3, 3, seed, settings, lossy);
        (0..SIZE).for_each(|process| fleet.start(process).unwrap());
        Scenario {
            fleet,
            disk_copies: vec![None; SIZE],
        }
    }

    /// Cuts a link, pauses or kills a process, starts it with its own disk or an old copy of it, copies a disk, or ends
    /// a fault.
    fn inject_random_fault(&mut self) {
        let fleet = &mut self.fleet;
        let rng = &mut fleet.network.rng;
        let process = rng.random_range(0..SIZE);
        let other = rng.random_range(0..SIZE);
        match rng.random_range(0..9u32) {
            0 | 1 => fleet.kill(process),
            2 if !fleet.is_running(process) => fleet.start(process).unwrap(),
            3 if !fleet.is_running(process) => {
                fleet.disk(process).clone_from(&self.disk_copies[process]);
                fleet.start(process).unwrap();
            }
            4 => self.disk_copies[process].clone_from(fleet.disk(process)),
            5 => fleet.network.link(process, other).cut = true,
            6 => fleet.network.heal(),
            7 => fleet.network.set_paused(process, true),
            _ => fleet.network.set_paused(process, false),
        }
    }

    fn end_all_faults(&mut self) {
        self.fleet.network.heal();
        for process in 0..SIZE {
            self.fleet.network.set_paused(process, false);
            if !self.fleet.is_running(process) {
                self.fleet.start(process).unwrap();
            }
        }
    }

    fn check_converged(&self) -> Result<(), String> {
        if self.fleet.has_converged() {
            return Ok(());
        }
        let summary = |view: View| (view.join_state.clone(), view.active().count());
        let summaries: Vec<_> = (0..SIZE)
            .map(|process| self.fleet.view(process).map(summary))
            .collect();
        Err(format!("not converged: {summaries:?}"))
    }

    fn check_all_joined(&self) -> Result<(), String> {
        for process in 0..SIZE {
            let join_state = self.fleet.view(process).map(|view| view.join_state);
            if join_state != Some(JoinState::Joined) {
                return Err(format!("process {process} is not joined: {join_state:?}"));
            }
        }
        Ok(())
    }

    /// No process may consider a former run of a member active.
    fn check_current_runs(&self) -> Result<(), String> {
        let views: Vec<View> = (0..SIZE).filter_map(|n| self.fleet.view(n)).collect();
        for process in 0..SIZE {
            let view = self.fleet.view(process).ok_or("not running")?;
            let local = view.local;
            let mut active = views.iter().flat_map(View::active);
            let is_former_run = active.any(|member| {
                member.identity.name == local.name && !member.identity.same_run(&local)
            });
            if is_former_run {
                return Err(format!(
                    "a former run of process {process} is still considered active"
                ));
            }
        }
        Ok(())
    }
}

fn run_scenario(seed: u64) -> Result<(), String> {
    let mut scenario = Scenario::new(seed);
    for _ in 0..FAULTS {
        scenario.inject_random_fault();
        let wait = scenario.fleet.network.rng.random_range(1..9u64);
        scenario.fleet.run_for(wait * SECOND);
    }
    scenario.end_all_faults();
    scenario.fleet.run_for(120 * SECOND);
    scenario.check_converged()?;
    scenario.check_all_joined()?;
    scenario.check_current_runs()
}

#[test]
fn cluster_converges_after_random_faults() {
    for seed in 0..15 {
        run_scenario(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// A long run, started by hand: `PIPITHUB_SEEDS=1000 cargo test --release -p pipithub-membership -- --ignored`.
#[test]
#[ignore = "takes long; run by hand, not in CI"]
fn cluster_converges_after_random_faults_on_many_seeds() {
    let seeds = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(DEFAULT_LONG_RUN_SEEDS);
    for seed in 1_000..1_000 + seeds {
        run_scenario(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}
